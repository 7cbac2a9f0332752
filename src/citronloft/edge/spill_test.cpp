#include <gtest/gtest.h>

#include "citronloft/edge/spill.hpp"

namespace citronloft {
namespace {

constexpr auto now = TimePoint { std::chrono::hours { 1 } };

class SpillSignerTest : public testing::Test {
protected:
    auto SetUp() -> void override
    {
        this->request.fields.set(spillHeader, this->signer.sign(this->ticket, this->request));
    }

    SpillSigner signer { "secret-of-the-fleet" };
    SpillTicket ticket { "team", "route", 77, SpillReason::NoPath, 2 };
    HttpRequest request { "POST", "/payments", {}, "body" };
};

TEST_F(SpillSignerTest, AcceptsTicketOnce)
{
    const auto checked = this->signer.verify(this->request, now);
    ASSERT_TRUE(checked.ok());
    EXPECT_EQ(checked->team, "team");
    EXPECT_EQ(checked->route, "route");
    EXPECT_EQ(checked->reason, SpillReason::NoPath);
    EXPECT_EQ(checked->attempts, 2U);
    EXPECT_TRUE(absl::IsAlreadyExists(this->signer.verify(this->request, now).status()));
}

TEST_F(SpillSignerTest, RefusesTicketForOtherBodyPathTeamOrSecret)
{
    auto body = this->request;
    body.body = "other";
    EXPECT_TRUE(absl::IsPermissionDenied(this->signer.verify(body, now).status()));
    auto path = this->request;
    path.target = "/payments/2";
    EXPECT_TRUE(absl::IsPermissionDenied(this->signer.verify(path, now).status()));
    auto team = this->request;
    auto header = std::string { team.fields.get(spillHeader) };
    header.replace(0, 4, "root");
    team.fields.set(spillHeader, header);
    EXPECT_TRUE(absl::IsPermissionDenied(this->signer.verify(team, now).status()));
    EXPECT_TRUE(absl::IsPermissionDenied(SpillSigner("another-secret").verify(this->request, now).status()));
}

TEST_F(SpillSignerTest, RefusesTicketWithOtherReasonOrMoreAttempts)
{
    const auto header = std::string { this->request.fields.get(spillHeader) };
    const auto signedPart = std::string { "team;route;77;no-path;2;" };
    ASSERT_TRUE(header.starts_with(signedPart)) << header;
    for (const auto* changed : { "team;route;77;no-capacity;2;", "team;route;77;no-path;9;" }) {
        this->request.fields.set(spillHeader, changed + header.substr(signedPart.size()));
        EXPECT_TRUE(absl::IsPermissionDenied(this->signer.verify(this->request, now).status())) << changed;
    }
}

TEST_F(SpillSignerTest, RefusesMalformedTickets)
{
    for (const auto* header : { "", ";;;", "a;b;c;d", "team;route;77", "team;route;x;00", "team;route;77;no-path;2",
             "team;route;77;no-path;x;00", "team;route;77;none;2;00", "team;route;77;no-path;2;00;00" }) {
        this->request.fields.set(spillHeader, header);
        EXPECT_FALSE(this->signer.verify(this->request, now).ok()) << header;
    }
}

auto responseWith(const SpillResult& result) -> HttpResponse
{
    auto response = HttpResponse {};
    addSpillFields(response, result);
    return response;
}

TEST(SpillResult, IsReadAsItWasWritten)
{
    for (const auto& result :
        { SpillResult { ResultCode::TargetShed, 2, {} }, SpillResult { ResultCode::Answered, 1, "i-1@1000" } }) {
        auto response = responseWith(result);
        EXPECT_EQ(takeSpillFields(response), result);
        EXPECT_FALSE(response.fields.has(spillResultHeader));
        EXPECT_FALSE(response.fields.has(spillTargetHeader));
    }
    for (const auto* text : { "", "1000", ";", "1000;", ";1", "1000;x", "9;1", "x;1" }) {
        auto response = HttpResponse {};
        response.fields.set(spillResultHeader, text);
        EXPECT_EQ(takeSpillFields(response), std::nullopt) << text;
    }
}

TEST(SpillResult, OnlyAnswersNameTheirTarget)
{
    auto response = responseWith({ ResultCode::TargetShed, 2, "i-1@1000" });
    EXPECT_FALSE(response.fields.has(spillTargetHeader));
    response = HttpResponse {};
    response.fields.set(spillTargetHeader, "i-2@1000");
    addSpillFields(response, { ResultCode::Answered, 1, {} });
    EXPECT_FALSE(response.fields.has(spillTargetHeader)) << "a target's own field is not passed on";
}

/// Hosts of the version before the target was named read the result field as ever and remove hop-by-hop fields.
TEST(SpillResult, IsUnderstoodByHostsThatDoNotKnowTheTargetField)
{
    auto response = responseWith({ ResultCode::Answered, 1, "i-1@1000" });
    EXPECT_EQ(response.fields.get(spillResultHeader), "1000;1");
    removeHopByHopFields(response.fields);
    EXPECT_FALSE(response.fields.has(spillTargetHeader));
}

TEST(SpillResult, OfAHostThatDoesNotNameTheTargetIsUnderstood)
{
    auto response = HttpResponse {};
    response.fields.set(spillResultHeader, "1000;1");
    EXPECT_EQ(takeSpillFields(response), (SpillResult { ResultCode::Answered, 1, {} }));
}

} // namespace
} // namespace citronloft

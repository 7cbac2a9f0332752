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

TEST(SpillResult, IsReadAsItWasWritten)
{
    const auto result = SpillResult { ResultCode::TargetShed, 2 };
    EXPECT_EQ(parseSpillResult(formatSpillResult(result)), result);
    for (const auto* text : { "", "1000", ";", "1000;", ";1", "1000;x", "9;1", "x;1" })
        EXPECT_EQ(parseSpillResult(text), std::nullopt) << text;
}

} // namespace
} // namespace citronloft

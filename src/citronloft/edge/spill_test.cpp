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
    SpillTicket ticket { "team", "route", 77 };
    HttpRequest request { "POST", "/payments", {}, "body" };
};

TEST_F(SpillSignerTest, AcceptsTicketOnce)
{
    const auto checked = this->signer.verify(this->request, now);
    ASSERT_TRUE(checked.ok());
    EXPECT_EQ(checked->team, "team");
    EXPECT_EQ(checked->route, "route");
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

TEST_F(SpillSignerTest, RefusesMalformedTickets)
{
    for (const auto* header : { "", ";;;", "a;b;c;d", "team;route;77", "team;route;x;00" }) {
        this->request.fields.set(spillHeader, header);
        EXPECT_FALSE(this->signer.verify(this->request, now).ok()) << header;
    }
}

} // namespace
} // namespace citronloft

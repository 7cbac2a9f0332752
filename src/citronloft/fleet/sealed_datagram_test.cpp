#include <gtest/gtest.h>

#include "citronloft/fleet/sealed_datagram.hpp"

namespace citronloft {
namespace {

auto loanRequest() -> PeerMessage { return LoanRequest { 7, 9, { { 1, 2 } }, {} }; }

TEST(SealedDatagram, OpensDatagramsOfItsFleet)
{
    auto sender = DatagramSealer("secret-of-the-fleet", 1);
    auto receiver = DatagramSealer("secret-of-the-fleet", 2);
    const auto opened = receiver.open(*sender.seal(loanRequest()));
    ASSERT_TRUE(opened.ok());
    EXPECT_EQ(std::get<LoanRequest>(*opened).sequence, 9U);
}

TEST(SealedDatagram, RejectsOtherSecretsChangesAndTruncation)
{
    auto sender = DatagramSealer("secret-of-the-fleet", 1);
    auto receiver = DatagramSealer("secret-of-the-fleet", 2);
    const auto datagram = *sender.seal(loanRequest());
    EXPECT_TRUE(absl::IsPermissionDenied(DatagramSealer("other", 3).open(datagram).status()));
    for (auto i = std::size_t { 0 }; i < datagram.size(); ++i) {
        auto changed = datagram;
        changed[i] ^= 1;
        EXPECT_FALSE(receiver.open(changed).ok()) << i;
        EXPECT_FALSE(receiver.open(datagram.substr(0, i)).ok()) << i;
    }
    EXPECT_FALSE(receiver.open(std::string(maxDatagramBytes + 1, 'x')).ok());
}

TEST(SealedDatagram, RejectsReplaysAndAcceptsReorderedDatagrams)
{
    auto sender = DatagramSealer("secret-of-the-fleet", 1);
    auto receiver = DatagramSealer("secret-of-the-fleet", 2);
    const auto first = *sender.seal(loanRequest());
    const auto second = *sender.seal(loanRequest());
    EXPECT_TRUE(receiver.open(second).ok());
    EXPECT_TRUE(receiver.open(first).ok());
    EXPECT_TRUE(absl::IsAlreadyExists(receiver.open(first).status()));
    EXPECT_TRUE(absl::IsAlreadyExists(receiver.open(second).status()));
    for (auto i = 0; i < 70; ++i)
        receiver.open(*sender.seal(loanRequest())).IgnoreError();
    EXPECT_TRUE(absl::IsAlreadyExists(receiver.open(first).status()));
}

TEST(SealedDatagram, RejectsMessagesOverTheMaximumSize)
{
    auto sender = DatagramSealer("secret-of-the-fleet", 1);
    auto message = LoanRequest {};
    message.entries.resize(5000);
    EXPECT_FALSE(sender.seal(message).ok());
}

} // namespace
} // namespace citronloft

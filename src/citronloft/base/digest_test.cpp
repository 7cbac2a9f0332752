#include <gtest/gtest.h>

#include "citronloft/base/digest.hpp"

namespace citronloft {
namespace {

TEST(Digest, HexRoundTrip)
{
    const auto digest = sha256("abc");
    EXPECT_EQ(toHex(digest), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_EQ(digestFromHex(toHex(digest)), digest);
    EXPECT_FALSE(digestFromHex("ba78"));
    EXPECT_FALSE(digestFromHex(std::string(64, 'x')));
}

TEST(Digest, ComparesAllBytes)
{
    auto other = sha256("abc");
    EXPECT_TRUE(constantTimeEqual(sha256("abc"), other));
    other.back() ^= 1;
    EXPECT_FALSE(constantTimeEqual(sha256("abc"), other));
}

TEST(Digest, KeysAreDistinct)
{
    EXPECT_NE(randomKey(), randomKey());
    EXPECT_TRUE(randomKey().starts_with("clk_"));
}

} // namespace
} // namespace citronloft

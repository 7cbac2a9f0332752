#include <gtest/gtest.h>

#include "citronloft/fleet/store_era.hpp"
#include "citronloft/fleet/store_revision.hpp"

namespace citronloft {
namespace {

TEST(StoreEraTest, AnswersFromBeforeARestoreAreOutdated)
{
    auto metrics = Metrics {};
    auto era = StoreEra(metrics);
    EXPECT_TRUE(era.record(1));
    EXPECT_TRUE(era.record(1));
    EXPECT_TRUE(era.record(3));
    EXPECT_FALSE(era.record(1));
    EXPECT_EQ(era.current(), 3U);
    EXPECT_EQ(metrics.value("citronloft_store_answers_outdated_total"), 1U);
}

TEST(StoreRevisionTest, RevisionsOfNewerErasFollowAllOfOlderOnes)
{
    EXPECT_LT((StoreRevision { 1, 900 }), (StoreRevision { 2, 3 }));
    EXPECT_LT((StoreRevision { 2, 3 }), (StoreRevision { 2, 4 }));
    EXPECT_EQ(formatRevision({ 2, 3 }), "2.3");
}

} // namespace
} // namespace citronloft

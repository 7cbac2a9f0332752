#include <gtest/gtest.h>

#include "citronloft/edge/response_field_log.hpp"

namespace citronloft {
namespace {

TEST(ResponseFieldLogTest, RecordsEachNameOnceUpToALimit)
{
    auto log = ResponseFieldLog { 3 };
    auto fields = HeaderFields {};
    fields.add("Date", "1");
    fields.add("Date", "2");
    log.record("t", fields);
    EXPECT_EQ(log.size(), 1U);
    for (const auto* name : { "A", "B", "C", "D" })
        fields.add(name, "");
    log.record("t", fields);
    log.record("t", fields);
    EXPECT_EQ(log.size(), 3U);
}

} // namespace
} // namespace citronloft

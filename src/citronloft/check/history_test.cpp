#include <algorithm>
#include <sstream>

#include <gtest/gtest.h>

#include "citronloft/check/history.hpp"

namespace citronloft {
namespace {

constexpr auto goodHistory = R"({"event":"team","name":"a","rate":10,"burst":2}
{"event":"call","id":"1","team":"a","key":"k","payment":true,"t":1000000000}
{"event":"run","id":"1","team":"a","target":"x","key_seen":false,"t":1100000000}
{"event":"answer","id":"1","code":"1000","outcome":"ran","own":true,"host":"h","config":"2","t":1200000000}
{"event":"call","id":"2","team":"a","key":"k","payment":false,"t":1300000000}
{"event":"answer","id":"2","code":"2005","outcome":"not-run","own":true,"host":"h","config":"2","t":1400000000}
)";

auto breachedRules(const std::string& text) -> std::vector<std::string>
{
    auto lines = std::istringstream { text };
    auto history = History {};
    history.read(lines);
    auto rules = std::vector<std::string> {};
    for (const auto& breach : checkHistory(history, {}))
        rules.push_back(breach.rule);
    return rules;
}

TEST(History, GoodHistoryHasNoBreach) { EXPECT_TRUE(breachedRules(goodHistory).empty()); }

struct BadHistory {
    std::string rule;
    std::string added;
};

class HistoryRule : public testing::TestWithParam<BadHistory> { };

TEST_P(HistoryRule, FailsOnBadHistory)
{
    const auto rules = breachedRules(goodHistory + GetParam().added);
    EXPECT_EQ(rules, std::vector { GetParam().rule });
}

auto badHistories() -> std::vector<BadHistory>
{
    const auto run = std::string { R"({"event":"run","id":"1","team":"a","target":"x","t":1150000000})" };
    auto many = std::string {};
    for (auto i = 10; i < 15; ++i) {
        const auto id = std::to_string(i);
        many += R"({"event":"call","id":")" + id + R"(","team":"a","payment":false,"t":2000000000})" + "\n";
        many += R"({"event":"run","id":")" + id + R"(","team":"a","target":"x","t":2010000000})" + "\n";
    }
    return {
        { "well-formed", "not json\n" },
        { "at-most-once", run },
        { "idempotency-key-once",
            R"({"event":"call","id":"3","team":"a","payment":true,"t":1400000000}
{"event":"run","id":"3","team":"a","target":"x","idempotency_key":"i","t":1500000000}
{"event":"call","id":"4","team":"a","payment":true,"t":1600000000}
{"event":"run","id":"4","team":"a","target":"y","idempotency_key":"i","t":1700000000})" },
        { "not-run-is-true", R"({"event":"run","id":"2","team":"a","target":"x","t":1350000000})" },
        { "answer-has-a-run",
            R"({"event":"call","id":"3","team":"a","t":1400000000}
{"event":"answer","id":"3","code":"1000","outcome":"ran","own":true,"t":1500000000})" },
        { "own-answer", R"({"event":"answer","id":"1","code":"1000","outcome":"ran","own":false,"t":1500000000})" },
        { "key-never-at-target",
            R"({"event":"call","id":"3","team":"a","t":1400000000}
{"event":"run","id":"3","team":"a","target":"x","key_seen":true,"t":1500000000})" },
        { "own-team",
            R"({"event":"call","id":"3","team":"b","t":1400000000}
{"event":"run","id":"3","team":"a","target":"x","t":1500000000})" },
        { "run-has-a-call", R"({"event":"run","id":"9","team":"a","target":"x","t":1500000000})" },
        { "withdrawn-key",
            R"({"event":"withdrawn","key":"k","t":1400000000}
{"event":"call","id":"3","team":"a","key":"k","t":9000000000}
{"event":"run","id":"3","team":"a","target":"x","t":9500000000})" },
        { "drained-target",
            R"({"event":"drained","target":"x","t":1400000000}
{"event":"call","id":"3","team":"a","t":9000000000}
{"event":"run","id":"3","team":"a","target":"x","t":9500000000})" },
        { "config-never-reverts",
            R"({"event":"call","id":"3","team":"a","t":1500000000}
{"event":"answer","id":"3","code":"2005","outcome":"not-run","own":true,"host":"h","config":"1","t":1600000000})" },
        { "team-rate", many },
    };
}

INSTANTIATE_TEST_SUITE_P(Rules, HistoryRule, testing::ValuesIn(badHistories()), [](const auto& info) {
    auto name = info.param.rule;
    std::ranges::replace(name, '-', '_');
    return name;
});

} // namespace
} // namespace citronloft

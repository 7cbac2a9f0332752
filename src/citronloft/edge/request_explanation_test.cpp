#include "citronloft/edge/request_explanation.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace citronloft {
namespace {

TEST(ExplainedRequestTest, UrlStatesPathAndHost)
{
    struct Case {
        std::string url;
        std::string target;
        std::string host;
    };
    for (const auto& item : { Case { "/a?b=1", "/a?b=1", "" }, Case { "http://h.example/a", "/a", "h.example" },
             Case { "https://h.example:8443", "/", "h.example:8443" },
             Case { "http://h.example?x=1", "/?x=1", "h.example" }, Case { "/a#part", "/a", "" } }) {
        const auto request = parseExplainedRequest(nlohmann::json { { "method", "GET" }, { "url", item.url } }.dump());
        ASSERT_TRUE(request.ok()) << item.url;
        EXPECT_EQ(request->method, "GET");
        EXPECT_EQ(request->target, item.target);
        EXPECT_EQ(request->fields.get("Host"), item.host);
    }
}

TEST(ExplainedRequestTest, HostFieldTakesPrecedenceOverTheUrl)
{
    const auto request = parseExplainedRequest(
        R"({"method":"GET","url":"http://a/x","headers":[{"name":"host","value":"b"},{"name":"Y","value":""}]})");
    ASSERT_TRUE(request.ok());
    EXPECT_EQ(request->fields.get("Host"), "b");
    EXPECT_TRUE(request->fields.has("Y"));
}

/// Guards against an error that ends the host or is not described, and against a key in an error's text.
TEST(ExplainedRequestTest, MalformedQuestionIsDescribedWithoutValues)
{
    for (const auto* body : { "", "[]", "{", R"({"method":"GET"})", R"({"method":1,"url":"/"})",
             R"({"method":"","url":"/"})", R"({"method":"G T","url":"/"})", R"({"method":"GET","url":"secret"})",
             R"({"method":"GET","url":"/ secret"})", R"({"method":"GET","url":"http://"})",
             R"({"method":"GET","url":"http://u:secret@h/"})", R"({"method":"GET","url":"/","headers":"secret"})",
             R"({"method":"GET","url":"/","headers":["secret"]})",
             R"({"method":"GET","url":"/","headers":[{"name":"A","value":1}]})",
             R"({"method":"GET","url":"/","headers":[{"name":"A B","value":"secret"}]})",
             R"({"method":"GET","url":"/","headers":[{"name":"A","value":"secret\r\nB: 1"}]})" }) {
        const auto request = parseExplainedRequest(body);
        EXPECT_FALSE(request.ok()) << body;
        EXPECT_FALSE(request.status().message().empty()) << body;
        EXPECT_EQ(request.status().message().find("secret"), std::string_view::npos) << request.status();
    }
}

auto makePool(ExplainedOutcome outcome, ResultCode refusal = ResultCode::Answered) -> ExplainedPool
{
    auto pool = ExplainedPool {};
    pool.outcome = outcome;
    pool.refusal = refusal;
    return pool;
}

TEST(RequestExplanationTest, IsRefusedOnlyIfEveryPoolRefuses)
{
    const auto refused = makePool(ExplainedOutcome::Refused, ResultCode::NoTarget);
    for (const auto outcome : { ExplainedOutcome::Sent, ExplainedOutcome::Forwarded, ExplainedOutcome::Waiting }) {
        auto explanation = RequestExplanation {};
        explanation.pools = { refused, makePool(outcome) };
        combinePools(explanation);
        EXPECT_EQ(explanation.outcome, outcome);
        EXPECT_EQ(explanation.refusal, ResultCode::Answered);
    }
    auto explanation = RequestExplanation {};
    explanation.pools = { refused };
    explanation.rate = ExplainedRate {};
    combinePools(explanation);
    EXPECT_EQ(explanation.outcome, ExplainedOutcome::Refused);
    EXPECT_EQ(explanation.refusal, ResultCode::NoTarget);
}

TEST(RequestExplanationTest, RequestWithoutTokenWaits)
{
    auto explanation = RequestExplanation {};
    explanation.pools = { makePool(ExplainedOutcome::Sent) };
    explanation.rate = ExplainedRate { 10, 5, 0.99 };
    combinePools(explanation);
    EXPECT_EQ(explanation.outcome, ExplainedOutcome::Waiting);
    const auto json = nlohmann::json::parse(formatExplanation(explanation));
    EXPECT_EQ(json["outcome"], "waiting");
    EXPECT_EQ(json["rate"]["has_token"], false);
    EXPECT_TRUE(json["refusal"].is_null());
    EXPECT_TRUE(json["route"].is_null());
}

} // namespace
} // namespace citronloft

// Tests of responses whose status is outside the protocol, in each position on a connection in which one can arrive.

#include "citronloft/edge/http_client.hpp"

#include <gtest/gtest.h>

#include "citronloft/edge/http_object_store.hpp"
#include "citronloft/edge/target_prober.hpp"
#include "fakes/raw_peer.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

/// Status lines that no caller may get.
constexpr auto invalidLines = std::to_array({ "HTTP/1.1 000 S", "HTTP/1.1 000 ", "HTTP/1.1 000", "HTTP/1.0 000 S",
    "HTTP/1.1 001 S", "HTTP/1.1 099 S", "HTTP/1.1 600 S", "HTTP/1.1 999 S", "HTTP/1.1 20 S", "HTTP/1.1 2000 S",
    "HTTP/1.1 -200 S", "HTTP/1.1 +20 S", "HTTP/1.1  S", "HTTP/1.1 200", "HTTP/1.1" });

/// Where a response arrives, and which request it states.
struct Position {
    std::string name;
    /// Whether an earlier exchange has used the connection.
    bool isReused = false;
    /// Id in the response; empty for none.
    std::string id;
    /// Responses that precede it.
    std::string before;
    std::string method = "POST";
    bool usesIds = true;
};

auto operator<<(std::ostream& stream, const Position& position) -> std::ostream& { return stream << position.name; }

class InvalidStatusTest : public testing::TestWithParam<Position> {
protected:
    auto run(const std::function<void(boost::asio::yield_context)>& action) -> void
    {
        auto isFinished = false;
        boost::asio::spawn(
            this->context,
            [&](boost::asio::yield_context yield) {
                action(yield);
                isFinished = true;
            },
            boost::asio::detached);
        while (!isFinished && this->context.run_one_for(10s) > 0) { }
        EXPECT_TRUE(isFinished);
    }

    /// Sends a request whose kind accepts refusals without an id, as repeatable requests do.
    auto send(const Address& address, const std::string& id, boost::asio::yield_context yield) -> Exchange
    {
        const auto& position = this->GetParam();
        auto option = ExchangeOption { .deadline = this->clock.now() + 2s };
        if (position.usesIds) {
            option.idField = "X-Id";
            option.id = id;
            option.acceptsWithoutId = [](const HttpResponse& response) {
                return response.status >= 500 || response.fields.has("X-Not-Run");
            };
        }
        return this->client->exchange(address, { position.method, "/x", {}, {} }, option, yield);
    }

    /// Returns a response with fields that would be believed beside a valid status.
    static auto makeResponse(const std::string& line, const std::string& id) -> std::string
    {
        const auto idLine = id.empty() ? std::string {} : "X-Id: " + id + "\r\n";
        return line + "\r\n" + idLine
            + "X-Not-Run: 1\r\nRetry-After: 9\r\nServer-Leaving: 1\r\nServer-Limit: 0\r\nContent-Length: 0\r\n\r\n";
    }

    auto sendTo(const std::string& bytes) -> Exchange
    {
        const auto& position = this->GetParam();
        auto result = Exchange {};
        const auto refusal = std::string { "HTTP/1.1 503 S\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n" };
        auto scripts = std::vector<RawServer::Script> {};
        if (position.isReused)
            scripts.push_back({ refusal });
        scripts.push_back({ bytes });
        auto target = RawServer(this->context, std::move(scripts));
        this->run([&](boost::asio::yield_context yield) {
            if (position.isReused)
                this->send(target.address(), "1", yield);
            result = this->send(target.address(), "2", yield);
            this->openConnections = this->client->openConnections(target.address());
        });
        return result;
    }

    boost::asio::io_context context;
    SteadyClock clock;
    std::shared_ptr<HttpClient> client = makeHttpClient(context, clock);
    std::size_t openConnections = 0;
};

/// Guards against a status outside the protocol that a caller gets, and against statements beside one that are
/// believed.
TEST_P(InvalidStatusTest, EndsExchangeWithoutResponse)
{
    for (const auto* line : invalidLines) {
        const auto exchange = this->sendTo(this->GetParam().before + makeResponse(line, this->GetParam().id));
        const auto isRejected
            = exchange.error == ExchangeError::AnswerInvalid || exchange.error == ExchangeError::AnswerCut;
        EXPECT_TRUE(isRejected) << line << ": error " << static_cast<int>(exchange.error);
        EXPECT_TRUE(exchange.sent) << line;
        EXPECT_EQ(exchange.reused, this->GetParam().isReused) << line;
        EXPECT_TRUE(exchange.response.fields.begin() == exchange.response.fields.end()) << line;
        // An earlier refusal that was skipped has stated its id.
        const auto hasSkipped = this->GetParam().before.find("503") != std::string::npos;
        EXPECT_EQ(exchange.identifiesErrors.has_value(), hasSkipped) << line;
        EXPECT_EQ(this->openConnections, 0U) << line;
    }
}

/// A response after one with a status outside the protocol belongs to no request for certain.
TEST_P(InvalidStatusTest, IsNotSkippedForTheResponseBehindIt)
{
    const auto next = std::string { "HTTP/1.1 200 S\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n" };
    for (const auto* line : { "HTTP/1.1 000 S", "HTTP/1.1 099 S", "HTTP/1.1 600 S" }) {
        const auto exchange = this->sendTo(this->GetParam().before + makeResponse(line, this->GetParam().id) + next);
        EXPECT_EQ(exchange.error, ExchangeError::AnswerInvalid) << line;
    }
}

INSTANTIATE_TEST_SUITE_P(Positions, InvalidStatusTest,
    testing::Values(Position { "First", false, "2", "" }, Position { "FirstWithoutId", false, "", "" },
        Position { "FirstOfAnotherRequest", false, "1", "" }, Position { "Reused", true, "2", "" },
        Position { "ReusedWithoutId", true, "", "" }, Position { "ReusedOfAnotherRequest", true, "1", "" },
        Position { "AfterContinue", false, "2", "HTTP/1.1 100 S\r\n\r\n" },
        Position { "AfterSwitchingProtocols", false, "2", "HTTP/1.1 101 S\r\n\r\n" },
        Position { "AfterProcessing", false, "2", "HTTP/1.1 102 S\r\nX-Id: 2\r\n\r\n" },
        Position { "AfterEarlyHints", true, "2", "HTTP/1.1 103 S\r\nLink: </x>\r\n\r\n" },
        Position { "ReusedWithoutIdAfterInterim", true, "", "HTTP/1.1 100 S\r\n\r\nHTTP/1.1 103 S\r\n\r\n" },
        Position { "AfterCopyOfEarlierRefusal", true, "2", "HTTP/1.1 503 S\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n" },
        Position { "Head", false, "2", "", "HEAD" }, Position { "HeadReusedWithoutId", true, "", "", "HEAD" },
        Position { "WithoutIds", false, "", "", "GET", false },
        Position { "ReusedWithoutIds", true, "", "", "GET", false },
        Position { "HeadWithoutIds", true, "", "", "HEAD", false }),
    [](const auto& info) { return info.param.name; });

class StatusTest : public InvalidStatusTest { };

/// Guards against a target whose interim responses never end.
TEST_P(StatusTest, ManyInterimResponsesEndExchange)
{
    auto interim = std::string {};
    for (auto i = 0; i < 17; ++i)
        interim += "HTTP/1.1 10" + std::to_string(i % 4) + " S\r\nX-Id: 2\r\nServer-Leaving: 1\r\n\r\n";
    const auto exchange = this->sendTo(interim + makeResponse("HTTP/1.1 200 S", "2"));
    EXPECT_EQ(exchange.error, ExchangeError::AnswerCut);
    EXPECT_FALSE(exchange.response.fields.has("Server-Leaving"));
}

TEST_P(StatusTest, ResponseAfterInterimOnesIsTheAnswer)
{
    for (const auto* line : { "HTTP/1.1 200 S", "HTTP/1.1 200 ", "HTTP/1.1 599 S" }) {
        const auto interim = std::string { "HTTP/1.1 100 S\r\n\r\nHTTP/1.1 103 S\r\nX-Hint: 1\r\n\r\n" };
        const auto exchange = this->sendTo(interim + makeResponse(line, "2"));
        EXPECT_EQ(exchange.error, ExchangeError::None) << line;
        EXPECT_GE(exchange.response.status, 200U) << line;
        EXPECT_FALSE(exchange.response.fields.has("X-Hint")) << line;
    }
}

INSTANTIATE_TEST_SUITE_P(Methods, StatusTest,
    testing::Values(Position { "Post", false, "2", "" }, Position { "Reused", true, "2", "" },
        Position { "Head", false, "2", "", "HEAD" }, Position { "WithoutIds", false, "", "", "GET", false }),
    [](const auto& info) { return info.param.name; });

/// Guards against an object, or the absence of one, that the store did not state.
TEST(StoreStatusTest, StatusOutsideTheProtocolIsAFailureOfTheStore)
{
    for (const auto* line : invalidLines) {
        auto context = boost::asio::io_context {};
        const auto bytes = std::string { line } + "\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\n[]";
        auto service = RawServer(context, { { bytes }, { bytes }, { bytes }, { bytes } });
        auto clock = SteadyClock {};
        auto metrics = Metrics {};
        const auto store = makeHttpObjectStore(context, clock, metrics, { .address = service.address() });
        auto statuses = std::vector<absl::Status> {};
        store->get("key", [&](const auto& object) { statuses.push_back(object.status()); });
        store->watch("key", { 0, 1 }, 1s, [&](const auto& object) { statuses.push_back(object.status()); });
        store->put("key", "v", { 0, 1 }, [&](const auto& version) { statuses.push_back(version.status()); });
        store->list("k", [&](const auto& keys) { statuses.push_back(keys.status()); });
        while (statuses.size() < 4 && context.run_one_for(10s) > 0) { }
        ASSERT_EQ(statuses.size(), 4U);
        for (const auto& status : statuses)
            EXPECT_TRUE(absl::IsUnavailable(status)) << line << ": " << status;
        EXPECT_EQ(store->era(), 0U) << line;
    }
}

/// Guards against a target that is taken as healthy, and its report that is believed, after a probe with such a status.
TEST(ProbeStatusTest, StatusOutsideTheProtocolMakesNoTargetHealthy)
{
    for (const auto* line : invalidLines) {
        auto context = boost::asio::io_context {};
        const auto body = std::string { R"({"in_flight":5,"draining":true})" };
        auto target = RawServer(context,
            { { std::string { line } + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body } });
        auto clock = SteadyClock {};
        auto admission = PoolAdmission(context, clock, makeFairQueue({}), TargetPool(TargetPoolOption {}, 1));
        const auto address = formatAddress(target.address());
        admission.targets().setTargets({ { address, "a", 10, 100, false } }, clock.now());
        auto prober = TargetProber(clock, makeHttpClient(context, clock));
        auto isFinished = false;
        boost::asio::spawn(
            context,
            [&](boost::asio::yield_context yield) {
                prober.probe(admission, yield);
                isFinished = true;
            },
            boost::asio::detached);
        while (!isFinished && context.run_one_for(10s) > 0) { }
        const auto views = admission.targets().views(clock.now());
        ASSERT_EQ(views.size(), 1U);
        EXPECT_EQ(views.front().state, TargetState::Probing) << line;
        EXPECT_EQ(target.requests.size(), 1U) << line;
    }
}

} // namespace
} // namespace citronloft

#include "citronloft/edge/http_object_store.hpp"

#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "citronloft/base/digest.hpp"
#include "citronloft/edge/coroutine.hpp"
#include "citronloft/fleet/store_era.hpp"
#include "citronloft/policy/circuit_breaker.hpp"

namespace citronloft {

namespace {

namespace asio = boost::asio;

constexpr auto objectsPath = std::string_view { "/v1/objects/" };

auto versionOf(const HttpResponse& response) -> StoreRevision { return parseVersionTag(response.fields.get("ETag")); }

auto statusOf(const Exchange& exchange) -> absl::Status
{
    if (exchange.error == ExchangeError::AnswerTimeout || exchange.error == ExchangeError::ConnectTimeout)
        return absl::DeadlineExceededError("store call timed out");
    if (exchange.error != ExchangeError::None)
        return absl::UnavailableError("store call failed: no complete response");
    switch (exchange.response.status) {
    case 200:
    case 201:
        return absl::OkStatus();
    case 304:
    case 404:
        return absl::NotFoundError("object is absent or unchanged");
    case 412:
        return absl::AbortedError("version conflict: the stored object has another version than expected");
    default:
        return absl::UnavailableError("store answered with HTTP status " + std::to_string(exchange.response.status));
    }
}

class HttpObjectStore final : public ObjectStore, public std::enable_shared_from_this<HttpObjectStore> {
public:
    HttpObjectStore(asio::io_context& context, const Clock& clock, Metrics& metrics, HttpObjectStoreOption option)
        : context(context)
        , clock(clock)
        , metrics(metrics)
        , option(std::move(option))
        , client(makeHttpClient(context, clock))
        , storeEra(metrics)
        , circuit({ this->option.failuresToOpen, this->option.minBackoff, this->option.maxBackoff }, randomId())
    {
    }

    auto get(const std::string& key, GetDone done) -> void override
    {
        this->call({ "GET", std::string { objectsPath } + key, {}, {} }, Duration {}, readObject(std::move(done)));
    }

    auto put(const std::string& key, std::string value, const StoreRevision& expected, PutDone done) -> void override
    {
        auto request = HttpRequest { "PUT", std::string { objectsPath } + key, {}, std::move(value) };
        if (expected == absentVersion)
            request.fields.set("If-None-Match", "*");
        else
            request.fields.set("If-Match", '"' + formatVersionTag(expected) + '"');
        this->call(std::move(request), Duration {}, [done = std::move(done)](const auto& status, auto& response) {
            if (status.ok())
                done(versionOf(response));
            else
                done(status);
        });
    }

    auto watch(const std::string& key, const StoreRevision& after, Duration wait, GetDone done) -> void override
    {
        const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
        auto target = std::string { objectsPath } + key;
        target += "?watch=" + formatVersionTag(after) + "&wait_ms=" + std::to_string(waitMs);
        this->call({ "GET", std::move(target), {}, {} }, wait, readObject(std::move(done)));
    }

    auto list(const std::string& prefix, ListDone done) -> void override
    {
        auto request = HttpRequest { "GET", "/v1/objects?prefix=" + prefix, {}, {} };
        this->call(std::move(request), Duration {}, [done = std::move(done)](const auto& status, auto& response) {
            if (!status.ok())
                return done(status);
            auto keys = nlohmann::json::parse(response.body, nullptr, false);
            if (!keys.is_array())
                return done(
                    absl::UnavailableError("store answered a list request with a body that is not a JSON array"));
            done(keys.template get<std::vector<std::string>>());
        });
    }

    [[nodiscard]] auto era() const -> std::uint64_t override { return this->storeEra.current(); }

private:
    using Done = std::function<void(const absl::Status&, HttpResponse&)>;

    static auto readObject(GetDone done) -> Done
    {
        return [done = std::move(done)](const absl::Status& status, HttpResponse& response) {
            if (status.ok())
                done(StoredObject { std::move(response.body), versionOf(response) });
            else
                done(status);
        };
    }

    auto call(HttpRequest request, Duration extraWait, Done done) -> void
    {
        startCoroutine(this->context, "store-call",
            [self = this->shared_from_this(), request = std::move(request), extraWait, done = std::move(done)](
                asio::yield_context yield) { self->run(request, extraWait, done, yield); });
    }

    auto run(const HttpRequest& request, Duration extraWait, const Done& done, asio::yield_context yield) -> void
    {
        auto exchange = Exchange {};
        if (!this->circuit.allow(this->clock.now())) {
            this->metrics.count("citronloft_store_calls_total", "result=\"circuit-open\"");
            done(absl::UnavailableError("store call refused: circuit breaker is open"), exchange.response);
            return;
        }
        const auto deadline = this->clock.now() + this->option.callTimeout + extraWait;
        exchange = this->client->exchange(this->option.address, request, { .deadline = deadline }, yield);
        auto status = statusOf(exchange);
        if (!exchange.response.fields.get("ETag").empty() && !this->storeEra.record(versionOf(exchange.response).era))
            status = absl::UnavailableError("store answer is from before the store was restored from a copy");
        const auto hasFailed = absl::IsUnavailable(status) || absl::IsDeadlineExceeded(status);
        this->circuit.record(!hasFailed, this->clock.now());
        this->metrics.count("citronloft_store_calls_total", hasFailed ? "result=\"failed\"" : "result=\"answered\"");
        done(status, exchange.response);
    }

    asio::io_context& context;
    const Clock& clock;
    Metrics& metrics;
    HttpObjectStoreOption option;
    std::shared_ptr<HttpClient> client;
    StoreEra storeEra;
    CircuitBreaker circuit;
};

} // namespace

auto formatVersionTag(const StoreRevision& revision) -> std::string
{
    return revision.era == 0 ? std::to_string(revision.number) : formatRevision(revision);
}

auto parseVersionTag(std::string_view tag) -> StoreRevision
{
    if (tag.size() >= 2 && tag.front() == '"')
        tag = tag.substr(1, tag.size() - 2);
    auto version = StoreRevision {};
    const auto end = tag.data() + tag.size();
    const auto first = std::from_chars(tag.data(), end, version.number);
    if (first.ptr == end || *first.ptr != '.')
        return version;
    version.era = std::exchange(version.number, 0);
    std::from_chars(first.ptr + 1, end, version.number);
    return version;
}

auto makeHttpObjectStore(boost::asio::io_context& context, const Clock& clock, Metrics& metrics,
    HttpObjectStoreOption option) -> std::shared_ptr<ObjectStore>
{
    return std::make_shared<HttpObjectStore>(context, clock, metrics, std::move(option));
}

} // namespace citronloft

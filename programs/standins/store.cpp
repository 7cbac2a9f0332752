/// @file
/// @brief Simulates the platform's object service (docs/PLATFORM.md) in memory, with fault injection.

#include <deque>
#include <iostream>
#include <map>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>

#include "citronloft/edge/http_object_store.hpp"
#include "citronloft/edge/http_server.hpp"
#include "standin_control.hpp"

namespace citronloft {

namespace {

namespace po = boost::program_options;

constexpr auto objectsPath = std::string_view { "/v1/objects/" };
constexpr auto hangTime = std::chrono::seconds { 30 };

struct Object {
    std::string value;
    std::uint64_t version = 0;
};

/// A write, and the object that it replaced.
struct UndoEntry {
    std::chrono::steady_clock::time_point at;
    std::string key;
    Object replaced;
};

/// Writes that are kept for a restore.
constexpr auto maxUndoEntries = std::size_t { 100'000 };

struct FaultSettings {
    /// 0: none; 1: requests are answered with 503; 2: requests hang, then are answered with 503.
    std::int64_t outage = 0;
    std::int64_t delayMs = 0;
    /// Number of next writes that are executed but whose response is delayed by `hangTime`.
    std::int64_t loseReplies = 0;
    /// Number of next reads that return the previous version of the object.
    std::int64_t staleReads = 0;
};

struct Stats {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
};

auto makeResponse(unsigned status, std::string body = {}) -> HttpResponse
{
    auto response = HttpResponse {};
    response.status = status;
    response.body = std::move(body);
    return response;
}

class StoreStandin {
public:
    explicit StoreStandin(boost::asio::io_context& context)
        : context(context)
    {
    }

    auto handle(const HttpRequest& request, boost::asio::yield_context yield) -> HttpResponse
    {
        if (request.target.starts_with("/control"))
            return this->control(request);
        if (request.target.starts_with("/stats"))
            return this->stats();
        if (this->faults.delayMs > 0)
            sleepFor(this->context, std::chrono::milliseconds { this->faults.delayMs }, yield);
        if (this->faults.outage == 2)
            sleepFor(this->context, hangTime, yield);
        if (this->faults.outage != 0)
            return makeResponse(503);
        if (request.target.starts_with("/v1/objects?prefix="))
            return this->list(queryValue(request.target, "prefix"));
        if (!request.target.starts_with(objectsPath))
            return makeResponse(404);
        auto key = request.target.substr(objectsPath.size());
        key = key.substr(0, key.find('?'));
        if (request.method == "PUT")
            return this->put(key, request, yield);
        if (request.method == "GET")
            return this->get(key, request, yield);
        return makeResponse(405);
    }

private:
    auto control(const HttpRequest& request) -> HttpResponse
    {
        readIntegerParameter(request, "outage", this->faults.outage);
        readIntegerParameter(request, "delay_ms", this->faults.delayMs);
        readIntegerParameter(request, "lose_replies", this->faults.loseReplies);
        readIntegerParameter(request, "stale_reads", this->faults.staleReads);
        auto restoreMs = std::int64_t { 0 };
        readIntegerParameter(request, "restore_ms", restoreMs);
        if (restoreMs > 0)
            this->restore(std::chrono::milliseconds { restoreMs });
        return makeResponse(204);
    }

    /// Returns to the state of `age` ago and starts a new era.
    auto restore(std::chrono::milliseconds age) -> void
    {
        const auto until = std::chrono::steady_clock::now() - age;
        while (!this->undo.empty() && this->undo.back().at > until) {
            auto& last = this->undo.back();
            if (last.replaced.version == 0)
                this->objects.erase(last.key);
            else
                this->objects[last.key] = std::move(last.replaced);
            this->undo.pop_back();
            --this->lastVersion;
        }
        ++this->era;
        this->previousVersions.clear();
        for (const auto& [key, timers] : this->watchers) {
            for (const auto& timer : timers)
                timer->cancel();
        }
    }

    [[nodiscard]] auto revisionOf(const Object& object) const -> StoreRevision { return { this->era, object.version }; }

    [[nodiscard]] auto withVersion(HttpResponse response, const Object& object) const -> HttpResponse
    {
        response.fields.set("ETag", '"' + formatVersionTag(this->revisionOf(object)) + '"');
        return response;
    }

    auto stats() -> HttpResponse
    {
        return makeResponse(200,
            nlohmann::json { { "reads", this->callCounts.reads }, { "writes", this->callCounts.writes },
                { "watches", this->callCounts.watches }, { "objects", this->objects.size() } }
                .dump());
    }

    auto list(const std::string& prefix) -> HttpResponse
    {
        ++this->callCounts.reads;
        auto keys = nlohmann::json::array();
        for (auto entry = this->objects.lower_bound(prefix);
             entry != this->objects.end() && entry->first.starts_with(prefix); ++entry)
            keys.push_back(entry->first);
        return makeResponse(200, keys.dump());
    }

    auto get(const std::string& key, const HttpRequest& request, boost::asio::yield_context yield) -> HttpResponse
    {
        const auto watch = queryValue(request.target, "watch");
        if (!watch.empty())
            return this->watch(
                key, parseVersionTag(watch), std::stoll("0" + queryValue(request.target, "wait_ms")), yield);
        ++this->callCounts.reads;
        const auto found = this->objects.find(key);
        if (found == this->objects.end())
            return makeResponse(404);
        const auto stale = this->previousVersions.find(key);
        if (this->faults.staleReads > 0 && stale != this->previousVersions.end()) {
            --this->faults.staleReads;
            return this->withVersion(makeResponse(200, stale->second.value), stale->second);
        }
        return this->withVersion(makeResponse(200, found->second.value), found->second);
    }

    auto watch(const std::string& key, const StoreRevision& after, std::int64_t waitMs,
        boost::asio::yield_context yield) -> HttpResponse
    {
        ++this->callCounts.watches;
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds { waitMs };
        while (true) {
            const auto found = this->objects.find(key);
            if (found != this->objects.end() && this->revisionOf(found->second) > after)
                return this->withVersion(makeResponse(200, found->second.value), found->second);
            if (std::chrono::steady_clock::now() >= until || this->faults.outage != 0)
                return makeResponse(this->faults.outage == 0 ? 304 : 503);
            auto timer = std::make_shared<boost::asio::steady_timer>(this->context, until);
            this->watchers[key].push_back(timer);
            auto error = boost::system::error_code {};
            timer->async_wait(yield[error]);
            std::erase(this->watchers[key], timer);
        }
    }

    auto put(const std::string& key, const HttpRequest& request, boost::asio::yield_context yield) -> HttpResponse
    {
        ++this->callCounts.writes;
        constexpr auto maxValueBytes = std::size_t { 1024 * 1024 };
        if (request.body.size() > maxValueBytes)
            return makeResponse(413);
        auto& object = this->objects[key];
        const auto expected = request.fields.get("If-Match");
        const auto isExpected = request.fields.has("If-None-Match")
            ? object.version == 0
            : expected == '"' + formatVersionTag(this->revisionOf(object)) + '"';
        if (!isExpected) {
            if (object.version == 0)
                this->objects.erase(key);
            return makeResponse(412);
        }
        this->previousVersions[key] = object;
        this->undo.push_back({ std::chrono::steady_clock::now(), key, object });
        if (this->undo.size() > maxUndoEntries)
            this->undo.pop_front();
        object = { request.body, ++this->lastVersion };
        const auto written = object;
        for (const auto& timer : this->watchers[key])
            timer->cancel();
        if (this->faults.loseReplies > 0) {
            --this->faults.loseReplies;
            sleepFor(this->context, hangTime, yield);
        }
        return this->withVersion(makeResponse(200), written);
    }

    boost::asio::io_context& context;
    std::map<std::string, Object> objects;
    std::map<std::string, Object> previousVersions;
    std::map<std::string, std::vector<std::shared_ptr<boost::asio::steady_timer>>> watchers;
    std::deque<UndoEntry> undo;
    std::uint64_t lastVersion = 0;
    std::uint64_t era = 0;
    FaultSettings faults;
    Stats callCounts;
};

auto run(const Address& address) -> int
{
    auto context = boost::asio::io_context { 1 };
    auto signals = boost::asio::signal_set(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    auto store = StoreStandin(context);
    auto option = HttpServerOption {};
    option.bodyLimitBytes = 2 * 1024 * 1024;
    const auto server = makeHttpServer(
        context, address,
        [&](HttpRequest& request, CallerContext&, auto yield) { return store.handle(request, yield); }, option);
    if (!server.ok()) {
        std::cerr << "standin_store: " << server.status().message() << "\n";
        return 1;
    }
    context.run();
    return 0;
}

} // namespace

} // namespace citronloft

auto main(int argc, char** argv) -> int
{
    namespace po = boost::program_options;
    auto options = po::options_description("standin_store");
    options.add_options()("listen", po::value<std::string>()->default_value("127.0.0.1:7000"), "address to listen on");
    auto values = po::variables_map {};
    po::store(po::parse_command_line(argc, argv, options), values);
    const auto address = citronloft::parseAddress(values["listen"].as<std::string>());
    return address.ok() ? citronloft::run(*address) : 2;
}

/// @file
/// @brief Simulates any number of targets in one process, with fault injection and a history of executed requests.

#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>

#include "citronloft/base/digest.hpp"
#include "citronloft/edge/http_server.hpp"
#include "standin_control.hpp"

namespace citronloft {

namespace {

constexpr auto hangTime = std::chrono::seconds { 30 };
/// Requests in flight per slot, running and queued, from which on a target sheds load.
constexpr auto maxInFlightPerSlot = 2;

struct TargetBehavior {
    std::int64_t draining = 0;
    /// 1: every request hangs for `hangTime` first.
    std::int64_t silent = 0;
    /// 1: every request is shed.
    std::int64_t shed = 0;
    /// 1: reports zero requests in flight regardless of the load.
    std::int64_t reportIdle = 0;
    std::int64_t serviceMs = 5;
    /// 1: intended to cut responses off in the middle; currently has no effect.
    std::int64_t cut = 0;
    /// Number of requests after a start that take four times as long.
    std::int64_t coldRequests = 0;
};

class TargetStandin {
public:
    TargetStandin(boost::asio::io_context& context, std::string name, std::int64_t slots, HistoryWriter& history)
        : context(context)
        , name(std::move(name))
        , slots(slots)
        , history(history)
    {
    }

    auto handle(const HttpRequest& request, boost::asio::yield_context yield) -> HttpResponse
    {
        if (request.target.starts_with("/control"))
            return this->control(request);
        if (request.target == "/healthz")
            return this->health();
        if (this->behavior.silent != 0)
            sleepFor(this->context, hangTime, yield);
        if (this->behavior.shed != 0 || this->inFlight >= this->slots * maxInFlightPerSlot)
            return shedResponse();
        ++this->inFlight;
        this->history.write("run", this->describeRun(request));
        auto serviceTime = std::chrono::milliseconds { this->behavior.serviceMs };
        if (this->inFlight > this->slots)
            serviceTime *= 2;
        if (this->behavior.coldRequests > 0 && this->behavior.coldRequests-- > 0)
            serviceTime *= 4;
        sleepFor(this->context, serviceTime, yield);
        --this->inFlight;
        return this->answer(request);
    }

    TargetBehavior behavior;

private:
    auto control(const HttpRequest& request) -> HttpResponse
    {
        readIntegerParameter(request, "draining", this->behavior.draining);
        readIntegerParameter(request, "silent", this->behavior.silent);
        readIntegerParameter(request, "shed", this->behavior.shed);
        readIntegerParameter(request, "report_idle", this->behavior.reportIdle);
        readIntegerParameter(request, "service_ms", this->behavior.serviceMs);
        readIntegerParameter(request, "cut", this->behavior.cut);
        readIntegerParameter(request, "cold_requests", this->behavior.coldRequests);
        this->history.write("target-knobs",
            { { "target", this->name }, { "draining", this->behavior.draining }, { "silent", this->behavior.silent } });
        auto response = HttpResponse {};
        response.status = 204;
        return response;
    }

    auto health() -> HttpResponse
    {
        auto response = HttpResponse {};
        response.body = nlohmann::json {
            { "in_flight", this->behavior.reportIdle != 0 ? 0 : this->inFlight },
            { "draining", this->behavior.draining != 0 }
        }.dump();
        return response;
    }

    static auto shedResponse() -> HttpResponse
    {
        auto response = HttpResponse {};
        response.status = 503;
        response.fields.set("Citronloft-Outcome", "not-run");
        return response;
    }

    [[nodiscard]] auto describeRun(const HttpRequest& request) const -> nlohmann::json
    {
        return { { "id", request.fields.get("X-Request-Id") }, { "team", request.fields.get("Citronloft-Team") },
            { "target", this->name }, { "method", request.method }, { "path", request.target },
            { "key_seen", request.fields.has("Citronloft-Key") },
            { "idempotency_key", request.fields.get("Idempotency-Key") } };
    }

    auto answer(const HttpRequest& request) -> HttpResponse
    {
        auto response = HttpResponse {};
        response.fields.set("Content-Type", "application/json");
        response.body = nlohmann::json {
            { "id", request.fields.get("X-Request-Id") }, { "team", request.fields.get("Citronloft-Team") },
            { "target", this->name }, { "body_sha256", toHex(sha256(request.body)) }
        }.dump();
        return response;
    }

    boost::asio::io_context& context;
    std::string name;
    std::int64_t slots;
    std::int64_t inFlight = 0;
    HistoryWriter& history;
};

} // namespace

} // namespace citronloft

auto main(int argc, char** argv) -> int
{
    namespace po = boost::program_options;
    using namespace citronloft;
    auto options = po::options_description("standin_target");
    options.add_options()("listen", po::value<std::vector<std::string>>()->multitoken(), "addresses, one per target")(
        "slots", po::value<std::int64_t>()->default_value(10), "concurrent requests per target")(
        "service-ms", po::value<std::int64_t>()->default_value(5), "service time of a request in milliseconds")(
        "cold-requests", po::value<std::int64_t>()->default_value(0), "number of slow requests after the start")(
        "history", po::value<std::string>()->default_value(""), "file of JSON lines to append to");
    auto values = po::variables_map {};
    po::store(po::parse_command_line(argc, argv, options), values);
    auto context = boost::asio::io_context { 1 };
    auto signals = boost::asio::signal_set(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    auto history = HistoryWriter(values["history"].as<std::string>());
    auto targets = std::vector<std::unique_ptr<TargetStandin>> {};
    auto servers = std::vector<std::shared_ptr<HttpServer>> {};
    for (const auto& text : values["listen"].as<std::vector<std::string>>()) {
        const auto address = parseAddress(text);
        if (!address.ok())
            return 2;
        targets.push_back(std::make_unique<TargetStandin>(context, text, values["slots"].as<std::int64_t>(), history));
        auto& target = *targets.back();
        target.behavior.serviceMs = values["service-ms"].as<std::int64_t>();
        target.behavior.coldRequests = values["cold-requests"].as<std::int64_t>();
        auto server = makeHttpServer(context, *address,
            [&target](HttpRequest& request, CallerContext&, auto yield) { return target.handle(request, yield); });
        if (!server.ok()) {
            std::cerr << "standin_target: " << server.status().message() << "\n";
            return 1;
        }
        servers.push_back(*server);
    }
    context.run();
    return 0;
}

/// @file
/// @brief Stand-in of targets: any number of them in one process, with fault knobs and a history of what ran.

#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>

#include "citronloft/base/digest.hpp"
#include "citronloft/edge/http_server.hpp"
#include "standin_control.hpp"

namespace citronloft {

namespace {

constexpr auto silentTime = std::chrono::seconds { 30 };
/// Requests beyond the slots that a target holds before it sheds, per slot.
constexpr auto queuePerSlot = 2;

struct TargetKnobs {
    std::int64_t draining = 0;
    /// 1: every request hangs.
    std::int64_t silent = 0;
    /// 1: every request is shed.
    std::int64_t shed = 0;
    /// 1: reports no load whatever it has.
    std::int64_t reportIdle = 0;
    std::int64_t serviceMs = 5;
    /// 1: answers are cut in the middle.
    std::int64_t cut = 0;
    /// Requests that need four times as long after a start.
    std::int64_t coldRequests = 0;
};

class TargetStandin {
public:
    TargetStandin(boost::asio::io_context& context, std::string name, std::int64_t slots, History& history)
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
        if (this->knobs.silent != 0)
            sleepFor(this->context, silentTime, yield);
        if (this->knobs.shed != 0 || this->inFlight >= this->slots * queuePerSlot)
            return shedAnswer();
        ++this->inFlight;
        this->history.write("run", this->describe(request));
        auto serviceTime = std::chrono::milliseconds { this->knobs.serviceMs };
        if (this->inFlight > this->slots)
            serviceTime *= 2;
        if (this->knobs.coldRequests > 0 && this->knobs.coldRequests-- > 0)
            serviceTime *= 4;
        sleepFor(this->context, serviceTime, yield);
        --this->inFlight;
        return this->answer(request);
    }

    TargetKnobs knobs;

private:
    auto control(const HttpRequest& request) -> HttpResponse
    {
        readKnob(request, "draining", this->knobs.draining);
        readKnob(request, "silent", this->knobs.silent);
        readKnob(request, "shed", this->knobs.shed);
        readKnob(request, "report_idle", this->knobs.reportIdle);
        readKnob(request, "service_ms", this->knobs.serviceMs);
        readKnob(request, "cut", this->knobs.cut);
        readKnob(request, "cold_requests", this->knobs.coldRequests);
        this->history.write("target-knobs",
            { { "target", this->name }, { "draining", this->knobs.draining }, { "silent", this->knobs.silent } });
        auto response = HttpResponse {};
        response.status = 204;
        return response;
    }

    auto health() -> HttpResponse
    {
        auto response = HttpResponse {};
        response.body = nlohmann::json {
            { "in_flight", this->knobs.reportIdle != 0 ? 0 : this->inFlight }, { "draining", this->knobs.draining != 0 }
        }.dump();
        return response;
    }

    static auto shedAnswer() -> HttpResponse
    {
        auto response = HttpResponse {};
        response.status = 503;
        response.fields.set("Citronloft-Outcome", "not-run");
        return response;
    }

    [[nodiscard]] auto describe(const HttpRequest& request) const -> nlohmann::json
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
    History& history;
};

} // namespace

} // namespace citronloft

auto main(int argc, char** argv) -> int
{
    namespace po = boost::program_options;
    using namespace citronloft;
    auto options = po::options_description("standin_target");
    options.add_options()("listen", po::value<std::vector<std::string>>()->multitoken(), "addresses, one per target")(
        "slots", po::value<std::int64_t>()->default_value(10), "requests at the same time per target")(
        "service-ms", po::value<std::int64_t>()->default_value(5), "time of one request")(
        "cold-requests", po::value<std::int64_t>()->default_value(0), "slow requests after the start")(
        "history", po::value<std::string>()->default_value(""), "file of JSON lines to append to");
    auto values = po::variables_map {};
    po::store(po::parse_command_line(argc, argv, options), values);
    auto context = boost::asio::io_context { 1 };
    auto signals = boost::asio::signal_set(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    auto history = History(values["history"].as<std::string>());
    auto targets = std::vector<std::unique_ptr<TargetStandin>> {};
    auto servers = std::vector<std::shared_ptr<HttpServer>> {};
    for (const auto& text : values["listen"].as<std::vector<std::string>>()) {
        const auto address = parseAddress(text);
        if (!address.ok())
            return 2;
        targets.push_back(std::make_unique<TargetStandin>(context, text, values["slots"].as<std::int64_t>(), history));
        auto& target = *targets.back();
        target.knobs.serviceMs = values["service-ms"].as<std::int64_t>();
        target.knobs.coldRequests = values["cold-requests"].as<std::int64_t>();
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

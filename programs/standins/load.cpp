/// @file
/// @brief Simulates callers: looks up entry hosts, sends requests of many teams, and checks that each answer belongs to
/// its request.

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <random>

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <pcg_random.hpp>

#include "citronloft/base/digest.hpp"
#include "citronloft/edge/http_client.hpp"
#include "standin_control.hpp"

namespace citronloft {

namespace {

namespace po = boost::program_options;

struct LoadTeam {
    std::string name;
    std::string key;
    double rate = 0;
};

struct LoadOption {
    std::vector<Address> lookupHosts;
    std::vector<std::string> clients;
    std::vector<LoadTeam> teams;
    std::chrono::milliseconds duration { 5000 };
    double paymentShare = 0.2;
    std::string readPath;
    std::string paymentPath;
    bool useIdempotencyKeys = false;
    /// True: every payment is submitted through two hosts at the same time, with the same idempotency key.
    bool doublePayments = false;
    /// Time that callers continue to use a look-up after its TTL has expired.
    std::chrono::milliseconds staleLookupTime {};
    std::string historyPath;
    std::string jsonPath;
    std::uint64_t seed = 1;
};

/// Cached look-up result of one client.
struct CachedLookup {
    std::vector<Address> hosts;
    TimePoint expiresAt {};
};

struct TeamResult {
    std::vector<double> latenciesMs;
    std::uint64_t answered = 0;
    std::uint64_t rateRefused = 0;
    std::uint64_t otherRefused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t wrongAnswers = 0;
};

auto quantile(std::vector<double> values, double fraction) -> double
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

class LoadGenerator {
public:
    LoadGenerator(boost::asio::io_context& context, LoadOption option)
        : context(context)
        , option(std::move(option))
        , client(makeHttpClient(context, clock))
        , history(this->option.historyPath)
        , random(this->option.seed)
    {
    }

    auto start() -> void
    {
        this->endsAt = this->clock.now() + this->option.duration;
        for (const auto& team : this->option.teams) {
            boost::asio::spawn(
                this->context, [this, &team](boost::asio::yield_context yield) { this->runTeam(team, yield); },
                boost::asio::detached);
        }
    }

    /// @brief Prints the results and writes them to the JSON file.
    /// @return whether requests were answered and every answer belonged to its request.
    auto report() -> bool
    {
        auto allLatenciesMs = std::vector<double> {};
        auto wrongAnswers = std::uint64_t { 0 };
        std::cout << std::fixed << std::setprecision(1);
        std::cout << "team            answered  rate-refused  other-refused  unknown    p50 ms    p99 ms\n";
        auto json = nlohmann::json { { "teams", nlohmann::json::object() } };
        auto worstP99 = 0.0;
        for (const auto& [name, result] : this->results) {
            const auto p99 = quantile(result.latenciesMs, 0.99);
            worstP99 = std::max(worstP99, p99);
            std::cout << std::left << std::setw(16) << name << std::right << std::setw(8) << result.answered
                      << std::setw(14) << result.rateRefused << std::setw(15) << result.otherRefused << std::setw(9)
                      << result.unknown << std::setw(10) << quantile(result.latenciesMs, 0.5) << std::setw(10) << p99
                      << "\n";
            json["teams"][name] = { { "answered", result.answered }, { "rate_refused", result.rateRefused },
                { "other_refused", result.otherRefused }, { "unknown", result.unknown },
                { "p50_ms", quantile(result.latenciesMs, 0.5) }, { "p99_ms", p99 } };
            allLatenciesMs.insert(allLatenciesMs.end(), result.latenciesMs.begin(), result.latenciesMs.end());
            wrongAnswers += result.wrongAnswers;
        }
        std::cout << "\ncode      requests\n";
        for (const auto& [code, count] : this->codes)
            std::cout << std::left << std::setw(10) << code << std::right << std::setw(8) << count << "\n";
        std::cout << "\nall teams: p50 " << quantile(allLatenciesMs, 0.5) << " ms, p99 "
                  << quantile(allLatenciesMs, 0.99) << " ms; worst team p99 " << worstP99 << " ms; wrong answers "
                  << wrongAnswers << "; failed look-ups " << this->failedLookups << "\n";
        json["codes"] = this->codes;
        json["p50_ms"] = quantile(allLatenciesMs, 0.5);
        json["p99_ms"] = quantile(allLatenciesMs, 0.99);
        json["worst_p99_ms"] = worstP99;
        json["wrong"] = wrongAnswers;
        if (!this->option.jsonPath.empty())
            std::ofstream(this->option.jsonPath) << json.dump(2) << "\n";
        return wrongAnswers == 0 && !allLatenciesMs.empty();
    }

private:
    auto runTeam(const LoadTeam& team, boost::asio::yield_context yield) -> void
    {
        auto timer = boost::asio::steady_timer(this->context);
        auto interarrivalTime = std::exponential_distribution<double>(team.rate);
        auto nextArrivalAt = this->clock.now();
        while (true) {
            nextArrivalAt
                += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interarrivalTime(this->random)));
            if (nextArrivalAt >= this->endsAt)
                return;
            auto error = boost::system::error_code {};
            timer.expires_at(nextArrivalAt);
            timer.async_wait(yield[error]);
            boost::asio::spawn(
                this->context, [this, &team](boost::asio::yield_context inner) { this->sendRequest(team, inner); },
                boost::asio::detached);
        }
    }

    auto lookUp(const std::string& ip, boost::asio::yield_context yield) -> std::optional<Address>
    {
        auto& cached = this->lookupCache[ip];
        if (this->clock.now() >= cached.expiresAt)
            this->refresh(ip, cached, yield);
        if (cached.hosts.empty())
            return std::nullopt;
        return cached.hosts[this->random(static_cast<std::uint32_t>(cached.hosts.size()))];
    }

    auto refresh(const std::string& ip, CachedLookup& cached, boost::asio::yield_context yield) -> void
    {
        // Tries the hosts of the last look-up first, then the configured ones.
        auto candidates = cached.hosts;
        std::ranges::shuffle(candidates, this->random);
        auto configuredHosts = this->option.lookupHosts;
        std::ranges::shuffle(configuredHosts, this->random);
        candidates.insert(candidates.end(), configuredHosts.begin(), configuredHosts.end());
        constexpr auto lookupTimeout = std::chrono::milliseconds { 500 };
        for (const auto& host : candidates) {
            const auto request = HttpRequest { "GET", "/citronloft/v1/lookup?client=" + ip, {}, {} };
            const auto exchange
                = this->client->exchange(host, request, { .deadline = this->clock.now() + lookupTimeout }, yield);
            const auto body = nlohmann::json::parse(exchange.response.body, nullptr, false);
            if (exchange.error != ExchangeError::None || exchange.response.status != 200 || !body.is_object())
                continue;
            cached.hosts.clear();
            for (const auto& item : body["hosts"])
                cached.hosts.push_back(*parseAddress(item["address"].get<std::string>()));
            cached.expiresAt = this->clock.now() + std::chrono::milliseconds { body["ttl_ms"].get<std::int64_t>() }
                + this->option.staleLookupTime;
            return;
        }
        ++this->failedLookups;
    }

    auto sendRequest(const LoadTeam& team, boost::asio::yield_context yield) -> void
    {
        const auto& ip = this->option.clients[this->random(static_cast<std::uint32_t>(this->option.clients.size()))];
        const auto host = this->lookUp(ip, yield);
        if (!host) {
            ++this->codes["no-host"];
            return;
        }
        auto uniform = std::uniform_real_distribution<double>(0, 1);
        const auto isPayment = uniform(this->random) < this->option.paymentShare;
        const auto id = std::to_string(this->option.seed) + "-" + std::to_string(++this->lastId);
        const auto isDoubled = isPayment && this->option.doublePayments;
        if (isDoubled) {
            const auto other = this->lookUp(ip, yield).value_or(*host);
            boost::asio::spawn(
                this->context,
                [this, &team, other, id](boost::asio::yield_context inner) {
                    this->submit(team, other, { id + "-b", id, true }, inner);
                },
                boost::asio::detached);
        }
        this->submit(team, *host, { id, id, isPayment }, yield);
    }

    /// A request to send; two submissions may share an idempotency key.
    struct Submission {
        std::string id;
        std::string idempotencyKey;
        bool isPayment = false;
    };

    auto submit(const LoadTeam& team, const Address& host, const Submission& submission,
        boost::asio::yield_context yield) -> void
    {
        const auto& id = submission.id;
        const auto isPayment = submission.isPayment;
        auto request = HttpRequest {};
        request.method = isPayment ? "POST" : "GET";
        request.target = isPayment ? this->option.paymentPath : this->option.readPath;
        request.body = isPayment ? "payment of request " + id : "";
        request.fields.set("Citronloft-Key", team.key);
        request.fields.set("X-Request-Id", id);
        if (isPayment && this->option.useIdempotencyKeys)
            request.fields.set("Idempotency-Key", submission.idempotencyKey);
        this->history.write("call",
            { { "id", id }, { "team", team.name }, { "payment", isPayment }, { "key", toHex(sha256(team.key)) } });
        constexpr auto callerTimeout = std::chrono::seconds { 5 };
        const auto startedAt = this->clock.now();
        const auto exchange = this->client->exchange(host, request,
            { .deadline = startedAt + callerTimeout, .maxIdleTime = std::chrono::seconds { isPayment ? 0 : 10 } },
            yield);
        const auto latency = std::chrono::duration<double, std::milli>(this->clock.now() - startedAt).count();
        this->record(team, id, request, formatAddress(host), exchange, latency);
    }

    auto record(const LoadTeam& team, const std::string& id, const HttpRequest& request, const std::string& host,
        const Exchange& exchange, double latency) -> void
    {
        auto& result = this->results[team.name];
        const auto& response = exchange.response;
        const auto isComplete = exchange.error == ExchangeError::None;
        const auto code = isComplete ? std::string { response.fields.get("Citronloft-Code") }
                                     : "cut-" + std::to_string(static_cast<int>(exchange.error));
        const auto outcome = isComplete ? std::string { response.fields.get("Citronloft-Outcome") } : "unknown";
        ++this->codes[code];
        auto isOwnAnswer = true;
        if (code == "1000") {
            const auto body = nlohmann::json::parse(response.body, nullptr, false);
            isOwnAnswer = body.is_object() && body.value("id", "") == id && body.value("team", "") == team.name
                && body.value("body_sha256", "") == toHex(sha256(request.body));
            ++result.answered;
            result.latenciesMs.push_back(latency);
        } else if (code == "2005") {
            ++result.rateRefused;
        } else if (outcome == "not-run") {
            ++result.otherRefused;
        } else {
            ++result.unknown;
        }
        result.wrongAnswers += isOwnAnswer ? 0 : 1;
        this->history.write("answer",
            { { "id", id }, { "code", code }, { "outcome", outcome }, { "own", isOwnAnswer }, { "host", host },
                { "config", std::string { response.fields.get("Citronloft-Config-Version") } } });
    }

    boost::asio::io_context& context;
    LoadOption option;
    SteadyClock clock;
    std::shared_ptr<HttpClient> client;
    HistoryWriter history;
    pcg32 random;
    TimePoint endsAt {};
    std::map<std::string, CachedLookup> lookupCache;
    std::map<std::string, TeamResult> results;
    std::map<std::string, std::uint64_t> codes;
    std::uint64_t lastId = 0;
    std::uint64_t failedLookups = 0;
};

/// Reads a JSON file of the form {"team": {"key": ..., "rate": ...}, ...}; rates are in requests per second.
auto readTeams(const std::string& path) -> std::vector<LoadTeam>
{
    auto teams = std::vector<LoadTeam> {};
    auto file = std::ifstream(path);
    const auto json = nlohmann::json::parse(file, nullptr, false);
    for (const auto& [name, item] : json.items())
        teams.push_back({ name, item.value("key", ""), item.value("rate", 1.0) });
    return teams;
}

} // namespace

} // namespace citronloft

auto main(int argc, char** argv) -> int
{
    namespace po = boost::program_options;
    using namespace citronloft;
    auto option = LoadOption {};
    auto lookupHosts = std::vector<std::string> {};
    auto teamsPath = std::string {};
    auto seconds = 5.0;
    auto staleLookupMs = 0;
    auto options = po::options_description("standin_load");
    options.add_options()("lookup", po::value(&lookupHosts)->multitoken(), "entry hosts for the first look-up")(
        "client", po::value(&option.clients)->multitoken(), "IP addresses that callers report in look-ups")(
        "teams", po::value(&teamsPath), "JSON file with key and rate of each team")(
        "seconds", po::value(&seconds), "duration in seconds")("payment-share", po::value(&option.paymentShare),
        "fraction of requests that are payments (not idempotent), 0 to 1")(
        "read-path", po::value(&option.readPath)->default_value("/plans/1"), "path of read requests")(
        "payment-path", po::value(&option.paymentPath)->default_value("/payments"), "path of payment requests")(
        "idempotency-keys", po::bool_switch(&option.useIdempotencyKeys), "send an idempotency key with payments")(
        "lookup-overuse-ms", po::value(&staleLookupMs), "time that expired look-ups stay in use, in milliseconds")(
        "double-payments", po::bool_switch(&option.doublePayments), "submit every payment twice at the same time")(
        "history", po::value(&option.historyPath), "history file of JSON lines to append to")("json",
        po::value(&option.jsonPath), "JSON file for the results")("seed", po::value(&option.seed), "random seed");
    auto values = po::variables_map {};
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    option.duration = std::chrono::milliseconds { static_cast<std::int64_t>(seconds * 1000) };
    option.staleLookupTime = std::chrono::milliseconds { staleLookupMs };
    option.teams = readTeams(teamsPath);
    for (const auto& text : lookupHosts)
        option.lookupHosts.push_back(*parseAddress(text));
    if (option.clients.empty())
        option.clients.push_back("127.0.0.1");
    std::cout << "seed " << option.seed << "\n";
    auto context = boost::asio::io_context { 1 };
    auto generator = LoadGenerator(context, option);
    generator.start();
    context.run();
    return generator.report() ? 0 : 1;
}

/// @file
/// @brief Compares steering strategies on load patterns, simulated in virtual time.

#include <fstream>
#include <iomanip>
#include <iostream>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "plot.hpp"

namespace citronloft {

namespace {

constexpr auto exitBadArguments = 2;
constexpr auto exitFailed = 1;

struct ExperimentArguments {
    std::vector<std::string> patterns;
    std::vector<std::string> strategies;
    std::uint64_t firstSeed = 1;
    std::uint64_t seeds = 3;
    std::string svgPath;
    std::string jsonPath;
    bool showsBreakdown = false;
};

/// Means over all seeds of a run.
struct Summary {
    double earned = 0;
    double worstKind = 0;
    double worstZone = 0;
    double inObjective = 0;
    double refused = 0;
    double failed = 0;
    double p99Ms = 0;
    double warm = 0;
    double busiest = 0;
};

auto minEarnedFraction(const std::map<std::string, Tally>& tallies) -> double
{
    auto worst = 1.0;
    for (const auto& [name, tally] : tallies)
        worst = std::min(worst, tally.earned());
    return worst;
}

auto fractionOfRequests(std::uint64_t count, const Tally& tally) -> double
{
    return tally.asked == 0 ? 0 : static_cast<double>(count) / static_cast<double>(tally.asked);
}

auto summarize(const std::vector<ExperimentResult>& results) -> Summary
{
    auto means = Summary {};
    const auto count = static_cast<double>(results.size());
    for (const auto& result : results) {
        means.earned += result.all.earned() / count;
        means.worstKind += minEarnedFraction(result.byKind) / count;
        means.worstZone += minEarnedFraction(result.byZone) / count;
        means.inObjective += fractionOfRequests(result.all.inObjective, result.all) / count;
        means.refused += fractionOfRequests(result.all.refused, result.all) / count;
        means.failed += fractionOfRequests(result.all.failed, result.all) / count;
        means.p99Ms += result.all.quantileMs(0.99) / count;
        means.warm += result.warmFraction / count;
        means.busiest += result.busiest / count;
    }
    return means;
}

auto toJson(const Tally& tally) -> nlohmann::json
{
    return { { "asked", tally.asked }, { "in_objective", tally.inObjective }, { "late", tally.late },
        { "refused", tally.refused }, { "failed", tally.failed }, { "earned", tally.earned() },
        { "p50_ms", tally.quantileMs(0.5) }, { "p99_ms", tally.quantileMs(0.99) } };
}

auto toJson(const std::map<std::string, Tally>& tallies) -> nlohmann::json
{
    auto json = nlohmann::json::object();
    for (const auto& [name, tally] : tallies)
        json[name] = toJson(tally);
    return json;
}

auto toJson(const ExperimentResult& result) -> nlohmann::json
{
    return { { "pattern", result.pattern }, { "strategy", result.strategy }, { "seed", result.seed },
        { "all", toJson(result.all) }, { "kinds", toJson(result.byKind) }, { "zones", toJson(result.byZone) },
        { "teams", toJson(result.byTeam) }, { "warm", result.warmFraction }, { "busiest_by_mean", result.busiest },
        { "refused_attempts", result.refusals } };
}

auto printRow(const std::string& name, const Summary& row) -> void
{
    std::cout << std::left << std::setw(16) << name << std::right << std::fixed << std::setprecision(3);
    for (const auto value :
        { row.earned, row.worstKind, row.worstZone, row.inObjective, row.refused, row.failed, row.warm, row.busiest })
        std::cout << std::setw(9) << value;
    std::cout << std::setw(9) << std::setprecision(0) << row.p99Ms << "\n";
}

auto printBreakdown(const std::string& dimension, const std::map<std::string, Tally>& tallies) -> void
{
    for (const auto& [name, tally] : tallies) {
        std::cout << "    " << std::left << std::setw(6) << dimension << std::setw(10) << name << std::right
                  << std::fixed << std::setprecision(3) << " earned " << tally.earned() << ", in objective "
                  << fractionOfRequests(tally.inObjective, tally) << ", refused "
                  << fractionOfRequests(tally.refused, tally) << ", p99 ms " << std::setprecision(0)
                  << tally.quantileMs(0.99) << "\n";
    }
}

auto runPattern(const LoadPattern& pattern, const ExperimentArguments& arguments, nlohmann::json& json) -> absl::Status
{
    std::cout << "\n" << pattern.name << ": " << pattern.about << "\n";
    std::cout << "strategy           earned     kind     zone   in obj  refused   failed     warm  busiest   p99 ms\n";
    auto plotted = std::vector<ExperimentResult> {};
    for (const auto& name : arguments.strategies) {
        auto results = std::vector<ExperimentResult> {};
        for (auto seed = arguments.firstSeed; seed < arguments.firstSeed + arguments.seeds; ++seed)
            results.push_back(runExperiment(pattern, *findStrategy(name), seed));
        printRow(name, summarize(results));
        if (arguments.showsBreakdown) {
            printBreakdown("kind", results.front().byKind);
            printBreakdown("zone", results.front().byZone);
            printBreakdown("team", results.front().byTeam);
        }
        for (const auto& result : results)
            json.push_back(toJson(result));
        plotted.push_back(std::move(results.front()));
    }
    if (arguments.svgPath.empty())
        return absl::OkStatus();
    return plotEarnedFraction(plotted, arguments.svgPath + "-" + std::string { pattern.name } + ".svg");
}

auto printNames() -> void
{
    std::cout << "patterns:\n";
    for (const auto& pattern : loadPatterns())
        std::cout << "  " << std::left << std::setw(16) << pattern.name << pattern.about << "\n";
    std::cout << "strategies:\n";
    for (const auto& strategy : strategies())
        std::cout << "  " << std::left << std::setw(16) << strategy.name << strategy.about << "\n";
}

/// Selects all patterns or strategies if none was given, and checks the given names.
/// @return the first unknown name, or an empty string.
auto resolveNames(ExperimentArguments& arguments) -> std::string
{
    if (arguments.patterns.empty()) {
        for (const auto& pattern : loadPatterns())
            arguments.patterns.emplace_back(pattern.name);
    }
    if (arguments.strategies.empty()) {
        for (const auto& strategy : strategies())
            arguments.strategies.emplace_back(strategy.name);
    }
    for (const auto& name : arguments.patterns) {
        if (findLoadPattern(name) == nullptr)
            return name;
    }
    for (const auto& name : arguments.strategies) {
        if (findStrategy(name) == nullptr)
            return name;
    }
    return {};
}

auto runAll(const ExperimentArguments& arguments) -> int
{
    std::cout << "seeds " << arguments.firstSeed << " to " << arguments.firstSeed + arguments.seeds - 1 << "\n";
    auto json = nlohmann::json::array();
    for (const auto& name : arguments.patterns) {
        if (const auto status = runPattern(*findLoadPattern(name), arguments, json); !status.ok()) {
            std::cerr << "citronloft_experiment: " << status.message() << "\n";
            return exitFailed;
        }
    }
    if (arguments.jsonPath.empty())
        return 0;
    auto file = std::ofstream(arguments.jsonPath);
    file << json.dump(2) << "\n";
    if (file.good())
        return 0;
    std::cerr << "citronloft_experiment: cannot write " << arguments.jsonPath << "\n";
    return exitFailed;
}

} // namespace

} // namespace citronloft

auto main(int argc, char** argv) -> int
{
    namespace po = boost::program_options;
    using namespace citronloft;
    auto arguments = ExperimentArguments {};
    auto options = po::options_description("citronloft_experiment [OPTIONS]: compares strategies on load patterns");
    options.add_options()("help", "print this help")("list", "list all patterns and strategies")(
        "pattern", po::value(&arguments.patterns)->multitoken(), "patterns to run (default: all)")("strategy",
        po::value(&arguments.strategies)->multitoken(),
        "strategies to run (default: all)")("seed", po::value(&arguments.firstSeed)->default_value(1), "first seed")(
        "seeds", po::value(&arguments.seeds)->default_value(3), "number of seeds per pattern and strategy")(
        "parts", po::bool_switch(&arguments.showsBreakdown), "print results by kind, zone and team for the first seed")(
        "svg", po::value(&arguments.svgPath), "path prefix of the SVG plots, one per pattern")(
        "json", po::value(&arguments.jsonPath), "JSON file for all results");
    try {
        auto values = po::variables_map {};
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        if (values.contains("help")) {
            std::cout << options;
            return 0;
        }
        if (values.contains("list")) {
            printNames();
            return 0;
        }
    } catch (const po::error& error) {
        std::cerr << "citronloft_experiment: " << error.what() << "\n";
        return exitBadArguments;
    }
    if (const auto unknown = resolveNames(arguments); !unknown.empty()) {
        std::cerr << "citronloft_experiment: unknown pattern or strategy " << unknown << "; see --list\n";
        return exitBadArguments;
    }
    if (arguments.seeds == 0) {
        std::cerr << "citronloft_experiment: --seeds must be at least 1, got 0\n";
        return exitBadArguments;
    }
    return runAll(arguments);
}

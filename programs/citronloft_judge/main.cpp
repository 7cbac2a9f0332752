/// @file
/// @brief citronloft_judge, which checks recorded histories of concurrent requests against the project's guarantees.

#include <fstream>
#include <iostream>

#include <boost/program_options.hpp>

#include "citronloft/check/history.hpp"

auto main(int argc, char** argv) -> int
{
    namespace po = boost::program_options;
    auto files = std::vector<std::string> {};
    auto withdrawalMs = std::int64_t { 5000 };
    auto drainMs = std::int64_t { 5000 };
    auto options = po::options_description("citronloft_judge FILE... - checks histories (docs/HISTORY.md)");
    options.add_options()("file", po::value(&files), "history files to check")("withdrawal-ms",
        po::value(&withdrawalMs),
        "maximum time until a withdrawn key is refused, in milliseconds")("drain-ms", po::value(&drainMs),
        "maximum time until a drained target gets no requests, in milliseconds")("help", "print this help");
    auto positions = po::positional_options_description {};
    positions.add("file", -1);
    auto values = po::variables_map {};
    po::store(po::command_line_parser(argc, argv).options(options).positional(positions).run(), values);
    po::notify(values);
    if (values.contains("help") || files.empty()) {
        std::cout << options;
        return 2;
    }
    auto history = citronloft::History {};
    for (const auto& path : files) {
        auto file = std::ifstream(path);
        if (!file) {
            std::cerr << "citronloft_judge: cannot read " << path << "\n";
            return 2;
        }
        history.read(file);
    }
    auto bounds = citronloft::HistoryBounds {};
    bounds.withdrawal = std::chrono::milliseconds { withdrawalMs };
    bounds.drain = std::chrono::milliseconds { drainMs };
    const auto breaches = citronloft::checkHistory(history, bounds);
    constexpr auto shownBreaches = std::size_t { 50 };
    for (auto i = std::size_t { 0 }; i < std::min(breaches.size(), shownBreaches); ++i)
        std::cout << "breach of " << breaches[i].rule << ": " << breaches[i].detail << "\n";
    std::cout << history.calls.size() << " calls, " << history.answers.size() << " answers, " << history.runs.size()
              << " runs, " << breaches.size() << " breaches\n";
    return breaches.empty() ? 0 : 1;
}

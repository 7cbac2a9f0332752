/// @file
/// @brief citronloft, the operators' command-line tool.

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>

#include <boost/program_options.hpp>

#include "commands.hpp"

namespace citronloft {

namespace {

namespace po = boost::program_options;

constexpr auto commands = std::to_array<Command>({
    { "validate", "FILE", "check a configuration file and report every error", &runValidate },
    { "diff", "FILE", "show what applying a file would change", &runDiff },
    { "apply", "FILE", "apply a configuration file atomically", &runApply },
    { "get", "", "print the active configuration", &runGet },
    { "status", "", "print state, configuration version and lease of every host", &runStatus },
    { "explain", "METHOD URL", "show where a host would send such a request now, and why", &runExplain },
    { "key", "new|withdraw", "add a new team key to a file, or remove one from it", &runKey },
    { "drain", "TARGET|ZONE", "mark a target, zone or (--host) host in a file as draining; --undo removes the mark",
        &runDrain },
    { "version", "", "print the version", &runVersion },
    { "completion", "", "print a bash completion script", &runCompletion },
});

auto printHelp(const po::options_description& options) -> void
{
    std::cout << "usage: citronloft COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n";
    for (const auto& command : commands) {
        const auto usage = std::string { command.name } + " " + std::string { command.arguments };
        std::cout << "  " << std::left << std::setw(20) << usage << command.summary << "\n";
    }
    std::cout
        << "\n"
        << options << "\n"
        << "Exit codes: 0 success, 1 failed, 2 usage, 3 invalid file, 4 conflict, 5 not accepted,\n"
        << "6 unknown whether accepted, 7 accepted but not active on all hosts before the timeout,\n"
        << "8 the explained request would be refused.\n\n"
        << "Example: citronloft apply waitaha.yaml --platform 127.0.0.1:7000 --wait --status-from 127.0.0.2:8090\n";
}

auto describeOptions(Tool& tool) -> po::options_description
{
    auto options = po::options_description("Options");
    options.add_options()("platform", po::value(&tool.platform),
        "IP address and port of the platform's object service")("status-from", po::value(&tool.statusFrom),
        "status address (IP:PORT) of any host")("file", po::value(&tool.file), "configuration file")(
        "team", po::value(&tool.team), "team that gets the new key")("operator",
        po::value(&tool.operatorName)->default_value("operator"),
        "operator name, shown to other operators in conflicts")("summary", po::value(&tool.summary),
        "reason for the change")("expect", po::value<std::uint64_t>(), "apply only if this version is active")(
        "wait", po::bool_switch(&tool.waitsUntilActive), "wait until the change is active on all live hosts")(
        "wait-ms", po::value<std::int64_t>(), "maximum time of --wait in milliseconds")(
        "undo", po::bool_switch(&tool.removesDrain), "remove the draining mark")(
        "host", po::bool_switch(&tool.drainsHost), "drain an entry host, given by its service address")("header",
        po::value(&tool.headers)->composing(), "header field \"Name: value\" of the explained request; repeatable")(
        "json", po::bool_switch(&tool.json), "print JSON")("help", "print this help");
    return options;
}

auto dispatch(int argc, char** argv) -> ExitCode
{
    auto tool = Tool {};
    const auto options = describeOptions(tool);
    auto hidden = po::options_description {};
    hidden.add(options).add_options()("words", po::value<std::vector<std::string>>());
    auto positions = po::positional_options_description {};
    positions.add("words", -1);
    auto values = po::variables_map {};
    try {
        po::store(po::command_line_parser(argc, argv).options(hidden).positional(positions).run(), values);
        po::notify(values);
    } catch (const po::error& error) {
        return printError(error.what(), ExitCode::Usage);
    }
    if (values.contains("expect"))
        tool.expectedVersion = values["expect"].as<std::uint64_t>();
    if (values.contains("wait-ms"))
        tool.waitTimeout = std::chrono::milliseconds { values["wait-ms"].as<std::int64_t>() };
    if (values.contains("words"))
        tool.arguments = values["words"].as<std::vector<std::string>>();
    if (values.contains("help") || tool.arguments.empty()) {
        printHelp(options);
        return values.contains("help") ? ExitCode::Ok : ExitCode::Usage;
    }
    const auto name = tool.arguments.front();
    tool.arguments.erase(tool.arguments.begin());
    const auto command = std::ranges::find(commands, name, &Command::name);
    if (command == commands.end())
        return printError("unknown command '" + name + "'; see 'citronloft --help'", ExitCode::Usage);
    return command->run(tool);
}

} // namespace

auto commandTable() -> std::span<const Command> { return commands; }

auto runVersion(Tool& tool) -> ExitCode
{
    tool.print({ { "version", "0.1.0" } }, "citronloft 0.1.0\n");
    return ExitCode::Ok;
}

auto runCompletion(Tool& /*tool*/) -> ExitCode
{
    auto names = std::string {};
    for (const auto& command : commandTable())
        names += std::string { command.name } + " ";
    std::cout << "complete -o default -W '" << names
              << "--platform --status-from --file --team --operator --summary --expect --wait --undo --host --header "
                 "--json --help' "
                 "citronloft\n";
    return ExitCode::Ok;
}

} // namespace citronloft

auto main(int argc, char** argv) -> int { return static_cast<int>(citronloft::dispatch(argc, argv)); }

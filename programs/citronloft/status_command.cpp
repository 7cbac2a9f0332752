#include <iomanip>
#include <sstream>

#include "commands.hpp"

namespace citronloft {

namespace {

auto formatCell(const nlohmann::json& value) -> std::string
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

auto runStatus(Tool& tool) -> ExitCode
{
    if (tool.statusFrom.empty())
        return printError(
            "--status-from is missing; expected the status address (IP:PORT) of any host", ExitCode::Usage);
    auto statuses = readFleetStatus(tool);
    if (statuses.empty())
        return printError("no status received from " + tool.statusFrom, ExitCode::Failed);
    std::ranges::sort(statuses, {}, [](const nlohmann::json& status) { return formatCell(status["address"]); });
    constexpr auto columns = std::to_array<std::pair<const char*, int>>(
        { { "address", 22 }, { "zone", 10 }, { "state", 9 }, { "config_version", 15 }, { "slots", 6 },
            { "steward_epoch", 14 }, { "store_reachable", 16 }, { "in_flight", 9 } });
    auto text = std::ostringstream {};
    for (const auto& [name, width] : columns)
        text << std::left << std::setw(width) << name << " ";
    text << "\n";
    for (const auto& status : statuses) {
        for (const auto& [name, width] : columns)
            text << std::left << std::setw(width) << formatCell(status[name]) << " ";
        text << "\n";
    }
    tool.print(statuses, text.str());
    return ExitCode::Ok;
}

} // namespace citronloft

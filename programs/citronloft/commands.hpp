/// @file
/// @brief Commands of the operator tool.
#pragma once

#include <span>
#include <string_view>

#include "tool.hpp"

namespace citronloft {

/// @brief A command of the tool.
struct Command {
    std::string_view name;
    /// Positional arguments, for the help text.
    std::string_view arguments;
    std::string_view summary;
    ExitCode (*run)(Tool& tool);
};

/// @return all commands.
auto commandTable() -> std::span<const Command>;

auto runValidate(Tool& tool) -> ExitCode;
auto runDiff(Tool& tool) -> ExitCode;
auto runApply(Tool& tool) -> ExitCode;
auto runGet(Tool& tool) -> ExitCode;
auto runStatus(Tool& tool) -> ExitCode;
auto runExplain(Tool& tool) -> ExitCode;
auto runKey(Tool& tool) -> ExitCode;
auto runDrain(Tool& tool) -> ExitCode;
auto runVersion(Tool& tool) -> ExitCode;
auto runCompletion(Tool& tool) -> ExitCode;

} // namespace citronloft

/// @file
/// @brief Plots of experiment results.
#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

#include "citronloft/model/experiment.hpp"

namespace citronloft {

/// @brief Writes an SVG file with the earned fraction of the worth over time in seconds, one line per strategy.
/// @param results one result per strategy, all of the same pattern and seed.
/// @return InvalidArgument without results, Internal if the file cannot be written.
auto plotEarnedFraction(const std::vector<ExperimentResult>& results, const std::string& path) -> absl::Status;

} // namespace citronloft

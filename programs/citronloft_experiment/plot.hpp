/// @file
/// @brief Plots of experiments.
#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

#include "citronloft/model/experiment.hpp"

namespace citronloft {

/// @brief Draws the earned part of the worth by second, one line a strategy, as an SVG file.
/// @param results of one pattern and one seed, one a strategy.
auto plotBySecond(const std::vector<ExperimentResult>& results, const std::string& path) -> absl::Status;

} // namespace citronloft

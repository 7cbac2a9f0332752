/// @file
/// @brief Counters, gauges and latency summaries (Boost.Accumulators), exported as Prometheus text.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Counters, gauges and latency summaries of one process.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    auto operator=(const Metrics&) -> Metrics& = delete;

    /// @brief Adds to a counter.
    /// @param name for example "citronloft_refusals_total".
    /// @param label for example "reason=\"queue-full\""; may be empty.
    auto count(std::string_view name, std::string_view label = {}, std::uint64_t amount = 1) -> void;

    /// @brief Sets a gauge.
    auto set(std::string_view name, std::string_view label, double value) -> void;

    /// @brief Adds a sample to a latency summary.
    auto observe(std::string_view name, Duration latency) -> void;

    /// @return the value of a counter; 0 if it was never incremented.
    [[nodiscard]] auto value(std::string_view name, std::string_view label = {}) const -> std::uint64_t;

    /// @return all counters, gauges and summaries in the Prometheus text format.
    [[nodiscard]] auto prometheus() const -> std::string;

private:
    struct Summary;

    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, std::unique_ptr<Summary>, std::less<>> summaries;
};

} // namespace citronloft

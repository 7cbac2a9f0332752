#include "citronloft/base/counters.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace citronloft {

namespace {

namespace acc = boost::accumulators;

using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile, acc::tag::count, acc::tag::max>>;

auto seriesName(std::string_view name, std::string_view label) -> std::string
{
    auto series = std::string { name };
    if (!label.empty())
        series += "{" + std::string { label } + "}";
    return series;
}

auto line(const std::string& series, const std::string& value) -> std::string { return series + " " + value + "\n"; }

} // namespace

struct Metrics::Summary {
    Quantile median { acc::quantile_probability = 0.5 };
    Quantile tail { acc::quantile_probability = 0.99 };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

auto Metrics::count(std::string_view name, std::string_view label, std::uint64_t amount) -> void
{
    this->counters[seriesName(name, label)] += amount;
}

auto Metrics::set(std::string_view name, std::string_view label, double value) -> void
{
    this->gauges[seriesName(name, label)] = value;
}

auto Metrics::observe(std::string_view name, Duration latency) -> void
{
    auto& summary = this->summaries[std::string { name }];
    if (!summary)
        summary = std::make_unique<Summary>();
    const auto seconds = std::chrono::duration<double>(latency).count();
    summary->median(seconds);
    summary->tail(seconds);
}

auto Metrics::value(std::string_view name, std::string_view label) const -> std::uint64_t
{
    const auto found = this->counters.find(seriesName(name, label));
    return found == this->counters.end() ? 0 : found->second;
}

auto Metrics::prometheus() const -> std::string
{
    auto text = std::string {};
    for (const auto& [series, value] : this->counters)
        text += line(series, std::to_string(value));
    for (const auto& [series, value] : this->gauges)
        text += line(series, std::to_string(value));
    for (const auto& [name, summary] : this->summaries) {
        text += line(name + "{quantile=\"0.5\"}", std::to_string(acc::p_square_quantile(summary->median)));
        text += line(name + "{quantile=\"0.99\"}", std::to_string(acc::p_square_quantile(summary->tail)));
        text += line(name + "_max", std::to_string(acc::max(summary->tail)));
        text += line(name + "_count", std::to_string(acc::count(summary->tail)));
    }
    return text;
}

} // namespace citronloft

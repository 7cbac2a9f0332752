#include "citronloft/base/metrics.hpp"

#include <array>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram.hpp>

namespace citronloft {

namespace {

namespace histogram = boost::histogram;
namespace acc = boost::accumulators;

using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile, acc::tag::count, acc::tag::max>>;

auto seriesName(std::string_view name, std::string_view label) -> std::string
{
    auto series = std::string { name };
    if (!label.empty())
        series += "{" + std::string { label } + "}";
    return series;
}

auto formatLine(const std::string& series, const std::string& value) -> std::string
{
    return series + " " + value + "\n";
}

} // namespace

namespace {

/// Upper bounds of the histogram buckets in seconds; their range covers the usual latency objectives and timeouts of
/// routes.
constexpr auto latencyBounds
    = std::to_array({ 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0, 10.0 });

auto makeLatencyHistogram()
{
    auto edges = std::vector<double> { 0 };
    edges.insert(edges.end(), latencyBounds.begin(), latencyBounds.end());
    return histogram::make_histogram(histogram::axis::variable<>(edges));
}

} // namespace

struct Metrics::Summary {
    Quantile median { acc::quantile_probability = 0.5 };
    Quantile tail { acc::quantile_probability = 0.99 };
    decltype(makeLatencyHistogram()) buckets = makeLatencyHistogram();
    double sum = 0;

    /// @return the lines of the cumulative buckets and of the sum.
    [[nodiscard]] auto bucketLines(const std::string& name) const -> std::string
    {
        auto text = std::string {};
        auto cumulativeCount = 0.0;
        for (const auto& bucket : histogram::indexed(this->buckets)) {
            cumulativeCount += *bucket;
            text += formatLine(name + "_bucket{le=\"" + std::to_string(bucket.bin().upper()) + "\"}",
                std::to_string(static_cast<std::uint64_t>(cumulativeCount)));
        }
        text += formatLine(name + "_bucket{le=\"+Inf\"}", std::to_string(acc::count(this->tail)));
        text += formatLine(name + "_sum", std::to_string(this->sum));
        return text;
    }
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
    summary->buckets(seconds);
    summary->sum += seconds;
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
        text += formatLine(series, std::to_string(value));
    for (const auto& [series, value] : this->gauges)
        text += formatLine(series, std::to_string(value));
    for (const auto& [name, summary] : this->summaries) {
        text += formatLine(name + "{quantile=\"0.5\"}", std::to_string(acc::p_square_quantile(summary->median)));
        text += formatLine(name + "{quantile=\"0.99\"}", std::to_string(acc::p_square_quantile(summary->tail)));
        text += formatLine(name + "_max", std::to_string(acc::max(summary->tail)));
        text += summary->bucketLines(name);
        text += formatLine(name + "_count", std::to_string(acc::count(summary->tail)));
    }
    return text;
}

} // namespace citronloft

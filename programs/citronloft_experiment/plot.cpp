#include "plot.hpp"

#include <array>
#include <memory>

#include <cairo/cairo-svg.h>

namespace citronloft {

namespace {

constexpr auto width = 900.0;
constexpr auto height = 420.0;
constexpr auto left = 60.0;
constexpr auto top = 40.0;
constexpr auto right = 200.0;
constexpr auto bottom = 50.0;
constexpr auto lineHeight = 18.0;
constexpr auto fontSize = 13.0;

struct Color {
    double red = 0;
    double green = 0;
    double blue = 0;
};

/// Color-blind safe palette (Okabe and Ito).
constexpr auto colors = std::to_array<Color>({ { 0, 0, 0 }, { 0.90, 0.62, 0 }, { 0.34, 0.71, 0.91 }, { 0, 0.62, 0.45 },
    { 0.94, 0.89, 0.26 }, { 0, 0.45, 0.70 }, { 0.84, 0.37, 0 }, { 0.80, 0.47, 0.65 } });

struct SurfaceDeleter {
    auto operator()(cairo_surface_t* surface) const -> void { cairo_surface_destroy(surface); }
};
struct CairoContextDeleter {
    auto operator()(cairo_t* context) const -> void { cairo_destroy(context); }
};

class Plot {
public:
    explicit Plot(const std::string& path)
        : surface(cairo_svg_surface_create(path.c_str(), width, height))
        , context(cairo_create(this->surface.get()))
    {
        cairo_set_font_size(this->context.get(), fontSize);
    }

    auto text(double x, double y, const std::string& value) -> void
    {
        cairo_move_to(this->context.get(), x, y);
        cairo_show_text(this->context.get(), value.c_str());
    }

    auto line(const std::vector<std::pair<double, double>>& points, Color color, double thickness) -> void
    {
        cairo_set_source_rgb(this->context.get(), color.red, color.green, color.blue);
        cairo_set_line_width(this->context.get(), thickness);
        for (const auto& [x, y] : points)
            cairo_line_to(this->context.get(), x, y);
        cairo_stroke(this->context.get());
    }

    auto color(Color color) -> void { cairo_set_source_rgb(this->context.get(), color.red, color.green, color.blue); }

    auto finish() -> absl::Status
    {
        cairo_surface_finish(this->surface.get());
        const auto status = cairo_surface_status(this->surface.get());
        if (status != CAIRO_STATUS_SUCCESS)
            return absl::InternalError(cairo_status_to_string(status));
        return absl::OkStatus();
    }

private:
    std::unique_ptr<cairo_surface_t, SurfaceDeleter> surface;
    std::unique_ptr<cairo_t, CairoContextDeleter> context;
};

auto drawAxes(Plot& plot, const std::string& title, std::int64_t seconds) -> void
{
    const auto plotHeight = height - top - bottom;
    const auto plotWidth = width - left - right;
    plot.color({});
    plot.text(left, top - 15, title + ": fraction of the worth earned, by second of the first attempt");
    constexpr auto steps = 5;
    for (auto step = 0; step <= steps; ++step) {
        const auto value = static_cast<double>(step) / steps;
        const auto y = top + plotHeight * (1 - value);
        plot.line({ { left, y }, { left + plotWidth, y } }, { 0.85, 0.85, 0.85 }, 1);
        plot.color({});
        plot.text(left - 35, y + 4, std::to_string(value).substr(0, 3));
    }
    constexpr auto secondsPerMark = 4;
    for (auto second = std::int64_t { 0 }; second <= seconds; second += secondsPerMark) {
        const auto x = left + plotWidth * static_cast<double>(second) / static_cast<double>(seconds);
        plot.text(x - 5, height - bottom + lineHeight, std::to_string(second));
    }
}

} // namespace

auto plotEarnedFraction(const std::vector<ExperimentResult>& results, const std::string& path) -> absl::Status
{
    if (results.empty() || results.front().bySecond.empty())
        return absl::InvalidArgumentError("no results to plot");
    auto plot = Plot(path);
    const auto seconds = std::max<std::int64_t>(results.front().bySecond.rbegin()->first, 1);
    drawAxes(plot, results.front().pattern, seconds);
    for (auto i = std::size_t { 0 }; i < results.size(); ++i) {
        const auto& color = colors.at(i % colors.size());
        auto points = std::vector<std::pair<double, double>> {};
        for (const auto& [second, tally] : results[i].bySecond) {
            const auto x = left + (width - left - right) * static_cast<double>(second) / static_cast<double>(seconds);
            points.emplace_back(x, top + (height - top - bottom) * (1 - tally.earned()));
        }
        plot.line(points, color, 2);
        const auto y = top + lineHeight * static_cast<double>(i + 1);
        plot.line({ { width - right + 15, y - 4 }, { width - right + 40, y - 4 } }, color, 2);
        plot.color({});
        plot.text(width - right + 48, y, results[i].strategy);
    }
    return plot.finish();
}

} // namespace citronloft

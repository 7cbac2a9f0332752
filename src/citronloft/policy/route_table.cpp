#include "citronloft/policy/route_table.hpp"

#include <algorithm>
#include <array>

namespace citronloft {

namespace {

auto pathOf(std::string_view target) -> std::string_view { return target.substr(0, target.find('?')); }

auto hasPrefix(std::string_view path, std::string_view prefix) -> bool
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

auto equalsIgnoringCase(std::string_view left, std::string_view right) -> bool
{
    return std::ranges::equal(
        left, right, [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

auto matchesHost(const Route& route, std::string_view host) -> bool
{
    return route.host.empty() || equalsIgnoringCase(route.host, host.substr(0, host.rfind(':')));
}

auto acceptsMethod(const Route& route, std::string_view method) -> bool
{
    return route.methods.empty() || std::ranges::find(route.methods, method) != route.methods.end();
}

} // namespace

RouteTable::RouteTable(const Config& config)
{
    for (const auto& route : config.routes)
        this->routes.push_back(&route);
    std::ranges::stable_sort(this->routes, std::greater {}, [](const Route* route) {
        return std::pair { route->prefix.size(), !route->host.empty() };
    });
}

auto RouteTable::find(std::string_view method, std::string_view host, std::string_view target) const -> const Route*
{
    const auto path = pathOf(target);
    const auto found = std::ranges::find_if(this->routes, [&](const Route* route) {
        return hasPrefix(path, route->prefix) && matchesHost(*route, host) && acceptsMethod(*route, method);
    });
    return found == this->routes.end() ? nullptr : *found;
}

auto isAmbiguousPath(std::string_view target) -> bool
{
    const auto path = pathOf(target);
    if (!path.starts_with('/') || path.find('\\') != std::string_view::npos)
        return true;
    auto lower = std::string { path };
    std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    constexpr auto ambiguousSequences
        = std::to_array<std::string_view>({ "//", "/./", "/../", "%2e", "%2f", "%5c", "%00" });
    if (std::ranges::any_of(ambiguousSequences, [&](auto mark) { return lower.find(mark) != std::string::npos; }))
        return true;
    return lower.ends_with("/.") || lower.ends_with("/..");
}

} // namespace citronloft

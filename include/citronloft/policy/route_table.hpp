/// @file
/// @brief Finds the route of a request and detects paths that a target could interpret differently.
#pragma once

#include <string_view>
#include <vector>

#include "citronloft/base/config.hpp"

namespace citronloft {

/// @brief Routes in order of longest-prefix matching.
class RouteTable {
public:
    RouteTable() = default;

    /// @param config configuration; must outlive the table.
    explicit RouteTable(const Config& config);

    /// @param host host name of the request; a port is ignored.
    /// @param target path and query of the request.
    /// @return route with the longest matching prefix that accepts `method`, or null; of routes with equally long
    /// prefixes, one that names the host takes precedence.
    [[nodiscard]] auto find(std::string_view method, std::string_view host, std::string_view target) const
        -> const Route*;

private:
    std::vector<const Route*> routes;
};

/// @return whether a path is relative or contains backslashes, dot segments, empty segments, or escapes of NUL, '.',
/// '/' or '\\'.
auto isAmbiguousPath(std::string_view target) -> bool;

} // namespace citronloft

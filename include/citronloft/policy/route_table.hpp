/// @file
/// @brief Finds the route of a request; paths that a target could read differently are rejected.
#pragma once

#include <string_view>
#include <vector>

#include "citronloft/base/config.hpp"

namespace citronloft {

/// @brief Routes ordered for longest-prefix matching.
class RouteTable {
public:
    RouteTable() = default;

    /// @param config outlives the table.
    explicit RouteTable(const Config& config);

    /// @param host host name of the request, a port is ignored.
    /// @param target path and query of the request.
    /// @return the route with the longest matching prefix that takes `method`, or null; among equal prefixes a route
    /// of the host name itself goes first.
    [[nodiscard]] auto find(std::string_view method, std::string_view host, std::string_view target) const
        -> const Route*;

private:
    std::vector<const Route*> routes;
};

/// @return whether a path has dot segments, empty segments, or escapes of '.', '/' or '\\'.
auto isAmbiguousPath(std::string_view target) -> bool;

} // namespace citronloft

/// @file
/// @brief Logs which header fields targets send, so that a field that no code reads can be found in the logs.
#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "citronloft/edge/http_message.hpp"

namespace citronloft {

/// @brief Logs the name of each response field once per process.
class ResponseFieldLog {
public:
    /// @param maxNames number of names after which no more are logged; targets can send any number of them.
    explicit ResponseFieldLog(std::size_t maxNames = 32)
        : maxNames(maxNames)
    {
    }

    /// @brief Logs the names that no earlier response had.
    auto record(std::string_view target, const HeaderFields& fields) -> void;

    /// @return number of names logged.
    [[nodiscard]] auto size() const -> std::size_t { return this->names.size(); }

private:
    std::size_t maxNames;
    std::set<std::string, std::less<>> names;
};

} // namespace citronloft

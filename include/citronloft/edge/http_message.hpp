/// @file
/// @brief Plain HTTP messages, so that few sources need the HTTP library's headers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace citronloft {

/// @brief One header field.
struct HeaderField {
    std::string name;
    std::string value;
};

/// @brief Header fields in order; names compare without case.
class HeaderFields {
public:
    /// @return the first value of `name`, or an empty view.
    [[nodiscard]] auto get(std::string_view name) const -> std::string_view;

    /// @return whether a field of this name is present.
    [[nodiscard]] auto has(std::string_view name) const -> bool;

    /// @brief Replaces all values of `name`.
    auto set(std::string_view name, std::string_view value) -> void;

    /// @brief Adds a field, keeping others of the same name.
    auto add(std::string_view name, std::string_view value) -> void;

    /// @brief Removes all fields of `name`.
    auto remove(std::string_view name) -> void;

    [[nodiscard]] auto begin() const { return this->fields.begin(); }
    [[nodiscard]] auto end() const { return this->fields.end(); }

private:
    std::vector<HeaderField> fields;
};

/// @brief A whole request.
struct HttpRequest {
    std::string method;
    /// Path and query.
    std::string target;
    HeaderFields fields;
    std::string body;
};

/// @brief A whole answer.
struct HttpResponse {
    unsigned status = 200;
    HeaderFields fields;
    std::string body;
    /// True: the connection closes after this answer.
    bool close = false;
};

/// @return whether two header names are equal without regard to case.
auto equalHeaderName(std::string_view left, std::string_view right) -> bool;

/// @return the value of `name` in the target's query, or an empty string.
auto queryValue(std::string_view target, std::string_view name) -> std::string;

/// @brief Removes hop-by-hop fields, including those that Connection names.
auto removeHopByHopFields(HeaderFields& fields) -> void;

} // namespace citronloft

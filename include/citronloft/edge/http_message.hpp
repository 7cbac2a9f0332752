/// @file
/// @brief HTTP messages as plain structures, so that most sources do not include the HTTP library's headers.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace citronloft {

class BodyReservation;

/// @brief One header field.
struct HeaderField {
    std::string name;
    std::string value;
};

/// @brief Ordered header fields; names are case-insensitive.
class HeaderFields {
public:
    /// @return the first value of the field `name`, or an empty view if it is absent.
    [[nodiscard]] auto get(std::string_view name) const -> std::string_view;

    /// @return whether a field `name` is present.
    [[nodiscard]] auto has(std::string_view name) const -> bool;

    /// @brief Replaces all fields `name` by one with `value`.
    auto set(std::string_view name, std::string_view value) -> void;

    /// @brief Appends a field and keeps existing fields of the same name.
    auto add(std::string_view name, std::string_view value) -> void;

    /// @brief Removes all fields `name`.
    auto remove(std::string_view name) -> void;

    [[nodiscard]] auto begin() const { return this->fields.begin(); }
    [[nodiscard]] auto end() const { return this->fields.end(); }

private:
    std::vector<HeaderField> fields;
};

/// @brief A complete request.
struct HttpRequest {
    std::string method;
    /// Path and query.
    std::string target;
    HeaderFields fields;
    std::string body;
    /// Memory that the body takes; null if it is not bounded.
    std::shared_ptr<BodyReservation> reservation {};
};

/// @brief A complete response.
struct HttpResponse {
    unsigned status = 200;
    HeaderFields fields;
    std::string body;
    /// Whether the connection is closed after this response.
    bool close = false;
    /// Memory that the body takes; null if it is not bounded.
    std::shared_ptr<BodyReservation> reservation {};
};

/// @return whether two field names are equal, ignoring case.
auto equalHeaderName(std::string_view left, std::string_view right) -> bool;

/// @return the value of the parameter `name` in the query of a request target, or an empty string if it is absent.
auto queryValue(std::string_view target, std::string_view name) -> std::string;

/// @brief Removes hop-by-hop fields, including those listed in the Connection field.
auto removeHopByHopFields(HeaderFields& fields) -> void;

} // namespace citronloft

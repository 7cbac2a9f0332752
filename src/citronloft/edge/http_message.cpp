#include "citronloft/edge/http_message.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace citronloft {

namespace {

auto toLower(char c) -> char { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); }

auto trimWhitespace(std::string_view text) -> std::string_view
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

} // namespace

auto equalHeaderName(std::string_view left, std::string_view right) -> bool
{
    return std::ranges::equal(left, right, {}, toLower, toLower);
}

auto HeaderFields::get(std::string_view name) const -> std::string_view
{
    for (const auto& field : this->fields) {
        if (equalHeaderName(field.name, name))
            return field.value;
    }
    return {};
}

auto HeaderFields::has(std::string_view name) const -> bool
{
    return std::ranges::any_of(this->fields, [&](const auto& field) { return equalHeaderName(field.name, name); });
}

auto HeaderFields::set(std::string_view name, std::string_view value) -> void
{
    this->remove(name);
    this->add(name, value);
}

auto HeaderFields::add(std::string_view name, std::string_view value) -> void
{
    this->fields.push_back({ std::string { name }, std::string { value } });
}

auto HeaderFields::remove(std::string_view name) -> void
{
    std::erase_if(this->fields, [&](const auto& field) { return equalHeaderName(field.name, name); });
}

auto queryValue(std::string_view target, std::string_view name) -> std::string
{
    auto rest = target.substr(std::min(target.find('?'), target.size()));
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const auto pair = rest.substr(0, rest.find('&'));
        if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
            return std::string { pair.substr(name.size() + 1) };
        rest.remove_prefix(pair.size());
    }
    return {};
}

auto removeHopByHopFields(HeaderFields& fields) -> void
{
    auto connectionField = std::string { fields.get("Connection") };
    auto rest = std::string_view { connectionField };
    while (!rest.empty()) {
        const auto item = rest.substr(0, rest.find(','));
        fields.remove(trimWhitespace(item));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
    }
    constexpr auto hopByHop = std::to_array<std::string_view>({ "Connection", "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect" });
    for (const auto name : hopByHop)
        fields.remove(name);
}

} // namespace citronloft

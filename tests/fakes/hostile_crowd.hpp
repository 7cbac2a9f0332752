/// @file
/// @brief Kinds of hostile clients, for any dialect.
#pragma once

#include <array>
#include <functional>
#include <string>

#include "fakes/hostile_client.hpp"

namespace citronloft {

/// @brief Size of a body that stops short of its end, in bytes.
inline constexpr auto largeBodyBytes = std::size_t { 4'000'000 };
/// @brief Size of a body within the default limit, in bytes.
inline constexpr auto bodyBytes = std::size_t { 1'000'000 };

inline auto repeat(const std::string& text, std::size_t count) -> std::string
{
    auto all = std::string {};
    all.reserve(text.size() * count);
    for (auto i = std::size_t { 0 }; i < count; ++i)
        all += text;
    return all;
}

/// @return fields of one letter, nearly as many as the default limit on headers allows.
inline auto shortFields() -> std::string { return repeat("a:\r\n", 3900); }

/// @brief Writes the beginning of a request: the request line and the fields that the dialect needs.
using MakeHead = std::function<std::string(const std::string& method, std::size_t number)>;

/// @return `count` complete requests.
inline auto pipelinedReads(const MakeHead& makeHead, std::size_t number, std::size_t count) -> std::string
{
    auto all = std::string {};
    for (auto i = std::size_t { 0 }; i < count; ++i)
        all += makeHead("GET", number * count + i) + "\r\n";
    return all;
}

/// @return a request whose last bytes are missing.
inline auto unfinishedRequest(const MakeHead& makeHead, std::size_t number, std::size_t size) -> std::string
{
    return makeHead("POST", number) + "Content-Length: " + std::to_string(size) + "\r\n\r\n"
        + std::string(size - 10, 'b');
}

inline auto unfinishedChunkedRequest(const MakeHead& makeHead, std::size_t number) -> std::string
{
    const auto chunks = repeat("3e8\r\n" + std::string(1000, 'b') + "\r\n", bodyBytes / 1000 - 1) + "3e8\r\nbbb";
    return makeHead("POST", number) + "Transfer-Encoding: chunked\r\n\r\n" + chunks;
}

/// @return the kinds of hostile clients, by turns.
inline auto mixedBehavior(const MakeHead& makeHead, std::size_t number) -> HostileBehavior
{
    using Make = HostileBehavior (*)(const MakeHead& makeHead, std::size_t number);
    static constexpr auto kinds = std::to_array<Make>({
        [](const auto& makeHead, auto number) {
            return HostileBehavior { unfinishedRequest(makeHead, number, largeBodyBytes) };
        },
        [](const auto& makeHead, auto number) {
            return HostileBehavior { unfinishedRequest(makeHead, number, bodyBytes), 100 };
        },
        [](const auto& makeHead, auto number) {
            return HostileBehavior { unfinishedChunkedRequest(makeHead, number) };
        },
        [](const auto& makeHead, auto number) {
            return HostileBehavior { makeHead("POST", number) + "Content-Length: 900000000\r\n\r\n"
                + std::string(2 * bodyBytes, 'b') };
        },
        [](const auto& makeHead, auto number) { return HostileBehavior { makeHead("GET", number) + shortFields() }; },
        [](const auto& makeHead, auto number) {
            return HostileBehavior { repeat(makeHead("GET", number) + shortFields() + "\r\n", 20) };
        },
        [](const auto& makeHead, auto number) { return HostileBehavior { pipelinedReads(makeHead, number, 2000) }; },
        [](const auto& makeHead, auto number) {
            const auto request = makeHead("POST", number) + "Content-Length: 200000\r\n\r\n";
            return HostileBehavior { repeat(request + std::string(200'000, 'b'), 20) };
        },
        [](const auto& makeHead, auto number) {
            return HostileBehavior { pipelinedReads(makeHead, number, 100), std::size_t { 4 } * 1024, 100 };
        },
        [](const auto& makeHead, auto number) {
            return HostileBehavior { makeHead("POST", number) + shortFields(), 40 };
        },
    });
    return kinds.at(number % kinds.size())(makeHead, number);
}

} // namespace citronloft

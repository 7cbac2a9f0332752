/// @file
/// @brief What a server's connection makes the host hold.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include <boost/beast/http/fields.hpp>

#include "citronloft/edge/body_memory.hpp"
#include "citronloft/edge/http_message.hpp"

namespace citronloft {

/// @brief The account of one connection in the server's budget; without a budget nothing is counted or refused.
///
/// Counted are the connection itself, its buffer, the request that is being read, requests that run or wait, responses
/// until they are written, and bytes that the system may have received and the server does not read. Sizes of parsed
/// fields and of stacks are estimates; the budget measures the difference.
class SessionAccount {
public:
    /// Memory that a request, and later its response, takes beside the body's reservation.
    struct Pending {
        std::size_t heldBytes = 0;
        std::size_t reservedBytes = 0;
    };

    /// @param close closes the connection; called at most once.
    /// @return whether there is room for the connection.
    auto open(const std::shared_ptr<ConnectionBudget>& budget, TimePoint now, std::function<void()> close) -> bool;

    /// @brief Records what the connection waits for.
    auto setState(ConnectionState state, TimePoint now) -> void;

    /// @brief Records that the caller has sent or taken ConnectionBudget::progressBytes, or has begun a request.
    auto recordProgress(ConnectionState state, TimePoint now) -> void;

    auto setBufferBytes(std::size_t bytes) -> void { this->bufferBytes = bytes; }

    /// @brief Sets the maximum of the bytes that the system holds for the connection.
    auto setUnreadBytes(std::size_t bytes) -> void;

    /// @brief Counts the fields of a header that is being read, as far as they have been read.
    /// @return whether there is room.
    auto recordHeader(const boost::beast::http::fields& fields) -> bool;

    /// @brief Counts a body that is being read.
    /// @param reservedBytes what its reservation holds.
    /// @return whether there is room.
    auto recordBody(std::size_t capacity, std::size_t reservedBytes) -> bool;

    /// @brief Ends the reading of a request; what it held is returned.
    auto endReading() -> void;

    /// @brief Counts a request that is going to run.
    /// @return what it holds, or nothing if there is no room for it.
    auto reservePending(const HttpRequest& request) -> std::optional<Pending>;

    /// @brief Counts a response instead of its request, also if there is no room.
    auto recordResponse(Pending& pending, const boost::beast::http::fields& fields, std::size_t bodyCapacity,
        std::size_t reservedBytes) -> void;

    /// @brief Returns what a request or its response held.
    auto releasePending(const Pending& pending) -> void;

    /// @return whether another request may be read while one is unanswered.
    [[nodiscard]] auto allowsReadAhead() const -> bool;

    /// @return whether connections that were closed to make room still hold memory.
    [[nodiscard]] auto isAwaitingReturns() const -> bool;

private:
    [[nodiscard]] auto heldBytes() const -> std::size_t;
    auto forceResize() -> void;

    std::shared_ptr<ConnectionBudget> budget;
    std::optional<ConnectionBudget::Account> account;
    std::size_t bufferBytes = 0;
    std::size_t unreadBytes = 0;
    /// The request that is being read.
    std::size_t fieldBytes = 0;
    std::size_t bodyBytes = 0;
    /// Sums over the pending requests.
    std::size_t pendingBytes = 0;
    std::size_t pendingReservedBytes = 0;
};

} // namespace citronloft

/// @file
/// @brief Decides which connections may make a host hold more memory, and which are closed to make room.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief What a connection waits for.
enum class ConnectionState : std::uint8_t {
    /// The caller has to send the rest of a request, or the next one.
    Receiving,
    /// The caller has to read a response.
    Sending,
    /// The host has to answer its requests; such a connection is never closed to make room.
    Running,
};

/// @brief Why a connection is closed to make room.
enum class EvictionReason : std::uint8_t { Memory, Descriptors };

/// @return the name of a reason in logs and metrics.
auto evictionReasonName(EvictionReason reason) -> const char*;

/// @brief Memory for everything that connections make a host hold, and the number of connections.
///
/// Load pattern: callers open many connections, make the host hold as much as the limits of each request allow, and
/// stop. A request finds room if connections that have been silent for some time hold it; a small one also if
/// connections hold it whose request is not complete, the longest silent one first. Connections whose requests run are
/// not closed. Responses may use memory that requests may not, so that requests which have run can be answered.
class ConnectionBudget {
public:
    class Account;

    /// Time without progress after which a connection may be closed to make room for any other one.
    static constexpr auto stallTimeout = std::chrono::seconds { 2 };
    /// Bytes that have to be received or taken by the caller for a connection to have made progress, unless the request
    /// or response ends. Connections that transfer single bytes are as good as silent.
    static constexpr auto progressBytes = std::size_t { 16 } * 1024;
    /// Part of the memory that is left for the bodies of responses, as its reciprocal.
    static constexpr auto responseShareDivisor = std::size_t { 4 };

    /// @param limitBytes maximum sum of the memory that is held.
    /// @param connectionLimit maximum number of accounts.
    explicit ConnectionBudget(
        std::size_t limitBytes, std::size_t connectionLimit = std::numeric_limits<std::size_t>::max())
        : limitBytes(limitBytes)
        , connectionLimit(connectionLimit)
    {
    }
    ConnectionBudget(const ConnectionBudget&) = delete;
    auto operator=(const ConnectionBudget&) -> ConnectionBudget& = delete;

    [[nodiscard]] auto usedBytes() const -> std::size_t { return this->used; }
    [[nodiscard]] auto limit() const -> std::size_t { return this->limitBytes; }
    [[nodiscard]] auto connections() const -> std::size_t { return this->count; }

    /// @return whether connections that were closed to make room still hold a considerable part of the memory.
    [[nodiscard]] auto isAwaitingReturns() const -> bool { return this->evictedBytes > this->limitBytes / 16; }

    /// @return whether a request may be read while others of its connection are not answered: these leave half of the
    /// memory to the first requests of other connections.
    [[nodiscard]] auto allowsReadAhead() const -> bool { return this->fits(0, this->limitBytes / 2); }

    /// @brief Sets a function that is called before a connection is closed to make room.
    auto onEviction(std::function<void(EvictionReason)> callback) -> void
    {
        this->evictionCallback = std::move(callback);
    }

    /// @brief Changes what the body of a request holds; closes connections without progress to make room.
    /// @return whether there is room; if not, nothing changes.
    auto resizeRequestBody(std::size_t oldBytes, std::size_t newBytes) -> bool;

    /// @brief Changes what the body of a response holds; closes connections without progress to make room.
    /// @return whether there is room; if not, nothing changes.
    auto resizeResponseBody(std::size_t oldBytes, std::size_t newBytes) -> bool;

    /// @brief Closes a connection if a new one would exceed the limit on connections.
    /// @return whether there is room for a new one.
    auto makeRoomForConnection(TimePoint now) -> bool;

private:
    using Accounts = std::list<Account*>;

    [[nodiscard]] auto requestLimit() const -> std::size_t
    {
        return this->limitBytes - this->limitBytes / responseShareDivisor;
    }
    [[nodiscard]] auto fits(std::size_t growth, std::size_t limit) const -> bool;
    auto makeRoom(std::size_t growth, std::size_t limit, const Account* exempt, bool evictsRecent) -> bool;
    auto findVictim(const Account* exempt, bool evictsRecent) const -> Account*;
    auto evict(Account& account, EvictionReason reason) -> void;

    std::size_t limitBytes;
    std::size_t connectionLimit;
    std::size_t used = 0;
    /// Memory of connections that have been closed to make room and have not returned it yet.
    std::size_t evictedBytes = 0;
    std::size_t count = 0;
    /// Time of the last event; decisions on bodies are made at this time.
    TimePoint latest {};
    /// Connections that wait for their caller, in order of the last byte received.
    Accounts receiving;
    /// Connections whose response is being written, in order of its begin.
    Accounts sending;
    Accounts others;
    std::function<void(EvictionReason)> evictionCallback;
};

/// @brief What one connection holds; it is returned when the account is destroyed.
class ConnectionBudget::Account {
public:
    /// @param budget must not be null.
    /// @param close closes the connection; called at most once.
    Account(std::shared_ptr<ConnectionBudget> budget, TimePoint now, std::function<void()> close);
    ~Account();
    Account(const Account&) = delete;
    auto operator=(const Account&) -> Account& = delete;

    /// @brief Records that the connection's state has changed.
    auto setState(ConnectionState state, TimePoint now) -> void;

    /// @brief Records that bytes were received or a response was begun.
    /// @param state has no effect if the connection is in another state.
    auto recordProgress(ConnectionState state, TimePoint now) -> void;

    /// @brief Sets what the connection holds, without the counted bodies; closes other connections to make room.
    /// @return whether there is room; if not, nothing changes.
    auto resize(std::size_t bytes) -> bool;

    /// @brief Sets what the connection holds, also if there is no room.
    auto forceResize(std::size_t bytes) -> void;

    /// @brief Sets the size of bodies counted elsewhere that are released when the connection is closed.
    auto setBodyBytes(std::size_t bytes) -> void { this->bodyBytes = bytes; }

private:
    friend class ConnectionBudget;

    auto listOf(ConnectionState state) -> Accounts&;

    std::shared_ptr<ConnectionBudget> budget;
    std::function<void()> close;
    Accounts::iterator position;
    ConnectionState state = ConnectionState::Receiving;
    /// Time of the last byte received or, while sending, of the begin of the response.
    TimePoint lastProgressAt;
    std::size_t heldBytes = 0;
    std::size_t bodyBytes = 0;
    std::size_t pendingReturnBytes = 0;
    bool isEvicted = false;
};

} // namespace citronloft

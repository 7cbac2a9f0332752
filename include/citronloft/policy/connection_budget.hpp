/// @file
/// @brief Decides which connections may make a host hold more memory, and which are closed to make room.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <optional>

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
enum class EvictionReason : std::uint8_t { Memory, Descriptors, PeerPort };

/// @return the name of a reason in logs and metrics.
auto evictionReasonName(EvictionReason reason) -> const char*;

/// @brief Memory for everything that connections make a host hold, and the number of connections.
///
/// Load pattern: callers open many connections, make the host hold as much as the limits of each request allow, and
/// stop. A request finds room if connections that have been silent for some time hold it; a small one also if
/// connections hold it whose request is not complete, the longest silent one first. Connections whose requests run are
/// not closed. Responses may use memory that requests may not, so that requests which have run can be answered.
///
/// What the process holds beside the accounts (its own state, fragmentation, errors of the estimates) is measured and
/// reduces what connections may hold.
class ConnectionBudget {
public:
    class Account;

    /// Time without progress after which a connection may be closed to make room for any other one.
    static constexpr auto stallTimeout = std::chrono::seconds { 2 };
    /// Maximum part of the memory that is left for the bodies of responses, as its reciprocal.
    static constexpr auto responseShareDivisor = std::size_t { 4 };
    /// Memory that is left for the bodies of responses at least, and for each connection whose requests run.
    static constexpr auto minResponseBytes = std::size_t { 2 } * 1024 * 1024;
    static constexpr auto responseBytesPerConnection = std::size_t { 64 } * 1024;
    /// Bytes that have to be received or taken by the caller for a connection to have made progress, unless the request
    /// or response ends. Connections that transfer single bytes are as good as silent.
    static constexpr auto progressBytes = std::size_t { 16 } * 1024;
    /// Part of the memory by which the accounts may grow between two measurements, as its reciprocal.
    static constexpr auto measuredShareDivisor = std::size_t { 32 };
    /// Part of the memory that connections may hold whatever else the process holds, as its reciprocal.
    static constexpr auto minShareDivisor = std::size_t { 8 };

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
    /// @return the maximum of usedBytes() at present.
    [[nodiscard]] auto limit() const -> std::size_t
    {
        return this->limitBytes - std::min(this->overhead, this->limitBytes - this->limitBytes / minShareDivisor);
    }
    /// @return what the process holds beside the accounts, in bytes; 0 if it is not measured.
    [[nodiscard]] auto overheadBytes() const -> std::size_t { return this->overhead; }
    [[nodiscard]] auto connections() const -> std::size_t { return this->count; }

    /// @return whether connections that were closed to make room still hold a considerable part of the memory.
    [[nodiscard]] auto isAwaitingReturns() const -> bool { return this->evictedBytes > this->limit() / 16; }

    /// @return whether a request may be read while others of its connection are not answered: these leave half of the
    /// memory to the first requests of other connections.
    [[nodiscard]] auto allowsReadAhead() const -> bool { return this->fits(0, this->limit() / 2); }

    /// @brief Sets a function that is called before a connection is closed to make room.
    auto onEviction(std::function<void(EvictionReason)> callback) -> void
    {
        this->evictionCallback = std::move(callback);
    }

    /// @brief Sets a function that measures the process's resident memory in bytes. It is called when the accounts have
    /// grown by a considerable part of the memory; the limit is then one on all that the process holds.
    /// @param measure returns nothing if the memory cannot be measured now; the last result then holds on.
    auto setMeter(std::function<std::optional<std::size_t>()> measure) -> void
    {
        this->measureResident = std::move(measure);
    }

    /// @brief Measures the process's memory; without effect if there is no meter.
    auto measure() -> void;

    /// @brief Changes the part of the charged memory that is not resident: unread bytes of connections, which the
    /// system holds, and room reserved for bytes that have not come yet.
    auto changeAbsentBytes(std::size_t oldBytes, std::size_t newBytes) -> void
    {
        this->absent = this->absent - oldBytes + newBytes;
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
        const auto expected = minResponseBytes + this->others.size() * responseBytesPerConnection;
        return this->limit() - std::min(this->limit() / responseShareDivisor, expected);
    }
    auto measureIfGrowing(std::size_t oldBytes, std::size_t newBytes) -> void;
    [[nodiscard]] auto fits(std::size_t growth, std::size_t limit) const -> bool;
    auto makeRoom(std::size_t growth, std::size_t limit, const Account* exempt, bool evictsRecent) -> bool;
    auto findVictim(const Account* exempt, bool evictsRecent) const -> Account*;
    auto evict(Account& account, EvictionReason reason) -> void;

    std::size_t limitBytes;
    std::size_t connectionLimit;
    std::size_t used = 0;
    /// Part of `used` that is not resident.
    std::size_t absent = 0;
    std::size_t overhead = 0;
    /// Value of `used` above which the memory is measured again.
    std::size_t measuredUpTo = 0;
    std::function<std::optional<std::size_t>()> measureResident;
    /// Memory of connections that have been closed to make room and have not returned it yet.
    std::size_t evictedBytes = 0;
    std::size_t count = 0;
    /// Time of the last event; decisions on bodies are made at this time.
    TimePoint latest {};
    /// Connections that wait for their caller to send, or to read a response, in order of their last progress.
    Accounts receiving;
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

    /// @brief Records that progressBytes were received, or taken of a response, or that one was begun.
    /// @param state has no effect if the connection is in another state.
    auto recordProgress(ConnectionState state, TimePoint now) -> void;

    /// @brief Sets what the connection holds, without the counted bodies; closes other connections to make room.
    /// @return whether there is room; if not, nothing changes.
    auto resize(std::size_t bytes) -> bool;

    /// @brief Sets what the connection holds, also if there is no room.
    auto forceResize(std::size_t bytes) -> void;

    /// @brief Sets which part of the held memory is not resident, such as unread bytes.
    auto setAbsentBytes(std::size_t bytes) -> void;

    /// @brief Sets the size of bodies counted elsewhere that are released when the connection is closed.
    auto setBodyBytes(std::size_t bytes) -> void { this->bodyBytes = bytes; }

private:
    friend class ConnectionBudget;

    auto listOf(ConnectionState state) -> Accounts&;

    std::shared_ptr<ConnectionBudget> budget;
    std::function<void()> close;
    Accounts::iterator position;
    ConnectionState state = ConnectionState::Receiving;
    TimePoint lastProgressAt;
    std::size_t heldBytes = 0;
    std::size_t absentBytes = 0;
    std::size_t bodyBytes = 0;
    std::size_t pendingReturnBytes = 0;
    bool isEvicted = false;
};

} // namespace citronloft

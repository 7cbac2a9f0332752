/// @file
/// @brief Until when a server's connection waits for its caller.
#pragma once

#include <cstddef>
#include <optional>

#include "citronloft/base/clock.hpp"
#include "citronloft/edge/http_server.hpp"

namespace citronloft {

/// @brief The time limits of one connection.
///
/// | the caller | limit |
/// | --- | --- |
/// | sends no request | idleTimeout since the last response |
/// | sends a request's header | requestTimeout since its first byte |
/// | sends a body | requestTimeout since each ConnectionBudget::progressBytes of it |
/// | reads a response | writeTimeout since each ConnectionBudget::progressBytes that the caller has taken |
/// | closes its side after the last response | lingerTimeout |
class SessionDeadlines {
public:
    /// Time allowed for the caller to close its side after the last response. Closing earlier could reset the
    /// connection if bytes from the caller are still in transit, and the response would be lost.
    static constexpr auto lingerTimeout = std::chrono::seconds { 1 };

    /// @param option must outlive this object; changes of its timeouts apply from the next event.
    explicit SessionDeadlines(const HttpServerOption& option)
        : option(option)
    {
    }

    auto beginIdle(TimePoint now) -> void { this->idleDeadline = now + this->option.idleTimeout; }

    auto beginRequest(TimePoint now) -> void;

    /// @brief Records that the header is complete.
    auto beginBody() -> void { this->isInBody = true; }

    /// @brief Records the size of the body that has been received of the present request.
    /// @return whether the caller has made progress.
    auto recordBody(std::size_t bytes, TimePoint now) -> bool;

    auto endRequest() -> void { this->readDeadline = TimePoint::max(); }

    /// @param takenBytes bytes that the caller has taken since the connection was opened.
    auto beginResponse(std::size_t takenBytes, TimePoint now) -> void;

    /// @brief Records the bytes that the caller has taken since the connection was opened.
    /// @return whether the caller has made progress.
    auto recordTaken(std::size_t takenBytes, TimePoint now) -> bool;

    auto endResponse(TimePoint now) -> void;

    auto beginLinger(TimePoint now) -> void { this->lingerDeadline = now + lingerTimeout; }

    /// @param isIdle whether no request of the connection is unanswered.
    [[nodiscard]] auto isOverdue(TimePoint now, bool isIdle) const -> bool;

    /// @return what the caller has failed to do in time; nothing if the connection is only idle or lingering.
    [[nodiscard]] auto missed(TimePoint now) const -> std::optional<ConnectionClosure>;

private:
    const HttpServerOption& option;
    bool isInBody = false;
    std::size_t nextBodyProgress = 0;
    std::size_t nextTakenProgress = 0;
    TimePoint idleDeadline = TimePoint::max();
    TimePoint readDeadline = TimePoint::max();
    TimePoint writeDeadline = TimePoint::max();
    TimePoint lingerDeadline = TimePoint::max();
};

} // namespace citronloft

/// @file
/// @brief Supervisor tree: failed components are restarted with exponential backoff; failures beyond a limit are
/// escalated.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Part of the daemon that can be started and stopped repeatedly.
class Component {
public:
    virtual ~Component() = default;

    /// @return the reason if the component could not be started.
    virtual auto start() -> absl::Status = 0;

    virtual auto stop() -> void = 0;
};

/// @brief Restart limits and backoff of a supervisor.
struct SupervisorOption {
    unsigned maxRestarts = 5;
    /// Failures older than this do not count towards the limit.
    std::chrono::seconds failureWindow { 60 };
    std::chrono::milliseconds minBackoff { 100 };
    std::chrono::milliseconds maxBackoff { 5000 };
};

/// @brief Supervises components. A supervisor is a component itself, so that supervisors can be nested.
class Supervisor final : public Component {
public:
    /// @param escalate called when a component exceeds the restart limit, after the supervisor has stopped.
    Supervisor(boost::asio::io_context& context, const Clock& clock, SupervisorOption option,
        std::function<void(absl::Status)> escalate);

    /// @brief Adds a component; must be called before start().
    auto add(std::string name, std::shared_ptr<Component> component) -> void;

    /// @brief Starts all components in order. If one fails, stops those already started.
    /// @return the first failure, with the component's name.
    auto start() -> absl::Status override;

    /// @brief Stops all components in reverse order.
    auto stop() -> void override;

    /// @brief Reports a component's failure; the component is stopped and restarted after a backoff.
    auto reportFailure(const std::string& name, const absl::Status& reason) -> void;

    /// @brief Runs `action`; an exception is reported as a failure of the component.
    auto runGuarded(const std::string& name, const std::function<void()>& action) -> void;

private:
    struct Child {
        std::string name;
        std::shared_ptr<Component> component;
        std::vector<TimePoint> failures;
        std::unique_ptr<boost::asio::steady_timer> timer;
        bool isRunning = false;
    };

    auto restart(Child& child) -> void;

    boost::asio::io_context& context;
    const Clock& clock;
    SupervisorOption option;
    std::function<void(absl::Status)> escalate;
    std::vector<std::unique_ptr<Child>> children;
    bool isStopped = false;
};

} // namespace citronloft

/// @file
/// @brief Supervisor tree: components are restarted with back-off, up to a limit, and then the failure goes up.
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

/// @brief A part of the daemon that can be started and stopped any number of times.
class Component {
public:
    virtual ~Component() = default;

    /// @brief Starts, or says why that failed.
    virtual auto start() -> absl::Status = 0;

    virtual auto stop() -> void = 0;
};

/// @brief Limits on restarts.
struct SupervisorOption {
    unsigned greatestRestarts = 5;
    /// Failures older than this are forgotten.
    std::chrono::seconds window { 60 };
    std::chrono::milliseconds leastBackoff { 100 };
    std::chrono::milliseconds greatestBackoff { 5000 };
};

/// @brief Supervises components, and is one itself, so that supervisors form a tree.
class Supervisor final : public Component {
public:
    /// @param escalate called when a component has failed too often; the supervisor has stopped by then.
    Supervisor(boost::asio::io_context& context, const Clock& clock, SupervisorOption option,
        std::function<void(absl::Status)> escalate);

    /// @brief Adds a component; to be called before start().
    auto add(std::string name, std::shared_ptr<Component> component) -> void;

    /// @brief Starts all components in order; the first failure stops those that run and is returned.
    auto start() -> absl::Status override;

    /// @brief Stops all components in reverse order.
    auto stop() -> void override;

    /// @brief Reports a component's failure; it is restarted after a back-off.
    auto fail(const std::string& name, const absl::Status& reason) -> void;

    /// @brief Runs `action` and reports an exception as the component's failure.
    auto guard(const std::string& name, const std::function<void()>& action) -> void;

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

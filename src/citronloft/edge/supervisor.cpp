#include "citronloft/edge/supervisor.hpp"

#include <algorithm>

#include "citronloft/base/log.hpp"

namespace citronloft {

Supervisor::Supervisor(boost::asio::io_context& context, const Clock& clock, SupervisorOption option,
    std::function<void(absl::Status)> escalate)
    : context(context)
    , clock(clock)
    , option(option)
    , escalate(std::move(escalate))
{
}

auto Supervisor::add(std::string name, std::shared_ptr<Component> component) -> void
{
    auto child = std::make_unique<Child>();
    child->name = std::move(name);
    child->component = std::move(component);
    child->timer = std::make_unique<boost::asio::steady_timer>(this->context);
    this->children.push_back(std::move(child));
}

auto Supervisor::start() -> absl::Status
{
    this->isStopped = false;
    for (auto& child : this->children) {
        const auto status = child->component->start();
        if (!status.ok()) {
            this->stop();
            return absl::Status(status.code(), child->name + ": start failed: " + std::string { status.message() });
        }
        child->isRunning = true;
    }
    return absl::OkStatus();
}

auto Supervisor::stop() -> void
{
    this->isStopped = true;
    for (auto child = this->children.rbegin(); child != this->children.rend(); ++child) {
        (*child)->timer->cancel();
        if (std::exchange((*child)->isRunning, false))
            (*child)->component->stop();
    }
}

auto Supervisor::reportFailure(const std::string& name, const absl::Status& reason) -> void
{
    const auto found = std::ranges::find(this->children, name, [](const auto& child) { return child->name; });
    if (found == this->children.end() || this->isStopped)
        return;
    auto& child = **found;
    if (std::exchange(child.isRunning, false))
        child.component->stop();
    const auto now = this->clock.now();
    std::erase_if(child.failures, [&](TimePoint at) { return now - at > this->option.failureWindow; });
    child.failures.push_back(now);
    LogEvent(LogLevel::Error, "component-failed").with("component", name).with("reason", reason.ToString());
    if (child.failures.size() > this->option.maxRestarts) {
        this->stop();
        this->escalate(absl::AbortedError(
            name + ": exceeded the restart limit; last failure: " + std::string { reason.message() }));
        return;
    }
    const auto doublings = std::min<std::size_t>(child.failures.size() - 1, 10);
    child.timer->expires_after(std::min(this->option.minBackoff * (1 << doublings), this->option.maxBackoff));
    child.timer->async_wait([this, &child](boost::system::error_code error) {
        if (!error && !this->isStopped)
            this->runGuarded(child.name, [&] { this->restart(child); });
    });
}

auto Supervisor::runGuarded(const std::string& name, const std::function<void()>& action) -> void
{
    try {
        action();
    } catch (const std::exception& error) {
        this->reportFailure(name, absl::InternalError(error.what()));
    }
}

auto Supervisor::restart(Child& child) -> void
{
    const auto status = child.component->start();
    if (!status.ok()) {
        this->reportFailure(child.name, status);
        return;
    }
    child.isRunning = true;
    LogEvent(LogLevel::Info, "component-restarted").with("component", child.name);
}

} // namespace citronloft

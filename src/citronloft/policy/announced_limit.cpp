#include "citronloft/policy/announced_limit.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace citronloft {

namespace {

/// Requests that the senders can send to a target before an observation counts as old; one of them is answered.
constexpr auto requestsUntilOld = 4.0;
constexpr auto minRecentTime = std::chrono::seconds { 5 };
constexpr auto maxRecentTime = std::chrono::seconds { 60 };
/// Time for which hosts tell each other that a limit has ended; single messages can be lost.
constexpr auto endReportTime = std::chrono::seconds { 10 };

} // namespace

auto limitChangeName(LimitChange change) -> std::string_view
{
    static constexpr auto names = std::to_array<std::string_view>({ "none", "announced", "changed", "ended" });
    return names.at(static_cast<std::size_t>(change));
}

auto AnnouncedLimit::record(std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> LimitChange
{
    if (!perSecond && (sentAt < this->latestAt || (!this->limit && !this->isEndReported(now))))
        return LimitChange::None;
    this->latestAt = now;
    const auto change = this->update(perSecond);
    if (change == LimitChange::Ended)
        this->endReportedUntil = now + endReportTime;
    return change;
}

auto AnnouncedLimit::merge(const LimitObservation& observation) -> LimitChange
{
    if (observation.observedAt <= this->latestAt)
        return LimitChange::None;
    this->latestAt = observation.observedAt;
    return this->update(observation.perSecond);
}

auto AnnouncedLimit::isRecent(TimePoint now) const -> bool
{
    const auto interval = std::chrono::duration<double>(requestsUntilOld / std::max(this->limit.value_or(0), 1e-3));
    const auto recentTime = std::chrono::duration<double>(minRecentTime) + interval;
    return now - this->latestAt < std::min<std::chrono::duration<double>>(recentTime, maxRecentTime);
}

auto AnnouncedLimit::update(std::optional<double> perSecond) -> LimitChange
{
    const auto previous = std::exchange(this->limit, perSecond);
    if (previous.has_value() != perSecond.has_value())
        return perSecond ? LimitChange::Announced : LimitChange::Ended;
    return previous == perSecond ? LimitChange::None : LimitChange::Changed;
}

} // namespace citronloft

#include "citronloft/policy/request_quarantine.hpp"

#include <algorithm>

namespace citronloft {

namespace {

constexpr auto sweepInterval = std::chrono::seconds { 1 };
/// Losses that are kept of one request; further ones change nothing.
constexpr auto maxLosses = std::size_t { 16 };

} // namespace

RequestQuarantine::RequestQuarantine(RequestQuarantineOption option)
    : option(option)
{
}

auto RequestQuarantine::record(const RequestObservation& observation, TimePoint now) -> bool
{
    if (observation.target == 0) {
        this->recordAnswer(observation.request, observation.observedAt);
        return false;
    }
    if (now - observation.observedAt >= this->option.memory)
        return false;
    if (!this->requests.contains(observation.request) && !this->makeRoom())
        return false;
    auto& request = this->requests[observation.request];
    const auto isBeforeAnswer = request.answeredAt && observation.observedAt <= *request.answeredAt;
    if (isBeforeAnswer || this->isRepeated(request, observation))
        return false;
    if (request.losses.size() >= maxLosses)
        request.losses.erase(request.losses.begin());
    const auto position = std::ranges::upper_bound(request.losses, observation.observedAt, {}, &Loss::at);
    request.losses.insert(position, { observation.target, observation.observedAt });
    const auto isQuarantined = request.quarantinedUntil && now < *request.quarantinedUntil;
    if (isQuarantined || (!request.quarantinedUntil && this->countLosses(request) < this->option.losses))
        return false;
    request.quarantinedUntil = this->termEnd(now);
    return true;
}

/// @return whether a loss with the same target is known that can be the same one, or another one of the same crash.
auto RequestQuarantine::isRepeated(const Request& request, const RequestObservation& loss) const -> bool
{
    return std::ranges::any_of(request.losses, [&](const Loss& known) {
        const auto distance = loss.observedAt > known.at ? loss.observedAt - known.at : known.at - loss.observedAt;
        return known.target == loss.target && distance < this->option.restartTime;
    });
}

auto RequestQuarantine::recordAnswer(std::uint64_t request, TimePoint at) -> void
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    auto& known = found->second;
    known.answeredAt = std::max(known.answeredAt.value_or(at), at);
    std::erase_if(known.losses, [&](const Loss& loss) { return loss.at <= known.answeredAt; });
    if (known.losses.empty())
        known.quarantinedUntil.reset();
}

auto RequestQuarantine::quarantine(std::uint64_t request, TimePoint until) -> void
{
    if (!this->requests.contains(request) && !this->makeRoom())
        return;
    auto& known = this->requests[request];
    known.quarantinedUntil = std::max(known.quarantinedUntil.value_or(until), until);
}

auto RequestQuarantine::isQuarantined(std::uint64_t request, TimePoint now) const -> bool
{
    const auto found = this->requests.find(request);
    return found != this->requests.end() && found->second.quarantinedUntil && now < *found->second.quarantinedUntil;
}

auto RequestQuarantine::isSuspected(std::uint64_t request) const -> bool
{
    const auto found = this->requests.find(request);
    return found != this->requests.end() && (!found->second.losses.empty() || found->second.quarantinedUntil);
}

auto RequestQuarantine::allowsRetry(std::uint64_t request, unsigned unreportedLosses) const -> bool
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return unreportedLosses + 1 < this->option.losses;
    const auto losses = this->countLosses(found->second) + unreportedLosses;
    return !found->second.quarantinedUntil && losses + 1 < this->option.losses;
}

auto RequestQuarantine::quarantinedCount(TimePoint now) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->requests, [&](const auto& item) { return this->isQuarantined(item.first, now); }));
}

auto RequestQuarantine::tick(TimePoint now) -> void
{
    if (now < this->nextSweepAt)
        return;
    this->nextSweepAt = now + sweepInterval;
    std::erase_if(this->requests, [&](const auto& item) { return this->isForgettable(item.second, now); });
}

auto RequestQuarantine::isForgettable(const Request& request, TimePoint now) const -> bool
{
    const auto hasRecentLoss = !request.losses.empty() && now - request.losses.back().at < this->option.memory;
    const auto isRemembered = request.quarantinedUntil && now < *request.quarantinedUntil + this->option.term;
    const auto hasRecentAnswer = request.answeredAt && now - *request.answeredAt < sweepInterval;
    return !hasRecentLoss && !isRemembered && !hasRecentAnswer;
}

/// If the table is full, forgets the requests with one loss: there are many of them after targets have failed in
/// numbers.
/// @return whether there is room for another request.
auto RequestQuarantine::makeRoom() -> bool
{
    if (this->requests.size() < this->option.maxRequests)
        return true;
    std::erase_if(this->requests,
        [](const auto& item) { return item.second.losses.size() <= 1 && !item.second.quarantinedUntil; });
    return this->requests.size() < this->option.maxRequests;
}

auto RequestQuarantine::countLosses(const Request& request) const -> unsigned
{
    auto count = 0U;
    auto lastCounted = TimePoint {};
    for (const auto& loss : request.losses) {
        if (count > 0 && loss.at - lastCounted < this->option.minSpacing)
            continue;
        ++count;
        lastCounted = loss.at;
    }
    return count;
}

} // namespace citronloft

#include "citronloft/policy/held_losses.hpp"

#include <algorithm>
#include <utility>

namespace citronloft {

HeldLosses::HeldLosses(HeldLossOption option)
    : option(option)
{
}

auto HeldLosses::drop(std::uint64_t request) -> void
{
    std::erase_if(this->losses, [request](const HeldLoss& loss) { return loss.request == request; });
}

auto HeldLosses::recordTargetEnd(const std::string& target) -> bool
{
    auto isNew = false;
    for (auto& loss : this->losses) {
        if (loss.target == target)
            isNew = !std::exchange(loss.hasTargetEnded, true) || isNew;
    }
    return isNew;
}

auto HeldLosses::recordRun(const std::string& address, const std::string& target) -> std::vector<std::string>
{
    auto ended = std::vector<std::string> {};
    for (auto& loss : this->losses) {
        if (loss.address == address && loss.target != target && !std::exchange(loss.hasTargetEnded, true))
            ended.push_back(loss.target);
    }
    return ended;
}

auto HeldLosses::takeConfirmed(TimePoint reachedStart, TimePoint now) -> std::vector<HeldLoss>
{
    auto confirmed = std::vector<HeldLoss> {};
    auto excess = this->losses.size() - std::min(this->losses.size(), this->option.maxCount);
    std::erase_if(this->losses, [&](HeldLoss& loss) {
        const auto isOver = now - loss.lostAt >= this->option.maxTime || excess > 0;
        excess -= excess > 0 ? 1 : 0;
        const auto isConfirmed = loss.hasTargetEnded && (isOver || loss.lostAt < reachedStart);
        if (isConfirmed)
            confirmed.push_back(std::move(loss));
        return isConfirmed || isOver;
    });
    return confirmed;
}

auto HeldLosses::needsProbe(TimePoint reachedStart, TimePoint now) const -> bool
{
    return std::ranges::any_of(this->losses, [&](const HeldLoss& loss) {
        return loss.lostAt >= reachedStart && now - loss.lostAt >= this->option.probeAfter;
    });
}

auto HeldLosses::contains(std::uint64_t request) const -> bool
{
    return std::ranges::find(this->losses, request, &HeldLoss::request) != this->losses.end();
}

} // namespace citronloft

#include "citronloft/policy/held_losses.hpp"

#include <algorithm>
#include <iterator>

namespace citronloft {

HeldLosses::HeldLosses(HeldLossOption option)
    : option(option)
{
}

auto HeldLosses::drop(std::uint64_t request) -> void
{
    std::erase_if(this->losses, [request](const HeldLoss& loss) { return loss.request == request; });
}

auto HeldLosses::takeConfirmed(TimePoint reachedStart, TimePoint now) -> std::vector<HeldLoss>
{
    const auto firstHeld = std::ranges::find_if(this->losses,
        [&](const HeldLoss& loss) { return loss.lostAt >= reachedStart && now - loss.lostAt < this->option.maxTime; });
    const auto excess = this->losses.size() - std::min(this->losses.size(), this->option.maxCount);
    const auto end = std::max(firstHeld, this->losses.begin() + static_cast<std::ptrdiff_t>(excess));
    auto confirmed = std::vector<HeldLoss>(std::make_move_iterator(this->losses.begin()), std::make_move_iterator(end));
    this->losses.erase(this->losses.begin(), end);
    return confirmed;
}

auto HeldLosses::needsProbe(TimePoint now) const -> bool
{
    return !this->losses.empty() && now - this->losses.front().lostAt >= this->option.probeAfter;
}

auto HeldLosses::contains(std::uint64_t request) const -> bool
{
    return std::ranges::find(this->losses, request, &HeldLoss::request) != this->losses.end();
}

} // namespace citronloft

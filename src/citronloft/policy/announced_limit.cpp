#include "citronloft/policy/announced_limit.hpp"

#include <array>
#include <utility>

namespace citronloft {

auto limitChangeName(LimitChange change) -> std::string_view
{
    static constexpr auto names = std::to_array<std::string_view>({ "none", "announced", "changed", "ended" });
    return names.at(static_cast<std::size_t>(change));
}

auto AnnouncedLimit::record(std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> LimitChange
{
    if (!perSecond) {
        if (!this->limit || sentAt < this->statedAt)
            return LimitChange::None;
        this->limit.reset();
        return LimitChange::Ended;
    }
    this->statedAt = now;
    const auto previous = std::exchange(this->limit, perSecond);
    if (!previous)
        return LimitChange::Announced;
    return *previous == *perSecond ? LimitChange::None : LimitChange::Changed;
}

} // namespace citronloft

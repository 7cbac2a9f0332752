#include "citronloft/fleet/store_era.hpp"

#include <utility>

#include "citronloft/base/log.hpp"

namespace citronloft {

StoreEra::StoreEra(Metrics& metrics)
    : metrics(metrics)
{
}

auto StoreEra::record(std::uint64_t era) -> bool
{
    if (era < this->newest) {
        this->metrics.count("citronloft_store_answers_outdated_total");
        LogEvent(LogLevel::Warning, "store-answer-outdated").with("era", era).with("newest_era", this->newest);
        return false;
    }
    const auto isFirst = !std::exchange(this->hasAnswered, true);
    const auto previous = std::exchange(this->newest, era);
    if (isFirst || era > previous)
        this->metrics.set("citronloft_store_era", {}, static_cast<double>(era));
    if (!isFirst && era > previous)
        LogEvent(LogLevel::Warning, "store-restored").with("era", era).with("previous_era", previous);
    return true;
}

} // namespace citronloft

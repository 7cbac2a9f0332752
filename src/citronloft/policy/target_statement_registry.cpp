#include "citronloft/policy/target_statement_registry.hpp"

#include <algorithm>

namespace citronloft {

namespace {

/// Entries can disappear and return while the store is unavailable or has been restored, although their targets still
/// run.
constexpr auto retention = std::chrono::minutes { 10 };

} // namespace

auto TargetStatementRegistry::statementsOf(const std::string& key) -> std::shared_ptr<TargetStatements>
{
    auto& record = this->records[key];
    if (!record.statements)
        record.statements = std::make_shared<TargetStatements>();
    record.expiresAt.reset();
    return record.statements;
}

auto TargetStatementRegistry::expire(TimePoint now) -> void
{
    for (auto& [key, record] : this->records) {
        if (record.isHeld() || !record.expiresAt)
            record.expiresAt = std::max<TimePoint>(now + retention, record.statements->pausedUntil());
    }
    std::erase_if(this->records, [now](const auto& item) { return item.second.isExpired(now); });
}

auto TargetStatementRegistry::Record::isExpired(TimePoint now) const -> bool
{
    const auto hasStatement = this->statements->isLeaving() || this->statements->isPaused(now);
    return !this->isHeld() && (!hasStatement || now >= *this->expiresAt);
}

} // namespace citronloft

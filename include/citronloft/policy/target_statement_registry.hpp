/// @file
/// @brief What the runs of targets have stated in their answers, independent of their entries.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "citronloft/base/clock.hpp"
#include "citronloft/policy/target_statements.hpp"

namespace citronloft {

/// @brief Statements by the key of a target's run; shared by all pools of a host.
///
/// An entry can be away while its target still runs and answers, or return under another service. What the run has
/// stated holds all the same.
class TargetStatementRegistry {
public:
    /// @return the statements of a run; empty ones if it has made none.
    auto statementsOf(const std::string& key) -> std::shared_ptr<TargetStatements>;

    /// @brief Drops the statements of runs that no pool has held for ten minutes, and that ask for no longer pause.
    auto expire(TimePoint now) -> void;

    /// @return number of runs whose statements are kept.
    [[nodiscard]] auto size() const -> std::size_t { return this->records.size(); }

private:
    struct Record {
        std::shared_ptr<TargetStatements> statements;
        /// End of the retention; nothing before the first expire() after the record was used.
        std::optional<TimePoint> expiresAt;

        /// @return whether a pool has a member with this key.
        [[nodiscard]] auto isHeld() const -> bool { return this->statements.use_count() > 1; }
        [[nodiscard]] auto isExpired(TimePoint now) const -> bool;
    };

    std::unordered_map<std::string, Record> records;
};

} // namespace citronloft

/// @file
/// @brief Applies a configuration: chunks first, then one conditional update of the manifest.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "citronloft/base/config.hpp"
#include "citronloft/fleet/config_manifest.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief A change to apply.
struct ConfigChange {
    Config config;
    std::string operatorName;
    std::string summary;
    /// Random; settles lost replies.
    std::string changeId;
    /// Version that the operator read; unset: whatever is in force.
    std::optional<std::uint64_t> expectedVersion;
};

/// @brief What became of a change.
enum class ApplyOutcome : std::uint8_t {
    Accepted,
    /// Nothing differs from the configuration in force.
    Unchanged,
    /// Another change came first; nothing of this one is in force.
    Conflict,
    /// The store refused or could not be reached before the update was sent; not accepted.
    NotAccepted,
    /// The update was sent and the store can't be asked what became of it.
    Unknown,
};

/// @brief Result of an apply.
struct ApplyResult {
    ApplyOutcome outcome = ApplyOutcome::NotAccepted;
    /// Version in force after the apply, as far as known.
    std::uint64_t version = 0;
    std::string reason;
    std::size_t changedRecords = 0;
};

/// @brief Receives the result of an apply.
using ApplyDone = std::function<void(ApplyResult)>;

/// @brief Tries of a read that settles a lost reply.
struct ApplyOption {
    unsigned settleTries = 20;
    /// Runs its argument after a delay; set by the caller's event loop.
    std::function<void(std::function<void()>)> later = [](const std::function<void()>& action) { action(); };
};

/// @brief Applies a change.
auto applyConfig(std::shared_ptr<ObjectStore> store, ConfigChange change, ApplyOption option, ApplyDone done) -> void;

} // namespace citronloft

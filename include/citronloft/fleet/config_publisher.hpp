/// @file
/// @brief Publishes a configuration: writes the chunks first, then the manifest with one conditional update.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "citronloft/base/config.hpp"
#include "citronloft/fleet/config_manifest.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief A configuration change to publish.
struct ConfigChange {
    Config config;
    std::string operatorName;
    std::string summary;
    /// Random id that shows after a lost reply whether the change was accepted.
    std::string changeId;
    /// Version that the operator's change is based on; if unset, the stored one.
    std::optional<std::uint64_t> expectedVersion;
};

/// @brief Outcome of publishing a change.
enum class ApplyOutcome : std::uint8_t {
    Accepted,
    /// No record differs from the stored configuration.
    Unchanged,
    /// Another change was accepted first; no part of this one is applied.
    Conflict,
    /// The store refused a call or was unreachable before the update was sent.
    NotAccepted,
    /// The update was sent, but the store does not answer whether it was accepted.
    Unknown,
};

/// @brief Result of applyConfig().
struct ApplyResult {
    ApplyOutcome outcome = ApplyOutcome::NotAccepted;
    /// Version that is stored afterwards, as far as known.
    std::uint64_t version = 0;
    std::string reason;
    std::size_t changedRecords = 0;
};

/// @brief Receives the result of applyConfig().
using ApplyDone = std::function<void(ApplyResult)>;

/// @brief Retry settings of applyConfig().
struct ApplyOption {
    /// Maximum failed calls: one limit for writing the chunks, and one for updating the manifest and reading it back.
    unsigned maxFailedCalls = 20;
    /// Runs its argument after a delay, on the caller's event loop; immediately by default.
    std::function<void(std::function<void()>)> runLater = [](const std::function<void()>& action) { action(); };
};

/// @brief Publishes a change and calls `done` with the result.
auto applyConfig(std::shared_ptr<ObjectStore> store, ConfigChange change, ApplyOption option, ApplyDone done) -> void;

} // namespace citronloft

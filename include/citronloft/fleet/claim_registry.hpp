/// @file
/// @brief Claims idempotency keys in the store, so that a request runs at most once across the fleet.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief Result of claiming an idempotency key.
enum class ClaimOutcome : std::uint8_t {
    /// This request holds the key and can be sent.
    Granted,
    /// Another request holds the key and may already have run.
    Duplicate,
    /// The store did not answer; this request was not sent.
    Unavailable,
};

/// @brief A claimed key; pass it to release() if the request provably did not run.
struct Claim {
    std::string objectKey;
    std::string claimId;
    StoreRevision version = absentVersion;
};

/// @brief Claims keys by creating one store object per key, on the condition that none exists.
///
/// Claims do not expire. Only the holder releases a claim, and only if the request provably did not run, so that the
/// caller can retry with the same key.
class ClaimRegistry : public std::enable_shared_from_this<ClaimRegistry> {
public:
    using Done = std::function<void(ClaimOutcome, Claim)>;

    explicit ClaimRegistry(std::shared_ptr<ObjectStore> store);

    /// @brief Claims `key` for `team` and calls `done` with the outcome. Only a digest of the key is stored.
    auto claim(const std::string& team, const std::string& key, Done done) -> void;

    /// @brief Releases a claim whose request did not run; retries a few times if the store fails.
    auto release(const Claim& claim) -> void;

private:
    auto tryClaim(Claim claim, unsigned triesLeft, Done done) -> void;
    auto readBack(Claim claim, unsigned triesLeft, Done done) -> void;
    auto tryRelease(const Claim& claim, unsigned triesLeft) -> void;

    std::shared_ptr<ObjectStore> store;
};

/// @return the store key of a team's claim on an idempotency key.
auto claimObjectKey(const std::string& team, const std::string& key) -> std::string;

} // namespace citronloft

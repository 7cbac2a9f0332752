/// @file
/// @brief Claims idempotency keys in the store, so that a request runs at most once across the fleet.
#pragma once

#include <deque>
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
    /// The store did not answer, or has just been restored; this request was not sent.
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
///
/// A store that was restored from a copy lacks the latest claims. Each host writes its own again, and grants no new
/// ones until the others have had time to do so.
class ClaimRegistry : public std::enable_shared_from_this<ClaimRegistry> {
public:
    using Done = std::function<void(ClaimOutcome, Claim)>;

    ClaimRegistry(std::shared_ptr<ObjectStore> store, const Clock& clock);

    /// @brief Writes claims again after a restore of the store; call about every 20 ms.
    auto tick(TimePoint now) -> void;

    /// @brief Claims `key` for `team` and calls `done` with the outcome. Only a digest of the key is stored.
    auto claim(const std::string& team, const std::string& key, Done done) -> void;

    /// @brief Releases a claim whose request did not run; retries a few times if the store fails.
    auto release(const Claim& claim) -> void;

private:
    /// A granted claim that a copy of the store can lack.
    struct RecentClaim {
        Claim claim;
        TimePoint forgetAt;
    };

    auto detectRestore(TimePoint now) -> void;
    auto rewriteNext() -> void;
    auto grant(const Claim& claim, const Done& done) -> void;
    auto tryClaim(Claim claim, unsigned triesLeft, Done done) -> void;
    auto readBack(Claim claim, unsigned triesLeft, Done done) -> void;
    auto tryRelease(const Claim& claim, unsigned triesLeft) -> void;

    std::shared_ptr<ObjectStore> store;
    const Clock& clock;
    /// Era of the store in which claims are granted.
    std::uint64_t era = 0;
    /// Until then no claim is granted, since the store may lack claims of other hosts.
    TimePoint grantsFrom {};
    std::deque<RecentClaim> recentClaims;
    /// Claims that must be written again.
    std::deque<Claim> lostClaims;
    bool isRewriting = false;
    TimePoint nextRewriteAt {};
};

/// @return the store key of a team's claim on an idempotency key.
auto claimObjectKey(const std::string& team, const std::string& key) -> std::string;

} // namespace citronloft

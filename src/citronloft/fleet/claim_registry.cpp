#include "citronloft/fleet/claim_registry.hpp"

#include "citronloft/base/digest.hpp"
#include "citronloft/base/log.hpp"

namespace citronloft {

namespace {

/// Value of a released claim; the next claimant can replace it.
constexpr auto releasedClaimValue = "released";
/// Maximum age of a copy from which the store is restored.
constexpr auto maxCopyAge = std::chrono::seconds { 60 };
/// Time after a restore in which every host that reaches the store notices it and writes its claims again.
constexpr auto rewriteTime = std::chrono::seconds { 3 };
constexpr auto rewriteRetryDelay = std::chrono::milliseconds { 100 };
constexpr auto claimRetries = 3U;
constexpr auto releaseAttempts = 5U;

auto newClaimId() -> std::string { return std::to_string(randomId()) + "-" + std::to_string(randomId()); }

} // namespace

auto claimObjectKey(const std::string& team, const std::string& key) -> std::string
{
    return "claims/" + team + "/" + toHex(sha256(key));
}

ClaimRegistry::ClaimRegistry(std::shared_ptr<ObjectStore> store, const Clock& clock)
    : store(std::move(store))
    , clock(clock)
{
}

auto ClaimRegistry::tick(TimePoint now) -> void
{
    this->detectRestore(now);
    while (!this->recentClaims.empty() && now >= this->recentClaims.front().forgetAt)
        this->recentClaims.pop_front();
    if (!this->isRewriting && !this->lostClaims.empty() && now >= this->nextRewriteAt)
        this->rewriteNext();
}

auto ClaimRegistry::detectRestore(TimePoint now) -> void
{
    if (this->store->era() == this->era)
        return;
    this->era = this->store->era();
    this->grantsFrom = now + rewriteTime;
    this->lostClaims.clear();
    for (const auto& recent : this->recentClaims)
        this->lostClaims.push_back(recent.claim);
    LogEvent(LogLevel::Warning, "claims-rewritten").with("era", this->era).with("claims", this->lostClaims.size());
}

auto ClaimRegistry::rewriteNext() -> void
{
    this->isRewriting = true;
    const auto& claim = this->lostClaims.front();
    this->store->put(
        claim.objectKey, claim.claimId, absentVersion, [self = this->shared_from_this(), claim](const auto& result) {
            self->isRewriting = false;
            const auto isStored = result.ok() || absl::IsAborted(result.status());
            if (!isStored) {
                self->nextRewriteAt = self->clock.now() + rewriteRetryDelay;
                return;
            }
            if (!self->lostClaims.empty() && self->lostClaims.front().claimId == claim.claimId)
                self->lostClaims.pop_front();
            if (!self->lostClaims.empty())
                self->rewriteNext();
        });
}

/// Grants a claim that the store has accepted, unless the store was restored since the claim was made or a moment
/// before.
auto ClaimRegistry::grant(const Claim& claim, const Done& done) -> void
{
    const auto now = this->clock.now();
    this->detectRestore(now);
    if (now < this->grantsFrom) {
        this->release(claim);
        done(ClaimOutcome::Unavailable, claim);
        return;
    }
    this->recentClaims.push_back({ claim, now + maxCopyAge });
    done(ClaimOutcome::Granted, claim);
}

auto ClaimRegistry::claim(const std::string& team, const std::string& key, Done done) -> void
{
    const auto now = this->clock.now();
    this->detectRestore(now);
    if (now < this->grantsFrom)
        return done(ClaimOutcome::Unavailable, {});
    this->tryClaim({ claimObjectKey(team, key), newClaimId(), absentVersion }, claimRetries, std::move(done));
}

auto ClaimRegistry::tryClaim(Claim claim, unsigned triesLeft, Done done) -> void
{
    this->store->put(claim.objectKey, claim.claimId, claim.version,
        [self = this->shared_from_this(), claim, triesLeft, done = std::move(done)](const auto& result) {
            if (!result.ok())
                return self->readBack(claim, triesLeft, done);
            auto held = claim;
            held.version = *result;
            self->grant(held, done);
        });
}

/// Reads the claim back after a conflict or a lost reply: the stored claim id decides who holds the key.
auto ClaimRegistry::readBack(Claim claim, unsigned triesLeft, Done done) -> void
{
    this->store->get(claim.objectKey, [self = this->shared_from_this(), claim, triesLeft, done](const auto& result) {
        auto found = claim;
        if (result.ok()) {
            found.version = result->version;
            if (result->value == claim.claimId)
                return self->grant(found, done);
            if (result->value == releasedClaimValue && triesLeft > 0)
                return self->tryClaim(found, triesLeft - 1, done);
            return done(ClaimOutcome::Duplicate, found);
        }
        if (absl::IsNotFound(result.status()) && triesLeft > 0) {
            found.version = absentVersion;
            return self->tryClaim(found, triesLeft - 1, done);
        }
        if (triesLeft > 0 && !absl::IsUnavailable(result.status()))
            return self->readBack(found, triesLeft - 1, done);
        // The write may have taken effect even so; release the claim to keep the key usable.
        self->release(found);
        done(ClaimOutcome::Unavailable, found);
    });
}

auto ClaimRegistry::release(const Claim& claim) -> void
{
    std::erase_if(this->recentClaims, [&](const auto& recent) { return recent.claim.claimId == claim.claimId; });
    std::erase_if(this->lostClaims, [&](const auto& lost) { return lost.claimId == claim.claimId; });
    this->tryRelease(claim, releaseAttempts);
}

auto ClaimRegistry::tryRelease(const Claim& claim, unsigned triesLeft) -> void
{
    if (triesLeft == 0)
        return;
    this->store->get(claim.objectKey, [self = this->shared_from_this(), claim, triesLeft](const auto& found) {
        if (!found.ok() && !absl::IsNotFound(found.status()))
            return self->tryRelease(claim, triesLeft - 1);
        if (!found.ok() || found->value != claim.claimId)
            return;
        self->store->put(
            claim.objectKey, releasedClaimValue, found->version, [self, claim, triesLeft](const auto& result) {
                if (!result.ok())
                    self->tryRelease(claim, triesLeft - 1);
            });
    });
}

} // namespace citronloft

#include "citronloft/fleet/claim_registry.hpp"

#include "citronloft/base/digest.hpp"

namespace citronloft {

namespace {

/// Value of a released claim; the next claimant can replace it.
constexpr auto releasedClaimValue = "released";
constexpr auto claimRetries = 3U;
constexpr auto releaseAttempts = 5U;

auto newClaimId() -> std::string { return std::to_string(randomId()) + "-" + std::to_string(randomId()); }

} // namespace

auto claimObjectKey(const std::string& team, const std::string& key) -> std::string
{
    return "claims/" + team + "/" + toHex(sha256(key));
}

ClaimRegistry::ClaimRegistry(std::shared_ptr<ObjectStore> store)
    : store(std::move(store))
{
}

auto ClaimRegistry::claim(const std::string& team, const std::string& key, Done done) -> void
{
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
            done(ClaimOutcome::Granted, held);
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
                return done(ClaimOutcome::Granted, found);
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

auto ClaimRegistry::release(const Claim& claim) -> void { this->tryRelease(claim, releaseAttempts); }

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

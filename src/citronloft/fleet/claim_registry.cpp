#include "citronloft/fleet/claim_registry.hpp"

#include "citronloft/base/digest.hpp"

namespace citronloft {

namespace {

/// Value of a claim that was given up; the next claimant may replace it.
constexpr auto releasedValue = "released";
constexpr auto settleTries = 3U;
constexpr auto releaseTries = 5U;

auto newClaimId() -> std::string { return std::to_string(randomId()) + "-" + std::to_string(randomId()); }

} // namespace

auto claimKey(const std::string& team, const std::string& key) -> std::string
{
    return "claims/" + team + "/" + toHex(sha256(key));
}

ClaimRegistry::ClaimRegistry(std::shared_ptr<ObjectStore> store)
    : store(std::move(store))
{
}

auto ClaimRegistry::claim(const std::string& team, const std::string& key, Done done) -> void
{
    this->create({ claimKey(team, key), newClaimId(), absentVersion }, settleTries, std::move(done));
}

auto ClaimRegistry::create(Claim claim, unsigned tries, Done done) -> void
{
    this->store->put(claim.objectKey, claim.claimId, claim.version,
        [self = this->shared_from_this(), claim, tries, done = std::move(done)](const auto& result) {
            if (!result.ok())
                return self->settle(claim, tries, done);
            auto held = claim;
            held.version = *result;
            done(ClaimOutcome::Granted, held);
        });
}

/// After a conflict or a lost reply the stored claimant decides.
auto ClaimRegistry::settle(Claim claim, unsigned tries, Done done) -> void
{
    this->store->get(claim.objectKey, [self = this->shared_from_this(), claim, tries, done](const auto& result) {
        auto found = claim;
        if (result.ok()) {
            found.version = result->version;
            if (result->value == claim.claimId)
                return done(ClaimOutcome::Granted, found);
            if (result->value == releasedValue && tries > 0)
                return self->create(found, tries - 1, done);
            return done(ClaimOutcome::Duplicate, found);
        }
        if (absl::IsNotFound(result.status()) && tries > 0) {
            found.version = absentVersion;
            return self->create(found, tries - 1, done);
        }
        if (tries > 0 && !absl::IsUnavailable(result.status()))
            return self->settle(found, tries - 1, done);
        // The create may have taken effect after all: give it up, so that the key stays usable.
        self->release(found);
        done(ClaimOutcome::Unavailable, found);
    });
}

auto ClaimRegistry::release(const Claim& claim) -> void { this->releaseTry(claim, releaseTries); }

auto ClaimRegistry::releaseTry(const Claim& claim, unsigned tries) -> void
{
    if (tries == 0)
        return;
    this->store->get(claim.objectKey, [self = this->shared_from_this(), claim, tries](const auto& found) {
        if (!found.ok() && !absl::IsNotFound(found.status()))
            return self->releaseTry(claim, tries - 1);
        if (!found.ok() || found->value != claim.claimId)
            return;
        self->store->put(claim.objectKey, releasedValue, found->version, [self, claim, tries](const auto& result) {
            if (!result.ok())
                self->releaseTry(claim, tries - 1);
        });
    });
}

} // namespace citronloft

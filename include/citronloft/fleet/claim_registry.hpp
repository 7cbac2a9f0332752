/// @file
/// @brief Claims of idempotency keys in the store: a key's request runs at most once over the whole fleet.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief Result of claiming a key.
enum class ClaimOutcome : std::uint8_t {
    /// This request holds the key; it may be sent.
    Granted,
    /// Another request holds the key; it may have run.
    Duplicate,
    /// The store could not be asked; this request was not sent.
    Unavailable,
};

/// @brief A held key; returned to release() if the request is proved not to have run.
struct Claim {
    std::string objectKey;
    std::string claimId;
    std::uint64_t version = absentVersion;
};

/// @brief Claims keys by create-if-absent.
///
/// A claim lasts. It is released only by its holder, and only for a request that is proved not to have run, so that the
/// caller may try the same key again.
class ClaimRegistry : public std::enable_shared_from_this<ClaimRegistry> {
public:
    using Done = std::function<void(ClaimOutcome, Claim)>;

    explicit ClaimRegistry(std::shared_ptr<ObjectStore> store);

    /// @param team and `key` name the claim; the key itself is stored only as a digest.
    auto claim(const std::string& team, const std::string& key, Done done) -> void;

    /// @brief Releases a claim whose request did not run; tries again a few times if the store fails.
    auto release(const Claim& claim) -> void;

private:
    auto create(Claim claim, unsigned tries, Done done) -> void;
    auto settle(Claim claim, unsigned tries, Done done) -> void;
    auto releaseTry(const Claim& claim, unsigned tries) -> void;

    std::shared_ptr<ObjectStore> store;
};

/// @return store key of a claim.
auto claimKey(const std::string& team, const std::string& key) -> std::string;

} // namespace citronloft

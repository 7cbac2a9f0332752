/// @file
/// @brief Interface of the platform's object store.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "citronloft/base/clock.hpp"
#include "citronloft/fleet/store_revision.hpp"

namespace citronloft {

/// @brief A value and its version; the versions of a key only increase, also when the store is restored from a copy.
struct StoredObject {
    std::string value;
    StoreRevision version;
};

/// @brief Expected version of an object that must not exist yet.
inline constexpr auto absentVersion = StoreRevision {};

/// @brief Asynchronous object API with versions and conditional updates.
///
/// Errors: NotFound, Aborted (the object does not have the expected version), Unavailable and DeadlineExceeded. After
/// Unavailable or DeadlineExceeded a write may or may not have taken effect. A conditional write that the store
/// receives after it was restored from a copy ends with Aborted even if it took effect; reading the object shows
/// whether it did.
class ObjectStore {
public:
    using GetDone = std::function<void(absl::StatusOr<StoredObject>)>;
    using PutDone = std::function<void(absl::StatusOr<StoreRevision>)>;
    using ListDone = std::function<void(absl::StatusOr<std::vector<std::string>>)>;

    virtual ~ObjectStore() = default;

    /// @brief Reads an object.
    virtual auto get(const std::string& key, GetDone done) -> void = 0;

    /// @brief Writes an object if its current version is `expected`; `done` receives the new version.
    virtual auto put(const std::string& key, std::string value, const StoreRevision& expected, PutDone done) -> void
        = 0;

    /// @brief Answers with the object once its version exceeds `after`, or with NotFound once `wait` has passed.
    virtual auto watch(const std::string& key, const StoreRevision& after, Duration wait, GetDone done) -> void = 0;

    /// @brief Lists the keys that start with `prefix`.
    virtual auto list(const std::string& prefix, ListDone done) -> void = 0;

    /// @return the newest era in which the store has answered; it rises when the store has been restored from a copy,
    /// which lacks the latest writes.
    [[nodiscard]] virtual auto era() const -> std::uint64_t = 0;
};

} // namespace citronloft

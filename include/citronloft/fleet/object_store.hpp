/// @file
/// @brief The platform's object service as the fleet sees it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief A value and its version; versions of one key only grow.
struct StoredObject {
    std::string value;
    std::uint64_t version = 0;
};

/// @brief Version to expect of an object that must not exist yet.
inline constexpr auto absentVersion = std::uint64_t { 0 };

/// @brief Asynchronous object API with versions and conditional updates.
///
/// Status of a call: NotFound, Aborted (the expected version does not hold), Unavailable and DeadlineExceeded. After
/// Unavailable or DeadlineExceeded a change may or may not have taken effect.
class ObjectStore {
public:
    using GetDone = std::function<void(absl::StatusOr<StoredObject>)>;
    using PutDone = std::function<void(absl::StatusOr<std::uint64_t>)>;
    using ListDone = std::function<void(absl::StatusOr<std::vector<std::string>>)>;

    virtual ~ObjectStore() = default;

    /// @brief Reads an object.
    virtual auto get(const std::string& key, GetDone done) -> void = 0;

    /// @brief Writes an object if its version is `expected`; `done` receives the new version.
    virtual auto put(const std::string& key, std::string value, std::uint64_t expected, PutDone done) -> void = 0;

    /// @brief Answers when the version is greater than `after`, or with NotFound when `wait` has passed.
    virtual auto watch(const std::string& key, std::uint64_t after, Duration wait, GetDone done) -> void = 0;

    /// @brief Lists keys that start with `prefix`.
    virtual auto list(const std::string& prefix, ListDone done) -> void = 0;
};

} // namespace citronloft

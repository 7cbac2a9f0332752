/// @file
/// @brief ObjectStore client for the HTTP protocol of the stand-in store (docs/PLATFORM.md); another platform provides
/// its own implementation.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "citronloft/base/metrics.hpp"
#include "citronloft/edge/http_client.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief Address, timeouts and circuit breaker limits of the store client.
struct HttpObjectStoreOption {
    Address address;
    std::chrono::milliseconds callTimeout { 1500 };
    /// Number of consecutive failures that open the circuit breaker.
    unsigned failuresToOpen = 3;
    std::chrono::milliseconds minBackoff { 200 };
    std::chrono::milliseconds maxBackoff { 3000 };
};

/// @return the version tag of a revision: "NUMBER" in era 0, which services that are never restored stay in, or
/// "ERA.NUMBER".
auto formatVersionTag(const StoreRevision& revision) -> std::string;

/// @return the revision that a version tag states, with or without quotes; zero for what is malformed.
auto parseVersionTag(std::string_view tag) -> StoreRevision;

/// @brief Creates a client of the platform's object service; calls fail immediately while the circuit breaker is open.
auto makeHttpObjectStore(boost::asio::io_context& context, const Clock& clock, Metrics& metrics,
    HttpObjectStoreOption option) -> std::shared_ptr<ObjectStore>;

} // namespace citronloft

/// @file
/// @brief ObjectStore over the stand-in's HTTP protocol (docs/PLATFORM.md); the one file to replace for another
/// platform.
#pragma once

#include <memory>

#include "citronloft/base/counters.hpp"
#include "citronloft/edge/http_client.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief Timeouts of calls to the platform.
struct HttpObjectStoreOption {
    Address address;
    std::chrono::milliseconds callTimeout { 1500 };
    /// Consecutive failures that open the circuit.
    unsigned failuresToOpen = 3;
    std::chrono::milliseconds leastBackoff { 200 };
    std::chrono::milliseconds greatestBackoff { 3000 };
};

/// @brief An adapter to the platform's object service; calls fail at once while the circuit is open.
auto makeHttpObjectStore(boost::asio::io_context& context, const Clock& clock, Metrics& metrics,
    HttpObjectStoreOption option) -> std::shared_ptr<ObjectStore>;

} // namespace citronloft

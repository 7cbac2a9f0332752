/// @file
/// @brief Interfaces that a platform adapter provides: store, object feed, decoder and dialect.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "citronloft/base/address.hpp"
#include "citronloft/edge/dialect.hpp"
#include "citronloft/fleet/discovery.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief Settings of a platform adapter.
struct PlatformOption {
    Address address;
    /// Memory of the host, which bounds that for the platform's answers; 0 does not bound it.
    std::size_t memoryBytes = 0;
    /// Region of each zone, by zone name.
    std::map<std::string, std::string> regionOfZone;
    /// Time for which callers may cache a lookup response.
    std::chrono::milliseconds lookupTtl {};
    /// Maximum percentage of a region's callers that lookups move to another region per minute.
    double shiftPercentPerMinute = 0;
};

/// @brief Implementations of these interfaces for one platform.
struct Platform {
    std::shared_ptr<ObjectStore> store;
    std::shared_ptr<ObjectFeed> feed;
    std::shared_ptr<const PlatformDecoder> decoder;
    std::shared_ptr<const Dialect> dialect;
};

} // namespace citronloft

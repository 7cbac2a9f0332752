/// @file
/// @brief What an adapter to a platform provides: its store, its published objects and its dialect.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "citronloft/base/address.hpp"
#include "citronloft/edge/dialect.hpp"
#include "citronloft/fleet/discovery.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief Settings that an adapter needs.
struct PlatformOption {
    Address address;
    /// Region of each zone.
    std::map<std::string, std::string> regionOfZone;
    /// How long callers may cache a look-up's answer.
    std::chrono::milliseconds lookupTtl {};
    /// Part of a region's callers that look-ups may move to another region, per minute.
    double shiftPercentPerMinute = 0;
};

/// @brief One platform, seen through the project's interfaces.
struct Platform {
    std::shared_ptr<ObjectStore> store;
    std::shared_ptr<ObjectFeed> feed;
    std::shared_ptr<const PlatformDecoder> decoder;
    std::shared_ptr<const Dialect> dialect;
};

} // namespace citronloft

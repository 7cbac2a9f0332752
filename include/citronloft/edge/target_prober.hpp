/// @file
/// @brief Health probes of targets.
#pragma once

#include <memory>
#include <string>

#include <boost/asio/spawn.hpp>

#include "citronloft/edge/http_client.hpp"
#include "citronloft/edge/pool_admission.hpp"

namespace citronloft {

/// @brief Requests the health and load reports of targets.
class TargetProber {
public:
    TargetProber(const Clock& clock, std::shared_ptr<HttpClient> client);

    /// @brief Probes every target of a pool once and passes the results to the pool.
    auto probe(PoolAdmission& admission, boost::asio::yield_context yield) -> void;

private:
    auto probeTarget(PoolAdmission& admission, const std::string& target, boost::asio::yield_context yield) -> void;

    const Clock& clock;
    std::shared_ptr<HttpClient> client;
};

} // namespace citronloft

/// @file
/// @brief Reads the targets' own reports.
#pragma once

#include <memory>
#include <string>

#include <boost/asio/spawn.hpp>

#include "citronloft/edge/http_client.hpp"
#include "citronloft/edge/pool_admission.hpp"

namespace citronloft {

/// @brief Asks a target how it is.
class TargetProber {
public:
    TargetProber(const Clock& clock, std::shared_ptr<HttpClient> client);

    /// @brief Reads every target's report once and hands it to the pool.
    auto probe(PoolAdmission& admission, boost::asio::yield_context yield) -> void;

private:
    auto probeTarget(PoolAdmission& admission, const std::string& target, boost::asio::yield_context yield) -> void;

    const Clock& clock;
    std::shared_ptr<HttpClient> client;
};

} // namespace citronloft

/// @file
/// @brief Requests that crash targets: what this host and all others have found of them.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>

#include "citronloft/fleet/loss_exchange.hpp"
#include "citronloft/fleet/quarantine_registry.hpp"
#include "citronloft/policy/request_quarantine.hpp"

namespace citronloft {

/// @brief Keeps requests that crash targets from them, by the observations of all hosts together.
///
/// Hosts exchange what they observe, so that all of them decide alike within the time of a notice. A finding is also
/// written to the store, which hosts read that start later, or that cannot reach the others.
class QuarantineService {
public:
    /// @param pollInterval see QuarantineRegistry.
    QuarantineService(const Membership& members, PeerTransport& transport, const Clock& clock,
        const std::shared_ptr<ObjectStore>& store, std::optional<Duration> pollInterval, std::uint64_t seed);

    /// @return whether no request is suspected or in quarantine, so that requests need no identity.
    [[nodiscard]] auto isEmpty() const -> bool { return this->quarantine.isEmpty(); }

    [[nodiscard]] auto isQuarantined(std::uint64_t request) const -> bool;

    /// @return whether a lost request can be sent to another target at once.
    /// @param unreportedLosses losses of the request that recordLoss() does not know yet.
    [[nodiscard]] auto allowsRetry(std::uint64_t request, unsigned unreportedLosses = 0) const -> bool
    {
        return this->quarantine.allowsRetry(request, unreportedLosses);
    }

    /// @brief Records that a request was lost when its connection to a target ended.
    /// @param target key of the target's run.
    auto recordLoss(std::uint64_t request, const std::string& target, TimePoint lostAt) -> void;

    /// @brief Records that a target answered a request.
    auto recordAnswer(std::uint64_t request) -> void;

    /// @brief Processes the names of the objects of `quarantineKind`.
    auto updateStored(const std::set<std::string>& names) -> void { this->registry->update(names); }

    auto receive(const LossNotice& notice, TimePoint now) -> void { this->exchange.receive(notice, now); }

    /// @brief Sends what is due; call about every 20 ms.
    /// @param sequence last sequence number of this host's notices; incremented for each notice sent.
    auto tick(std::uint64_t& sequence, TimePoint now) -> void;

    [[nodiscard]] auto quarantinedCount() const -> std::size_t
    {
        return this->quarantine.quarantinedCount(this->clock.now());
    }

private:
    auto processFinding(std::uint64_t request, std::string_view source) -> void;

    const Clock& clock;
    RequestQuarantine quarantine;
    LossExchange exchange;
    std::shared_ptr<QuarantineRegistry> registry;
    /// Requests that this host has lost; their findings are written to the store.
    std::unordered_set<std::uint64_t> ownLosses;
};

} // namespace citronloft

#include "citronloft/fleet/host_registry.hpp"

#include <algorithm>

#include "citronloft/base/address.hpp"
#include "citronloft/base/log.hpp"

namespace citronloft {

namespace {

constexpr auto keyPrefix = "citronloft-hosts/";
constexpr auto separator = '_';
/// Delay between registering and reading the list, in which other hosts that start at the same time can register.
constexpr auto listDelay = std::chrono::milliseconds { 700 };
/// Maximum delay after a restore of the store, over which the hosts of a fleet spread their calls.
constexpr auto maxConfirmationDelay = std::chrono::seconds { 2 };
constexpr auto minBackoff = std::chrono::milliseconds { 200 };
constexpr auto maxBackoff = std::chrono::milliseconds { 3200 };

auto encodeKey(const RegisteredHost& host) -> std::string { return keyPrefix + host.zone + separator + host.ip; }

auto decodeKey(const std::string& key) -> RegisteredHost
{
    const auto start = key.find('/') + 1;
    const auto separatorAt = std::max(key.rfind(separator), start);
    return { key.substr(start, separatorAt - start), key.substr(std::min(separatorAt + 1, key.size())) };
}

} // namespace

HostRegistry::HostRegistry(RegisteredHost self, const Clock& clock, std::shared_ptr<ObjectStore> store,
    std::uint64_t seed, ListedCallback onListed)
    : self(std::move(self))
    , clock(clock)
    , store(std::move(store))
    , random(seed)
    , onListed(std::move(onListed))
{
}

auto HostRegistry::tick(TimePoint now) -> void
{
    const auto isRestored = this->isRegistered && this->store->era() > this->confirmedEra;
    if (isRestored && this->store->era() > this->scheduledEra) {
        this->scheduledEra = this->store->era();
        this->nextCallAt = now + this->delayUpTo(maxConfirmationDelay);
    }
    const auto isComplete = this->isRegistered && this->isListed && !isRestored;
    if (this->isCallPending || isComplete || now < this->nextCallAt)
        return;
    if (!this->isRegistered)
        this->registerSelf();
    else if (isRestored)
        this->confirmRegistration();
    else
        this->readList();
}

auto HostRegistry::registerSelf() -> void
{
    this->isCallPending = true;
    this->store->put(encodeKey(this->self), {}, absentVersion, [self = this->shared_from_this()](const auto& version) {
        self->isCallPending = false;
        if (!version.ok() && !absl::IsAborted(version.status())) {
            self->scheduleRetry();
            return;
        }
        // Aborted means that this address has registered before.
        self->isRegistered = true;
        self->confirmedEra = version.ok() ? version->era : self->store->era();
        self->nextCallAt = self->clock.now() + (version.ok() ? listDelay : Duration {});
    });
}

/// Reads this host's own object; a read does not count toward the store's limit on writes.
auto HostRegistry::confirmRegistration() -> void
{
    this->isCallPending = true;
    this->store->get(encodeKey(this->self), [self = this->shared_from_this()](const auto& object) {
        self->isCallPending = false;
        if (object.ok()) {
            self->confirmedEra = object->version.era;
            return;
        }
        if (!absl::IsNotFound(object.status())) {
            self->scheduleRetry();
            return;
        }
        LogEvent(LogLevel::Info, "registration-lost").with("era", self->store->era());
        self->isRegistered = false;
        self->nextCallAt = self->clock.now();
    });
}

auto HostRegistry::readList() -> void
{
    this->isCallPending = true;
    this->store->list(keyPrefix, [self = this->shared_from_this()](const auto& keys) {
        self->isCallPending = false;
        if (!keys.ok()) {
            self->scheduleRetry();
            return;
        }
        self->isListed = true;
        auto hosts = std::vector<RegisteredHost> {};
        for (const auto& key : *keys) {
            auto host = decodeKey(key);
            if (parseIp(host.ip).ok())
                hosts.push_back(std::move(host));
        }
        LogEvent(LogLevel::Info, "hosts-listed")
            .with("hosts", hosts.size())
            .with("malformed", keys->size() - hosts.size());
        self->onListed(hosts);
    });
}

auto HostRegistry::scheduleRetry() -> void
{
    this->backoff = std::clamp<Duration>(this->backoff * 2, minBackoff, maxBackoff);
    this->nextCallAt = this->clock.now() + this->backoff / 2 + this->delayUpTo(this->backoff / 2);
}

auto HostRegistry::delayUpTo(Duration limit) -> Duration
{
    constexpr auto steps = 1000U;
    return limit * this->random(steps) / steps;
}

} // namespace citronloft

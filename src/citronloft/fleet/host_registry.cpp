#include "citronloft/fleet/host_registry.hpp"

#include <algorithm>

#include "citronloft/base/log.hpp"

namespace citronloft {

namespace {

constexpr auto kindPrefix = "citronloft-hosts/";
constexpr auto separator = '_';
/// Time for the other hosts of a fleet that starts together to write themselves before the list is read.
constexpr auto listDelay = std::chrono::milliseconds { 700 };
constexpr auto leastBackoff = std::chrono::milliseconds { 200 };
constexpr auto greatestBackoff = std::chrono::milliseconds { 3200 };

auto keyOf(const RegisteredHost& host) -> std::string { return kindPrefix + host.zone + separator + host.ip; }

auto hostOf(const std::string& key) -> RegisteredHost
{
    const auto start = key.find('/') + 1;
    const auto split = std::max(key.rfind(separator), start);
    return { key.substr(start, split - start), key.substr(std::min(split + 1, key.size())) };
}

} // namespace

HostRegistry::HostRegistry(
    RegisteredHost self, const Clock& clock, std::shared_ptr<ObjectStore> store, std::uint64_t seed, Found found)
    : self(std::move(self))
    , clock(clock)
    , store(std::move(store))
    , random(seed)
    , found(std::move(found))
{
}

auto HostRegistry::tick(TimePoint now) -> void
{
    if (this->isCalling || this->hasList || now < this->nextCallAt)
        return;
    if (this->isWritten)
        this->readList();
    else
        this->writeSelf();
}

auto HostRegistry::writeSelf() -> void
{
    this->isCalling = true;
    this->store->put(keyOf(this->self), {}, absentVersion, [self = this->shared_from_this()](const auto& version) {
        self->isCalling = false;
        if (!version.ok() && !absl::IsAborted(version.status())) {
            self->retryLater();
            return;
        }
        // Aborted: this address has registered before.
        self->isWritten = true;
        self->nextCallAt = self->clock.now() + (version.ok() ? listDelay : Duration {});
    });
}

auto HostRegistry::readList() -> void
{
    this->isCalling = true;
    this->store->list(kindPrefix, [self = this->shared_from_this()](const auto& keys) {
        self->isCalling = false;
        if (!keys.ok()) {
            self->retryLater();
            return;
        }
        self->hasList = true;
        auto hosts = std::vector<RegisteredHost> {};
        for (const auto& key : *keys)
            hosts.push_back(hostOf(key));
        LogEvent(LogLevel::Info, "hosts-listed").with("hosts", hosts.size());
        self->found(hosts);
    });
}

auto HostRegistry::retryLater() -> void
{
    this->backoff = std::clamp<Duration>(this->backoff * 2, leastBackoff, greatestBackoff);
    constexpr auto steps = 1000U;
    this->nextCallAt = this->clock.now() + this->backoff / 2 + this->backoff / 2 * this->random(steps) / steps;
}

} // namespace citronloft

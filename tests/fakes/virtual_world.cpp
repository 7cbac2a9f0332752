#include "fakes/virtual_world.hpp"

#include "citronloft/base/codec.hpp"

namespace citronloft {

namespace {

constexpr auto callTimeout = std::chrono::milliseconds { 1500 };

auto sizeOf(const PeerMessage& message) -> std::size_t
{
    return std::visit([](const auto& typed) { return encode(typed).size(); }, message);
}

} // namespace

class VirtualWorld::Transport final : public PeerTransport {
public:
    Transport(VirtualWorld& world, Node& node)
        : world(world)
        , node(node)
    {
    }

    auto send(const Address& to, const PeerMessage& message) -> void override
    {
        ++this->node.messagesSent;
        constexpr auto sealAndHeaders = std::size_t { 62 };
        this->node.bytesSent += sizeOf(message) + sealAndHeaders;
        auto* receiver = this->world.find(to);
        if (receiver == nullptr || this->world.isLost(this->node, *receiver))
            return;
        const auto copies = this->world.random(this->world.faults.duplication) ? 2 : 1;
        for (auto i = 0; i < copies; ++i) {
            if (!this->world.random(this->world.faults.loss))
                this->post(*receiver, message);
        }
    }

private:
    [[nodiscard]] auto delayTo(const std::string& zone) const -> Duration
    {
        const auto& option = this->world.option;
        if (zone == this->node.zone)
            return option.insideZone;
        return zone.front() == this->node.zone.front() ? option.insideRegion : option.betweenZones;
    }

    auto post(Node& receiver, const PeerMessage& message) -> void
    {
        auto delay = this->delayTo(receiver.zone);
        auto jitter = std::uniform_real_distribution<double>(0.8, 1.4);
        auto factor = jitter(this->world.generator);
        if (this->world.random(this->world.faults.slow))
            factor *= std::uniform_real_distribution<double>(1, 10)(this->world.generator);
        delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(delay) * factor);
        const auto from = this->node.address;
        this->world.events.after(delay, [this, &receiver, from, message] {
            this->world.deliverDatagram(
                receiver, [&receiver, from, message] { receiver.host->receive(from, message); });
        });
    }

    VirtualWorld& world;
    Node& node;
};

class VirtualWorld::StoreClient final : public ObjectStore, public std::enable_shared_from_this<StoreClient> {
public:
    /// @param node the calling host, or null for the operators' tool.
    StoreClient(VirtualWorld& world, Node* node)
        : world(world)
        , node(node)
    {
    }

    auto get(const std::string& key, GetDone done) -> void override
    {
        this->call<GetDone, absl::StatusOr<StoredObject>>(
            std::move(done), false, [this, key] { return this->read(key); });
    }

    auto put(const std::string& key, std::string value, const StoreRevision& expected, PutDone done) -> void override
    {
        this->call<PutDone, absl::StatusOr<StoreRevision>>(
            std::move(done), true, [this, key, value = std::move(value), expected]() -> absl::StatusOr<StoreRevision> {
                const auto found = this->world.objects.find(key);
                if ((found == this->world.objects.end() ? absentVersion : found->second.version) != expected)
                    return absl::AbortedError("version mismatch");
                auto& object = this->world.objects[key];
                this->world.undo.push_back({ this->world.events.now(), key, object });
                object.oldValue = object.value;
                object.oldVersion = object.version;
                object.value = value;
                object.version = { this->world.storeEra, ++this->world.lastVersion };
                return object.version;
            });
    }

    auto watch(const std::string& key, const StoreRevision& after, Duration wait, GetDone done) -> void override
    {
        if (!this->world.faults.losesWatches)
            return this->waitForChange(key, after, wait, std::move(done));
        ++this->world.storeCalls;
        this->world.events.after(wait + callTimeout, [self = this->shared_from_this(), done] {
            self->finish([done] { done(absl::DeadlineExceededError("no response")); });
        });
    }

    auto list(const std::string& prefix, ListDone done) -> void override
    {
        auto keys = std::vector<std::string> {};
        for (const auto& [key, object] : this->world.objects) {
            if (key.starts_with(prefix))
                keys.push_back(key);
        }
        done(keys);
    }

    [[nodiscard]] auto era() const -> std::uint64_t override { return this->world.storeEra; }

private:
    auto waitForChange(const std::string& key, const StoreRevision& after, Duration wait, GetDone done) -> void
    {
        constexpr auto pollInterval = std::chrono::milliseconds { 20 };
        const auto found = this->world.objects.find(key);
        const auto isNew = found != this->world.objects.end() && found->second.version > after;
        if (isNew || wait <= Duration::zero() || !this->isReachable()) {
            const auto status = this->isReachable() ? absl::NotFoundError("unchanged") : absl::UnavailableError("down");
            this->call<GetDone, absl::StatusOr<StoredObject>>(
                std::move(done), false, [this, key, isNew, status]() -> absl::StatusOr<StoredObject> {
                    if (!isNew)
                        return status;
                    return this->read(key);
                });
            return;
        }
        this->world.events.after(pollInterval, [self = this->shared_from_this(), key, after, wait, done, pollInterval] {
            self->waitForChange(key, after, wait - pollInterval, done);
        });
    }

    [[nodiscard]] auto isReachable() const -> bool
    {
        const auto isCut = this->node != nullptr && this->world.faults.cutFromStore.contains(this->node->zone);
        return !this->world.faults.storeDown && !isCut;
    }

    auto read(const std::string& key) -> absl::StatusOr<StoredObject>
    {
        const auto found = this->world.objects.find(key);
        if (found == this->world.objects.end())
            return absl::NotFoundError("no such object");
        const auto& object = found->second;
        if (object.oldVersion > absentVersion && this->world.random(this->world.faults.staleReads))
            return StoredObject { object.oldValue, object.oldVersion };
        return StoredObject { object.value, object.version };
    }

    template <typename Done, typename Result>
    auto call(Done done, bool isWrite, std::function<Result()> operation) -> void
    {
        ++this->world.storeCalls;
        const auto half = this->world.option.store / 2;
        auto self = this->shared_from_this();
        if (!this->isReachable()) {
            this->world.events.after(
                callTimeout, [self, done] { self->finish([done] { done(absl::UnavailableError("down")); }); });
            return;
        }
        this->world.events.after(half, [self, done, isWrite, operation, half] {
            auto result = operation();
            const auto isLost = (isWrite && self->world.random(self->world.faults.lostReplies)) || !self->isReachable();
            if (isLost)
                result = absl::DeadlineExceededError("reply lost");
            self->world.events.after(isLost ? Duration { callTimeout } : half,
                [self, done, result] { self->finish([done, result] { done(result); }); });
        });
    }

    auto finish(std::function<void()> action) -> void
    {
        if (this->node == nullptr)
            action();
        else
            this->world.deliver(*this->node, std::move(action));
    }

    VirtualWorld& world;
    Node* node;
};

class VirtualWorld::Fetcher final : public ConfigFetcher {
public:
    Fetcher(VirtualWorld& world, Node& node)
        : world(world)
        , node(node)
    {
    }

    auto fetch(const Address& peer, const ConfigRequest& request, Done done) -> void override
    {
        auto* server = this->world.find(peer);
        const auto isReachable = server != nullptr && server->alive && !server->paused
            && !this->world.isCut(this->node.zone, server->zone);
        auto result = absl::StatusOr<ConfigUpdate> { absl::UnavailableError("peer unreachable") };
        if (isReachable)
            result = server->host->config().serve(request);
        if (result.ok())
            server->bytesSent += encode(*result).size();
        const auto delay = isReachable ? this->world.option.insideZone * 3 : Duration { callTimeout };
        this->world.events.after(delay, [this, done = std::move(done), result] {
            this->world.deliver(this->node, [done, result] { done(result); });
        });
    }

private:
    VirtualWorld& world;
    Node& node;
};

VirtualWorld::VirtualWorld(WorldOption worldOption)
    : generator(worldOption.seed)
    , option(std::move(worldOption))
{
    for (const auto& zone : this->option.zones) {
        for (auto i = std::size_t { 0 }; i < this->option.hostsPerZone; ++i)
            this->startHost(zone);
    }
}

auto VirtualWorld::startHost(const std::string& zone) -> std::size_t
{
    const auto index = this->nodes.size();
    auto node = std::make_unique<Node>();
    node->zone = zone;
    node->address = { "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250), 1 };
    auto drift = std::uniform_real_distribution<double>(-this->option.drift, this->option.drift);
    node->clock = std::make_unique<DriftingClock>(this->events, drift(this->generator));
    node->transport = std::make_unique<Transport>(*this, *node);
    auto entry = HostEntry {};
    entry.incarnation = ++this->lastIncarnation * 1000 + this->generator(1000);
    entry.zone = zone;
    entry.ip = node->address.ip;
    entry.peerPort = node->address.port;
    entry.servicePort = 1;
    auto hostOption = this->option.host;
    // Seed hosts: the first host of every zone, and the second host of the host's own zone.
    for (auto i = std::size_t { 0 }; i < this->option.zones.size(); ++i) {
        const auto first = i * this->option.hostsPerZone;
        hostOption.membership.seeds.push_back(
            { "10.0." + std::to_string(first / 250) + "." + std::to_string(first % 250), 1 });
    }
    auto* raw = node.get();
    const auto dependencies = FleetHostDependencies { *node->clock, *node->transport,
        std::make_shared<StoreClient>(*this, raw), std::make_shared<Fetcher>(*this, *raw) };
    node->host
        = std::make_unique<FleetHost>(hostOption, entry, dependencies, this->generator(), [raw](const auto& active) {
              raw->versions.push_back(active->version);
              raw->host->membership().setState(HostState::Serving);
          });
    this->nodes.push_back(std::move(node));
    auto offset = std::uniform_real_distribution<double>(0, 1);
    const auto first = std::chrono::duration<double, Duration::period>(this->option.tick) * offset(this->generator);
    this->scheduleTick(*raw, std::chrono::duration_cast<Duration>(first));
    return index;
}

auto VirtualWorld::resume(std::size_t index) -> void
{
    auto& node = *this->nodes[index];
    node.paused = false;
    for (auto& action : std::exchange(node.held, {}))
        this->deliver(node, std::move(action));
}

auto VirtualWorld::storedNames(const std::string& prefix) const -> std::set<std::string>
{
    auto names = std::set<std::string> {};
    for (auto item = this->objects.lower_bound(prefix); item != this->objects.end(); ++item) {
        if (!item->first.starts_with(prefix))
            break;
        names.insert(item->first.substr(prefix.size()));
    }
    return names;
}

auto VirtualWorld::restoreStore(Duration age) -> void
{
    while (!this->undo.empty() && this->undo.back().at > this->events.now() - age) {
        auto& last = this->undo.back();
        if (last.replaced.version == absentVersion)
            this->objects.erase(last.key);
        else
            this->objects[last.key] = std::move(last.replaced);
        this->undo.pop_back();
        --this->lastVersion;
    }
    ++this->storeEra;
    for (auto& [key, object] : this->objects)
        object.version.era = this->storeEra;
}

auto VirtualWorld::apply(const Config& config) -> ApplyResult
{
    auto result = std::optional<ApplyResult> {};
    auto change = ConfigChange { config, "test", "", std::to_string(this->generator()), std::nullopt };
    auto applyOption = ApplyOption {};
    applyOption.runLater
        = [this](const auto& action) { this->events.after(std::chrono::milliseconds { 250 }, action); };
    applyConfig(std::make_shared<StoreClient>(*this, nullptr), std::move(change), applyOption,
        [&](ApplyResult done) { result = std::move(done); });
    this->runUntil([&] { return result.has_value(); }, std::chrono::minutes { 1 });
    return result.value_or(ApplyResult {});
}

auto VirtualWorld::runUntil(const std::function<bool()>& condition, Duration limit) -> bool
{
    const auto end = this->events.now() + limit;
    while (!condition()) {
        if (this->events.now() >= end)
            return false;
        this->events.runFor(std::chrono::milliseconds { 10 });
    }
    return true;
}

auto VirtualWorld::deliver(Node& node, std::function<void()> action) -> void
{
    constexpr auto receiveBufferLimit = std::size_t { 500 };
    if (!node.alive)
        return;
    if (!node.paused)
        action();
    else if (node.held.size() < receiveBufferLimit)
        node.held.push_back(std::move(action));
}

auto VirtualWorld::deliverDatagram(Node& node, std::function<void()> action) -> void
{
    if (this->option.messagesPerTick == 0)
        return this->deliver(node, std::move(action));
    const auto now = this->events.now();
    if (now - node.tickStartedAt >= this->option.tick) {
        node.tickStartedAt = now;
        node.messagesInTick = 0;
    }
    if (++node.messagesInTick <= this->option.messagesPerTick)
        return this->deliver(node, std::move(action));
    ++node.messagesDelayed;
    this->events.after(this->option.overloadDelay,
        [this, &node, action = std::move(action)]() mutable { this->deliver(node, std::move(action)); });
}

auto VirtualWorld::scheduleTick(Node& node, Duration delay) -> void
{
    this->events.after(delay, [this, &node] {
        if (!node.alive)
            return;
        if (!node.paused)
            node.host->tick();
        this->scheduleTick(node, this->option.tick);
    });
}

auto VirtualWorld::isCut(const std::string& left, const std::string& right) const -> bool
{
    return this->faults.cuts.contains({ left, right }) || this->faults.cuts.contains({ right, left });
}

auto VirtualWorld::isLost(const Node& sender, const Node& receiver) const -> bool
{
    return this->isCut(sender.zone, receiver.zone) || this->faults.oneWayCuts.contains({ sender.zone, receiver.zone })
        || this->faults.sendBlocked.contains(sender.address.ip)
        || this->faults.receiveBlocked.contains(receiver.address.ip);
}

auto VirtualWorld::find(const Address& address) -> Node*
{
    for (auto& node : this->nodes) {
        if (node->address == address)
            return node.get();
    }
    return nullptr;
}

} // namespace citronloft

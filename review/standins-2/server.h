/// @file
/// @brief Stand-in of a sound backend, as the users' pages describe it.
#pragma once

#include "platform.h"

namespace review {

struct ServerOption {
    std::string service;
    std::string zone;
    int slots = 9;
    int queue = 9;
    std::function<double()> workS = [] { return 0.1; };
    std::size_t bodyBytes = 400;
    double heartbeatS = 1.5;
};

/// @brief One backend: registers, serves one request at a time on each connection, and leaves by draining.
class Server {
public:
    Server(std::string id, Address address, Store& store, ServerOption option)
        : id(std::move(id))
        , own(address)
        , store(store)
        , option(std::move(option))
        , listener(std::move(address), [this](int fd) { this->serve(fd); })
        , born(std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
    }
    ~Server() { this->end(); }

    auto start() -> bool
    {
        if (!this->listener.start())
            return false;
        this->beat();
        this->beats = std::thread([this] {
            auto next = Clock::now();
            while (!this->isEnding) {
                if (Clock::now() >= next) {
                    this->beat();
                    next += std::chrono::duration_cast<Clock::duration>(
                        std::chrono::duration<double>(this->option.heartbeatS));
                }
                sleepFor(0.02);
            }
        });
        return true;
    }

    /// @brief Reports that it drains; it goes on serving until end().
    auto drain() -> void
    {
        this->isDraining = true;
        this->beat();
    }

    auto end() -> void
    {
        if (this->isEnding.exchange(true))
            return;
        if (this->beats.joinable())
            this->beats.join();
        this->store.remove("servers", this->id);
        this->listener.stop();
    }

    [[nodiscard]] auto connections() const -> int { return this->listener.count(); }
    [[nodiscard]] auto runs() const -> int { return this->ran; }
    [[nodiscard]] auto address() const -> const Address& { return this->own; }

    /// Called with the id of each request that begins to run.
    std::function<void(const std::string& id)> onRun;

private:
    auto beat() -> void
    {
        const auto lock = std::lock_guard(this->beatMutex);
        const auto entry = Json { { "address", this->own.text() },
            { "info",
                { { "service", this->option.service }, { "version", "v1" }, { "zone", this->option.zone },
                    { "slots", this->option.slots } } },
            { "status",
                { { "state", this->isDraining ? "draining" : "ready" }, { "seqNo", ++this->sequence },
                    { "coldLeftS", 0 } } },
            { "born", this->born } };
        if (!this->isEnding)
            this->store.put("servers", this->id, entry.dump());
    }

    auto serve(int fd) -> void
    {
        auto reader = Reader(fd);
        auto request = Message {};
        while (reader.read(request) == ReadResult::Complete) {
            if (!sendAll(fd, this->answer(request, fd)))
                return;
            if (this->listener.stopped())
                return;
        }
    }

    auto loadText() const -> std::string
    {
        const auto inside = this->inFlight.load();
        return std::to_string(std::min(inside, this->option.slots)) + ","
            + std::to_string(std::max(inside - this->option.slots, 0)) + "," + std::to_string(this->option.slots);
    }

    auto answer(const Message& request, int) -> std::string
    {
        if (request.target() == "/health")
            return formatResponse(this->isDraining ? 503 : 200, { { "X-Citronloft-Instance-Id", this->id } }, "");
        const auto expected = request.get("X-Citronloft-Expect-Instance");
        if (!expected.empty() && expected != this->id)
            return formatResponse(421, { { "X-Citronloft-Instance-Id", this->id } }, "");
        const auto requestId = request.get("X-Citronloft-Request-Id");
        if (requestId.empty())
            return formatResponse(400, { { "X-Citronloft-Not-Executed", "1" } }, "");
        if (++this->inFlight > this->option.slots + this->option.queue) {
            --this->inFlight;
            return formatResponse(503, { { "X-Citronloft-Not-Executed", "1" } }, "");
        }
        ++this->ran;
        if (this->onRun)
            this->onRun(requestId);
        sleepFor(this->option.workS());
        auto text = formatResponse(200,
            { { "X-Citronloft-Request-Id", requestId }, { "X-Citronloft-Server-Stamp", this->id + "." + requestId },
                { "X-Citronloft-Server-Load", this->loadText() } },
            std::string(this->option.bodyBytes, 'x'));
        --this->inFlight;
        return text;
    }

    std::string id;
    Address own;
    Store& store;
    ServerOption option;
    Listener listener;
    std::int64_t born;
    std::atomic<int> inFlight = 0;
    std::atomic<int> ran = 0;
    std::atomic<bool> isDraining = false;
    std::atomic<bool> isEnding = false;
    std::mutex beatMutex;
    std::uint64_t sequence = 0;
    std::thread beats;
};

inline auto routeResource(const std::string& name, const std::string& host, const std::string& prefix,
    const std::string& kind, const std::string& service, double timeoutS, double targetLatencyS) -> Json
{
    return { { "resourceKind", "routes" }, { "metadata", { { "name", name } } },
        { "spec",
            { { "hostname", host }, { "pathPrefix", prefix }, { "kind", kind }, { "timeoutS", timeoutS },
                { "targetLatencyS", targetLatencyS }, { "priority", 1 }, { "service", service }, { "maxAttempts", 2 },
                { "public", false }, { "sticky", false }, { "homeRegions", Json::array() } } } };
}

inline auto serviceResource(const std::string& name) -> Json
{
    return { { "resourceKind", "services" }, { "metadata", { { "name", name } } },
        { "spec",
            { { "healthPath", "/health" }, { "maxConns", 813 }, { "protocol", "h1" }, { "tls", false },
                { "coldStartS", 3.0 }, { "coldPerS", 0 } } } };
}

inline auto tenantResource(const std::string& name, const std::string& key, double ratePerS) -> Json
{
    return { { "resourceKind", "tenants" }, { "metadata", { { "name", name } } },
        { "spec",
            { { "apiKeys", { key } }, { "priority", 1 }, { "ratePerS", ratePerS }, { "burst", ratePerS },
                { "homeRegions", Json::array() } } } };
}

inline auto limitsResource() -> Json
{
    return { { "resourceKind", "limits" }, { "metadata", Json::object() },
        { "spec",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 67108864 }, { "headerTimeoutS", 3 },
                { "idleTimeoutS", 15 } } } };
}

} // namespace review

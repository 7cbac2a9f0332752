// A request crashes each backend that runs it, after the first bytes of the answer; it comes once a second.
#include "../common/lab.h"

using namespace lab;

auto main(int, char** argv) -> int
{
    auto fleet = Fleet(argv[1]);
    const auto zones = std::array<std::string, 3> { "pl-north", "cp-east", "mb-bay" };
    fleet.zones = { { "pl-north", "port-louis" }, { "cp-east", "curepipe" }, { "mb-bay", "mahebourg" } };
    constexpr auto stableWindowS = 4.0;
    const auto path = std::string { "/rates/7" };
    const auto isTrouble = !isWithoutTrouble();
    auto mutex = std::mutex {};
    auto crashes = std::vector<double> {};
    std::atomic<bool> isOver = false;
    const auto work = [&](Backend& backend, int fd, const Message& request) {
        if (!isTrouble || request.second != path) {
            sleepFor(0.2);
            return backend.answer(fd, request);
        }
        sendAll(fd, "HTTP/1.1 200 X\r\n" + backend.standardFields(request) + "X-Citronloft-Server-Stamp: stamp-" + backend.id
                + "\r\nContent-Length: 2000\r\n\r\nthe first bytes of the answer");
        sleepFor(0.1);
        const auto lock = std::lock_guard(mutex);
        if (!backend.isUp() || isOver)
            return false;
        crashes.push_back(seconds());
        record.line("backend " + backend.id + " crashes in its run of id=" + request.get("X-Citronloft-Request-Id"));
        resetSocket(fd);
        std::thread([&] {
            backend.crash();
            sleepFor(3);
            const auto restartLock = std::lock_guard(mutex);
            if (isOver || !backend.restart())
                return;
            record.line("backend " + backend.id + " is back");
            fleet.store.put("servers", backend.id, backend.entry());
        }).detach();
        return false;
    };
    for (auto i = 0; i < 15; ++i)
        fleet.addBackend(i < 9 ? "quote-desk" : "survey-ledger", zones[i % 3], 3, work);
    fleet.putConfig(Json::array({ routeResource("rate-read", "/rates/", "safe", "quote-desk", 1.0),
        routeResource("survey-read", "/surveys/", "safe", "survey-ledger", 0.8), serviceResource("quote-desk"),
        serviceResource("survey-ledger"), tenantResource("huka270", "key-1"), limitsResource() }));
    for (auto i = 0; i < 6; ++i)
        fleet.addHost(zones[i % 3]);
    fleet.start();

    // Usual requests, some ten a second.
    auto threads = std::vector<std::thread> {};
    std::atomic<int> usual = 0;
    std::atomic<int> served = 0;
    for (auto k = 0; k < 8; ++k)
        threads.emplace_back([&, k] {
            auto random = std::mt19937(static_cast<unsigned>(k) + std::random_device {}());
            while (!isOver) {
                const auto begin = seconds();
                const auto object = std::to_string(100 + random() % 1000);
                const auto response = callHost(fleet.hosts[random() % 6]->ip, frontPort, "GET",
                    (random() % 2 == 0 ? "/rates/" : "/surveys/") + object,
                    requestFields(fleet.nextId(), "key-1", 1000, object), "", 1.6);
                ++usual;
                served += response.status == 200 ? 1 : 0;
                sleepFor(begin + 0.8 - seconds());
            }
        });
    sleepFor(3);
    auto random = std::mt19937(std::random_device {}());
    const auto end = seconds() + 30;
    while (seconds() < end) {
        auto& host = *fleet.hosts[random() % 6];
        const auto id = fleet.nextId();
        const auto response
            = callHost(host.ip, frontPort, "GET", path, requestFields(id, "key-1", 1000, "7"), "", 1.6);
        record.line("client GET " + path + " id=" + id + " at " + host.ip + ": "
            + (response.status != 0 ? std::to_string(response.status) : response.error));
        sleepFor(1);
    }
    auto third = 0.0;
    auto count = std::size_t { 0 };
    {
        const auto lock = std::lock_guard(mutex);
        isOver = true;
        count = crashes.size();
        third = count >= 3 ? crashes[2] : 0;
    }
    for (auto& thread : threads)
        thread.join();
    auto late = 0;
    for (const auto& arrival : fleet.allArrivals())
        late += third > 0 && arrival.path == path && arrival.what == "run" && arrival.at > third + stableWindowS ? 1 : 0;
    say("crashes " + std::to_string(count) + ", arrivals later than stableWindowS after the third crash "
        + std::to_string(late) + " (at most 3); usual requests " + std::to_string(usual) + ", served " + std::to_string(served));
    fleet.exit(late > 3 ? 1 : 0);
}

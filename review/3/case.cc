// Some backends answer a small part of their requests with bytes that are no response of a backend.
#include "../common/lab.h"

using namespace lab;

auto main(int, char** argv) -> int
{
    auto fleet = Fleet(argv[1]);
    const auto zones = std::array<std::string, 3> { "pl-north", "cp-east", "mb-bay" };
    fleet.zones = { { "pl-north", "port-louis" }, { "cp-east", "curepipe" }, { "mb-bay", "mahebourg" } };
    // One entry of the site file: garble with share = 0.488, x = 0.0196 and for_s = 5.57.
    constexpr auto share = 0.488;
    constexpr auto part = 0.0196;
    constexpr auto garbleS = 5.57;
    auto mutex = std::mutex {};
    auto random = std::mt19937(std::random_device {}());
    std::atomic<bool> isGarbling = false;
    std::atomic<int> garbled = 0;
    auto faulty = std::set<std::string> {};
    const auto garbles = [&](const std::string& backend) {
        const auto lock = std::lock_guard(mutex);
        return isGarbling && faulty.contains(backend) && std::uniform_real_distribution<>(0, 1)(random) < part;
    };
    const auto work = [&](Backend& backend, int fd, const Message& request) {
        sleepFor(request.first == "POST" ? 0.48 : 0.36);
        if (!garbles(backend.id))
            return backend.answer(fd, request);
        ++garbled;
        record.line("backend " + backend.id + " answers id=" + request.get("X-Citronloft-Request-Id") + " with a page that is no response");
        sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 19\r\n\r\n<html>debug</html>\n");
        return false;
    };
    constexpr auto backends = 16;
    for (auto i = 0; i < backends; ++i) {
        const auto& backend = fleet.addBackend("quote-desk", zones[i % 3], 3, work);
        if (i < backends * share)
            faulty.insert(backend.id);
    }
    fleet.putConfig(Json::array({ routeResource("rate-read", "/rates/", "safe", "quote-desk", 1.0),
        routeResource("quote-accept", "/accept/", "unsafe", "quote-desk", 1.2), serviceResource("quote-desk"),
        tenantResource("huka270", "key-1"), limitsResource() }));
    for (auto i = 0; i < 6; ++i)
        fleet.addHost(zones[i % 3]);
    fleet.start();

    std::atomic<bool> isOver = false;
    std::atomic<int> total = 0;
    std::atomic<int> served = 0;
    std::atomic<int> unsigned2xx = 0;
    auto threads = std::vector<std::thread> {};
    for (auto i = 0; i < 80; ++i)
        threads.emplace_back([&, i] {
            auto own = std::mt19937(static_cast<unsigned>(i) + std::random_device {}());
            while (!isOver) {
                const auto begin = seconds();
                const auto id = fleet.nextId();
                const auto& host = *fleet.hosts[own() % fleet.hosts.size()];
                const auto object = std::to_string(own() % 24);
                const auto isUnsafe = own() % 10 < 3;
                const auto response = callHost(host.ip, frontPort, isUnsafe ? "POST" : "GET",
                    (isUnsafe ? "/accept/" : "/rates/") + object, requestFields(id, "key-1", 2000, object),
                    isUnsafe ? "acceptance" : "", 2.5);
                const auto isSuccess = response.status >= 200 && response.status < 300;
                const auto isSigned = response.message.has("X-Citronloft-Server-Stamp");
                record.line("client " + std::string(isUnsafe ? "POST" : "GET") + " id=" + id + " at " + host.ip + ": "
                    + (response.status != 0 ? std::to_string(response.status) : response.error)
                    + (isSuccess && !isSigned ? " without a stamp, body: " + response.message.body.substr(0, 18) : ""));
                ++total;
                served += isSuccess && isSigned ? 1 : 0;
                unsigned2xx += isSuccess && !isSigned ? 1 : 0;
                sleepFor(begin + 1.0 - seconds());
            }
        });
    sleepFor(3);
    for (auto episode = 0; episode < 7; ++episode) {
        isGarbling = !isWithoutTrouble();
        sleepFor(garbleS);
        isGarbling = false;
        sleepFor(3);
    }
    isOver = true;
    for (auto& thread : threads)
        thread.join();
    say("requests " + std::to_string(total) + ", served " + std::to_string(served) + ", garbled answers " + std::to_string(garbled)
        + "; successes without a stamp: " + std::to_string(unsigned2xx) + " (none allowed)");
    fleet.exit(unsigned2xx > 0 ? 1 : 0);
}

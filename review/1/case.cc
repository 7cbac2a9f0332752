// A backend spoils one answer: its chunked body ends with a trailer field of 70,000 bytes.
#include "../common/lab.h"

using namespace lab;

namespace {

constexpr auto callers = 12;

auto stampOf(const Response& response) -> std::string
{
    const auto stamp = response.message.get("X-Citronloft-Server-Stamp");
    return stamp.starts_with("stamp-") ? stamp.substr(6) : std::string {};
}

} // namespace

auto main(int, char** argv) -> int
{
    auto fleet = Fleet(argv[1]);
    const auto zones = std::array<std::string, 3> { "pl-north", "cp-east", "mb-bay" };
    fleet.zones = { { "pl-north", "port-louis" }, { "cp-east", "curepipe" }, { "mb-bay", "mahebourg" } };
    const auto faulty = std::string { "i-1" };
    std::atomic<bool> spoils = false;
    std::atomic<int> spoiled = 0;
    const auto work = [&](Backend& backend, int fd, const Message& request) {
        sleepFor(request.first == "POST" ? 0.48 : 0.1);
        // One answer is spoiled, all others are sound.
        if (!spoils || backend.id != faulty || request.first != "GET" || spoiled.fetch_add(1) > 0)
            return backend.answer(fd, request);
        record.line("backend " + backend.id + " spoils its answer to id=" + request.get("X-Citronloft-Request-Id"));
        sendAll(fd, "HTTP/1.1 200 X\r\n" + backend.standardFields(request) + "X-Citronloft-Server-Stamp: stamp-" + backend.id
                + "\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\nX-Dump: " + std::string(70000, '-') + "\r\n\r\n");
        return true;
    };
    for (auto i = 0; i < 12; ++i)
        fleet.addBackend("quote-desk", zones[i % 3], 3, work);
    fleet.putConfig(Json::array({ routeResource("rate-read", "/rates/", "safe", "quote-desk", 1.0),
        routeResource("quote-accept", "/accept/", "unsafe", "quote-desk", 1.2), serviceResource("quote-desk"),
        tenantResource("huka270", "key-1"), limitsResource() }));
    for (const auto& zone : zones)
        fleet.addHost(zone);
    fleet.start();

    // Find out which objects have which backend at the host of the faulty backend's zone.
    auto& host = *fleet.hosts[0];
    auto faultyObject = std::string {};
    auto soundObjects = std::vector<std::string> {};
    for (auto object = 0; object < 300 && (faultyObject.empty() || soundObjects.size() < callers); ++object) {
        const auto name = std::to_string(object);
        const auto response = callHost(
            host.ip, frontPort, "GET", "/rates/" + name, requestFields(fleet.nextId(), "key-1", 2000, name), "", 2);
        const auto backend = stampOf(response);
        if (backend == faulty)
            faultyObject = name;
        else if (!backend.empty() && soundObjects.size() < callers)
            soundObjects.push_back(name);
    }
    if (faultyObject.empty() || soundObjects.size() < callers) {
        say("no objects of the faulty or of sound backends found");
        fleet.exit(2);
    }

    // Each caller keeps a connection: one request is answered, then a second one is sent.
    std::atomic<int> waiting = 0;
    std::atomic<int> lost = 0;
    std::atomic<int> answered = 0;
    auto threads = std::vector<std::thread> {};
    for (auto i = 0; i < callers; ++i)
        threads.emplace_back([&, i] {
            const auto& object = soundObjects[static_cast<std::size_t>(i)];
            auto connection = KeptConnection(host.ip);
            const auto first = connection.open()
                ? connection.call("GET", "/rates/" + object, requestFields(fleet.nextId(), "key-1", 2000, object), "", 2)
                : Response {};
            if (first.status != 200)
                return;
            ++waiting;
            while (waiting < callers)
                sleepFor(0.005);
            const auto id = fleet.nextId();
            record.line("client sends POST id=" + id + " on its kept connection to " + host.ip);
            const auto second
                = connection.call("POST", "/accept/" + object, requestFields(id, "key-1", 2500, object), "acceptance", 3);
            record.line("client of id=" + id + ": " + (second.status != 0 ? std::to_string(second.status) : second.error));
            const auto arrivals = fleet.allArrivals();
            const auto isPassedOn = std::any_of(arrivals.begin(), arrivals.end(),
                [&](const Arrival& arrival) { return arrival.id == id && arrival.what == "run" && arrival.backend != faulty; });
            if (second.status != 0)
                ++answered;
            else if (isPassedOn && second.error != "no answer in time")
                ++lost;
        });
    const auto until = seconds() + 10;
    while (waiting < callers && seconds() < until)
        sleepFor(0.01);
    if (waiting < callers) {
        say("the callers could not begin");
        fleet.exit(2);
    }
    sleepFor(0.2);
    spoils = !isWithoutTrouble();
    const auto response = callHost(host.ip, frontPort, "GET", "/rates/" + faultyObject,
        requestFields(fleet.nextId(), "key-1", 2000, faultyObject), "", 2);
    say("the request that meets the faulty backend: " + (response.status != 0 ? std::to_string(response.status) : response.error));
    for (auto& thread : threads)
        thread.join();
    sleepFor(0.3);
    if (fleet.hasEnded(host))
        say("the process of " + host.ip + " has ended by itself");
    const auto log = fleet.logOf(host);
    if (const auto at = log.find("terminate called"); at != std::string::npos)
        say(log.substr(at, 200));
    say("spoiled answers " + std::to_string(std::min(spoiled.load(), 1)) + ", second requests answered " + std::to_string(answered)
        + ", closed without an answer after they reached a sound backend " + std::to_string(lost) + " (at most 3)");
    fleet.exit(lost > 3 ? 1 : 0);
}

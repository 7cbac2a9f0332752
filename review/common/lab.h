/// @file
/// @brief A small deployment on loopback addresses: the platform's store, backends and clients as threads of this
/// process, and citronloftd as separate processes. Written for the cases of the review.
#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <exception>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace lab {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const auto startedAt = Clock::now();
inline auto seconds() -> double { return std::chrono::duration<double>(Clock::now() - startedAt).count(); }
inline auto sleepFor(double time) -> void { std::this_thread::sleep_for(std::chrono::duration<double>(std::max(time, 0.0))); }
inline auto isWithoutTrouble() -> bool
{
    const auto* text = std::getenv("TROUBLE");
    return text != nullptr && std::string { text } == "0";
}

/// The record of a run: one line for each event.
class Record {
public:
    auto open(const std::string& path) -> void { this->file.open(path, std::ios::trunc); }

    auto line(const std::string& text) -> void
    {
        auto time = std::array<char, 32> {};
        std::snprintf(time.data(), time.size(), "%9.3f ", seconds());
        const auto lock = std::lock_guard(this->mutex);
        this->file << time.data() << text << "\n";
        this->file.flush();
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline Record record;

inline auto say(const std::string& text) -> void
{
    record.line(text);
    std::printf("%8.3f %s\n", seconds(), text.c_str());
    std::fflush(stdout);
}

// --- sockets -------------------------------------------------------------------------------------------------------

inline auto makeAddress(const std::string& ip, int port) -> sockaddr_in
{
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline auto listenOn(const std::string& ip, int port) -> int
{
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = makeAddress(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline auto portOf(int fd) -> int
{
    auto address = sockaddr_in {};
    auto size = socklen_t { sizeof address };
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

inline auto setNoDelay(int fd) -> void
{
    const auto on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline auto resetSocket(int fd) -> void
{
    const auto option = linger { 1, 0 };
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

/// @return whether `text` was sent as a whole before the time.
inline auto sendAll(int fd, const std::string& text, Clock::time_point until = Clock::time_point::max()) -> bool
{
    auto sent = std::size_t { 0 };
    while (sent < text.size()) {
        const auto count = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EINTR)
            return false;
        if (Clock::now() >= until)
            return false;
        auto item = pollfd { fd, POLLOUT, 0 };
        ::poll(&item, 1, 50);
    }
    return true;
}

/// Reads what arrives. @return 1: bytes were added; 0: the peer has closed; -1: reset; -2: the time is over.
inline auto receiveSome(int fd, std::string& buffer, Clock::time_point until) -> int
{
    auto chunk = std::array<char, 65536> {};
    while (true) {
        auto item = pollfd { fd, POLLIN, 0 };
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        if (left <= 0)
            return -2;
        if (::poll(&item, 1, static_cast<int>(std::min<std::int64_t>(left, 100))) <= 0)
            continue;
        const auto count = ::recv(fd, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (count > 0) {
            buffer.append(chunk.data(), static_cast<std::size_t>(count));
            return 1;
        }
        if (count == 0)
            return 0;
        if (errno != EAGAIN && errno != EINTR)
            return -1;
    }
}

struct Message {
    /// The first line, split at spaces.
    std::string first, second, third;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] auto get(const std::string& name) const -> std::string
    {
        for (const auto& [key, value] : this->fields) {
            if (key.size() == name.size() && ::strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    [[nodiscard]] auto has(const std::string& name) const -> bool
    {
        return std::any_of(this->fields.begin(), this->fields.end(),
            [&](const auto& field) { return ::strcasecmp(field.first.c_str(), name.c_str()) == 0; });
    }
};

/// Reads one message. @return 1: whole; 0: closed before its first byte; -1: broken off; -2: the time is over.
inline auto readMessage(int fd, std::string& buffer, Message& message, Clock::time_point until, bool isHead = false) -> int
{
    auto end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const auto result = receiveSome(fd, buffer, until);
        if (result == 1)
            continue;
        return result == -2 ? -2 : (buffer.empty() && result == 0 ? 0 : -1);
    }
    auto head = std::istringstream(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    auto line = std::string {};
    message = {};
    std::getline(head, line);
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    auto words = std::istringstream(line);
    words >> message.first >> message.second >> message.third;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        message.fields.emplace_back(line.substr(0, colon), value);
    }
    if (isHead || message.second == "204" || message.second == "304")
        return 1;
    const auto length = message.get("Content-Length");
    const auto size = length.empty() ? std::size_t { 0 } : static_cast<std::size_t>(std::stoull(length));
    while (buffer.size() < size) {
        const auto result = receiveSome(fd, buffer, until);
        if (result != 1)
            return result == -2 ? -2 : -1;
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return 1;
}

inline auto formatResponse(int status, const std::string& fields, const std::string& body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

// --- server with a thread for each connection ----------------------------------------------------------------------

class Server {
public:
    using Handler = std::function<void(int fd, std::string& buffer)>;

    auto start(const std::string& ip, int port, Handler handler) -> bool
    {
        this->ip = ip;
        this->handler = std::move(handler);
        this->listener = listenOn(ip, port);
        if (this->listener < 0)
            return false;
        this->port = portOf(this->listener);
        this->isOpen = true;
        this->acceptor = std::thread([this] { this->accept(); });
        return true;
    }

    /// Stops listening and ends all connections; with `reset`, as a process that is killed.
    auto stop(bool reset = true) -> void
    {
        if (!this->isOpen.exchange(false))
            return;
        this->acceptor.join();
        ::close(this->listener);
        const auto lock = std::lock_guard(this->mutex);
        for (const auto fd : this->connections) {
            if (reset)
                resetSocket(fd);
            ::shutdown(fd, SHUT_RD);
        }
    }

    [[nodiscard]] auto address() const -> std::string { return this->ip + ":" + std::to_string(this->port); }

    std::string ip;
    int port = 0;
    std::atomic<bool> isOpen = false;
    /// Connections are accepted and kept; nothing passes on them.
    std::atomic<bool> isSilent = false;

private:
    auto accept() -> void
    {
        while (this->isOpen) {
            auto item = pollfd { this->listener, POLLIN, 0 };
            if (::poll(&item, 1, 20) <= 0)
                continue;
            const auto fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            setNoDelay(fd);
            {
                const auto lock = std::lock_guard(this->mutex);
                this->connections.insert(fd);
            }
            std::thread([this, fd] {
                auto buffer = std::string {};
                this->handler(fd, buffer);
                const auto lock = std::lock_guard(this->mutex);
                this->connections.erase(fd);
                ::close(fd);
            }).detach();
        }
    }

    Handler handler;
    int listener = -1;
    std::thread acceptor;
    std::mutex mutex;
    std::set<int> connections;
};

// --- the platform's store ------------------------------------------------------------------------------------------

class Store {
public:
    enum class Mode { Up, Refusing, Silent };

    using Objects = std::map<std::string, std::map<std::string, Json>>;

    auto start(const std::string& ip) -> bool
    {
        return this->server.start(ip, 0, [this](int fd, std::string& buffer) { this->serve(fd, buffer); });
    }

    /// Serves one machine, to which the addresses with the prefix `from` are shown with the prefix `to`.
    /// @return the address of the store for this machine.
    auto startFor(const std::string& ip, const std::string& from, const std::string& to) -> std::string
    {
        this->machines.push_back(std::make_unique<Server>());
        auto& machine = *this->machines.back();
        machine.start(ip, 0, [this, from, to](int fd, std::string& buffer) {
            this->view() = { from, to };
            this->serve(fd, buffer);
        });
        return machine.address();
    }

    auto put(const std::string& kind, const std::string& name, const Json& spec) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->upsert(kind, name, spec);
    }

    auto remove(const std::string& kind, const std::string& name) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->erase(kind, name);
    }

    auto has(const std::string& kind, const std::string& name) -> bool
    {
        const auto lock = std::lock_guard(this->mutex);
        return this->objects[kind].contains(name);
    }

    auto namesOf(const std::string& kind) -> std::vector<std::string>
    {
        const auto lock = std::lock_guard(this->mutex);
        auto names = std::vector<std::string> {};
        for (const auto& [name, object] : this->objects[kind])
            names.push_back(name);
        return names;
    }

    /// @return a copy of the content and its revision.
    auto copy() -> std::pair<Objects, std::uint64_t>
    {
        const auto lock = std::lock_guard(this->mutex);
        return { this->objects, this->revision };
    }

    /// Returns to a copy, as in a drill.
    auto restore(const std::pair<Objects, std::uint64_t>& copied) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->objects = copied.first;
        this->revision = copied.second;
        this->history.clear();
        this->historyStart = this->revision;
        ++this->era;
        this->changed.notify_all();
    }

    auto setMode(Mode mode) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->mode = mode;
        this->changed.notify_all();
    }

    [[nodiscard]] auto address() const -> std::string { return this->server.address(); }
    auto stop() -> void { this->server.stop(); }

private:
    struct View {
        std::string from, to;
    };

    /// The view of the machine that this thread serves.
    static auto view() -> View&
    {
        thread_local auto own = View {};
        return own;
    }

    static auto asSeen(std::string text) -> std::string
    {
        const auto& [from, to] = view();
        for (auto at = from.empty() ? std::string::npos : text.find(from); at != std::string::npos; at = text.find(from, at))
            text.replace(at, from.size(), to);
        return text;
    }

    struct Event {
        std::string kind;
        std::uint64_t revision;
        Json object;
        bool isDeleted;
    };

    auto upsert(const std::string& kind, const std::string& name, const Json& spec) -> const Json&
    {
        auto& object = this->objects[kind][name];
        const auto created = object.is_null() ? this->revision + 1 : object["metadata"]["created"].get<std::uint64_t>();
        object = { { "metadata",
                       { { "name", name }, { "revision", ++this->revision }, { "created", created },
                           { "finalizers", Json::array() }, { "deleting", false } } },
            { "spec", spec }, { "status", nullptr } };
        this->history.push_back({ kind, this->revision, object, false });
        this->changed.notify_all();
        return object;
    }

    auto erase(const std::string& kind, const std::string& name) -> void
    {
        const auto found = this->objects[kind].find(name);
        if (found == this->objects[kind].end())
            return;
        const auto object = found->second;
        this->objects[kind].erase(found);
        this->history.push_back({ kind, ++this->revision, object, true });
        this->changed.notify_all();
    }

    static auto queryValue(const std::string& target, const std::string& name) -> std::string
    {
        const auto begin = target.find(name + "=");
        if (begin == std::string::npos)
            return {};
        const auto value = target.substr(begin + name.size() + 1);
        return value.substr(0, value.find('&'));
    }

    auto answer(int fd, int status, const Json& body, std::uint64_t answerEra) -> bool
    {
        return sendAll(fd, formatResponse(status, "Content-Type: application/json\r\nStore-Era: "
                + std::to_string(answerEra) + "\r\n", asSeen(body.dump())));
    }

    auto serve(int fd, std::string& buffer) -> void
    {
        while (this->server.isOpen) {
            auto request = Message {};
            const auto result = readMessage(fd, buffer, request, Clock::now() + std::chrono::seconds { 1 });
            if (result == -2)
                continue;
            if (result != 1 || !this->handle(fd, request))
                return;
        }
    }

    auto handle(int fd, const Message& request) -> bool
    {
        auto lock = std::unique_lock(this->mutex);
        if (this->mode == Mode::Silent) {
            while (this->mode == Mode::Silent && this->server.isOpen)
                this->changed.wait_for(lock, std::chrono::milliseconds { 100 });
            return false;
        }
        if (this->mode == Mode::Refusing) {
            const auto currentEra = this->era;
            lock.unlock();
            return this->answer(fd, 503, Json::object(), currentEra);
        }
        auto path = request.second.substr(0, request.second.find('?'));
        const auto prefix = std::string { "/citronloft/objects/" };
        if (!path.starts_with(prefix))
            return this->answer(fd, 404, Json::object(), this->era);
        path.erase(0, prefix.size());
        const auto slash = path.find('/');
        const auto kind = path.substr(0, slash);
        const auto name = slash == std::string::npos ? std::string {} : path.substr(slash + 1);
        if (request.first == "GET" && name.empty()) {
            const auto watch = queryValue(request.second, "watch");
            return watch.empty() ? this->list(fd, kind, queryValue(request.second, "after"))
                                 : this->watch(fd, lock, kind, std::stoull(watch),
                                       std::stol("0" + queryValue(request.second, "waitMs")));
        }
        if (request.first == "GET") {
            const auto found = this->objects[kind].find(name);
            return found == this->objects[kind].end() ? this->answer(fd, 404, Json::object(), this->era)
                                                      : this->answer(fd, 200, found->second, this->era);
        }
        if (request.first == "DELETE") {
            this->erase(kind, name);
            return this->answer(fd, 200, Json::object(), this->era);
        }
        const auto body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return this->answer(fd, 400, Json::object(), this->era);
        const auto metadata = body.value("metadata", Json::object());
        const auto target = name.empty() ? metadata.value("name", std::string {}) : name;
        const auto found = this->objects[kind].find(target);
        const auto exists = found != this->objects[kind].end();
        if (request.first == "POST" && exists)
            return this->answer(fd, 409, found->second, this->era);
        if (request.first == "PUT" && !exists)
            return this->answer(fd, 404, Json::object(), this->era);
        if (exists && metadata.contains("revision") && metadata["revision"] != found->second["metadata"]["revision"])
            return this->answer(fd, 409, found->second, this->era);
        return this->answer(fd, exists ? 200 : 201, this->upsert(kind, target, body.value("spec", Json())), this->era);
    }

    auto list(int fd, const std::string& kind, const std::string& after) -> bool
    {
        auto items = Json::array();
        for (const auto& [name, object] : this->objects[kind]) {
            if (name > after)
                items.push_back(object);
        }
        return this->answer(fd, 200, { { "items", items }, { "more", false }, { "asOf", this->revision } }, this->era);
    }

    auto watch(int fd, std::unique_lock<std::mutex>& lock, const std::string& kind, std::uint64_t from, long waitMs)
        -> bool
    {
        const auto until = Clock::now() + std::chrono::milliseconds { waitMs };
        const auto firstEra = this->era;
        while (true) {
            if (this->mode != Mode::Up)
                return false;
            if (from < this->historyStart || from > this->revision || this->era != firstEra)
                return this->answer(fd, 410, Json::object(), this->era);
            auto events = Json::array();
            for (const auto& event : this->history) {
                if (event.kind == kind && event.revision > from)
                    events.push_back({ { "deleted", event.isDeleted }, { "object", event.object } });
            }
            if (!events.empty() || Clock::now() >= until || !this->server.isOpen)
                return this->answer(fd, 200, { { "events", events }, { "asOf", this->revision } }, this->era);
            this->changed.wait_until(lock, std::min(until, Clock::now() + std::chrono::milliseconds { 100 }));
        }
    }

    Server server;
    std::vector<std::unique_ptr<Server>> machines;
    std::mutex mutex;
    std::condition_variable changed;
    Objects objects;
    std::deque<Event> history;
    std::uint64_t revision = 100;
    std::uint64_t historyStart = 0;
    std::uint64_t era = 1;
    Mode mode = Mode::Up;
};

// --- backends --------------------------------------------------------------------------------------------------------

struct Arrival {
    double at = 0;
    std::string backend;
    std::string id;
    std::string method;
    std::string path;
    std::string tenant;
    /// run, refused or misdirected
    std::string what;
};

class Backend;

/// What a backend does with a request that it has taken: it answers on the connection.
/// @return whether the connection is kept.
using Work = std::function<bool(Backend&, int fd, const Message& request)>;

class Backend {
public:
    Backend(std::string id, std::string service, std::string zone, int slots)
        : id(std::move(id))
        , service(std::move(service))
        , zone(std::move(zone))
        , slots(slots)
    {
    }

    auto start(const std::string& ip, int port = 0) -> bool
    {
        this->born = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
                         .count();
        this->sequence = 0;
        this->server = std::make_unique<Server>();
        return this->server->start(ip, port, [this](int fd, std::string& buffer) { this->serve(fd, buffer, *this->server); });
    }

    /// Opens one machine's path to this backend: an address of its own with the same port.
    auto openPath(const std::string& ip) -> bool
    {
        this->paths.push_back(std::make_unique<Server>());
        auto& path = *this->paths.back();
        return path.start(ip, this->server->port, [this, &path](int fd, std::string& buffer) { this->serve(fd, buffer, path); });
    }

    /// Makes a machine's path silent, or lets it pass again; connections that were silent then end.
    auto setPathSilent(std::size_t machine, bool isSilent) -> void { this->paths.at(machine)->isSilent = isSilent; }

    /// Ends as a process that crashes: all connections are reset.
    auto crash() -> void { this->server->stop(true); }

    auto restart() -> bool
    {
        const auto ip = this->server->ip;
        const auto port = this->server->port;
        this->retired.push_back(std::move(this->server));
        return this->start(ip, port);
    }

    [[nodiscard]] auto isUp() const -> bool { return this->server && this->server->isOpen; }
    [[nodiscard]] auto address() const -> std::string { return this->server->address(); }

    /// The entry for the store.
    auto entry(const std::string& state = "ready") -> Json
    {
        return { { "address", this->address() },
            { "info", { { "service", this->service }, { "version", "v1" }, { "zone", this->zone }, { "slots", this->slots } } },
            { "status", { { "state", state }, { "seqNo", ++this->sequence }, { "coldLeftS", 0 } } },
            { "born", this->born } };
    }

    auto standardFields(const Message& request) -> std::string
    {
        const auto waiting = std::max(this->running.load() - this->slots, 0);
        return "X-Citronloft-Request-Id: " + request.get("X-Citronloft-Request-Id") + "\r\nX-Citronloft-Server-Load: "
            + std::to_string(std::min(this->running.load(), this->slots)) + "," + std::to_string(waiting) + ","
            + std::to_string(this->slots) + "\r\n";
    }

    auto answer(int fd, const Message& request, const std::string& more = "") -> bool
    {
        const auto body = "answer of " + this->id + " to " + request.get("X-Citronloft-Request-Id");
        return sendAll(fd, formatResponse(200,
            this->standardFields(request) + "X-Citronloft-Server-Stamp: stamp-" + this->id + "\r\n" + more, body));
    }

    auto refuse(int fd, const Message& request, const std::string& more = "") -> bool
    {
        return sendAll(
            fd, formatResponse(503, this->standardFields(request) + "X-Citronloft-Not-Executed: 1\r\n" + more, ""));
    }

    std::string id, service, zone;
    int slots;
    std::int64_t born = 0;
    std::atomic<int> sequence = 0;
    std::atomic<int> running = 0;
    Work work;
    std::function<void(const Arrival&)> onArrival;
    std::unique_ptr<Server> server;

private:
    auto serve(int fd, std::string& buffer, Server& own) -> void
    {
        while (own.isOpen) {
            auto request = Message {};
            const auto result = readMessage(fd, buffer, request, Clock::now() + std::chrono::seconds { 1 });
            if (result == -2)
                continue;
            if (result != 1)
                return;
            if (own.isSilent) {
                while (own.isSilent && own.isOpen)
                    sleepFor(0.05);
                return;
            }
            if (!this->handle(fd, request) || !own.isOpen)
                return;
        }
    }

    auto handle(int fd, const Message& request) -> bool
    {
        if (request.second == "/health")
            return sendAll(fd, formatResponse(200, "X-Citronloft-Instance-Id: " + this->id + "\r\n", ""));
        auto arrival = Arrival { seconds(), this->id, request.get("X-Citronloft-Request-Id"), request.first, request.second,
            request.get("X-Citronloft-Tenant"), "run" };
        const auto expected = request.get("X-Citronloft-Expect-Instance");
        if (!expected.empty() && expected != this->id) {
            arrival.what = "misdirected";
            this->report(arrival);
            return sendAll(fd, formatResponse(421, "X-Citronloft-Instance-Id: " + this->id + "\r\n", ""));
        }
        this->report(arrival);
        ++this->running;
        const auto isKept = this->work(*this, fd, request);
        --this->running;
        return isKept;
    }

    auto report(const Arrival& arrival) -> void
    {
        record.line("backend " + this->id + " gets " + arrival.method + " " + arrival.path + " id=" + arrival.id + " ("
            + arrival.what + ")");
        if (this->onArrival)
            this->onArrival(arrival);
    }

    std::vector<std::unique_ptr<Server>> retired;
    std::vector<std::unique_ptr<Server>> paths;
};

// --- hosts -----------------------------------------------------------------------------------------------------------

struct Host {
    std::string ip, zone;
    /// The store's address for this host; empty: the one of all.
    std::string platform;
    pid_t pid = 0;
    [[nodiscard]] auto front() const -> std::string { return this->ip; }
};

constexpr auto frontPort = 8388;
constexpr auto readyPort = 8384;
constexpr auto directoryPort = 8383;

struct Response {
    /// 0: no answer.
    int status = 0;
    std::string error;
    Message message;
    double tookS = 0;
};

/// Sends one request on a new connection, or on `kept` if it is open.
inline auto callHost(const std::string& ip, int port, const std::string& method, const std::string& path,
    const std::string& fields, const std::string& body, double timeoutS) -> Response
{
    auto response = Response {};
    const auto begin = Clock::now();
    const auto until = begin + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(timeoutS));
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto address = makeAddress(ip, port);
    auto connected = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    if (!connected && errno == EINPROGRESS) {
        auto item = pollfd { fd, POLLOUT, 0 };
        ::poll(&item, 1, 1000);
        auto error = 0;
        auto size = socklen_t { sizeof error };
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        connected = error == 0 && (item.revents & POLLOUT) != 0;
    }
    if (!connected) {
        response.error = "no connection";
        ::close(fd);
        return response;
    }
    setNoDelay(fd);
    const auto text = method + " " + path + " HTTP/1.1\r\n" + fields + "Connection: close\r\n"
        + (body.empty() && method != "POST" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
    if (!sendAll(fd, text, until))
        response.error = "not sent";
    auto buffer = std::string {};
    const auto result = readMessage(fd, buffer, response.message, until, method == "HEAD");
    if (result == 1)
        response.status = std::stoi(response.message.second);
    else if (response.error.empty())
        response.error = result == -2 ? "no answer in time" : "closed";
    ::close(fd);
    response.tookS = std::chrono::duration<double>(Clock::now() - begin).count();
    return response;
}

/// A connection of a client that is kept for several requests.
class KeptConnection {
public:
    explicit KeptConnection(std::string ip)
        : ip(std::move(ip))
    {
    }
    KeptConnection(const KeptConnection&) = delete;
    auto operator=(const KeptConnection&) -> KeptConnection& = delete;
    ~KeptConnection() { this->close(); }

    auto open() -> bool
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = makeAddress(this->ip, frontPort);
        if (::connect(this->fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            return false;
        setNoDelay(this->fd);
        return true;
    }

    auto close() -> void
    {
        if (this->fd >= 0)
            ::close(this->fd);
        this->fd = -1;
    }

    auto call(const std::string& method, const std::string& path, const std::string& fields, const std::string& body,
        double timeoutS) -> Response
    {
        auto response = Response {};
        const auto until = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(timeoutS));
        const auto text = method + " " + path + " HTTP/1.1\r\n" + fields
            + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
        if (!sendAll(this->fd, text, until)) {
            response.error = "not sent";
            return response;
        }
        const auto result = readMessage(this->fd, this->buffer, response.message, until);
        if (result == 1)
            response.status = std::stoi(response.message.second);
        else
            response.error = result == -2 ? "no answer in time" : "closed without an answer";
        return response;
    }

private:
    std::string ip;
    int fd = -1;
    std::string buffer;
};

inline auto residentKb(pid_t pid, const char* field = "VmRSS:") -> long
{
    auto file = std::ifstream("/proc/" + std::to_string(pid) + "/status");
    auto line = std::string {};
    while (std::getline(file, line)) {
        if (line.starts_with(field))
            return std::stol(line.substr(std::strlen(field)));
    }
    return 0;
}

/// The whole deployment.
class Fleet {
public:
    explicit Fleet(std::string directory)
        : directory(std::move(directory))
    {
        std::signal(SIGPIPE, SIG_IGN);
        // A failure of the stand-ins is no result; the hosts end with this process.
        std::set_terminate([] { ::_exit(2); });
        record.open(this->directory + "/record.txt");
        auto pattern = std::string { "/tmp/citronloft-review-XXXXXX" };
        this->temporary = ::mkdtemp(pattern.data());
        // The listening socket keeps other runs off the network 127.N.0.0/16.
        constexpr auto lockPort = 18999;
        for (auto tries = 0U; tries < 190 && this->lock < 0; ++tries) {
            this->network = 30 + static_cast<int>((static_cast<unsigned>(::getpid()) + tries) % 190U);
            this->lock = listenOn(this->ipOf("250.2"), lockPort);
        }
        if (this->lock < 0 || !this->store.start(this->ipOf("250.1"))) {
            say("no free loopback network");
            this->exit(2);
        }
    }

    ~Fleet() { this->end(); }

    auto ipOf(const std::string& rest) const -> std::string { return "127." + std::to_string(this->network) + "." + rest; }

    auto addBackend(const std::string& service, const std::string& zone, int slots, Work work) -> Backend&
    {
        const auto number = static_cast<int>(this->backends.size()) + 1;
        auto backend = std::make_unique<Backend>("i-" + std::to_string(number), service, zone, slots);
        backend->work = std::move(work);
        backend->onArrival = [this](const Arrival& arrival) {
            const auto lock = std::lock_guard(this->mutex);
            this->arrivals.push_back(arrival);
        };
        if (!backend->start(this->ipOf("200." + std::to_string(number)))) {
            say("a backend could not listen");
            this->exit(2);
        }
        this->store.put("servers", backend->id, backend->entry());
        this->backends.push_back(std::move(backend));
        return *this->backends.back();
    }

    /// Writes a new version of the configuration.
    auto putConfig(const Json& resources) -> void
    {
        this->store.put("config", "main", { { "version", ++this->version }, { "resources", resources } });
        record.line("config version " + std::to_string(this->version));
    }

    auto addHost(const std::string& zone) -> Host&
    {
        auto host = std::make_unique<Host>();
        host->ip = this->ipOf("1." + std::to_string(this->hosts.size() + 1));
        host->zone = zone;
        this->hosts.push_back(std::move(host));
        return *this->hosts.back();
    }

    /// Gives each host a path of its own to each backend; call it before the hosts start.
    auto openPaths() -> void
    {
        for (auto machine = std::size_t { 0 }; machine < this->hosts.size(); ++machine) {
            const auto net = std::to_string(100 + machine) + ".";
            this->hosts[machine]->platform
                = this->store.startFor(this->ipOf("251." + std::to_string(machine + 1)), this->ipOf("200."), this->ipOf(net));
            for (auto backend = std::size_t { 0 }; backend < this->backends.size(); ++backend) {
                if (!this->backends[backend]->openPath(this->ipOf(net + std::to_string(backend + 1)))) {
                    say("a path could not be opened");
                    this->exit(2);
                }
            }
        }
    }

    auto startHost(Host& host) -> void
    {
        auto seeds = Json::array();
        for (const auto& other : this->hosts) {
            if (seeds.size() < 3)
                seeds.push_back(other->ip + ":8381");
        }
        // The template deploy/settings.yaml with the bounds of the deployment obw-fascia.
        const auto path = this->temporary + "/" + host.ip + ".yaml";
        auto file = std::ofstream(path);
        file << "ip: " << Json(host.ip) << "\nzone: " << Json(host.zone) << "\nzones: " << this->zones.dump()
             << "\nservice_address: " << Json(host.ip + ":" + std::to_string(frontPort))
             << "\nready_address: " << Json(host.ip + ":" + std::to_string(readyPort))
             << "\nlookup_address: " << Json(host.ip + ":" + std::to_string(directoryPort))
             << "\npeer_port: 7560\nstatus_port: 9464\nplatform: " << Json(host.platform.empty() ? this->store.address() : host.platform)
             << "\nadapter: fleet\nfleet_secret: \"the hosts of this fleet know each other by this text\"\nseed_hosts: "
             << seeds.dump()
             << "\nlookup_ttl_s: 2\nlending: fleet\nstop_time_s: 6\nretry_ratio: 0.2\nretry_slack: 116\nrate_overage: "
                "0.1\nrate_slack: 20\nrate_window_s: 5\nshift_part: 0.15\nlog:\n  level: info\n";
        file.close();
        const auto log = this->temporary + "/" + host.ip + ".log";
        const auto* program = std::getenv("CITRONLOFTD");
        const auto command = std::string { program != nullptr ? program : "target/programs/citronloftd" };
        host.pid = ::fork();
        if (host.pid == 0) {
            // The host ends with this process, whatever ends it.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl(command.c_str(), command.c_str(), "--settings", path.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        record.line("host " + host.ip + " in " + host.zone + " starts, process " + std::to_string(host.pid));
    }

    auto killHost(Host& host, int signal = SIGKILL) -> void
    {
        record.line("host " + host.ip + " gets signal " + std::to_string(signal));
        ::kill(host.pid, signal);
        if (signal == SIGKILL) {
            ::waitpid(host.pid, nullptr, 0);
            host.pid = 0;
        }
    }

    /// @return whether the host's process has ended by itself.
    auto hasEnded(Host& host) -> bool
    {
        if (host.pid == 0 || ::waitpid(host.pid, nullptr, WNOHANG) != host.pid)
            return false;
        host.pid = 0;
        return true;
    }

    auto isReady(const Host& host) -> bool
    {
        return callHost(host.ip, readyPort, "GET", "/citronloft/ready", "Host: x\r\n", "", 1).status == 200;
    }

    /// Starts all hosts and the heartbeats of the backends, and waits until all are ready.
    auto start() -> void
    {
        this->beats = std::thread([this] { this->beat(); });
        for (auto& host : this->hosts)
            this->startHost(*host);
        const auto until = seconds() + 20;
        for (auto& host : this->hosts) {
            while (!this->isReady(*host)) {
                if (seconds() > until) {
                    say("host " + host->ip + " did not become ready");
                    this->exit(2);
                }
                sleepFor(0.1);
            }
        }
        sleepFor(3);
        record.line("all hosts are ready");
    }

    auto end() -> void
    {
        if (this->isEnded.exchange(true))
            return;
        for (auto& host : this->hosts) {
            if (host->pid != 0) {
                ::kill(host->pid, SIGCONT);
                ::kill(host->pid, SIGKILL);
                ::waitpid(host->pid, nullptr, 0);
            }
        }
        if (this->beats.joinable())
            this->beats.join();
        if (const auto* kept = std::getenv("LAB_KEEP"); kept == nullptr && !this->temporary.empty()) {
            for (const auto& host : this->hosts) {
                ::unlink((this->temporary + "/" + host->ip + ".yaml").c_str());
                ::unlink((this->temporary + "/" + host->ip + ".log").c_str());
            }
            ::rmdir(this->temporary.c_str());
        } else {
            std::printf("logs in %s\n", this->temporary.c_str());
        }
    }

    /// Ends all processes and the run.
    [[noreturn]] auto exit(int code) -> void
    {
        record.line("exit " + std::to_string(code));
        this->end();
        std::fflush(stdout);
        ::_exit(code);
    }

    auto allArrivals() -> std::vector<Arrival>
    {
        const auto lock = std::lock_guard(this->mutex);
        return this->arrivals;
    }

    auto logOf(const Host& host) const -> std::string
    {
        auto file = std::ifstream(this->temporary + "/" + host.ip + ".log");
        auto text = std::ostringstream {};
        text << file.rdbuf();
        return text.str();
    }

    auto nextId() -> std::string
    {
        auto text = std::array<char, 32> {};
        std::snprintf(text.data(), text.size(), "%016x", ++this->lastId);
        return text.data();
    }

    std::string directory, temporary;
    int network = 0;
    int lock = -1;
    Store store;
    Json zones;
    std::vector<std::unique_ptr<Backend>> backends;
    std::vector<std::unique_ptr<Host>> hosts;
    /// Backends whose heartbeats do not reach the store at present.
    std::set<std::string> mute;
    std::mutex mutex;

private:
    auto beat() -> void
    {
        auto next = seconds() + 1.5;
        while (!this->isEnded) {
            sleepFor(0.05);
            if (seconds() < next)
                continue;
            next += 1.5;
            for (auto& backend : this->backends) {
                const auto lock = std::lock_guard(this->mutex);
                // The entry of a backend that goes on as before changes only in its sequence number.
                if (backend->isUp() && !this->mute.contains(backend->id) && !this->store.has("servers", backend->id))
                    this->store.put("servers", backend->id, backend->entry());
            }
        }
    }

    int version = 0;
    std::atomic<unsigned> lastId = 0;
    std::vector<Arrival> arrivals;
    std::thread beats;
    std::atomic<bool> isEnded = false;
};

// --- configuration ---------------------------------------------------------------------------------------------------

inline auto routeResource(const std::string& name, const std::string& prefix, const std::string& kind,
    const std::string& service, double timeoutS, const Json& more = Json::object()) -> Json
{
    auto spec = Json { { "hostname", "ficu95.example" }, { "pathPrefix", prefix }, { "kind", kind }, { "timeoutS", timeoutS },
        { "targetLatencyS", 0.4 }, { "priority", 1 }, { "service", service }, { "maxAttempts", 2 }, { "public", false },
        { "sticky", true }, { "homeRegions", Json::array() } };
    spec.update(more);
    return { { "resourceKind", "routes" }, { "metadata", { { "name", name } } }, { "spec", spec } };
}

inline auto serviceResource(const std::string& name) -> Json
{
    return { { "resourceKind", "services" }, { "metadata", { { "name", name } } },
        { "spec", { { "healthPath", "/health" }, { "maxConns", 660 }, { "protocol", "h1" }, { "tls", false },
                      { "coldStartS", 3.0 }, { "coldPerS", 5.3 } } } };
}

inline auto tenantResource(const std::string& name, const std::string& key, double ratePerS = 112, double burst = 112) -> Json
{
    return { { "resourceKind", "tenants" }, { "metadata", { { "name", name } } },
        { "spec", { { "apiKeys", Json::array({ key }) }, { "priority", 1 }, { "ratePerS", ratePerS }, { "burst", burst },
                      { "homeRegions", Json::array() } } } };
}

inline auto limitsResource() -> Json
{
    return { { "resourceKind", "limits" }, { "metadata", Json::object() },
        { "spec", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 67108864 }, { "headerTimeoutS", 3 }, { "idleTimeoutS", 15 } } } };
}

inline auto requestFields(const std::string& id, const std::string& key, int deadlineMs, const std::string& object = "") -> std::string
{
    return "Host: ficu95.example\r\nX-Citronloft-Request-Id: " + id + "\r\n"
        + (object.empty() ? "" : "Cookie: X-Citronloft-Affinity-Key=" + object + "\r\n") + "X-Citronloft-Deadline-Ms: "
        + std::to_string(deadlineMs) + "\r\n" + (key.empty() ? "" : "X-Api-Key: " + key + "\r\n");
}

} // namespace lab

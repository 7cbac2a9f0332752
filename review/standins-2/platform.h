/// @file
/// @brief Stand-ins of the platform: its store, and the processes that it starts on machines.
#pragma once

#include <condition_variable>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include "net.h"

namespace review {

using Json = nlohmann::json;

/// @brief Lines with the time since the start of the program, in a file.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path, std::ios::trunc)
    {
    }

    auto write(const std::string& line) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", secondsSinceStart());
        this->file << time << line << "\n" << std::flush;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

/// @brief The platform's metadata store: objects by kind and name, with revisions, lists and watches.
class Store {
public:
    explicit Store(Address address)
        : own(address)
        , listener(std::move(address), [this](int fd) { this->serve(fd); })
    {
    }
    ~Store() { this->stop(); }

    auto start() -> bool { return this->listener.start(); }
    auto stop() -> void
    {
        {
            const auto lock = std::lock_guard(this->mutex);
            this->isStopping = true;
        }
        this->changed.notify_all();
        this->listener.stop();
    }
    [[nodiscard]] auto address() const -> Address { return this->own; }

    /// @brief Creates or replaces an object, as the operator or a server does.
    /// @param spec JSON text.
    auto put(const std::string& kind, const std::string& name, const std::string& spec) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->write(kind, name, spec);
    }

    auto remove(const std::string& kind, const std::string& name) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        const auto found = this->objects[kind].find(name);
        if (found == this->objects[kind].end())
            return;
        const auto text = found->second.text;
        this->objects[kind].erase(found);
        ++this->revision;
        this->record(kind, text, true);
    }

private:
    struct Object {
        std::uint64_t revision = 0;
        std::string text;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
        bool isDeleted = false;
        TimePoint at;
    };
    static constexpr auto pageSize = std::size_t { 500 };
    static constexpr auto historyTime = std::chrono::seconds { 20 };

    auto write(const std::string& kind, const std::string& name, const std::string& spec) -> const Object&
    {
        ++this->revision;
        auto& object = this->objects[kind][name];
        object.revision = this->revision;
        object.text = Json {
            { "name", name }, { "revision", this->revision }, { "created", 1 }, { "finalizers", Json::array() },
            { "deleting", false }
        }.dump();
        object.text = R"({"metadata":)" + object.text + R"(,"spec":)" + spec + R"(,"status":null})";
        this->record(kind, object.text, false);
        return object;
    }

    auto record(const std::string& kind, const std::string& text, bool isDeleted) -> void
    {
        const auto now = Clock::now();
        this->history.push_back({ this->revision, kind, text, isDeleted, now });
        while (!this->history.empty() && this->history.front().at < now - historyTime) {
            this->historyStart = this->history.front().revision;
            this->history.pop_front();
        }
        this->changed.notify_all();
    }

    auto serve(int fd) -> void
    {
        auto reader = Reader(fd);
        auto request = Message {};
        while (reader.read(request) == ReadResult::Complete) {
            const auto [status, body] = this->answer(request);
            if (!sendAll(fd, formatResponse(status, { { "Content-Type", "application/json" } }, body)))
                return;
        }
    }

    static auto queryValue(const std::string& target, const std::string& name) -> std::string
    {
        const auto query = target.find('?');
        auto position = query == std::string::npos ? std::string::npos : target.find(name + "=", query);
        if (position == std::string::npos)
            return {};
        position += name.size() + 1;
        return target.substr(position, target.find('&', position) - position);
    }

    auto answer(const Message& request) -> std::pair<int, std::string>
    {
        constexpr auto prefix = std::string_view { "/citronloft/objects/" };
        const auto target = request.target();
        if (!target.starts_with(prefix))
            return { 404, "{}" };
        const auto path = target.substr(prefix.size(), target.find('?') - std::min(prefix.size(), target.find('?')));
        const auto slash = path.find('/');
        const auto kind = path.substr(0, slash);
        const auto name = slash == std::string::npos ? std::string {} : path.substr(slash + 1);
        if (request.method() == "GET" && name.empty()) {
            const auto watched = queryValue(target, "watch");
            return watched.empty()
                ? this->list(kind, queryValue(target, "after"))
                : this->watch(kind, std::stoull(watched), std::stoll("0" + queryValue(target, "waitMs")));
        }
        const auto lock = std::lock_guard(this->mutex);
        const auto body = Json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
        auto& ofKind = this->objects[kind];
        if (request.method() == "POST") {
            const auto created = body["metadata"]["name"].get<std::string>();
            if (const auto found = ofKind.find(created); found != ofKind.end())
                return { 409, found->second.text };
            return { 201, this->write(kind, created, body["spec"].dump()).text };
        }
        const auto found = ofKind.find(name);
        if (found == ofKind.end())
            return { 404, "{}" };
        if (request.method() == "GET")
            return { 200, found->second.text };
        if (request.method() != "PUT")
            return { 405, "{}" };
        const auto& metadata = body["metadata"];
        if (metadata.contains("revision") && metadata["revision"] != found->second.revision)
            return { 409, found->second.text };
        return { 200, this->write(kind, name, body["spec"].dump()).text };
    }

    auto list(const std::string& kind, const std::string& after) -> std::pair<int, std::string>
    {
        const auto lock = std::lock_guard(this->mutex);
        auto text = std::string { R"({"items":[)" };
        auto count = std::size_t { 0 };
        auto& ofKind = this->objects[kind];
        auto item = ofKind.upper_bound(after);
        for (; item != ofKind.end() && count < pageSize; ++item, ++count)
            text += (count > 0 ? "," : "") + item->second.text;
        return { 200,
            text + R"(],"more":)" + (item != ofKind.end() ? "true" : "false") + R"(,"asOf":)"
                + std::to_string(this->revision) + "}" };
    }

    auto watch(const std::string& kind, std::uint64_t since, std::int64_t waitMs) -> std::pair<int, std::string>
    {
        auto lock = std::unique_lock(this->mutex);
        const auto until = Clock::now() + Ms { waitMs };
        const auto isNews = [&](const Event& event) { return event.revision > since && event.kind == kind; };
        const auto hasNews = [&] { return std::any_of(this->history.begin(), this->history.end(), isNews); };
        while (!this->isStopping && since >= this->historyStart && !hasNews()) {
            if (this->changed.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        if (since < this->historyStart)
            return { 410, "{}" };
        auto text = std::string { R"({"events":[)" };
        auto count = 0;
        for (const auto& event : this->history) {
            if (!isNews(event))
                continue;
            text += std::string { count++ > 0 ? "," : "" } + R"({"deleted":)" + (event.isDeleted ? "true" : "false")
                + R"(,"object":)" + event.text + "}";
        }
        return { 200, text + R"(],"asOf":)" + std::to_string(this->revision) + "}" };
    }

    Address own;
    std::mutex mutex;
    std::condition_variable changed;
    bool isStopping = false;
    std::uint64_t revision = 1;
    std::uint64_t historyStart = 0;
    std::deque<Event> history;
    std::map<std::string, std::map<std::string, Object>> objects;
    Listener listener;
};

/// @brief Fills in the placeholders {{a.b}} and {{a.b|json}} of a settings template.
inline auto renderTemplate(const std::string& text, const Json& fields) -> std::string
{
    auto result = std::string {};
    auto position = std::size_t { 0 };
    while (position < text.size()) {
        const auto begin = text.find("{{", position);
        const auto end = begin == std::string::npos ? begin : text.find("}}", begin);
        result += text.substr(position, begin == std::string::npos ? begin : begin - position);
        if (end == std::string::npos)
            break;
        auto name = text.substr(begin + 2, end - begin - 2);
        const auto isJson = name.ends_with("|json");
        name = name.substr(0, name.find('|'));
        const auto* value = &fields;
        for (auto start = std::size_t { 0 }; start <= name.size();) {
            const auto dot = std::min(name.find('.', start), name.size());
            const auto part = name.substr(start, dot - start);
            value = value->is_array() ? &value->at(std::stoul(part)) : &value->at(part);
            start = dot + 1;
        }
        result += isJson || !value->is_string() ? value->dump() : value->get<std::string>();
        position = end + 2;
    }
    return result;
}

/// @brief Limits of a machine, from the small deployments of the users' pages.
struct MachineLimits {
    int memoryMb = 182;
    int maxFds = 2870;
};

/// @brief A machine with one process of citronloftd, which the platform starts again after it has ended.
class Machine {
public:
    Machine(std::string repository, std::string folder, std::string ip, std::string zone, MachineLimits limits)
        : repository(std::move(repository))
        , folder(std::move(folder))
        , ip(std::move(ip))
        , zone(std::move(zone))
        , limits(limits)
    {
    }
    ~Machine() { this->end(); }

    [[nodiscard]] auto front() const -> Address { return { this->ip, 8388 }; }
    [[nodiscard]] auto ready() const -> Address { return { this->ip, 8384 }; }
    [[nodiscard]] auto directory() const -> Address { return { this->ip, 8383 }; }
    [[nodiscard]] auto pid() const -> pid_t { return this->process; }
    [[nodiscard]] auto zoneName() const -> const std::string& { return this->zone; }

    /// @param zones regions by zone.
    auto start(const Json& zones, const Json& seeds, const Address& store) -> void
    {
        const auto text = [](const Address& address) { return address.text(); };
        const auto boot = Json { { "ip", this->ip }, { "zone", this->zone }, { "zones", zones },
            { "listen",
                { { "front", text(this->front()) }, { "ready", text(this->ready()) },
                    { "directory", text(this->directory()) } } },
            { "internalPorts", { 7560, 7575 } }, { "seeds", seeds }, { "platform", { { "address", text(store) } } },
            { "limits", { { "memoryMb", this->limits.memoryMb }, { "maxFds", this->limits.maxFds } } },
            { "bounds",
                { { "graceS", 6 }, { "retryBudgetRatio", 0.2 }, { "retryBudgetSlack", 133 }, { "quotaOverage", 0.1 },
                    { "quotaSlack", 20 }, { "quotaWindowS", 5 }, { "maxShift", 0.15 } } } };
        auto file = std::ifstream(this->repository + "/deploy/settings.yaml");
        const auto settings = std::string(std::istreambuf_iterator(file), {});
        this->settingsPath = this->folder + "/settings-" + this->ip + ".yaml";
        std::ofstream(this->settingsPath) << renderTemplate(settings, boot);
        this->launch();
    }

    /// @brief Starts the process, by the command of deploy/system.toml.
    auto launch() -> void
    {
        this->process = fork();
        if (this->process != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto descriptors
            = rlimit { static_cast<rlim_t>(this->limits.maxFds), static_cast<rlim_t>(this->limits.maxFds) };
        setrlimit(RLIMIT_NOFILE, &descriptors);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        const auto log = open(
            (this->folder + "/log-" + this->ip + ".txt").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        if (chdir(this->repository.c_str()) != 0)
            std::_Exit(126);
        const auto program = std::string { "target/programs/citronloftd" };
        execl(program.c_str(), program.c_str(), "--settings", this->settingsPath.c_str(), nullptr);
        std::_Exit(127);
    }

    auto signal(int number) const -> void { kill(this->process, number); }

    [[nodiscard]] auto hasEnded() const -> bool
    {
        auto info = siginfo_t {};
        return waitid(P_PID, static_cast<id_t>(this->process), &info, WEXITED | WNOHANG | WNOWAIT) != 0
            || info.si_pid != 0;
    }

    auto end() -> void
    {
        if (this->process <= 0)
            return;
        kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
        this->process = 0;
    }

    [[nodiscard]] auto residentMb() const -> double
    {
        auto file = std::ifstream("/proc/" + std::to_string(this->process) + "/status");
        for (auto word = std::string {}; file >> word;) {
            auto kilobytes = 0.0;
            if (word == "VmRSS:" && file >> kilobytes)
                return kilobytes * 1024 / 1e6;
        }
        return 0;
    }

    [[nodiscard]] auto descriptors() const -> int
    {
        auto error = std::error_code {};
        auto entries = std::filesystem::directory_iterator("/proc/" + std::to_string(this->process) + "/fd", error);
        return error ? 0
                     : static_cast<int>(std::distance(std::filesystem::begin(entries), std::filesystem::end(entries)));
    }

    /// @brief Asks whether the machine is ready, on a new connection.
    [[nodiscard]] auto isReady() const -> bool
    {
        const auto socket = connectTo(this->ready());
        if (!socket.isOpen())
            return false;
        setReadTimeout(socket.fd(), 1);
        auto reader = Reader(socket.fd());
        auto message = Message {};
        return sendAll(socket.fd(), "GET /citronloft/ready HTTP/1.1\r\nHost: machine\r\nConnection: close\r\n\r\n")
            && reader.read(message) == ReadResult::Complete && message.status() == 200;
    }

private:
    std::string repository;
    std::string folder;
    std::string ip;
    std::string zone;
    std::string settingsPath;
    MachineLimits limits;
    pid_t process = 0;
};

/// @brief Chooses a loopback network 127.N.0.0/16 on which no other run listens.
inline auto takeNetwork() -> std::string
{
    for (auto tried = 0; tried < 150; ++tried) {
        const auto number = 30 + (getpid() + tried * 7) % 200;
        const auto base = "127." + std::to_string(number) + ".";
        const auto probe = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const auto own = toSockaddr({ base + "0.1", 8382 });
        if (::bind(probe.fd(), reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0)
            return base;
    }
    return {};
}

inline auto waitUntil(double seconds, const std::function<bool()>& condition) -> bool
{
    const auto until
        = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    while (!condition()) {
        if (Clock::now() >= until)
            return false;
        sleepFor(0.05);
    }
    return true;
}

} // namespace review

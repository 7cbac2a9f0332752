/// @file
/// @brief Blocking sockets and HTTP/1.1 messages for the stand-ins of the review. Every address is a loopback address.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Ms = std::chrono::milliseconds;

inline const TimePoint processStart = Clock::now();

inline auto secondsSinceStart(TimePoint at = Clock::now()) -> double
{
    return std::chrono::duration<double>(at - processStart).count();
}

inline auto sleepFor(double seconds) -> void { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

struct Address {
    std::string ip;
    int port = 0;

    [[nodiscard]] auto text() const -> std::string { return ip + ":" + std::to_string(port); }
};

inline auto toSockaddr(const Address& address) -> sockaddr_in
{
    auto result = sockaddr_in {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// @brief Socket that is closed with this object.
class Socket {
public:
    explicit Socket(int descriptor = -1)
        : descriptor(descriptor)
    {
    }
    Socket(Socket&& other) noexcept
        : descriptor(std::exchange(other.descriptor, -1))
    {
    }
    auto operator=(Socket&& other) noexcept -> Socket&
    {
        std::swap(this->descriptor, other.descriptor);
        return *this;
    }
    ~Socket()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
    }

    [[nodiscard]] auto fd() const -> int { return this->descriptor; }
    [[nodiscard]] auto isOpen() const -> bool { return this->descriptor >= 0; }

private:
    int descriptor;
};

inline auto setReadTimeout(int fd, double seconds) -> void
{
    const auto value = timeval { static_cast<time_t>(seconds),
        static_cast<suseconds_t>((seconds - static_cast<double>(static_cast<time_t>(seconds))) * 1e6) };
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

struct ConnectOption {
    double timeoutS = 1;
    /// 0 keeps the system's default.
    int maxSegment = 0;
    int receiveBuffer = 0;
};

inline auto connectTo(const Address& address, const ConnectOption& option = {}) -> Socket
{
    auto result = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!result.isOpen())
        return result;
    if (option.maxSegment > 0)
        setsockopt(result.fd(), IPPROTO_TCP, TCP_MAXSEG, &option.maxSegment, sizeof option.maxSegment);
    if (option.receiveBuffer > 0)
        setsockopt(result.fd(), SOL_SOCKET, SO_RCVBUF, &option.receiveBuffer, sizeof option.receiveBuffer);
    const auto target = toSockaddr(address);
    if (::connect(result.fd(), reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
        if (errno != EINPROGRESS)
            return Socket {};
        auto waiting = pollfd { result.fd(), POLLOUT, 0 };
        auto error = 0;
        auto length = socklen_t { sizeof error };
        if (::poll(&waiting, 1, static_cast<int>(option.timeoutS * 1000)) != 1
            || getsockopt(result.fd(), SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0)
            return Socket {};
    }
    const auto flags = fcntl(result.fd(), F_GETFL);
    fcntl(result.fd(), F_SETFL, flags & ~O_NONBLOCK);
    const auto one = 1;
    setsockopt(result.fd(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return result;
}

inline auto sendAll(int fd, std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

inline auto equalNames(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](char a, char b) { return std::tolower(a) == std::tolower(b); });
}

struct Message {
    /// Request line or status line.
    std::string first;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] auto get(std::string_view name) const -> std::string
    {
        for (const auto& [key, value] : this->fields) {
            if (equalNames(key, name))
                return value;
        }
        return {};
    }
    [[nodiscard]] auto has(std::string_view name) const -> bool
    {
        return std::any_of(
            this->fields.begin(), this->fields.end(), [&](const auto& item) { return equalNames(item.first, name); });
    }
    [[nodiscard]] auto method() const -> std::string { return this->first.substr(0, this->first.find(' ')); }
    [[nodiscard]] auto target() const -> std::string
    {
        const auto begin = this->first.find(' ') + 1;
        return this->first.substr(begin, this->first.find(' ', begin) - begin);
    }
    [[nodiscard]] auto status() const -> int
    {
        const auto begin = this->first.find(' ');
        return begin == std::string::npos ? 0 : std::atoi(this->first.c_str() + begin + 1);
    }
};

enum class ReadResult { Complete, Closed, Incomplete, TimedOut };

/// @brief Reads messages that state a Content-Length, or have no body.
class Reader {
public:
    explicit Reader(int fd)
        : fd(fd)
    {
    }

    auto read(Message& message, bool hasBody = true) -> ReadResult
    {
        message = {};
        auto end = std::size_t {};
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (const auto result = this->fill(); result != ReadResult::Complete)
                return result == ReadResult::Closed && !this->buffer.empty() ? ReadResult::Incomplete : result;
        }
        this->parseHead(message, this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        const auto length = hasBody ? std::strtoull(message.get("Content-Length").c_str(), nullptr, 10) : 0ULL;
        while (this->buffer.size() < length) {
            if (const auto result = this->fill(); result != ReadResult::Complete)
                return result == ReadResult::TimedOut ? result : ReadResult::Incomplete;
        }
        message.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return ReadResult::Complete;
    }

private:
    static auto parseHead(Message& message, const std::string& head) -> void
    {
        auto position = std::min(head.find("\r\n"), head.size());
        message.first = head.substr(0, position);
        while (position < head.size()) {
            const auto begin = position + 2;
            position = std::min(head.find("\r\n", begin), head.size());
            const auto line = head.substr(begin, position - begin);
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(
                line.substr(0, colon), value == std::string::npos ? std::string {} : line.substr(value));
        }
    }

    auto fill() -> ReadResult
    {
        char bytes[65536];
        const auto size = ::recv(this->fd, bytes, sizeof bytes, 0);
        if (size > 0)
            this->buffer.append(bytes, static_cast<std::size_t>(size));
        if (size > 0)
            return ReadResult::Complete;
        return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? ReadResult::TimedOut : ReadResult::Closed;
    }

    int fd;
    std::string buffer;
};

inline auto formatResponse(
    int status, const std::vector<std::pair<std::string, std::string>>& fields, const std::string& body) -> std::string
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief Listens on an address and serves each connection in a thread, until it is stopped.
class Listener {
public:
    using Serve = std::function<void(int fd)>;

    Listener(Address address, Serve serve)
        : address(std::move(address))
        , serve(std::move(serve))
    {
    }
    ~Listener() { this->stop(); }

    auto start() -> bool
    {
        this->listening = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const auto one = 1;
        setsockopt(this->listening.fd(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const auto own = toSockaddr(this->address);
        if (::bind(this->listening.fd(), reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0
            || ::listen(this->listening.fd(), 1024) != 0)
            return false;
        this->acceptor = std::thread([this] { this->accept(); });
        return true;
    }

    /// @brief Stops listening and closes all connections in the usual way.
    auto stop() -> void
    {
        if (this->isStopped.exchange(true))
            return;
        if (this->acceptor.joinable())
            this->acceptor.join();
        this->listening = Socket {};
        {
            const auto lock = std::lock_guard(this->mutex);
            for (const auto fd : this->connections)
                ::shutdown(fd, SHUT_RDWR);
        }
        while (this->active > 0)
            std::this_thread::sleep_for(Ms { 2 });
    }

    [[nodiscard]] auto stopped() const -> bool { return this->isStopped; }
    [[nodiscard]] auto count() const -> int { return this->active; }

private:
    auto accept() -> void
    {
        while (!this->isStopped) {
            auto waiting = pollfd { this->listening.fd(), POLLIN, 0 };
            if (::poll(&waiting, 1, 20) != 1)
                continue;
            const auto fd = ::accept4(this->listening.fd(), nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const auto one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            ++this->active;
            {
                const auto lock = std::lock_guard(this->mutex);
                this->connections.push_back(fd);
            }
            std::thread([this, fd] {
                this->serve(fd);
                {
                    const auto lock = std::lock_guard(this->mutex);
                    std::erase(this->connections, fd);
                }
                ::close(fd);
                --this->active;
            }).detach();
        }
    }

    Address address;
    Serve serve;
    Socket listening;
    std::thread acceptor;
    std::mutex mutex;
    std::vector<int> connections;
    std::atomic<int> active = 0;
    std::atomic<bool> isStopped = false;
};

} // namespace review

/// @file
/// @brief Callers that send and read as they like, over plain sockets.
#pragma once

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "citronloft/base/address.hpp"

namespace citronloft {

/// @brief How a hostile client behaves.
struct HostileBehavior {
    /// Bytes to send; the client stops after them and leaves its connection open.
    std::string bytes;
    /// Maximum number of bytes sent at a time.
    std::size_t pieceBytes = std::size_t { 256 } * 1024;
    /// Maximum number of bytes read at a time; 0: responses stay unread.
    std::size_t readBytes = 0;
    /// Whether the client shuts down its sending side after the bytes.
    bool shutsDown = false;
    /// Whether the client connects and begins again as soon as its connection has ended.
    bool returns = false;
};

/// @brief One connection, which never blocks.
class HostileClient {
public:
    HostileClient(const Address& address, HostileBehavior behavior)
        : behavior(std::move(behavior))
        , address(address)
    {
        this->open();
    }
    ~HostileClient() { close(this->socket); }
    HostileClient(const HostileClient&) = delete;
    auto operator=(const HostileClient&) -> HostileClient& = delete;

    /// @brief Sends one piece and reads one.
    /// @return whether any byte was transferred.
    auto advance() -> bool
    {
        if (this->behavior.returns && this->hasEnded()) {
            close(this->socket);
            this->open();
            return true;
        }
        const auto hasSent = this->sendPiece();
        return this->readPiece() || hasSent;
    }

private:
    auto open() -> void
    {
        this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        this->sent = 0;
        auto endpoint = sockaddr_in {};
        endpoint.sin_family = AF_INET;
        endpoint.sin_port = htons(this->address.port);
        inet_pton(AF_INET, this->address.ip.c_str(), &endpoint.sin_addr);
        // Unread responses stay with the daemon.
        const auto receiveBufferBytes = 4096;
        setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        connect(this->socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint));
    }

    [[nodiscard]] auto hasEnded() const -> bool
    {
        auto state = pollfd { this->socket, POLLRDHUP, 0 };
        return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    auto sendPiece() -> bool
    {
        const auto size = std::min(this->behavior.pieceBytes, this->behavior.bytes.size() - this->sent);
        if (size == 0)
            return false;
        const auto count = send(this->socket, this->behavior.bytes.data() + this->sent, size, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        this->sent += static_cast<std::size_t>(count);
        if (this->behavior.shutsDown && this->sent == this->behavior.bytes.size())
            shutdown(this->socket, SHUT_WR);
        return true;
    }

    auto readPiece() -> bool
    {
        auto room = std::array<char, 4096> {};
        const auto size = std::min(room.size(), this->behavior.readBytes);
        return size > 0 && recv(this->socket, room.data(), size, 0) > 0;
    }

    HostileBehavior behavior;
    Address address;
    int socket = -1;
    std::size_t sent = 0;
};

/// @brief Sends datagrams, as fast as the system takes them.
class DatagramSender {
public:
    explicit DatagramSender(const Address& address)
        : socket(::socket(AF_INET, SOCK_DGRAM, 0))
    {
        auto endpoint = sockaddr_in {};
        endpoint.sin_family = AF_INET;
        endpoint.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &endpoint.sin_addr);
        connect(this->socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint));
    }
    ~DatagramSender() { close(this->socket); }
    DatagramSender(const DatagramSender&) = delete;
    auto operator=(const DatagramSender&) -> DatagramSender& = delete;

    auto send(const std::string& text) -> void { ::send(this->socket, text.data(), text.size(), MSG_NOSIGNAL); }

private:
    int socket;
};

/// @brief Sends a request on a new connection and waits for the start of its response.
/// @return its status, or 0 if there was no response within the time, which begins when the request has been sent.
inline auto callOnce(const Address& address, const std::string& request,
    std::chrono::milliseconds timeout = std::chrono::milliseconds { 2000 }) -> unsigned
{
    constexpr auto statusPosition = std::size_t { 9 };
    constexpr auto statusSize = std::size_t { 3 };
    const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
    auto endpoint = sockaddr_in {};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &endpoint.sin_addr);
    auto head = std::array<char, 64> {};
    auto status = 0U;
    auto wait = pollfd { socket, POLLIN, 0 };
    if (connect(socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) == 0
        && send(socket, request.data(), request.size(), MSG_NOSIGNAL) > 0
        && poll(&wait, 1, static_cast<int>(timeout.count())) > 0
        && recv(socket, head.data(), head.size(), 0) >= static_cast<ssize_t>(statusPosition + statusSize))
        status = static_cast<unsigned>(std::atoi(head.data() + statusPosition));
    close(socket);
    return status;
}

} // namespace citronloft

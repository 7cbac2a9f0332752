#include "resource_limits.hpp"

#include <algorithm>
#include <limits>

#include <sys/resource.h>

namespace citronloft {

namespace {

constexpr auto bytesPerMegabyte = 1e6;
/// Fraction of the memory that the process may hold, the unread bytes of connections that are not read included. The
/// rest is for unread bytes of the others, which arrive while the event loop is busy.
constexpr auto processMemoryFraction = 0.85;
/// Fraction of the memory that connections may hold if the memory of the process cannot be measured.
constexpr auto unmeasuredMemoryFraction = 0.4;
/// Part of the memory that the receive buffers of all callers' connections take together, as its reciprocal.
constexpr auto receiveBufferDivisor = std::size_t { 10 };
constexpr auto minReceiveBufferBytes = std::size_t { 4 } * 1024;
constexpr auto maxReceiveBufferBytes = std::size_t { 64 } * 1024;
/// Three quarters of the file descriptors, less a fixed number, are for callers.
constexpr auto callerFdShare = std::size_t { 3 };
constexpr auto fdDivisor = std::size_t { 4 };
/// Listening sockets, connections to the store, and those by which this host reads from other hosts.
constexpr auto reservedFds = std::size_t { 64 };
constexpr auto peerFds = std::size_t { 64 };
/// The platform reserves these for files.
constexpr auto fileFds = std::size_t { 200 };
/// Part of the descriptors that connections to targets get at least, and those of peers at most, as its reciprocal.
constexpr auto minTargetFdDivisor = std::size_t { 8 };
constexpr auto maxPeerFdDivisor = std::size_t { 16 };

auto fileDescriptorsOf(const HostSettings& settings) -> std::size_t
{
    auto limit = rlimit {};
    if (settings.maxFds == 0 && getrlimit(RLIMIT_NOFILE, &limit) == 0)
        return limit.rlim_cur;
    return settings.maxFds;
}

} // namespace

auto resourceLimitsOf(const HostSettings& settings) -> ResourceLimits
{
    auto limits = ResourceLimits {};
    const auto fds = fileDescriptorsOf(settings);
    const auto callerFds = fds / fdDivisor * callerFdShare;
    limits.callerConnections = callerFds - std::min(callerFds / 2, reservedFds);
    limits.peerConnections = std::min(peerFds, fds / maxPeerFdDivisor);
    const auto others = limits.callerConnections + limits.peerConnections + reservedFds + fileFds;
    limits.targetConnections = std::max(fds - std::min(fds, others), fds / minTargetFdDivisor);
    if (settings.memoryMb <= 0) {
        limits.processBytes = std::numeric_limits<std::size_t>::max();
        limits.connectionBytes = limits.processBytes;
        return limits;
    }
    const auto memoryBytes = settings.memoryMb * bytesPerMegabyte;
    limits.processBytes = static_cast<std::size_t>(memoryBytes * processMemoryFraction);
    limits.connectionBytes = static_cast<std::size_t>(memoryBytes * unmeasuredMemoryFraction);
    const auto perConnection
        = static_cast<std::size_t>(memoryBytes) / receiveBufferDivisor / std::max<std::size_t>(callerFds, 1);
    limits.receiveBufferBytes = std::clamp(perConnection, minReceiveBufferBytes, maxReceiveBufferBytes);
    return limits;
}

} // namespace citronloft

#include "citronloft/fleet/sealed_datagram.hpp"

#include <cstring>

#include <cereal/types/variant.hpp>

#include "citronloft/base/codec.hpp"
#include "citronloft/base/digest.hpp"

namespace citronloft {

namespace {

constexpr auto formatVersion = std::uint8_t { 1 };
constexpr auto sealBytes = std::size_t { 16 };
constexpr auto replayWindowSize = std::uint64_t { 64 };
/// Maximum number of senders with a replay window; far more than the hosts that contact one host.
constexpr auto maxSenders = std::size_t { 20'000 };

struct Datagram {
    std::uint8_t version = formatVersion;
    std::uint64_t sender = 0;
    std::uint64_t sequence = 0;
    PeerMessage message;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->version, this->sender, this->sequence, this->message);
    }
};

auto computeSeal(std::string_view secret, std::string_view body) -> std::string
{
    const auto digest = hmacSha256(secret, body);
    return { digest.begin(), digest.begin() + sealBytes };
}

auto areSealsEqual(std::string_view left, std::string_view right) -> bool
{
    auto difference = 0U;
    for (auto i = std::size_t { 0 }; i < sealBytes; ++i)
        difference |= static_cast<unsigned>(left[i] ^ right[i]);
    return difference == 0;
}

} // namespace

DatagramSealer::DatagramSealer(std::string secret, std::uint64_t incarnation)
    : secret(std::move(secret))
    , incarnation(incarnation)
{
}

auto DatagramSealer::seal(const PeerMessage& message) -> absl::StatusOr<std::string>
{
    auto bytes = encode(Datagram { formatVersion, this->incarnation, this->nextSequence++, message });
    bytes += computeSeal(this->secret, bytes);
    if (bytes.size() > maxDatagramBytes)
        return absl::ResourceExhaustedError(
            "message exceeds the maximum datagram size: " + std::to_string(bytes.size()) + " bytes");
    return bytes;
}

auto DatagramSealer::open(const std::string& datagram) -> absl::StatusOr<PeerMessage>
{
    if (datagram.size() <= sealBytes || datagram.size() > maxDatagramBytes)
        return absl::InvalidArgumentError("datagram length outside the permitted range");
    const auto body = datagram.substr(0, datagram.size() - sealBytes);
    // The HMAC is verified before any of the body is decoded.
    if (!areSealsEqual(computeSeal(this->secret, body), std::string_view { datagram }.substr(body.size())))
        return absl::PermissionDeniedError("datagram HMAC does not match");
    auto decoded = decode<Datagram>(body);
    if (!decoded.ok())
        return decoded.status();
    if (decoded->version != formatVersion)
        return absl::InvalidArgumentError("unsupported datagram format version");
    if (!this->acceptSequence(decoded->sender, decoded->sequence))
        return absl::AlreadyExistsError("datagram sequence number repeated or older than the replay window");
    return std::move(decoded->message);
}

auto DatagramSealer::acceptSequence(std::uint64_t sender, std::uint64_t sequence) -> bool
{
    if (this->windows.size() >= maxSenders)
        this->windows.clear();
    auto& window = this->windows[sender];
    if (sequence > window.newest) {
        const auto step = sequence - window.newest;
        window.seen = step >= replayWindowSize ? 0 : window.seen << step;
        window.seen |= 1;
        window.newest = sequence;
        return true;
    }
    const auto age = window.newest - sequence;
    if (age >= replayWindowSize)
        return false;
    const auto bit = std::uint64_t { 1 } << age;
    const auto isNew = (window.seen & bit) == 0;
    window.seen |= bit;
    return isNew;
}

} // namespace citronloft

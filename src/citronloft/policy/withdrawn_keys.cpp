#include "citronloft/policy/withdrawn_keys.hpp"

namespace citronloft {

namespace {

constexpr auto maxKeys = std::size_t { 1024 };

} // namespace

auto WithdrawnKeys::record(const Config& config, std::uint64_t version, const KeyTable& successor) -> void
{
    for (const auto& team : config.teams) {
        for (const auto& key : team.keys) {
            if (successor.findDigest(key))
                continue;
            if (this->versions.insert_or_assign(key, version).second)
                this->order.push_back(key);
        }
    }
    while (this->order.size() > maxKeys) {
        this->versions.erase(this->order.front());
        this->order.pop_front();
    }
}

auto WithdrawnKeys::lastVersion(const Digest& key) const -> std::optional<std::uint64_t>
{
    const auto found = this->versions.find(key);
    return found == this->versions.end() ? std::nullopt : std::optional { found->second };
}

} // namespace citronloft

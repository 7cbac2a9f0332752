#include "citronloft/policy/key_table.hpp"

#include <cstring>

namespace citronloft {

namespace {

auto bucketOf(const Digest& digest) -> std::uint64_t
{
    auto bucket = std::uint64_t { 0 };
    std::memcpy(&bucket, digest.data(), sizeof bucket);
    return bucket;
}

} // namespace

KeyTable::KeyTable(const Config& config)
{
    for (auto team = std::size_t { 0 }; team < config.teams.size(); ++team) {
        for (const auto& digest : config.teams[team].keys)
            this->entries.emplace(bucketOf(digest), Entry { digest, team });
    }
}

auto KeyTable::find(std::string_view key) const -> std::optional<std::size_t> { return this->findDigest(sha256(key)); }

auto KeyTable::findDigest(const Digest& digest) const -> std::optional<std::size_t>
{
    auto [entry, end] = this->entries.equal_range(bucketOf(digest));
    for (; entry != end; ++entry) {
        if (constantTimeEqual(entry->second.digest, digest))
            return entry->second.team;
    }
    return std::nullopt;
}

} // namespace citronloft

#include "citronloft/fleet/config_manifest.hpp"

#include "citronloft/policy/shares.hpp"

namespace citronloft {

namespace {

/// Mean number of records per chunk: the hash of one record name in this many ends a chunk.
constexpr auto meanRecordsPerChunk = std::uint64_t { 512 };

auto finishChunk(std::vector<RecordChange>& pending, std::size_t& bytes, std::vector<ConfigChunk>& chunks) -> void
{
    if (pending.empty())
        return;
    auto value = encode(pending);
    chunks.push_back({ "config/chunks/" + toHex(sha256(value)), std::move(value) });
    pending.clear();
    bytes = 0;
}

} // namespace

auto makeChunks(const ConfigRecords& records) -> std::vector<ConfigChunk>
{
    auto chunks = std::vector<ConfigChunk> {};
    auto pending = std::vector<RecordChange> {};
    auto bytes = std::size_t { 0 };
    constexpr auto recordOverheadBytes = std::size_t { 32 };
    for (const auto& [name, value] : records) {
        const auto size = name.size() + value.size() + recordOverheadBytes;
        if (bytes + size > maxChunkBytes)
            finishChunk(pending, bytes, chunks);
        pending.push_back({ name, value });
        bytes += size;
        if (bucketId(name) % meanRecordsPerChunk == 0)
            finishChunk(pending, bytes, chunks);
    }
    finishChunk(pending, bytes, chunks);
    return chunks;
}

auto readChunk(const std::string& value, ConfigRecords& records) -> absl::Status
{
    const auto changes = decode<std::vector<RecordChange>>(value);
    if (changes.ok())
        applyChanges(records, *changes);
    return changes.status();
}

auto computeRecordsDigest(const ConfigRecords& records) -> std::string
{
    auto digest = RecordsDigest {};
    for (const auto& [name, value] : records)
        digest.add(name, value);
    return digest.hex();
}

} // namespace citronloft

#include "citronloft/fleet/config_publisher.hpp"

#include <algorithm>

#include "citronloft/fleet/config_loader.hpp"

namespace citronloft {

namespace {

class Applying : public std::enable_shared_from_this<Applying> {
public:
    Applying(std::shared_ptr<ObjectStore> store, ConfigChange change, ApplyOption option, ApplyDone done)
        : store(std::move(store))
        , change(std::move(change))
        , option(std::move(option))
        , done(std::move(done))
        , records(toRecords(this->change.config))
    {
    }

    auto start() -> void
    {
        this->store->get(
            manifestKey, [self = this->shared_from_this()](const auto& result) { self->withManifest(result); });
    }

private:
    auto finish(ApplyOutcome outcome, std::string reason) -> void
    {
        this->done({ outcome, this->manifest.version, std::move(reason), this->delta.size() });
    }

    auto withManifest(const absl::StatusOr<StoredObject>& result) -> void
    {
        if (!result.ok() && !absl::IsNotFound(result.status()))
            return this->finish(ApplyOutcome::NotAccepted, std::string { result.status().message() });
        if (result.ok()) {
            auto decoded = decode<ConfigManifest>(result->value);
            if (!decoded.ok())
                return this->finish(ApplyOutcome::NotAccepted, "the stored manifest is malformed");
            this->manifest = *std::move(decoded);
            this->objectVersion = result->version;
        }
        const auto expected = this->change.expectedVersion.value_or(this->manifest.version);
        if (expected != this->manifest.version)
            return this->finish(ApplyOutcome::Conflict, this->describeConflict(this->manifest));
        loadRecords(this->store, this->manifest,
            [self = this->shared_from_this()](const auto& records) { self->withRecords(records); });
    }

    auto withRecords(const absl::StatusOr<ConfigRecords>& old) -> void
    {
        // The first configuration has no records, whose digest is that of nothing.
        const auto isFirst = this->objectVersion == absentVersion;
        if (!old.ok() && !isFirst)
            return this->finish(ApplyOutcome::NotAccepted, std::string { old.status().message() });
        this->delta = diffRecords(isFirst ? ConfigRecords {} : *old, this->records);
        if (this->delta.empty())
            return this->finish(ApplyOutcome::Unchanged, "no record differs");
        this->chunks = makeChunks(this->records);
        this->putNextChunk();
    }

    auto putNextChunk() -> void
    {
        if (this->chunkPosition == this->chunks.size())
            return this->putManifest();
        auto& chunk = this->chunks[this->chunkPosition++];
        this->store->put(chunk.key, std::move(chunk.value), absentVersion,
            [self = this->shared_from_this()](const absl::StatusOr<std::uint64_t>& result) {
                // A chunk is named for its content: one that is there already is the same chunk.
                if (result.ok() || absl::IsAborted(result.status()))
                    self->putNextChunk();
                else
                    self->finish(ApplyOutcome::NotAccepted, std::string { result.status().message() });
            });
    }

    auto putManifest() -> void
    {
        auto next = ConfigManifest {};
        next.version = this->manifest.version + 1;
        next.changeIds = this->manifest.changeIds;
        next.changeIds.push_back(this->change.changeId);
        if (next.changeIds.size() > rememberedChanges)
            next.changeIds.erase(next.changeIds.begin());
        next.operatorName = this->change.operatorName;
        next.summary = this->change.summary;
        next.digest = digestOf(this->records);
        for (const auto& chunk : this->chunks)
            next.chunks.push_back(chunk.key);
        if (encode(this->delta).size() <= greatestInlineDeltaBytes && this->manifest.version > 0) {
            next.deltaFrom = this->manifest.version;
            next.delta = this->delta;
        }
        this->store->put(manifestKey, encode(next), this->objectVersion,
            [self = this->shared_from_this(), version = next.version](const absl::StatusOr<std::uint64_t>& result) {
                if (!result.ok())
                    return self->settle();
                self->manifest.version = version;
                self->finish(ApplyOutcome::Accepted, "");
            });
    }

    /// Asks the store which change stands there now; the change id tells whether it is this one.
    auto settle() -> void
    {
        this->store->get(manifestKey, [self = this->shared_from_this()](const auto& result) {
            if (result.ok() || absl::IsNotFound(result.status()))
                return self->settleWith(result);
            if (++self->settleCount >= self->option.settleTries)
                return self->finish(ApplyOutcome::Unknown, "the update was sent and the store can't be asked");
            self->option.later([self] { self->settle(); });
        });
    }

    auto settleWith(const absl::StatusOr<StoredObject>& result) -> void
    {
        const auto stored = result.ok() ? decode<ConfigManifest>(result->value) : result.status();
        if (!stored.ok() || stored->version <= this->manifest.version)
            return this->finish(ApplyOutcome::NotAccepted, "the store did not take the update");
        const auto isOwn = std::ranges::find(stored->changeIds, this->change.changeId) != stored->changeIds.end();
        const auto reason = isOwn ? std::string {} : this->describeConflict(*stored);
        this->manifest = *stored;
        this->finish(isOwn ? ApplyOutcome::Accepted : ApplyOutcome::Conflict, reason);
    }

    [[nodiscard]] auto describeConflict(const ConfigManifest& other) const -> std::string
    {
        return "version " + std::to_string(other.version) + " by " + other.operatorName + " (" + other.summary
            + ") came first";
    }

    std::shared_ptr<ObjectStore> store;
    ConfigChange change;
    ApplyOption option;
    ApplyDone done;
    ConfigRecords records;
    ConfigManifest manifest;
    std::uint64_t objectVersion = absentVersion;
    std::vector<RecordChange> delta;
    std::vector<ConfigChunk> chunks;
    std::size_t chunkPosition = 0;
    unsigned settleCount = 0;
};

} // namespace

auto applyConfig(std::shared_ptr<ObjectStore> store, ConfigChange change, ApplyOption option, ApplyDone done) -> void
{
    std::make_shared<Applying>(std::move(store), std::move(change), std::move(option), std::move(done))->start();
}

} // namespace citronloft

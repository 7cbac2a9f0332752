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
            return this->finish(ApplyOutcome::Conflict, describeConflict(this->manifest));
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
        const auto& chunk = this->chunks[this->chunkPosition];
        this->store->put(chunk.key, chunk.value, absentVersion,
            [self = this->shared_from_this()](const absl::StatusOr<std::uint64_t>& result) {
                // A chunk is named for its content: one that is there already is the same chunk.
                if (result.ok() || absl::IsAborted(result.status())) {
                    ++self->chunkPosition;
                    return self->putNextChunk();
                }
                if (++self->tryCount >= self->option.settleTries)
                    return self->finish(ApplyOutcome::NotAccepted, std::string { result.status().message() });
                self->option.later([self] { self->putNextChunk(); });
            });
    }

    auto putManifest() -> void
    {
        this->next.version = this->manifest.version + 1;
        this->next.changeIds = this->manifest.changeIds;
        this->next.changeIds.push_back(this->change.changeId);
        if (this->next.changeIds.size() > rememberedChanges)
            this->next.changeIds.erase(this->next.changeIds.begin());
        this->next.operatorName = this->change.operatorName;
        this->next.summary = this->change.summary;
        this->next.digest = digestOf(this->records);
        for (const auto& chunk : this->chunks)
            this->next.chunks.push_back(chunk.key);
        if (encode(this->delta).size() <= greatestInlineDeltaBytes && this->manifest.version > 0) {
            this->next.deltaFrom = this->manifest.version;
            this->next.delta = this->delta;
        }
        this->tryCount = 0;
        this->tryUpdate();
    }

    /// The update is conditional on the version read, so trying it again after a lost reply is safe: it takes effect
    /// once at most, and a conflict proves that the object has changed.
    auto tryUpdate() -> void
    {
        this->store->put(manifestKey, encode(this->next), this->objectVersion,
            [self = this->shared_from_this()](const absl::StatusOr<std::uint64_t>& result) {
                if (result.ok())
                    return self->accept();
                if (absl::IsAborted(result.status()))
                    return self->settle();
                self->tryLater([self] { self->tryUpdate(); });
            });
    }

    auto tryLater(std::function<void()> action) -> void
    {
        if (++this->tryCount >= this->option.settleTries)
            return this->finish(ApplyOutcome::Unknown, "the update was sent and the store can't be asked");
        this->option.later(std::move(action));
    }

    /// After a conflict the stored manifest tells whether this change came through with a lost reply.
    auto settle() -> void
    {
        this->store->get(manifestKey, [self = this->shared_from_this()](const auto& result) {
            // A read may be stale; the conflict proved that there is a newer object than the one read first.
            if (!result.ok() || result->version <= self->objectVersion)
                return self->tryLater([self] { self->settle(); });
            const auto stored = decode<ConfigManifest>(result->value);
            if (!stored.ok())
                return self->finish(ApplyOutcome::Unknown, "the stored manifest is malformed");
            const auto& ids = stored->changeIds;
            if (std::ranges::find(ids, self->change.changeId) != ids.end())
                return self->accept();
            const auto reason = describeConflict(*stored);
            self->manifest = *stored;
            self->finish(ApplyOutcome::Conflict, reason);
        });
    }

    auto accept() -> void
    {
        this->manifest.version = this->next.version;
        this->finish(ApplyOutcome::Accepted, "");
    }

    [[nodiscard]] static auto describeConflict(const ConfigManifest& other) -> std::string
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
    ConfigManifest next;
    std::uint64_t objectVersion = absentVersion;
    std::vector<RecordChange> delta;
    std::vector<ConfigChunk> chunks;
    std::size_t chunkPosition = 0;
    unsigned tryCount = 0;
};

} // namespace

auto applyConfig(std::shared_ptr<ObjectStore> store, ConfigChange change, ApplyOption option, ApplyDone done) -> void
{
    std::make_shared<Applying>(std::move(store), std::move(change), std::move(option), std::move(done))->start();
}

} // namespace citronloft

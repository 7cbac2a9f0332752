#include "citronloft/fleet/config_publisher.hpp"

#include <algorithm>

#include "citronloft/fleet/config_loader.hpp"

namespace citronloft {

namespace {

/// Configuration versions of an era of the store; each era starts with the next multiple, so that hosts do not take a
/// change for an earlier one that was lost in a restore.
constexpr auto versionsPerEra = std::uint64_t { 1'000'000 };

class ApplyOperation : public std::enable_shared_from_this<ApplyOperation> {
public:
    ApplyOperation(std::shared_ptr<ObjectStore> store, ConfigChange change, ApplyOption option, ApplyDone done)
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
            manifestKey, [self = this->shared_from_this()](const auto& result) { self->processManifest(result); });
    }

private:
    auto finish(ApplyOutcome outcome, std::string reason) -> void
    {
        this->done({ outcome, this->storedManifest.version, std::move(reason), this->delta.size() });
    }

    auto processManifest(const absl::StatusOr<StoredObject>& result) -> void
    {
        if (!result.ok() && !absl::IsNotFound(result.status()))
            return this->finish(ApplyOutcome::NotAccepted, std::string { result.status().message() });
        if (result.ok()) {
            auto decoded = decode<ConfigManifest>(result->value);
            if (!decoded.ok())
                return this->finish(ApplyOutcome::NotAccepted, "stored configuration manifest cannot be decoded");
            this->storedManifest = *std::move(decoded);
            this->objectVersion = result->version;
        }
        const auto expected = this->change.expectedVersion.value_or(this->storedManifest.version);
        if (expected != this->storedManifest.version)
            return this->finish(ApplyOutcome::Conflict, describeConflict(this->storedManifest));
        loadRecords(this->store, this->storedManifest,
            [self = this->shared_from_this()](const auto& records) { self->processRecords(records); });
    }

    auto processRecords(const absl::StatusOr<ConfigRecords>& old) -> void
    {
        // Without a stored manifest there are no old records, and loading them fails because its digest is empty.
        const auto isFirst = this->objectVersion == absentVersion;
        if (!old.ok() && !isFirst)
            return this->finish(ApplyOutcome::NotAccepted, std::string { old.status().message() });
        this->delta = diffRecords(isFirst ? ConfigRecords {} : *old, this->records);
        if (this->delta.empty())
            return this->finish(ApplyOutcome::Unchanged, "no record differs from the stored configuration");
        this->chunks = makeChunks(this->records);
        this->putNextChunk();
    }

    auto putNextChunk() -> void
    {
        if (this->nextChunk == this->chunks.size())
            return this->prepareManifest();
        const auto& chunk = this->chunks[this->nextChunk];
        this->store->put(chunk.key, chunk.value, absentVersion,
            [self = this->shared_from_this()](const absl::StatusOr<StoreRevision>& result) {
                // The key is derived from the content, so an existing object is the same chunk.
                if (result.ok() || absl::IsAborted(result.status())) {
                    ++self->nextChunk;
                    return self->putNextChunk();
                }
                if (++self->failedCalls >= self->option.maxFailedCalls)
                    return self->finish(ApplyOutcome::NotAccepted, std::string { result.status().message() });
                self->option.runLater([self] { self->putNextChunk(); });
            });
    }

    auto prepareManifest() -> void
    {
        const auto firstVersion = this->store->era() * versionsPerEra;
        this->newManifest.version = std::max(this->storedManifest.version, firstVersion) + 1;
        this->newManifest.changeIds = this->storedManifest.changeIds;
        this->newManifest.changeIds.push_back(this->change.changeId);
        if (this->newManifest.changeIds.size() > maxChangeIds)
            this->newManifest.changeIds.erase(this->newManifest.changeIds.begin());
        this->newManifest.operatorName = this->change.operatorName;
        this->newManifest.summary = this->change.summary;
        this->newManifest.digest = computeRecordsDigest(this->records);
        for (const auto& chunk : this->chunks)
            this->newManifest.chunks.push_back(chunk.key);
        if (encode(this->delta).size() <= maxInlineDeltaBytes && this->storedManifest.version > 0) {
            this->newManifest.deltaFrom = this->storedManifest.version;
            this->newManifest.delta = this->delta;
        }
        this->failedCalls = 0;
        this->putNewManifest();
    }

    /// The update is conditional on the version that was read, so retrying it after a lost reply is safe: it takes
    /// effect at most once, and a conflict proves that the object has changed.
    auto putNewManifest() -> void
    {
        this->store->put(manifestKey, encode(this->newManifest), this->objectVersion,
            [self = this->shared_from_this()](const absl::StatusOr<StoreRevision>& result) {
                if (result.ok())
                    return self->finishAccepted();
                if (absl::IsAborted(result.status()))
                    return self->resolveConflict();
                self->retryLater([self] { self->putNewManifest(); });
            });
    }

    auto retryLater(std::function<void()> action) -> void
    {
        if (++this->failedCalls >= this->option.maxFailedCalls)
            return this->finish(
                ApplyOutcome::Unknown, "the store does not answer whether it accepted the manifest update");
        this->option.runLater(std::move(action));
    }

    /// Reads the manifest back after a conflict: its change ids show whether an earlier try, whose reply was lost, was
    /// accepted.
    auto resolveConflict() -> void
    {
        this->store->get(manifestKey, [self = this->shared_from_this()](const auto& result) {
            // The conflict proved that the object is newer than the one read first; anything else is a stale read.
            if (!result.ok() || result->version <= self->objectVersion)
                return self->retryLater([self] { self->resolveConflict(); });
            const auto currentManifest = decode<ConfigManifest>(result->value);
            if (!currentManifest.ok())
                return self->finish(ApplyOutcome::Unknown, "stored configuration manifest cannot be decoded");
            const auto& ids = currentManifest->changeIds;
            if (std::ranges::find(ids, self->change.changeId) != ids.end())
                return self->finishAccepted();
            const auto reason = describeConflict(*currentManifest);
            self->storedManifest = *currentManifest;
            self->finish(ApplyOutcome::Conflict, reason);
        });
    }

    auto finishAccepted() -> void
    {
        this->storedManifest.version = this->newManifest.version;
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
    ConfigManifest storedManifest;
    ConfigManifest newManifest;
    StoreRevision objectVersion = absentVersion;
    std::vector<RecordChange> delta;
    std::vector<ConfigChunk> chunks;
    std::size_t nextChunk = 0;
    unsigned failedCalls = 0;
};

} // namespace

auto applyConfig(std::shared_ptr<ObjectStore> store, ConfigChange change, ApplyOption option, ApplyDone done) -> void
{
    std::make_shared<ApplyOperation>(std::move(store), std::move(change), std::move(option), std::move(done))->start();
}

} // namespace citronloft

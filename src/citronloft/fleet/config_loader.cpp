#include "citronloft/fleet/config_loader.hpp"

namespace citronloft {

namespace {

class RecordsLoader : public std::enable_shared_from_this<RecordsLoader> {
public:
    RecordsLoader(std::shared_ptr<ObjectStore> store, ConfigManifest manifest, RecordsDone done)
        : store(std::move(store))
        , manifest(std::move(manifest))
        , done(std::move(done))
    {
    }

    auto readNext() -> void
    {
        if (this->nextChunk == this->manifest.chunks.size()) {
            this->finish();
            return;
        }
        const auto& key = this->manifest.chunks[this->nextChunk++];
        this->store->get(key, [self = this->shared_from_this()](const auto& result) { self->addChunk(result); });
    }

private:
    auto addChunk(const absl::StatusOr<StoredObject>& result) -> void
    {
        const auto status = result.ok() ? readChunk(result->value, this->records) : result.status();
        if (status.ok())
            this->readNext();
        else
            this->done(status);
    }

    auto finish() -> void
    {
        if (computeRecordsDigest(this->records) == this->manifest.digest)
            this->done(std::move(this->records));
        else
            this->done(absl::DataLossError("configuration chunks do not match the digest in the manifest"));
    }

    std::shared_ptr<ObjectStore> store;
    ConfigManifest manifest;
    RecordsDone done;
    ConfigRecords records;
    std::size_t nextChunk = 0;
};

} // namespace

auto loadRecords(std::shared_ptr<ObjectStore> store, const ConfigManifest& manifest, RecordsDone done) -> void
{
    std::make_shared<RecordsLoader>(std::move(store), manifest, std::move(done))->readNext();
}

} // namespace citronloft

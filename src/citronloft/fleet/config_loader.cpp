#include "citronloft/fleet/config_loader.hpp"

namespace citronloft {

namespace {

class Loading : public std::enable_shared_from_this<Loading> {
public:
    Loading(std::shared_ptr<ObjectStore> store, ConfigManifest manifest, RecordsDone done)
        : store(std::move(store))
        , manifest(std::move(manifest))
        , done(std::move(done))
    {
    }

    auto next() -> void
    {
        if (this->position == this->manifest.chunks.size()) {
            this->finish();
            return;
        }
        const auto& key = this->manifest.chunks[this->position++];
        this->store->get(key, [self = this->shared_from_this()](const auto& result) { self->add(result); });
    }

private:
    auto add(const absl::StatusOr<StoredObject>& result) -> void
    {
        const auto status = result.ok() ? readChunk(result->value, this->records) : result.status();
        if (status.ok())
            this->next();
        else
            this->done(status);
    }

    auto finish() -> void
    {
        if (digestOf(this->records) == this->manifest.digest)
            this->done(std::move(this->records));
        else
            this->done(absl::DataLossError("the chunks do not match the manifest's digest"));
    }

    std::shared_ptr<ObjectStore> store;
    ConfigManifest manifest;
    RecordsDone done;
    ConfigRecords records;
    std::size_t position = 0;
};

} // namespace

auto loadRecords(std::shared_ptr<ObjectStore> store, const ConfigManifest& manifest, RecordsDone done) -> void
{
    std::make_shared<Loading>(std::move(store), manifest, std::move(done))->next();
}

} // namespace citronloft

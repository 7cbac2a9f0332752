/// @file
/// @brief In-memory object store that answers immediately, with scripted faults.
#pragma once

#include <algorithm>
#include <functional>
#include <map>

#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief Fault injected into one upcoming write.
enum class WriteFault : std::uint8_t { None, Refused, ReplyLost };

/// @brief In-memory object store of one test.
class MemoryStore final : public ObjectStore {
public:
    auto get(const std::string& key, GetDone done) -> void override
    {
        if (this->isDown)
            return done(absl::UnavailableError("down"));
        const auto found = this->objects.find(key);
        if (found == this->objects.end())
            return done(absl::NotFoundError("no such object"));
        done(found->second);
    }

    auto put(const std::string& key, std::string value, const StoreRevision& expected, PutDone done) -> void override
    {
        if (this->isDown)
            return done(absl::UnavailableError("down"));
        const auto fault = this->nextFault ? this->nextFault(key) : WriteFault::None;
        if (fault == WriteFault::Refused)
            return done(absl::UnavailableError("write refused"));
        const auto found = this->objects.find(key);
        if ((found == this->objects.end() ? absentVersion : found->second.version) != expected)
            return done(absl::AbortedError("version mismatch"));
        auto& object = this->objects[key];
        object = { std::move(value), { this->currentEra, ++this->lastVersion } };
        if (fault == WriteFault::ReplyLost)
            return done(absl::DeadlineExceededError("reply lost"));
        done(object.version);
    }

    auto watch(const std::string& key, const StoreRevision& /*after*/, Duration /*wait*/, GetDone done) -> void override
    {
        this->get(key, std::move(done));
    }

    auto list(const std::string& /*prefix*/, ListDone done) -> void override { done(std::vector<std::string> {}); }

    [[nodiscard]] auto era() const -> std::uint64_t override { return this->currentEra; }

    /// @brief Returns to an earlier state of `objects` and starts a new era.
    auto restore(std::map<std::string, StoredObject> copy) -> void
    {
        ++this->currentEra;
        this->lastVersion = 0;
        for (auto& [key, object] : copy) {
            object.version.era = this->currentEra;
            this->lastVersion = std::max(this->lastVersion, object.version.number);
        }
        this->objects = std::move(copy);
    }

    std::map<std::string, StoredObject> objects;
    std::uint64_t lastVersion = 0;
    std::uint64_t currentEra = 0;
    bool isDown = false;
    std::function<WriteFault(const std::string& key)> nextFault;
};

} // namespace citronloft

/// @file
/// @brief In-memory object store that answers immediately, with scripted faults.
#pragma once

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

    auto put(const std::string& key, std::string value, std::uint64_t expected, PutDone done) -> void override
    {
        if (this->isDown)
            return done(absl::UnavailableError("down"));
        const auto fault = this->nextFault ? this->nextFault(key) : WriteFault::None;
        if (fault == WriteFault::Refused)
            return done(absl::UnavailableError("write refused"));
        auto& object = this->objects[key];
        if (object.version != expected) {
            if (object.version == 0)
                this->objects.erase(key);
            return done(absl::AbortedError("version mismatch"));
        }
        object = { std::move(value), ++this->lastVersion };
        if (fault == WriteFault::ReplyLost)
            return done(absl::DeadlineExceededError("reply lost"));
        done(object.version);
    }

    auto watch(const std::string& key, std::uint64_t /*after*/, Duration /*wait*/, GetDone done) -> void override
    {
        this->get(key, std::move(done));
    }

    auto list(const std::string& /*prefix*/, ListDone done) -> void override { done(std::vector<std::string> {}); }

    std::map<std::string, StoredObject> objects;
    std::uint64_t lastVersion = 0;
    bool isDown = false;
    std::function<WriteFault(const std::string& key)> nextFault;
};

} // namespace citronloft

#include "citronloft/fleet/object_mirror.hpp"

#include <algorithm>

#include "citronloft/base/log.hpp"

namespace citronloft {

ObjectMirror::ObjectMirror(ObjectMirrorOption option, const Clock& clock, std::shared_ptr<ObjectFeed> feed,
    std::uint64_t seed, Changed changed)
    : option(std::move(option))
    , clock(clock)
    , feed(std::move(feed))
    , random(seed)
    , changed(std::move(changed))
{
}

auto ObjectMirror::tick(TimePoint now) -> void
{
    const auto dropped = std::erase_if(this->keptUntil, [&](const auto& item) {
        if (now < item.second)
            return false;
        this->known.erase(item.first);
        return true;
    });
    if (dropped > 0)
        this->changed(this->known);
    if (this->isCalling || now < this->nextCallAt)
        return;
    if (this->mustList)
        this->startList({});
    else
        this->startWatch();
}

auto ObjectMirror::startList(const std::string& after) -> void
{
    this->isCalling = true;
    if (after.empty())
        this->reading.clear();
    this->feed->list(this->option.kind, after, [self = this->shared_from_this()](auto batch) {
        self->isCalling = false;
        self->takeList(std::move(batch));
    });
}

auto ObjectMirror::startWatch() -> void
{
    this->isCalling = true;
    this->feed->watch(
        this->option.kind, this->revision, this->option.watchWait, [self = this->shared_from_this()](auto batch) {
            self->isCalling = false;
            self->takeEvents(std::move(batch));
        });
}

auto ObjectMirror::takeList(absl::StatusOr<ObjectBatch> batch) -> void
{
    if (!batch.ok()) {
        this->noteFailure(batch.status());
        return;
    }
    const auto isFirstPage = this->reading.empty();
    // Changes between two pages come with the watch from the first page's revision on.
    if (isFirstPage)
        this->listRevision = batch->revision;
    auto last = std::string {};
    for (auto& object : batch->objects) {
        last = object.name;
        this->reading.insert_or_assign(object.name, std::move(object));
    }
    if (batch->hasMore && !last.empty()) {
        this->startList(last);
        return;
    }
    this->noteAnswer();
    if (this->listRevision < this->revision) {
        this->noteFailure(absl::UnavailableError("the list is older than what is known"));
        return;
    }
    this->finishList(this->listRevision);
}

auto ObjectMirror::finishList(std::uint64_t listedAt) -> void
{
    const auto now = this->clock.now();
    for (auto& [name, object] : this->reading) {
        this->keptUntil.erase(name);
        this->known.insert_or_assign(name, std::move(object));
    }
    auto missing = std::vector<std::string> {};
    for (const auto& [name, object] : this->known) {
        if (!this->reading.contains(name))
            missing.push_back(name);
    }
    for (const auto& name : missing)
        this->removeOrKeep(name, now);
    this->reading.clear();
    this->revision = listedAt;
    this->mustList = false;
    this->isListed = true;
    this->nextCallAt = now;
    this->changed(this->known);
}

auto ObjectMirror::takeEvents(absl::StatusOr<ObjectBatch> batch) -> void
{
    if (absl::IsOutOfRange(batch.status())) {
        LogEvent(LogLevel::Info, "mirror-relist").with("kind", this->option.kind).with("revision", this->revision);
        this->mustList = true;
        this->nextCallAt = this->clock.now();
        return;
    }
    if (!batch.ok()) {
        this->noteFailure(batch.status());
        return;
    }
    this->noteAnswer();
    const auto now = this->clock.now();
    auto hasChanged = false;
    for (auto& object : batch->objects) {
        const auto old = this->known.find(object.name);
        if (old != this->known.end() && object.revision < old->second.revision)
            continue;
        if (object.isDeleted) {
            hasChanged = this->removeOrKeep(object.name, now) || hasChanged;
            continue;
        }
        this->keptUntil.erase(object.name);
        this->known.insert_or_assign(object.name, std::move(object));
        hasChanged = true;
    }
    this->revision = std::max(this->revision, batch->revision);
    this->nextCallAt = now + this->option.pause;
    if (hasChanged)
        this->changed(this->known);
}

/// @return whether the object was removed at once.
auto ObjectMirror::removeOrKeep(const std::string& name, TimePoint now) -> bool
{
    const auto graceEnd = this->returnedAt + this->option.returnGrace;
    if (this->returnedAt == TimePoint {} || now >= graceEnd)
        return this->known.erase(name) > 0;
    this->keptUntil.try_emplace(name, graceEnd);
    return false;
}

auto ObjectMirror::noteAnswer() -> void
{
    const auto now = this->clock.now();
    this->lastAnswerAt = now;
    this->backoff = {};
    if (!std::exchange(this->wasAway, false))
        return;
    this->returnedAt = now;
    LogEvent(LogLevel::Info, "store-regained").with("kind", this->option.kind);
}

/// Exponential back-off with jitter: a fleet that lost the store together must not return to it together.
auto ObjectMirror::noteFailure(const absl::Status& status) -> void
{
    if (!std::exchange(this->wasAway, true))
        LogEvent(LogLevel::Warning, "store-lost").with("kind", this->option.kind).with("reason", status.ToString());
    this->reading.clear();
    this->backoff = std::clamp(this->backoff * 2, this->option.leastBackoff, Duration { this->option.greatestBackoff });
    constexpr auto steps = 1000U;
    const auto jittered = this->backoff / 2 + this->backoff / 2 * this->random(steps) / steps;
    this->nextCallAt = this->clock.now() + jittered;
}

} // namespace citronloft

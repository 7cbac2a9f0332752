#include "citronloft/fleet/object_mirror.hpp"

#include <algorithm>

#include "citronloft/base/log.hpp"

namespace citronloft {

namespace {

/// Objects whose last change is kept for peers; some times the objects of a large deployment.
constexpr auto greatestHistory = std::size_t { 4096 };

} // namespace

ObjectMirror::ObjectMirror(ObjectMirrorOption option, const Clock& clock, std::shared_ptr<ObjectFeed> feed,
    std::shared_ptr<StoreLink> link, Changed changed)
    : option(std::move(option))
    , clock(clock)
    , feed(std::move(feed))
    , link(std::move(link))
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
    if (this->isCalling || now < this->nextCallAt || !this->link->tryStart(now))
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
    this->watchedAt = this->clock.now();
    // The call that finds out whether the store is back holds all others up, so it must not wait for an event.
    const auto wait = this->link->isAway() ? this->option.probeWait : this->option.watchWait;
    this->feed->watch(this->option.kind, this->revision, wait, [self = this->shared_from_this()](auto batch) {
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
        LogEvent(LogLevel::Warning, "list-too-old")
            .with("kind", this->option.kind)
            .with("revision", this->listRevision);
        this->reading.clear();
        this->nextCallAt = this->clock.now() + this->option.pause;
        return;
    }
    this->finishList(this->listRevision);
}

auto ObjectMirror::finishList(std::uint64_t listedAt) -> void
{
    const auto now = this->clock.now();
    // What the list brings is newer than any older history.
    this->changes.clear();
    this->historyFrom = listedAt;
    for (auto& [name, object] : this->reading) {
        this->keptUntil.erase(name);
        this->known.insert_or_assign(name, std::move(object));
    }
    auto missing = std::vector<std::string> {};
    for (const auto& [name, object] : this->known) {
        if (!this->reading.contains(name))
            missing.push_back(name);
    }
    this->removeOrKeep(missing, now);
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
        this->noteAnswer();
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
    auto deleted = std::vector<std::string> {};
    for (auto& object : batch->objects) {
        const auto old = this->known.find(object.name);
        if (old != this->known.end() && object.revision < old->second.revision)
            continue;
        this->noteChange(object.name, object.isDeleted, batch->revision);
        if (object.isDeleted) {
            deleted.push_back(object.name);
            continue;
        }
        std::erase(deleted, object.name);
        this->keptUntil.erase(object.name);
        this->known.insert_or_assign(object.name, std::move(object));
        hasChanged = true;
    }
    hasChanged = this->removeOrKeep(deleted, now) || hasChanged;
    this->revision = std::max(this->revision, batch->revision);
    this->lengthenPause(now);
    this->nextCallAt = now + (batch->isRelayed ? Duration {} : this->nextPause);
    if (hasChanged)
        this->changed(this->known);
}

auto ObjectMirror::noteChange(const std::string& name, bool isDeleted, std::uint64_t at) -> void
{
    this->changes.insert_or_assign(name, Change { at, isDeleted });
    if (this->changes.size() <= greatestHistory)
        return;
    const auto oldest = std::ranges::min_element(this->changes, {}, [](const auto& item) { return item.second.at; });
    this->historyFrom = std::max(this->historyFrom, oldest->second.at);
    this->changes.erase(oldest);
}

auto ObjectMirror::currentRevision() const -> std::optional<std::uint64_t>
{
    return this->isListed && !this->mustList && !this->link->isAway() ? std::optional { this->revision } : std::nullopt;
}

/// Objects that are missing and kept for a while are gone for those who ask: each keeps them by its own rule.
auto ObjectMirror::changesAfter(std::uint64_t since) const -> absl::StatusOr<ObjectBatch>
{
    if (!this->currentRevision())
        return absl::UnavailableError("this copy is not up to date");
    auto batch = ObjectBatch { {}, false, this->revision, true };
    if (since == 0) {
        for (const auto& [name, object] : this->known) {
            if (!this->keptUntil.contains(name))
                batch.objects.push_back(object);
        }
        return batch;
    }
    if (since < this->historyFrom)
        return absl::OutOfRangeError("this copy has no history so far back");
    for (const auto& [name, change] : this->changes) {
        if (change.at <= since)
            continue;
        const auto found = this->known.find(name);
        if (!change.isDeleted && found != this->known.end())
            batch.objects.push_back(found->second);
        else
            batch.objects.push_back({ name, change.at, {}, true });
    }
    return batch;
}

/// The pause grows from one watch to the next while their events belong to one burst.
auto ObjectMirror::lengthenPause(TimePoint now) -> void
{
    const auto isBurst = now - this->watchedAt < this->option.quietTime;
    this->nextPause = isBurst ? std::clamp(this->nextPause * 2, this->option.pause, this->option.greatestPause)
                              : this->option.pause;
}

/// @return whether an object was removed at once.
auto ObjectMirror::removeOrKeep(const std::vector<std::string>& names, TimePoint now) -> bool
{
    const auto graceEnd = this->link->returnedAt() + this->option.returnGrace;
    const auto isInGrace = this->link->returnedAt() != TimePoint {} && now < graceEnd;
    const auto missing = static_cast<double>(names.size() + this->keptUntil.size());
    const auto isMany = missing > static_cast<double>(this->known.size()) * this->option.fewMissing;
    auto removed = std::size_t { 0 };
    for (const auto& name : names) {
        if (isInGrace && isMany)
            this->keptUntil.try_emplace(name, graceEnd);
        else
            removed += this->known.erase(name);
    }
    return removed > 0;
}

auto ObjectMirror::noteAnswer() -> void
{
    if (this->link->noteAnswer(this->clock.now()))
        LogEvent(LogLevel::Info, "store-regained").with("kind", this->option.kind);
}

auto ObjectMirror::noteFailure(const absl::Status& status) -> void
{
    if (this->link->noteFailure(status, this->clock.now()))
        LogEvent(LogLevel::Warning, "store-lost").with("kind", this->option.kind).with("reason", status.ToString());
    this->reading.clear();
    this->nextCallAt = this->clock.now();
}

} // namespace citronloft

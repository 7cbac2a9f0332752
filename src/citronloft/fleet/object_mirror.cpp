#include "citronloft/fleet/object_mirror.hpp"

#include <algorithm>
#include <utility>

#include "citronloft/base/log.hpp"

namespace citronloft {

namespace {

/// Maximum number of changes kept for peers; several times the number of objects in a large deployment.
constexpr auto maxHistoryChanges = std::size_t { 4096 };

} // namespace

ObjectMirror::ObjectMirror(ObjectMirrorOption option, const Clock& clock, std::shared_ptr<ObjectFeed> feed,
    std::shared_ptr<StoreBackoff> storeBackoff, ChangedCallback onChanged)
    : option(std::move(option))
    , clock(clock)
    , feed(std::move(feed))
    , storeBackoff(std::move(storeBackoff))
    , onChanged(std::move(onChanged))
{
}

auto ObjectMirror::tick(TimePoint now) -> void
{
    const auto expiredCount = std::erase_if(this->retainedUntil, [&](const auto& item) {
        if (now < item.second)
            return false;
        this->mirrored.erase(item.first);
        return true;
    });
    if (expiredCount > 0)
        this->onChanged(this->mirrored);
    this->abandonLostWatch(now);
    if (this->isCallPending || now < this->nextCallAt || !this->storeBackoff->tryStart(now))
        return;
    if (this->needsList)
        this->startList({});
    else
        this->startWatch();
}

auto ObjectMirror::startList(const std::string& after) -> void
{
    this->isCallPending = true;
    this->callStartedAt = this->clock.now();
    this->callOverdueAt = TimePoint::max();
    ++this->callNumber;
    if (after.empty())
        this->listed.clear();
    this->feed->list(this->option.kind, after, [self = this->shared_from_this()](auto batch) {
        self->isCallPending = false;
        self->processList(std::move(batch));
    });
}

auto ObjectMirror::requestList(TimePoint now) -> void
{
    this->needsList = true;
    this->listNeededAt = now;
    this->nextCallAt = now;
}

auto ObjectMirror::startWatch() -> void
{
    this->isCallPending = true;
    const auto now = this->clock.now();
    this->callStartedAt = now;
    // While the store is unavailable, one call probes it and blocks all others, so it must not wait for an event.
    const auto isProbe = this->storeBackoff->isUnavailable() || std::exchange(this->needsProbe, false);
    const auto wait = isProbe ? this->option.probeWait : this->option.watchWait;
    this->callOverdueAt = isProbe ? TimePoint::max() : now + wait + this->option.overdueTime;
    if (this->isBehind())
        this->catchUpBy = now + this->option.catchUpTime;
    const auto number = ++this->callNumber;
    this->feed->watch(this->option.kind, this->revision, wait,
        [self = this->shared_from_this(), number](auto batch) { self->finishWatch(number, std::move(batch)); });
}

auto ObjectMirror::finishWatch(std::uint64_t number, absl::StatusOr<ObjectBatch> batch) -> void
{
    if (number == this->callNumber) {
        this->isCallPending = false;
        this->processEvents(std::move(batch));
        return;
    }
    if (batch.ok()) {
        this->processLateEvents(*std::move(batch));
        return;
    }
    // The failure of an abandoned watch is the first sign that the store is unavailable if its successor is pending.
    // OutOfRange is an answer of the store.
    const auto hasFailed = !absl::IsOutOfRange(batch.status());
    if (hasFailed && number + 1 == this->callNumber && this->isCallPending)
        this->recordFailure(batch.status());
}

auto ObjectMirror::setWatchWait(Duration wait) -> void
{
    this->option.watchWait = wait;
    if (this->isCallPending && this->callOverdueAt != TimePoint::max())
        this->callOverdueAt
            = std::min<TimePoint>(this->callOverdueAt, this->callStartedAt + wait + this->option.overdueTime);
}

auto ObjectMirror::expectRevision(const StoreRevision& expected, TimePoint now) -> void
{
    if (expected <= this->expectedRevision)
        return;
    if (!this->isBehind())
        this->catchUpBy = now + this->option.catchUpTime;
    this->expectedRevision = expected;
    this->expectedAt = now;
}

auto ObjectMirror::isBehind() const -> bool
{
    return this->expectedRevision > std::max(this->revision, this->reachedRevision);
}

/// @return why the pending watch counts as lost; empty if it does not. Calls made while the store is unavailable end by
/// themselves, and the store's recovery depends on their results.
auto ObjectMirror::lossReason(TimePoint now) const -> std::string_view
{
    if (!this->isCallPending || this->callOverdueAt == TimePoint::max() || this->storeBackoff->isUnavailable())
        return {};
    if (now >= this->callOverdueAt)
        return "overdue";
    if (this->storeBackoff->recoveredAt() > this->callStartedAt)
        return "store-recovered";
    if (this->isBehind() && now >= this->catchUpBy)
        return "change-missed";
    return {};
}

auto ObjectMirror::abandonLostWatch(TimePoint now) -> void
{
    const auto reason = this->lossReason(now);
    if (reason.empty())
        return;
    LogEvent(LogLevel::Info, "watch-lost")
        .with("kind", this->option.kind)
        .with("reason", reason)
        .with("waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - this->callStartedAt).count())
        .with("revision", formatRevision(this->revision))
        .with("expected_revision", formatRevision(this->expectedRevision));
    this->isCallPending = false;
    this->needsProbe = true;
    this->nextCallAt = now;
}

auto ObjectMirror::processList(absl::StatusOr<ObjectBatch> batch) -> void
{
    if (!batch.ok()) {
        this->recordFailure(batch.status());
        return;
    }
    const auto isFirstPage = this->listed.empty();
    // Changes between two pages arrive with the watch, which starts from the first page's revision.
    if (isFirstPage)
        this->listRevision = batch->revision;
    if (batch->revision.era != this->listRevision.era) {
        LogEvent(LogLevel::Info, "list-restarted")
            .with("kind", this->option.kind)
            .with("revision", formatRevision(batch->revision));
        this->recordSuccess();
        this->startList({});
        return;
    }
    auto last = std::string {};
    for (auto& object : batch->objects) {
        last = object.name;
        this->listed.insert_or_assign(object.name, std::move(object));
    }
    if (batch->hasMore && !last.empty()) {
        this->startList(last);
        return;
    }
    this->recordSuccess();
    if (this->listRevision < this->revision) {
        LogEvent(LogLevel::Warning, "list-too-old")
            .with("kind", this->option.kind)
            .with("revision", formatRevision(this->listRevision))
            .with("known_revision", formatRevision(this->revision));
        this->listed.clear();
        this->nextCallAt = this->clock.now() + this->option.pause;
        return;
    }
    this->finishList();
}

auto ObjectMirror::finishList() -> void
{
    const auto now = this->clock.now();
    const auto isRestored = this->isListed && this->listRevision.era != this->revision.era;
    // The list replaces all earlier history.
    this->lastChanges.clear();
    this->historyStart = this->listRevision;
    for (auto& [name, object] : this->listed) {
        this->retainedUntil.erase(name);
        this->mirrored.insert_or_assign(name, std::move(object));
    }
    auto missing = std::vector<std::string> {};
    for (const auto& [name, object] : this->mirrored) {
        if (!this->listed.contains(name))
            missing.push_back(name);
    }
    this->removeOrRetain(missing, isRestored, now);
    this->listed.clear();
    this->revision = this->listRevision;
    this->lastChangeRevision = this->listRevision;
    this->needsList = false;
    this->isListed = true;
    this->nextCallAt = now;
    this->onChanged(this->mirrored);
}

auto ObjectMirror::processEvents(absl::StatusOr<ObjectBatch> batch) -> void
{
    if (absl::IsOutOfRange(batch.status())) {
        LogEvent(LogLevel::Info, "mirror-relist")
            .with("kind", this->option.kind)
            .with("revision", formatRevision(this->revision));
        this->recordSuccess();
        this->requestList(this->clock.now());
        return;
    }
    if (!batch.ok()) {
        this->recordFailure(batch.status());
        return;
    }
    this->recordSuccess();
    const auto now = this->clock.now();
    // Only a list leads from one era to another: the events between them are lost.
    if (batch->revision.era > this->revision.era)
        return this->requestList(now);
    if (batch->revision.era < this->revision.era) {
        this->nextCallAt = now + this->option.pause;
        return;
    }
    // The announced revision may be higher than that of the change itself.
    if (this->callStartedAt >= this->expectedAt && this->expectedRevision.era <= batch->revision.era)
        this->reachedRevision = this->expectedRevision;
    const auto hasEvents = !batch->objects.empty();
    const auto isRelayed = batch->isRelayed;
    const auto hasChanged = this->applyEvents(*std::move(batch), now);
    this->updatePause(hasEvents, now);
    this->nextCallAt = now + (isRelayed ? Duration {} : this->nextPause);
    if (hasChanged)
        this->onChanged(this->mirrored);
}

/// Processes the answer of a watch that was abandoned. The state of the pending call does not change.
auto ObjectMirror::processLateEvents(ObjectBatch batch) -> void
{
    if (this->needsList || batch.revision.era != this->revision.era)
        return;
    if (this->applyEvents(std::move(batch), this->clock.now()))
        this->onChanged(this->mirrored);
}

/// Applies the events of an answer, unless the copy is later.
/// @return whether the copy has changed.
auto ObjectMirror::applyEvents(ObjectBatch batch, TimePoint now) -> bool
{
    if (batch.revision < this->revision)
        return false;
    auto hasChanged = false;
    auto deleted = std::vector<std::string> {};
    for (auto& object : batch.objects) {
        // An event of a deletion may state the revision of the object before it.
        const auto changedAt = object.isDeleted ? batch.revision : object.revision;
        this->lastChangeRevision = std::max(this->lastChangeRevision, changedAt);
        const auto old = this->mirrored.find(object.name);
        if (old != this->mirrored.end() && object.revision < old->second.revision)
            continue;
        this->recordChange(object.name, object.isDeleted, batch.revision);
        if (object.isDeleted) {
            deleted.push_back(object.name);
            continue;
        }
        std::erase(deleted, object.name);
        this->retainedUntil.erase(object.name);
        this->mirrored.insert_or_assign(object.name, std::move(object));
        hasChanged = true;
    }
    hasChanged = this->removeOrRetain(deleted, false, now) || hasChanged;
    this->revision = std::max(this->revision, batch.revision);
    return hasChanged;
}

auto ObjectMirror::recordChange(const std::string& name, bool isDeleted, const StoreRevision& learnedAtRevision) -> void
{
    this->lastChanges.insert_or_assign(name, Change { learnedAtRevision, isDeleted });
    if (this->lastChanges.size() <= maxHistoryChanges)
        return;
    const auto oldest = std::ranges::min_element(
        this->lastChanges, {}, [](const auto& item) { return item.second.learnedAtRevision; });
    this->historyStart = std::max(this->historyStart, oldest->second.learnedAtRevision);
    this->lastChanges.erase(oldest);
}

auto ObjectMirror::currentRevision() const -> std::optional<StoreRevision>
{
    return this->isListed && !this->needsList && !this->storeBackoff->isUnavailable() ? std::optional { this->revision }
                                                                                      : std::nullopt;
}

/// Missing objects that are kept for the grace period are reported to peers as deleted; each host decides by itself how
/// long to keep them.
auto ObjectMirror::changesAfter(const StoreRevision& since) const -> absl::StatusOr<ObjectBatch>
{
    if (!this->currentRevision() || since.era > this->revision.era)
        return absl::UnavailableError("object mirror is not up to date with the store");
    auto batch = ObjectBatch { {}, false, this->revision, true };
    if (since == StoreRevision {}) {
        for (const auto& [name, object] : this->mirrored) {
            if (!this->retainedUntil.contains(name))
                batch.objects.push_back(object);
        }
        return batch;
    }
    if (since < this->historyStart)
        return absl::OutOfRangeError("requested revision precedes the history of the object mirror");
    for (const auto& [name, change] : this->lastChanges) {
        if (change.learnedAtRevision <= since)
            continue;
        const auto found = this->mirrored.find(name);
        if (!change.isDeleted && found != this->mirrored.end())
            batch.objects.push_back(found->second);
        else
            batch.objects.push_back({ name, change.learnedAtRevision, {}, true });
    }
    return batch;
}

/// Doubles the pause up to its maximum while watches end early with events, as they do in a burst, and resets it
/// otherwise.
auto ObjectMirror::updatePause(bool hasEvents, TimePoint now) -> void
{
    const auto isBurst = hasEvents && now - this->callStartedAt < this->option.burstEndWait;
    this->nextPause
        = isBurst ? std::clamp(this->nextPause * 2, this->option.pause, this->option.maxPause) : this->option.pause;
}

/// @return whether an object was removed immediately.
auto ObjectMirror::removeOrRetain(const std::vector<std::string>& names, bool isRestored, TimePoint now) -> bool
{
    const auto graceEnd = this->retentionEnd(names.size(), isRestored, now);
    auto removedCount = std::size_t { 0 };
    for (const auto& name : names) {
        if (graceEnd)
            this->retainedUntil.try_emplace(name, *graceEnd);
        else
            removedCount += this->mirrored.erase(name);
    }
    return removedCount > 0;
}

/// @return the end of the time for which further missing objects are kept, or nothing if they are removed immediately.
auto ObjectMirror::retentionEnd(std::size_t count, bool isRestored, TimePoint now) const -> std::optional<TimePoint>
{
    const auto recoveredAt = this->storeBackoff->recoveredAt();
    if (isRestored)
        return this->listNeededAt + this->option.outageGrace;
    const auto graceEnd = recoveredAt + this->option.outageGrace;
    const auto isInGrace = recoveredAt != TimePoint {} && now < graceEnd;
    const auto missing = static_cast<double>(count + this->retainedUntil.size());
    const auto isMany = missing > static_cast<double>(this->mirrored.size()) * this->option.immediateRemovalFraction;
    return isInGrace && isMany ? std::optional { graceEnd } : std::nullopt;
}

auto ObjectMirror::recordSuccess() -> void
{
    if (this->storeBackoff->recordSuccess(this->clock.now()))
        LogEvent(LogLevel::Info, "store-regained").with("kind", this->option.kind);
}

auto ObjectMirror::recordFailure(const absl::Status& status) -> void
{
    const auto now = this->clock.now();
    if (this->storeBackoff->recordFailure(status, now))
        LogEvent(LogLevel::Warning, "store-lost")
            .with("kind", this->option.kind)
            .with("waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - this->callStartedAt).count())
            .with("reason", status.ToString());
    this->listed.clear();
    this->nextCallAt = now;
}

} // namespace citronloft

/// @file
/// @brief Fake store with lists and watches in virtual time, and each host's connection to it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "citronloft/fleet/object_mirror.hpp"
#include "citronloft/model/event_queue.hpp"

namespace citronloft {

/// @brief Objects of all kinds and their change history.
class VirtualObjects {
public:
    /// @brief An event and its kind.
    struct Change {
        std::string kind;
        MirroredObject object;
    };

    using Waiter = std::function<void(const Change&)>;

    VirtualObjects(EventQueue& events, Duration history)
        : events(events)
        , history(history)
    {
    }

    auto put(const std::string& kind, const std::string& name, std::string body) -> void
    {
        auto object = MirroredObject { name, this->nextRevision(), std::move(body), false };
        this->record({ kind, object });
        this->objects[kind][name] = std::move(object);
        this->notify({ kind, this->objects[kind][name] });
    }

    auto remove(const std::string& kind, const std::string& name) -> void
    {
        const auto change = Change { kind, { name, this->nextRevision(), {}, true } };
        this->record(change);
        this->objects[kind].erase(name);
        this->notify(change);
    }

    /// @brief Discards the change history, so that watches from earlier revisions fail.
    auto compact() -> void
    {
        this->changes.clear();
        this->oldest = this->lastRevision;
    }

    /// @brief Returns to the state of `age` ago, including the revision, which is given out again from there.
    /// @return the changes that are lost.
    auto restore(Duration age) -> std::vector<Change>
    {
        auto lost = std::vector<Change> {};
        while (!this->undo.empty() && this->undo.back().at > this->events.now() - age) {
            const auto& last = this->undo.back();
            auto& current = this->objects[last.change.kind];
            if (last.before)
                current.insert_or_assign(last.change.object.name, *last.before);
            else
                current.erase(last.change.object.name);
            lost.push_back(last.change);
            this->undo.pop_back();
            --this->lastRevision;
        }
        std::erase_if(this->changes,
            [this](const auto& change) { return change.second.object.revision.number > this->lastRevision; });
        ++this->era;
        this->oldest = std::min(this->oldest, this->lastRevision);
        return lost;
    }

    [[nodiscard]] auto revision() const -> StoreRevision { return { this->era, this->lastRevision }; }

    /// @return a page of the objects of a kind that follow `after`.
    auto page(const std::string& kind, const std::string& after) -> ObjectBatch
    {
        constexpr auto pageSize = std::size_t { 10 };
        auto batch = ObjectBatch { {}, false, this->revision() };
        const auto& all = this->objects[kind];
        for (auto item = all.upper_bound(after); item != all.end(); ++item) {
            if (batch.objects.size() == pageSize) {
                batch.hasMore = true;
                break;
            }
            batch.objects.push_back(this->inCurrentEra(item->second));
        }
        return batch;
    }

    /// @return the changes after a revision, or OutOfRange.
    auto changesAfter(const std::string& kind, const StoreRevision& after) -> absl::StatusOr<ObjectBatch>
    {
        this->trimHistory();
        if (after.era != this->era || after.number < this->oldest)
            return absl::OutOfRangeError("revision is not part of the retained history");
        auto batch = ObjectBatch { {}, false, this->revision() };
        for (const auto& [at, change] : this->changes) {
            if (change.kind == kind && change.object.revision.number > after.number)
                batch.objects.push_back(this->inCurrentEra(change.object));
        }
        return batch;
    }

    /// @brief Calls `waiter` with each later change until the returned number is passed to forget().
    auto wait(Waiter waiter) -> std::uint64_t
    {
        this->waiters.emplace(++this->lastWaiter, std::move(waiter));
        return this->lastWaiter;
    }

    auto forget(std::uint64_t waiter) -> void { this->waiters.erase(waiter); }

private:
    /// A change and the object before it.
    struct Undo {
        TimePoint at;
        Change change;
        std::optional<MirroredObject> before;
    };

    auto nextRevision() -> StoreRevision { return { this->era, ++this->lastRevision }; }

    /// @return an object as the store reports it: its revision is of the era of the answer.
    [[nodiscard]] auto inCurrentEra(MirroredObject object) const -> MirroredObject
    {
        object.revision.era = this->era;
        return object;
    }

    /// Records a change that is about to be made.
    auto record(const Change& change) -> void
    {
        this->changes.emplace_back(this->events.now(), change);
        this->trimHistory();
        const auto& current = this->objects[change.kind];
        const auto before = current.find(change.object.name);
        this->undo.push_back(
            { this->events.now(), change, before == current.end() ? std::nullopt : std::optional { before->second } });
    }

    auto notify(const Change& change) -> void
    {
        const auto waiting = this->waiters;
        for (const auto& [number, waiter] : waiting)
            waiter(change);
    }

    auto trimHistory() -> void
    {
        while (!this->changes.empty() && this->changes.front().first <= this->events.now() - this->history) {
            this->oldest = this->changes.front().second.object.revision.number;
            this->changes.pop_front();
        }
    }

    EventQueue& events;
    Duration history;
    std::map<std::string, std::map<std::string, MirroredObject>> objects;
    std::deque<std::pair<TimePoint, Change>> changes;
    /// All changes since the start, each of which has increased the revision by one.
    std::vector<Undo> undo;
    std::uint64_t oldest = 0;
    std::uint64_t lastRevision = 0;
    std::uint64_t era = 0;
    std::map<std::uint64_t, Waiter> waiters;
    std::uint64_t lastWaiter = 0;
};

/// @brief Fault that applies to a host's store calls.
enum class FeedFault : std::uint8_t {
    None,
    /// New calls are refused and pending calls are aborted.
    Refused,
    /// No data arrives; a call ends when the connection exceeds its silence limit.
    Silent,
    /// Answers are delayed.
    Slow,
    /// Calls are taken and never answered, also not after the fault; the connection stays open. Calls that wait at the
    /// store already are answered if their answer is due after the fault.
    Unanswered,
};

/// @brief One host's connection to the store.
class VirtualFeed final : public ObjectFeed, public std::enable_shared_from_this<VirtualFeed> {
public:
    VirtualFeed(EventQueue& events, VirtualObjects& store)
        : events(events)
        , store(store)
    {
    }

    /// @brief Sets the fault, which also affects pending calls.
    auto setFault(FeedFault changed) -> void
    {
        if (this->fault == changed)
            return;
        this->fault = changed;
        if (changed != FeedFault::Refused && changed != FeedFault::Silent)
            return;
        // Answers to pending calls are lost with their connections.
        const auto lost = std::exchange(this->calls, {});
        for (const auto& [number, call] : lost) {
            this->store.forget(call.waiter);
            this->fail(call.done);
        }
    }

    auto list(const std::string& kind, const std::string& after, Done done) -> void override
    {
        this->start(std::move(done), Duration {},
            [this, kind, after](auto number) { this->answer(number, this->store.page(kind, after)); });
    }

    auto watch(const std::string& kind, const StoreRevision& revision, Duration wait, Done done) -> void override
    {
        this->start(std::move(done), wait, [this, kind, revision, wait](auto number) {
            auto found = this->store.changesAfter(kind, revision);
            if (!found.ok() || !found->objects.empty())
                return this->answer(number, std::move(found));
            this->calls.at(number).waiter = this->store.wait([this, kind, revision, number](const auto& change) {
                if (change.kind == kind)
                    this->answer(number, this->store.changesAfter(kind, revision));
            });
            this->events.after(wait, [self = this->shared_from_this(), kind, revision, number] {
                if (self->calls.contains(number))
                    self->answer(number, self->store.changesAfter(kind, revision));
            });
        });
    }

    std::uint64_t callsMade = 0;

private:
    /// Time beyond its wait after which a call without an answer ends.
    static constexpr auto callTimeout = std::chrono::milliseconds { 1500 };

    struct Call {
        Done done;
        std::uint64_t waiter = 0;
    };

    /// One-way latency to the store is half of the call time.
    /// @param wait time that the call asks the store to wait for a change.
    auto start(Done done, Duration wait, std::function<void(std::uint64_t)> arrive) -> void
    {
        ++this->callsMade;
        if (this->fault == FeedFault::Refused || this->fault == FeedFault::Silent)
            return this->fail(done);
        const auto number = ++this->lastCall;
        this->calls.emplace(number, Call { std::move(done) });
        this->events.after(wait + callTimeout, [self = this->shared_from_this(), number] {
            auto call = self->calls.extract(number);
            if (call.empty())
                return;
            self->store.forget(call.mapped().waiter);
            call.mapped().done(absl::DeadlineExceededError("no response"));
        });
        if (this->fault == FeedFault::Unanswered)
            return;
        this->events.after(this->latency(), [self = this->shared_from_this(), number, arrive = std::move(arrive)] {
            if (self->calls.contains(number))
                arrive(number);
        });
    }

    auto answer(std::uint64_t number, absl::StatusOr<ObjectBatch> batch) -> void
    {
        this->store.forget(std::exchange(this->calls.at(number).waiter, 0));
        if (this->fault == FeedFault::Unanswered)
            return;
        this->events.after(
            this->latency(), [self = this->shared_from_this(), number, batch = std::move(batch)]() mutable {
                auto call = self->calls.extract(number);
                if (!call.empty())
                    call.mapped().done(std::move(batch));
            });
    }

    auto fail(const Done& done) -> void
    {
        const auto isSilent = this->fault == FeedFault::Silent;
        this->events.after(isSilent ? Duration { callTimeout } : this->latency(), [done, isSilent] {
            done(isSilent ? absl::DeadlineExceededError("no response") : absl::UnavailableError("connection refused"));
        });
    }

    [[nodiscard]] auto latency() const -> Duration
    {
        return this->fault == FeedFault::Slow ? std::chrono::milliseconds { 150 } : std::chrono::milliseconds { 30 };
    }

    EventQueue& events;
    VirtualObjects& store;
    FeedFault fault = FeedFault::None;
    std::map<std::uint64_t, Call> calls;
    std::uint64_t lastCall = 0;
};

} // namespace citronloft

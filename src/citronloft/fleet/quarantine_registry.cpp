#include "citronloft/fleet/quarantine_registry.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include "citronloft/base/log.hpp"
#include "citronloft/policy/request_identity.hpp"

namespace citronloft {

namespace {

constexpr auto separator = '_';
/// Pause between two writes, so that many findings at once leave the store's rate to others.
constexpr auto writePause = std::chrono::milliseconds { 200 };
/// Maximum number of objects that wait to be written.
constexpr auto maxUnwritten = std::size_t { 256 };
/// Time after a restore in which the writer of an object writes it again.
constexpr auto writerTime = std::chrono::seconds { 3 };
/// Period over which the other hosts spread their writes of an object whose writer has not written it again.
constexpr auto rewriteSpread = std::chrono::seconds { 10 };
/// Maximum time to the end of a quarantine that a name can state; much longer than that of any host.
constexpr auto maxTimeLeft = std::chrono::hours { 24 };

template <typename Number> auto parseNumber(std::string_view text, int base) -> std::optional<Number>
{
    auto number = Number { 0 };
    const auto end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number, base);
    return error == std::errc {} && stop == end ? std::optional { number } : std::nullopt;
}

} // namespace

QuarantineRegistry::QuarantineRegistry(const Clock& clock, WallClock wallClock, std::shared_ptr<ObjectStore> store,
    std::optional<Duration> pollInterval, std::uint64_t seed, QuarantineListener listener)
    : clock(clock)
    , wallClock(std::move(wallClock))
    , store(std::move(store))
    , pollInterval(pollInterval)
    , random(seed)
    , listener(std::move(listener))
{
}

auto QuarantineRegistry::publish(std::uint64_t request, TimePoint until) -> void
{
    const auto isListed = std::ranges::any_of(this->entries,
        [&](const auto& item) { return item.second.request == request && item.second.until > this->clock.now(); });
    if (isListed || this->unwritten.size() >= maxUnwritten)
        return;
    const auto name = this->nameOf(request, until);
    this->unwritten.emplace(name, this->clock.now());
    this->written.emplace(name, until);
}

auto QuarantineRegistry::update(const std::set<std::string>& names) -> void
{
    const auto now = this->clock.now();
    this->processMissing(now, names);
    this->processPresent(now, names);
    std::erase_if(this->written, [now](const auto& item) { return now >= item.second; });
}

auto QuarantineRegistry::processMissing(TimePoint now, const std::set<std::string>& names) -> void
{
    for (auto item = this->entries.begin(); item != this->entries.end();) {
        const auto& [name, entry] = *item;
        if (names.contains(name)) {
            ++item;
            continue;
        }
        const auto isOver = now >= entry.until;
        // A copy from which the store was restored can lack the object; otherwise an operator has deleted it.
        if (!isOver && entry.era < this->store->era())
            this->unwritten.emplace(name, this->rewriteTime(name, now));
        else if (!isOver)
            this->listener.onLifted(entry.request);
        item = this->entries.erase(item);
    }
}

auto QuarantineRegistry::processPresent(TimePoint now, const std::set<std::string>& names) -> void
{
    for (const auto& name : names) {
        this->unwritten.erase(name);
        const auto known = this->entries.find(name);
        if (known != this->entries.end()) {
            known->second.era = this->store->era();
            continue;
        }
        const auto entry = this->parse(name);
        if (!entry) {
            this->logMalformed(name, now);
            continue;
        }
        if (now >= entry->until)
            continue;
        this->entries.emplace(name, *entry);
        this->listener.onQuarantined(entry->request, entry->until);
    }
}

auto QuarantineRegistry::logMalformed(const std::string& name, TimePoint now) -> void
{
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->logLimiter.allow("quarantine-malformed", now, suppressedLines))
        return;
    LogEvent(LogLevel::Warning, "quarantine-malformed").with("name", name).with("suppressed", suppressedLines);
}

/// The objects of one writer must not be written by the whole fleet at once.
auto QuarantineRegistry::rewriteTime(const std::string& name, TimePoint now) -> TimePoint
{
    if (this->written.contains(name))
        return now;
    constexpr auto steps = 1000U;
    return now + writerTime + rewriteSpread * this->random(steps) / steps;
}

auto QuarantineRegistry::tick(TimePoint now) -> void
{
    if (!this->isWriting && now >= this->nextWriteAt)
        this->writeNext(now);
    if (this->pollInterval && !this->isPolling && now >= this->nextPollAt)
        this->poll(now);
}

auto QuarantineRegistry::poll(TimePoint now) -> void
{
    this->isPolling = true;
    this->nextPollAt = now + *this->pollInterval;
    const auto prefix = std::string { quarantineKind } + "/";
    this->store->list(prefix, [self = this->shared_from_this(), prefix](const auto& keys) {
        self->isPolling = false;
        if (!keys.ok())
            return;
        auto names = std::set<std::string> {};
        for (const auto& key : *keys)
            names.insert(key.substr(prefix.size()));
        self->update(names);
    });
}

auto QuarantineRegistry::writeNext(TimePoint now) -> void
{
    const auto due = std::ranges::find_if(this->unwritten, [now](const auto& item) { return now >= item.second; });
    if (due == this->unwritten.end())
        return;
    this->isWriting = true;
    this->nextWriteAt = now + writePause;
    this->store->put(std::string { quarantineKind } + "/" + due->first, {}, absentVersion,
        [self = this->shared_from_this(), name = due->first](const auto& result) {
            self->isWriting = false;
            const auto isStored = result.ok() || absl::IsAborted(result.status());
            if (isStored)
                self->unwritten.erase(name);
        });
}

auto QuarantineRegistry::nameOf(std::uint64_t request, TimePoint until) const -> std::string
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - this->clock.now());
    const auto end = std::chrono::ceil<std::chrono::minutes>(this->wallClock() + left);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(end.time_since_epoch()).count();
    return formatIdentity(request) + separator + std::to_string(seconds);
}

auto QuarantineRegistry::parse(const std::string& name) const -> std::optional<Entry>
{
    constexpr auto hexadecimal = 16;
    constexpr auto decimal = 10;
    const auto separatorAt = std::min(name.find(separator), name.size());
    const auto request = parseNumber<std::uint64_t>(std::string_view { name }.substr(0, separatorAt), hexadecimal);
    const auto end = separatorAt == name.size()
        ? std::nullopt
        : parseNumber<std::int64_t>(std::string_view { name }.substr(separatorAt + 1), decimal);
    const auto wallNow = this->wallClock();
    const auto latestEnd = std::chrono::duration_cast<std::chrono::seconds>((wallNow + maxTimeLeft).time_since_epoch());
    const auto seconds = std::chrono::seconds { end.value_or(-1) };
    if (request.value_or(0) == 0 || seconds.count() < 0 || seconds > latestEnd)
        return std::nullopt;
    const auto left = std::chrono::system_clock::time_point { seconds } - wallNow;
    return Entry { *request, this->clock.now() + std::chrono::duration_cast<Duration>(left), this->store->era() };
}

} // namespace citronloft

#include <iostream>
#include <sstream>
#include <thread>

#include <boost/asio/steady_timer.hpp>

#include "citronloft/base/config_file.hpp"
#include "citronloft/base/digest.hpp"
#include "citronloft/fleet/config_loader.hpp"
#include "citronloft/fleet/config_publisher.hpp"
#include "commands.hpp"

namespace citronloft {

namespace {

/// Delay between the reads that determine whether a write took effect whose reply was lost.
constexpr auto settleRetryInterval = std::chrono::milliseconds { 250 };
constexpr auto statusPollInterval = std::chrono::milliseconds { 20 };

/// Active configuration as read from the store.
struct StoredConfig {
    ConfigManifest manifest;
    ConfigRecords records;
};

auto fileArgument(Tool& tool) -> std::string
{
    if (!tool.file.empty())
        return tool.file;
    return tool.arguments.empty() ? std::string {} : tool.arguments.front();
}

auto readConfigFile(Tool& tool) -> std::optional<Config>
{
    const auto path = fileArgument(tool);
    const auto text = readTextFile(path);
    if (!text)
        return std::nullopt;
    auto parsed = readConfig(*text);
    for (const auto& fault : parsed.faults)
        std::cerr << formatFault(path, fault) << "\n";
    return std::move(parsed.config);
}

auto readStoredConfig(Tool& tool, const std::shared_ptr<ObjectStore>& store) -> absl::StatusOr<StoredConfig>
{
    auto stored = absl::StatusOr<StoredConfig> { StoredConfig {} };
    store->get(manifestKey, [&](const auto& object) {
        if (absl::IsNotFound(object.status()))
            return;
        const auto manifest = object.ok() ? decode<ConfigManifest>(object->value) : object.status();
        if (!manifest.ok()) {
            stored = manifest.status();
            return;
        }
        stored->manifest = *manifest;
        loadRecords(store, *manifest, [&](auto records) {
            if (records.ok())
                stored->records = *std::move(records);
            else
                stored = records.status();
        });
    });
    tool.context.restart();
    tool.context.run();
    return stored;
}

auto formatApplyResult(const ApplyResult& result) -> std::string
{
    const auto version = std::to_string(result.version);
    switch (result.outcome) {
    case ApplyOutcome::Accepted:
        return "accepted as version " + version + "; " + std::to_string(result.changedRecords) + " records changed\n";
    case ApplyOutcome::Unchanged:
        return "unchanged; version " + version + " is active\n";
    case ApplyOutcome::Conflict:
        return "not accepted: " + result.reason + "\n";
    case ApplyOutcome::NotAccepted:
        return "not accepted: " + result.reason + "\n";
    case ApplyOutcome::Unknown:
        return "unknown: " + result.reason + "; run 'citronloft diff' when the platform's store is reachable again\n";
    }
    return {};
}

auto exitCodeOf(ApplyOutcome outcome) -> ExitCode
{
    constexpr auto codes
        = std::to_array({ ExitCode::Ok, ExitCode::Ok, ExitCode::Conflict, ExitCode::NotAccepted, ExitCode::Unknown });
    return codes.at(static_cast<std::size_t>(outcome));
}

auto outcomeName(ApplyOutcome outcome) -> std::string
{
    constexpr auto names
        = std::to_array<std::string_view>({ "accepted", "unchanged", "conflict", "not-accepted", "unknown" });
    return std::string { names.at(static_cast<std::size_t>(outcome)) };
}

/// Waits until `version` or a later one is active on every live host.
/// @return milliseconds from `since` until the last host applied it, or nothing after the wait timeout.
auto waitUntilActive(Tool& tool, std::uint64_t version, TimePoint since) -> std::optional<double>
{
    while (tool.clock.now() < since + tool.waitTimeout) {
        const auto statuses = readFleetStatus(tool);
        const auto isActive = std::ranges::all_of(
            statuses, [&](const nlohmann::json& status) { return status.value("config_version", 0ULL) >= version; });
        if (!statuses.empty() && isActive)
            return std::chrono::duration<double, std::milli>(tool.clock.now() - since).count();
        std::this_thread::sleep_for(statusPollInterval);
    }
    return std::nullopt;
}

} // namespace

auto runValidate(Tool& tool) -> ExitCode
{
    const auto config = readConfigFile(tool);
    if (!config)
        return ExitCode::InvalidFile;
    tool.print({ { "valid", true } }, "valid\n");
    return ExitCode::Ok;
}

auto runDiff(Tool& tool) -> ExitCode
{
    const auto config = readConfigFile(tool);
    if (!config)
        return ExitCode::InvalidFile;
    const auto store = tool.store();
    if (!store)
        return ExitCode::Usage;
    const auto stored = readStoredConfig(tool, store);
    if (!stored.ok())
        return printError(std::string { stored.status().message() }, ExitCode::Failed);
    auto json = nlohmann::json { { "version", stored->manifest.version }, { "changes", nlohmann::json::array() } };
    auto text = std::ostringstream {};
    for (const auto& change : diffRecords(stored->records, toRecords(*config))) {
        const auto isNew = !stored->records.contains(change.name);
        const auto* kind = !change.value ? "remove" : (isNew ? "add" : "change");
        json["changes"].push_back({ { "record", change.name }, { "kind", kind } });
        text << kind << "  " << change.name << "\n";
    }
    tool.print(json, json["changes"].empty() ? "no differences\n" : text.str());
    return ExitCode::Ok;
}

auto runApply(Tool& tool) -> ExitCode
{
    auto config = readConfigFile(tool);
    if (!config)
        return ExitCode::InvalidFile;
    const auto store = tool.store();
    if (!store)
        return ExitCode::Usage;
    auto result = ApplyResult {};
    auto change = ConfigChange { *std::move(config), tool.operatorName, tool.summary, std::to_string(randomId()),
        tool.expectedVersion };
    auto option = ApplyOption {};
    option.runLater = [&tool](const std::function<void()>& action) {
        auto timer = std::make_shared<boost::asio::steady_timer>(tool.context, settleRetryInterval);
        timer->async_wait([timer, action](auto) { action(); });
    };
    applyConfig(store, std::move(change), option, [&](ApplyResult done) { result = std::move(done); });
    tool.context.run();
    const auto acceptedAt = tool.clock.now();
    auto json = nlohmann::json { { "outcome", outcomeName(result.outcome) }, { "version", result.version },
        { "reason", result.reason }, { "changed_records", result.changedRecords },
        { "accepted_at_ns", acceptedAt.time_since_epoch().count() } };
    auto text = formatApplyResult(result);
    auto code = exitCodeOf(result.outcome);
    if (tool.waitsUntilActive && result.outcome == ApplyOutcome::Accepted) {
        const auto activeAfterMs = waitUntilActive(tool, result.version, acceptedAt);
        json["in_force_ms"] = activeAfterMs ? nlohmann::json(*activeAfterMs) : nlohmann::json(nullptr);
        text += activeAfterMs
            ? "active on all hosts after " + std::to_string(static_cast<int>(*activeAfterMs)) + " ms\n"
            : "not active on all hosts before the wait timeout; see 'citronloft status'\n";
        code = activeAfterMs ? code : ExitCode::NotActive;
    }
    tool.print(json, text);
    return code;
}

auto runGet(Tool& tool) -> ExitCode
{
    const auto store = tool.store();
    if (!store)
        return ExitCode::Usage;
    const auto stored = readStoredConfig(tool, store);
    if (!stored.ok())
        return printError(std::string { stored.status().message() }, ExitCode::Failed);
    if (stored->manifest.version == 0)
        return printError("the store has no configuration; none has been applied yet", ExitCode::Failed);
    const auto config = fromRecords(stored->records);
    if (!config.ok())
        return printError(std::string { config.status().message() }, ExitCode::Failed);
    const auto yaml = writeConfig(*config);
    tool.print({ { "version", stored->manifest.version }, { "operator", stored->manifest.operatorName },
                   { "summary", stored->manifest.summary }, { "config", yaml } },
        "# version " + std::to_string(stored->manifest.version) + " by " + stored->manifest.operatorName + "\n" + yaml);
    return ExitCode::Ok;
}

} // namespace citronloft

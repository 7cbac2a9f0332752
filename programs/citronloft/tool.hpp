/// @file
/// @brief What every command of the operators' tool shares: options, the platform, printing.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <nlohmann/json.hpp>

#include "citronloft/base/counters.hpp"
#include "citronloft/edge/http_client.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief Exit codes of the tool; docs/CLI.md repeats them.
enum class ExitCode : std::uint8_t {
    Ok = 0,
    Failed = 1,
    Usage = 2,
    InvalidFile = 3,
    Conflict = 4,
    NotAccepted = 5,
    Unknown = 6,
    NotInForce = 7,
};

/// @brief Options and connections of one run.
struct Tool {
    std::vector<std::string> arguments;
    std::string file;
    std::string team;
    std::string platform;
    std::string statusFrom;
    std::string operatorName;
    std::string summary;
    std::optional<std::uint64_t> expectedVersion;
    std::chrono::milliseconds waitTimeout { 30'000 };
    bool json = false;
    bool wait = false;
    bool undo = false;
    /// The name to drain is a host's service address.
    bool isHost = false;

    boost::asio::io_context context { 1 };
    SteadyClock clock;
    Metrics metrics;

    /// @return the platform's object store, or null with a message if --platform is missing or malformed.
    auto store() -> std::shared_ptr<ObjectStore>;

    /// @brief Runs a coroutine to its end.
    auto run(const std::function<void(boost::asio::yield_context)>& action) -> void;

    /// @brief Prints the JSON with --json, the text otherwise.
    auto print(const nlohmann::json& json, const std::string& text) const -> void;
};

/// @brief Prints "citronloft: reason" on standard error.
/// @return `code`.
auto complain(const std::string& reason, ExitCode code) -> ExitCode;

/// @return the file's text, or nothing with a message.
auto readTextFile(const std::string& path) -> std::optional<std::string>;

/// @brief Replaces a file in one step, so that a failure loses nothing.
auto replaceTextFile(const std::string& path, const std::string& text) -> bool;

/// @brief Status of every host that can be reached from `statusFrom`.
auto readFleetStatus(Tool& tool) -> std::vector<nlohmann::json>;

} // namespace citronloft

/// @file
/// @brief Options, store access and output that all commands of the operator tool share.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <nlohmann/json.hpp>

#include "citronloft/base/metrics.hpp"
#include "citronloft/edge/http_client.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief Exit codes of the tool; docs/CLI.md lists them too.
enum class ExitCode : std::uint8_t {
    Ok = 0,
    Failed = 1,
    Usage = 2,
    InvalidFile = 3,
    Conflict = 4,
    NotAccepted = 5,
    Unknown = 6,
    NotActive = 7,
    Refused = 8,
};

/// @brief Options and connections of one invocation.
struct Tool {
    std::vector<std::string> arguments;
    std::string file;
    std::string team;
    std::string platform;
    std::string statusFrom;
    std::string operatorName;
    std::string summary;
    /// Header fields of the request to be explained, as "Name: value".
    std::vector<std::string> headers;
    std::optional<std::uint64_t> expectedVersion;
    std::chrono::milliseconds waitTimeout { 30'000 };
    bool json = false;
    bool waitsUntilActive = false;
    bool removesDrain = false;
    /// True: the name to drain is the service address of a host.
    bool drainsHost = false;

    boost::asio::io_context context { 1 };
    SteadyClock clock;
    Metrics metrics;

    /// @return a client of the platform's object store; null, after an error message, if --platform is missing or
    /// malformed.
    auto store() -> std::shared_ptr<ObjectStore>;

    /// @brief Runs a coroutine until it returns.
    auto run(const std::function<void(boost::asio::yield_context)>& action) -> void;

    /// @brief Prints `json` if --json is given, `text` otherwise.
    auto print(const nlohmann::json& json, const std::string& text) const -> void;
};

/// @brief Prints "citronloft: reason" on standard error.
/// @return `code`.
auto printError(const std::string& reason, ExitCode code) -> ExitCode;

/// @return the file's contents; nothing, after an error message, if it cannot be read.
auto readTextFile(const std::string& path) -> std::optional<std::string>;

/// @brief Replaces a file atomically by renaming, so that a failed write keeps the old contents.
/// @return whether the file was replaced.
auto replaceFileAtomically(const std::string& path, const std::string& text) -> bool;

/// @return status of every host that responds, found through the peer lists from `statusFrom` on.
auto readFleetStatus(Tool& tool) -> std::vector<nlohmann::json>;

} // namespace citronloft

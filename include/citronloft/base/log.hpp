/// @file
/// @brief Structured logging: one line of key=value pairs per event (log4cplus).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace citronloft {

/// @brief Severity of a log event.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// @brief Opens the log; must be called exactly once, before the first event.
/// @param path file to append to; empty for standard output, on which lines that would block are dropped and counted.
/// @param level minimum severity; events below it are discarded.
auto openLog(const std::string& path, LogLevel level) -> void;

/// @brief Reopens the log file, for rotation.
auto reopenLog() -> void;

/// @brief Builder of one log event; the destructor writes the line.
///
/// @code
/// LogEvent(LogLevel::Info, "config-in-force").with("version", 12);
/// @endcode
class LogEvent {
public:
    LogEvent(LogLevel level, std::string_view event);
    ~LogEvent();
    LogEvent(const LogEvent&) = delete;
    auto operator=(const LogEvent&) -> LogEvent& = delete;

    /// @brief Appends a key=value pair; quotes values that contain spaces, quotes, "=" or backslashes.
    auto with(std::string_view key, std::string_view value) -> LogEvent&;
    auto with(std::string_view key, const char* value) -> LogEvent&
    {
        return this->with(key, std::string_view { value });
    }
    auto with(std::string_view key, const std::string& value) -> LogEvent&
    {
        return this->with(key, std::string_view { value });
    }

    template <typename Number>
    requires std::is_arithmetic_v<Number>
    auto with(std::string_view key, Number value) -> LogEvent&
    {
        return this->with(key, std::string_view { std::to_string(value) });
    }

private:
    LogLevel level;
    std::string line;
};

} // namespace citronloft

#include "citronloft/base/log.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace citronloft {

namespace {

struct LogDestination {
    std::string path;
    LogLevel level = LogLevel::Info;
};

auto logDestination() -> LogDestination&
{
    static auto destination = LogDestination {};
    return destination;
}

auto toLog4cplusLevel(LogLevel level) -> log4cplus::LogLevel
{
    constexpr auto levels = std::to_array({ log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
        log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL });
    return levels.at(static_cast<std::size_t>(level));
}

auto installAppender() -> void
{
    const auto& destination = logDestination();
    auto appender = log4cplus::SharedAppenderPtr {};
    if (destination.path.empty())
        appender = new log4cplus::ConsoleAppender(false, true);
    else
        appender = new log4cplus::FileAppender(destination.path, std::ios_base::app);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    log4cplus::Logger::getRoot().addAppender(appender);
}

/// Lines dropped since the last written one because standard output would have blocked.
thread_local auto droppedLines = std::uint64_t { 0 };

/// Returns whether a line can be written without blocking. poll() reports a pipe as writable only if a complete line
/// fits, so a stalled reader never blocks the process.
auto canWriteToOutput() -> bool
{
    auto output = pollfd { STDOUT_FILENO, POLLOUT, 0 };
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

auto quoteIfNeeded(std::string_view value) -> std::string
{
    const auto isPlain = !value.empty() && std::ranges::all_of(value, [](unsigned char c) {
        return std::isgraph(c) != 0 && c != '"' && c != '=' && c != '\\';
    });
    if (isPlain)
        return std::string { value };
    auto text = std::string { "\"" };
    for (const auto c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += std::isprint(static_cast<unsigned char>(c)) != 0 ? c : '?';
    }
    return text + "\"";
}

} // namespace

auto openLog(const std::string& path, LogLevel level) -> void
{
    log4cplus::initialize();
    logDestination() = { path, level };
    log4cplus::Logger::getRoot().setLogLevel(toLog4cplusLevel(level));
    installAppender();
}

auto reopenLog() -> void
{
    log4cplus::Logger::getRoot().removeAllAppenders();
    installAppender();
}

LogEvent::LogEvent(LogLevel level, std::string_view event)
    : level(level)
    , line("event=" + quoteIfNeeded(event))
{
}

LogEvent::~LogEvent()
{
    if (this->level < logDestination().level)
        return;
    if (logDestination().path.empty() && !canWriteToOutput()) {
        ++droppedLines;
        return;
    }
    if (const auto dropped = std::exchange(droppedLines, 0); dropped > 0)
        this->with("dropped_lines", dropped);
    log4cplus::Logger::getRoot().log(toLog4cplusLevel(this->level), this->line);
}

auto LogEvent::with(std::string_view key, std::string_view value) -> LogEvent&
{
    this->line += " " + std::string { key } + "=" + quoteIfNeeded(value);
    return *this;
}

} // namespace citronloft

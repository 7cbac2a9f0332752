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

struct LogTarget {
    std::string path;
    LogLevel level = LogLevel::Info;
};

auto logTarget() -> LogTarget&
{
    static auto target = LogTarget {};
    return target;
}

auto nativeLevel(LogLevel level) -> log4cplus::LogLevel
{
    constexpr auto levels = std::to_array({ log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
        log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL });
    return levels.at(static_cast<std::size_t>(level));
}

auto appendFileAppender() -> void
{
    const auto& target = logTarget();
    auto appender = log4cplus::SharedAppenderPtr {};
    if (target.path.empty())
        appender = new log4cplus::ConsoleAppender(false, true);
    else
        appender = new log4cplus::FileAppender(target.path, std::ios_base::app);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    log4cplus::Logger::getRoot().addAppender(appender);
}

/// Lines that standard output had no room for since the last one that was written.
thread_local auto droppedLines = std::uint64_t { 0 };

/// A pipe is writable only if a whole line fits, so a reader that stands still never blocks the process.
auto canWriteToOutput() -> bool
{
    auto output = pollfd { STDOUT_FILENO, POLLOUT, 0 };
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

auto quoted(std::string_view value) -> std::string
{
    const auto plain = !value.empty() && std::ranges::all_of(value, [](unsigned char c) {
        return std::isgraph(c) != 0 && c != '"' && c != '=' && c != '\\';
    });
    if (plain)
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
    logTarget() = { path, level };
    log4cplus::Logger::getRoot().setLogLevel(nativeLevel(level));
    appendFileAppender();
}

auto reopenLog() -> void
{
    log4cplus::Logger::getRoot().removeAllAppenders();
    appendFileAppender();
}

LogEvent::LogEvent(LogLevel level, std::string_view event)
    : level(level)
    , line("event=" + quoted(event))
{
}

LogEvent::~LogEvent()
{
    if (this->level < logTarget().level)
        return;
    if (logTarget().path.empty() && !canWriteToOutput()) {
        ++droppedLines;
        return;
    }
    if (const auto dropped = std::exchange(droppedLines, 0); dropped > 0)
        this->with("dropped_lines", dropped);
    log4cplus::Logger::getRoot().log(nativeLevel(this->level), this->line);
}

auto LogEvent::with(std::string_view key, std::string_view value) -> LogEvent&
{
    this->line += " " + std::string { key } + "=" + quoted(value);
    return *this;
}

} // namespace citronloft

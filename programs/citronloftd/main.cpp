/// @file
/// @brief citronloftd, the daemon that runs on each entry host.

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <csignal>

#include "citronloft/base/log.hpp"
#include "citronloft/edge/coroutine.hpp"
#include "citronloft/edge/process_memory.hpp"
#include "host.hpp"

namespace {

namespace po = boost::program_options;

constexpr auto exitUsage = 2;

auto readFile(const std::string& path) -> std::optional<std::string>
{
    auto file = std::ifstream(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    auto text = std::ostringstream {};
    text << file.rdbuf();
    return std::move(text).str();
}

auto readSettings(const std::string& path) -> std::optional<citronloft::HostSettings>
{
    const auto text = readFile(path);
    if (!text) {
        std::cerr << "citronloftd: cannot read settings file " << path << "\n";
        return std::nullopt;
    }
    auto parsed = citronloft::readHostSettings(*text);
    for (const auto& fault : parsed.faults)
        std::cerr << citronloft::formatFault(path, fault) << "\n";
    return std::move(parsed.settings);
}

auto reload(citronloft::Host& host, const std::string& path) -> void
{
    if (const auto settings = readSettings(path))
        host.reload(*settings);
    else
        citronloft::LogEvent(citronloft::LogLevel::Error, "settings-refused").with("path", path);
}

/// Detects changes of the settings file by its modification time, so that no signal is needed.
class SettingsWatcher {
public:
    SettingsWatcher(boost::asio::io_context& context, std::string path, std::function<void()> onChange)
        : timer(context)
        , path(std::move(path))
        , onChange(std::move(onChange))
        , lastModifiedAt(this->modificationTime())
    {
        this->schedule();
    }

    /// @brief Marks the present contents of the file as read.
    auto markAsRead() -> void { this->lastModifiedAt = this->modificationTime(); }

private:
    /// Changed settings must be active within a few seconds.
    static constexpr auto interval = std::chrono::seconds { 1 };

    [[nodiscard]] auto modificationTime() const -> std::filesystem::file_time_type
    {
        auto error = std::error_code {};
        return std::filesystem::last_write_time(this->path, error);
    }

    auto schedule() -> void
    {
        this->timer.expires_after(interval);
        this->timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            this->schedule();
            if (this->modificationTime() != this->lastModifiedAt) {
                this->markAsRead();
                this->onChange();
            }
        });
    }

    boost::asio::steady_timer timer;
    std::string path;
    std::function<void()> onChange;
    std::filesystem::file_time_type lastModifiedAt;
};

auto run(const citronloft::HostSettings& settings, const std::string& path) -> int
{
    auto context = boost::asio::io_context { 1 };
    auto exitCode = 0;
    auto signals = boost::asio::signal_set(context, SIGTERM, SIGINT, SIGHUP);
    auto host = citronloft::Host(context, settings, [&](int code) {
        exitCode = code;
        context.stop();
    });
    if (const auto status = host.start(); !status.ok()) {
        std::cerr << "citronloftd: " << status.message() << "\n";
        return 1;
    }
    auto settingsWatcher = SettingsWatcher(context, path, [&] { reload(host, path); });
    std::function<void()> waitForSignal = [&] {
        signals.async_wait([&](boost::system::error_code error, int signal) {
            if (error)
                return;
            waitForSignal();
            if (signal == SIGHUP) {
                citronloft::reopenLog();
                settingsWatcher.markAsRead();
                reload(host, path);
            } else {
                host.stop();
            }
        });
    };
    waitForSignal();
    citronloft::runEventLoop(context);
    return exitCode;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto options = po::options_description("citronloftd - entry host of the citronloft traffic steering system");
    options.add_options()("settings", po::value<std::string>(), "YAML file with the settings of this host")(
        "check", "check the settings file and exit")("version", "print the version")("help", "print this help");
    auto values = po::variables_map {};
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
    } catch (const po::error& error) {
        std::cerr << "citronloftd: " << error.what() << "\n";
        return exitUsage;
    }
    if (values.contains("help")) {
        std::cout
            << options
            << "\nSIGTERM starts a planned stop, a second one expedites it; SIGHUP reopens the log\nand reloads the "
               "settings.\n";
        return 0;
    }
    if (values.contains("version")) {
        std::cout << "citronloftd 0.1.0\n";
        return 0;
    }
    if (!values.contains("settings")) {
        std::cerr << "citronloftd: missing required option --settings; see --help\n";
        return exitUsage;
    }
    const auto settings = readSettings(values["settings"].as<std::string>());
    if (!settings)
        return exitUsage;
    if (values.contains("check"))
        return 0;
    citronloft::returnLargeBlocksWhenFreed();
    citronloft::openLog(settings->logPath, settings->logLevel);
    std::signal(SIGPIPE, SIG_IGN);
    const auto exitCode = run(*settings, values["settings"].as<std::string>());
    citronloft::LogEvent(citronloft::LogLevel::Info, "host-exits").with("code", exitCode);
    std::cout.flush();
    // Skips static destructors: no state is left to be saved, and the logging library's threads would delay the exit.
    std::_Exit(exitCode);
}

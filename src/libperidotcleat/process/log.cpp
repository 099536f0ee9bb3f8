#include "peridotcleat/log.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <string>

#include "peridotcleat/log_rate_limiter.h"

namespace peridotcleat {

namespace {

std::string& node_name()
{
    static std::string name = "-";
    return name;
}

// Set once by `start_logging`, before any other thread runs.
log_level& lowest_level()
{
    static log_level level = log_level::warning;
    return level;
}

// Limits the log lines that a high rate of packets can cause: writing one line takes about 10 us of processor
// time, so this limit amounts to 0.2 % of a core for each event.
constexpr std::int64_t lines_per_second = 200;
// A pipe that `poll` reports as writable takes at least this many bytes without blocking (POSIX PIPE_BUF on
// Linux).
constexpr std::size_t max_line_bytes = 4096;

log_rate_limiter& rate_limiter()
{
    static log_rate_limiter instance(lines_per_second);
    return instance;
}

std::atomic<std::uint64_t>& lost_lines()
{
    static std::atomic<std::uint64_t> lost{0};
    return lost;
}

// Writes to standard output without ever waiting for its reader: a line that does not fit is lost and
// counted.
class output_writer : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) override
    {
        std::string line = data->logMessage()->logger()->logBuilder()->build(data->logMessage(), true);
        if (line.size() > max_line_bytes) {
            line.resize(max_line_bytes);
            line.back() = '\n';
        }
        pollfd out{STDOUT_FILENO, POLLOUT, 0};
        const bool writable = ::poll(&out, 1, 0) == 1 && (out.revents & (POLLERR | POLLNVAL)) == 0;
        if (!writable ||
            ::write(STDOUT_FILENO, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
            ++lost_lines();
        }
    }
};

void write_line(log_level level, std::string_view event, std::initializer_list<log_field> fields);

// Logs how many lines of each event were left out in past seconds. The event `lines_left_out` has the same
// limit as any other.
void report_left_out(std::chrono::steady_clock::time_point now)
{
    for (const left_out_lines& l : rate_limiter().take_left_out(now)) {
        if (rate_limiter().admit("lines_left_out", now)) {
            write_line(log_level::warning, "lines_left_out", {{"of", l.event}, {"lines", l.lines}});
        }
    }
}

std::string quoted(const std::string& value)
{
    const bool needs_no_quotes = !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
    if (needs_no_quotes) {
        return value;
    }
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c == '\n' || c == '\r' ? ' ' : c;
    }
    return text + '"';
}

void write_line(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line = "event=" + std::string(event) + " node=" + quoted(node_name());
    for (const log_field& f : fields) {
        line += ' ';
        line += f.key;
        line += '=';
        line += quoted(f.value);
    }
    switch (level) {
    case log_level::debug: LOG(DEBUG) << line; break;
    case log_level::info: LOG(INFO) << line; break;
    case log_level::warning: LOG(WARNING) << line; break;
    case log_level::error: LOG(ERROR) << line; break;
    }
}

}  // namespace

void start_logging(std::string_view node, log_level lowest)
{
    node_name() = std::string(node);
    lowest_level() = lowest;
    el::Configurations config;
    config.setToDefault();
    config.setGlobally(el::ConfigurationType::ToFile, "false");
    config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    config.setGlobally(el::ConfigurationType::Format,
                       "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    el::Loggers::reconfigureAllLoggers(config);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<output_writer>("output_writer");
    // Otherwise a write to standard output would end the process once its reader has exited.
    (void)std::signal(SIGPIPE, SIG_IGN);
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < lowest_level()) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    report_left_out(now);
    if (rate_limiter().admit(event, now)) {
        write_line(level, event, fields);
    }
}

std::uint64_t log_lines_left_out() { return rate_limiter().left_out(); }

std::uint64_t log_lines_lost() { return lost_lines(); }

}  // namespace peridotcleat

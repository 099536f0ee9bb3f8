#include "peridotcleat/log.h"

#include <easylogging++.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>

namespace peridotcleat {

namespace {

std::string& node_name()
{
    static std::string name = "-";
    return name;
}

// Set once at start, before any other thread runs.
log_level& lowest_level()
{
    static log_level level = log_level::warning;
    return level;
}

// Lines below a warning that are written in a second; more are left out and counted, so that a flood of
// packets does not turn into a flood of lines.
constexpr std::int64_t lines_per_second = 500;

// Counts lines in seconds of the steady clock. Thread-safe; the count may be a few lines off between threads.
class line_limit {
public:
    /// Returns true if a line may be written; `left_out` is set to the lines that the last second left out.
    bool admit(std::int64_t& left_out)
    {
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
        left_out = 0;
        if (second_.exchange(second) != second) {
            left_out = std::max<std::int64_t>(lines_.exchange(0) - lines_per_second, 0);
        }
        return ++lines_ <= lines_per_second;
    }

private:
    std::atomic<std::int64_t> second_{0};
    std::atomic<std::int64_t> lines_{0};
};

line_limit& limit()
{
    static line_limit instance;
    return instance;
}

std::string quoted(const std::string& value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
    if (plain) {
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
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < lowest_level()) {
        return;
    }
    if (level < log_level::warning) {
        std::int64_t left_out = 0;
        const bool admitted = limit().admit(left_out);
        if (left_out > 0) {
            LOG(WARNING) << "event=lines_left_out node=" << quoted(node_name()) << " lines=" << left_out;
        }
        if (!admitted) {
            return;
        }
    }
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

}  // namespace peridotcleat

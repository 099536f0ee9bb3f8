#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace peridotcleat {

/// Levels of log lines, in order of severity.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// One key and value of a log line.
struct log_field {
    std::string_view key;
    std::string value;

    /// Creates a field from text.
    log_field(std::string_view k, std::string v) : key(k), value(std::move(v)) {}
    /// Creates a field from text.
    log_field(std::string_view k, const char* v) : key(k), value(v) {}
    /// Creates a field from text.
    log_field(std::string_view k, std::string_view v) : key(k), value(v) {}
    /// Creates a field from an integer.
    log_field(std::string_view k, std::int64_t v) : key(k), value(std::to_string(v)) {}
};

/// Sets up logging of the process to standard output. Lines below the level `lowest` are not written, and
/// `node` is added to each line. Logging never blocks: a line that standard output cannot take at once is
/// lost.
void start_logging(std::string_view node, log_level lowest);

/// Writes one line `time level event=<event> node=<node> key=value ...`. Writes at most 200 lines per second
/// of each event; the number of lines left out is reported in a line of the event `lines_left_out`.
/// Thread-safe.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// Returns the number of lines that the limit has left out since the process started.
std::uint64_t log_lines_left_out();
/// Returns the number of lines that were lost since the process started because standard output did not take
/// them.
std::uint64_t log_lines_lost();

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace peridotcleat {

/// Lines of one event that were not written.
struct left_out_lines {
    std::string event;
    std::int64_t lines = 0;
};

/// Limits how many log lines of each event are written in a second. Thread-safe.
class log_rate_limiter {
public:
    explicit log_rate_limiter(std::int64_t lines_per_second) : lines_per_second_(lines_per_second) {}

    /// Returns true if a line of `event` may be written at `now`.
    bool admit(std::string_view event, std::chrono::steady_clock::time_point now);
    /// Returns the lines that were left out in the seconds before that of `now`. Each one is returned once.
    std::vector<left_out_lines> take_left_out(std::chrono::steady_clock::time_point now);
    /// Returns the number of lines left out since this object was created.
    [[nodiscard]] std::uint64_t left_out() const;

private:
    // Numbers of lines of one event in the current second.
    struct line_counts {
        std::int64_t written = 0;
        std::int64_t left_out = 0;
    };

    // Resets the counts if `now` is in another second than the last call, and moves the lines left out to
    // `finished_`.
    void begin_second(std::chrono::steady_clock::time_point now);

    // Guards all members below. No other lock is taken while it is held.
    mutable std::mutex mutex_;
    std::int64_t lines_per_second_;
    std::chrono::seconds current_second_{-1};
    std::map<std::string, line_counts, std::less<>> counts_;
    // Lines left out in past seconds that `take_left_out` has not returned yet.
    std::vector<left_out_lines> finished_;
    std::uint64_t left_out_ = 0;
};

}  // namespace peridotcleat

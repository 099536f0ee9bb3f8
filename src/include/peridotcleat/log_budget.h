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
class log_budget {
public:
    explicit log_budget(std::int64_t lines_per_second) : limit_(lines_per_second) {}

    /// Returns true if a line of `event` may be written at `now`.
    bool admit(std::string_view event, std::chrono::steady_clock::time_point now);
    /// Returns the lines that were left out in the seconds before that of `now`, once each.
    std::vector<left_out_lines> take_left_out(std::chrono::steady_clock::time_point now);
    /// Lines left out since the start.
    [[nodiscard]] std::uint64_t left_out() const;

private:
    // Lines of one event in the present second.
    struct used {
        std::int64_t written = 0;
        std::int64_t left_out = 0;
    };

    void turn_second(std::chrono::steady_clock::time_point now);

    // Guards all below; no other lock is taken while it is held.
    mutable std::mutex mutex_;
    std::int64_t limit_;
    std::chrono::seconds second_{-1};
    std::map<std::string, used, std::less<>> events_;
    std::vector<left_out_lines> reported_;
    std::uint64_t left_out_ = 0;
};

}  // namespace peridotcleat

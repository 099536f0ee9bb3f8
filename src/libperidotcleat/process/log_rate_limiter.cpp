#include "peridotcleat/log_rate_limiter.h"

#include <utility>

namespace peridotcleat {

bool log_rate_limiter::admit(std::string_view event, std::chrono::steady_clock::time_point now)
{
    const std::scoped_lock lock(mutex_);
    begin_second(now);
    auto it = counts_.find(event);
    if (it == counts_.end()) {
        it = counts_.emplace(std::string(event), line_counts{}).first;
    }
    if (it->second.written < lines_per_second_) {
        ++it->second.written;
        return true;
    }
    ++it->second.left_out;
    ++left_out_;
    return false;
}

std::vector<left_out_lines> log_rate_limiter::take_left_out(std::chrono::steady_clock::time_point now)
{
    const std::scoped_lock lock(mutex_);
    begin_second(now);
    return std::exchange(finished_, {});
}

std::uint64_t log_rate_limiter::left_out() const
{
    const std::scoped_lock lock(mutex_);
    return left_out_;
}

void log_rate_limiter::begin_second(std::chrono::steady_clock::time_point now)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
    if (second == current_second_) {
        return;
    }
    current_second_ = second;
    for (auto& [event, lines] : counts_) {
        if (lines.left_out > 0) {
            finished_.push_back({event, lines.left_out});
        }
        lines = {};
    }
}

}  // namespace peridotcleat

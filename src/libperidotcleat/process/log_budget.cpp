#include "peridotcleat/log_budget.h"

#include <utility>

namespace peridotcleat {

bool log_budget::admit(std::string_view event, std::chrono::steady_clock::time_point now)
{
    const std::scoped_lock lock(mutex_);
    turn_second(now);
    auto it = events_.find(event);
    if (it == events_.end()) {
        it = events_.emplace(std::string(event), used{}).first;
    }
    if (it->second.written < limit_) {
        ++it->second.written;
        return true;
    }
    ++it->second.left_out;
    ++left_out_;
    return false;
}

std::vector<left_out_lines> log_budget::take_left_out(std::chrono::steady_clock::time_point now)
{
    const std::scoped_lock lock(mutex_);
    turn_second(now);
    return std::exchange(reported_, {});
}

std::uint64_t log_budget::left_out() const
{
    const std::scoped_lock lock(mutex_);
    return left_out_;
}

void log_budget::turn_second(std::chrono::steady_clock::time_point now)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
    if (second == second_) {
        return;
    }
    second_ = second;
    for (auto& [event, lines] : events_) {
        if (lines.left_out > 0) {
            reported_.push_back({event, lines.left_out});
        }
        lines = {};
    }
}

}  // namespace peridotcleat

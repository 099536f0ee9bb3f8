#include "peridotcleat/retry_budget.h"

#include <algorithm>

namespace peridotcleat {

namespace {

// 200 requests earn 9/10 of their share; a full bucket adds the remaining tenth.
constexpr std::uint32_t earned_per_percent = 9;
constexpr std::uint32_t held_per_percent = 200;

}  // namespace

retry_budget::retry_budget(std::uint32_t percent) noexcept
    : earned_(percent * earned_per_percent), limit_(std::max(percent * held_per_percent, one_retry))
{
}

result<retry_budget> retry_budget::create(std::uint32_t percent)
{
    if (percent > max_percent) {
        return error{error_code::invalid_setting,
                     "retry_percent " + std::to_string(percent) + " is not in 0 to 1000"};
    }
    return retry_budget(percent);
}

void retry_budget::on_new_request() noexcept { thousandths_ = std::min(thousandths_ + earned_, limit_); }

bool retry_budget::try_take() noexcept
{
    // A budget of 0 percent permits no retry at all, the start included.
    if (earned_ == 0 || thousandths_ < one_retry) {
        return false;
    }
    thousandths_ -= one_retry;
    return true;
}

}  // namespace peridotcleat

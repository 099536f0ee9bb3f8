#include "peridotcleat/retry_budget.h"

#include <algorithm>

namespace peridotcleat {

namespace {

// In thousandths of a retry. 200 requests add 9/10 of their permitted retries to the bucket; a bucket that
// was full before them holds the remaining 1/10.
constexpr std::uint32_t thousandths_per_percent = 9;
constexpr std::uint32_t capacity_per_percent = 200;

}  // namespace

retry_budget::retry_budget(std::uint32_t percent) noexcept
    : thousandths_per_request_(percent * thousandths_per_percent),
      max_thousandths_(std::max(percent * capacity_per_percent, thousandths_per_retry))
{
}

result<retry_budget> retry_budget::create(std::uint32_t percent)
{
    if (percent > max_percent) {
        return error{error_code::invalid_setting,
                     "retry_percent is " + std::to_string(percent) + " but must be at most 1000"};
    }
    return retry_budget(percent);
}

void retry_budget::on_new_request() noexcept
{
    thousandths_ = std::min(thousandths_ + thousandths_per_request_, max_thousandths_);
}

bool retry_budget::try_take() noexcept
{
    // A budget of 0 percent permits no retry at all, not even from the initial amount.
    if (thousandths_per_request_ == 0 || thousandths_ < thousandths_per_retry) {
        return false;
    }
    thousandths_ -= thousandths_per_retry;
    return true;
}

}  // namespace peridotcleat

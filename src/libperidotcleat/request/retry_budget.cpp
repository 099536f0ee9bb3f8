#include "peridotcleat/retry_budget.h"

#include <algorithm>

namespace peridotcleat {

result<retry_budget> retry_budget::create(std::uint32_t percent)
{
    if (percent > max_percent) {
        return error{error_code::invalid_setting,
                     "retry_percent " + std::to_string(percent) + " is not in 0 to 1000"};
    }
    return retry_budget(percent);
}

void retry_budget::on_new_request() noexcept { hundredths_ = std::min(hundredths_ + percent_, limit); }

bool retry_budget::try_take() noexcept
{
    // A budget of 0 percent permits no retry at all, the start included.
    if (percent_ == 0 || hundredths_ < one_retry) {
        return false;
    }
    hundredths_ -= one_retry;
    return true;
}

}  // namespace peridotcleat

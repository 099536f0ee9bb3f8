#pragma once

#include <cstdint>

#include "peridotcleat/result.h"

namespace peridotcleat {

/// Limits retries to a percentage of the new requests. Not thread-safe.
///
/// This is a token bucket. Each new request adds 0.9 * `percent` / 100 of a retry. The capacity is at
/// least one retry; above that it is limited so that the retries of any 200 or more consecutive requests stay
/// within `percent`, even if the bucket was full before these requests. The bucket starts with half a retry,
/// so that many callers that have sent only a few requests each cannot together double the load.
class retry_budget {
public:
    /// Fails with `invalid_setting` if `percent` is above 1000.
    static result<retry_budget> create(std::uint32_t percent);

    /// Counts one new request.
    void on_new_request() noexcept;
    /// Takes one retry from the budget. Returns false and takes nothing if less than one retry is left, or if
    /// the budget was created with 0 percent.
    [[nodiscard]] bool try_take() noexcept;
    /// Returns the remaining budget in thousandths of a retry.
    [[nodiscard]] std::uint32_t thousandths_left() const noexcept { return thousandths_; }

private:
    static constexpr std::uint32_t thousandths_per_retry = 1000;
    static constexpr std::uint32_t initial_thousandths = thousandths_per_retry / 2;
    static constexpr std::uint32_t max_percent = 1000;

    explicit retry_budget(std::uint32_t percent) noexcept;

    std::uint32_t thousandths_per_request_;
    std::uint32_t max_thousandths_;
    std::uint32_t thousandths_ = initial_thousandths;
};

}  // namespace peridotcleat

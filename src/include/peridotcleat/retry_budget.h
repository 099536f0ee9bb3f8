#pragma once

#include <cstdint>

#include "peridotcleat/result.h"

namespace peridotcleat {

/// Limits retries to a share of new requests. Not thread-safe.
///
/// A token bucket: each new request earns nine tenths of `percent`, and the bucket holds at most what keeps
/// the retries of any 200 or more consecutive requests within `percent`, even if it was full before them (but
/// at least one retry). It starts with half a retry, so that many callers that have sent a few requests each
/// cannot double the load together.
class retry_budget {
public:
    /// Fails with `invalid_setting` if `percent` is above 1000.
    static result<retry_budget> create(std::uint32_t percent);

    /// Counts one new request.
    void on_new_request() noexcept;
    /// Takes one retry from the budget. Returns false and takes nothing if less than one is left.
    [[nodiscard]] bool try_take() noexcept;
    /// Returns the thousandths of a retry that are left.
    [[nodiscard]] std::uint32_t thousandths_left() const noexcept { return thousandths_; }

private:
    static constexpr std::uint32_t one_retry = 1000;
    static constexpr std::uint32_t start = one_retry / 2;
    static constexpr std::uint32_t max_percent = 1000;

    explicit retry_budget(std::uint32_t percent) noexcept;

    std::uint32_t earned_;
    std::uint32_t limit_;
    std::uint32_t thousandths_ = start;
};

}  // namespace peridotcleat

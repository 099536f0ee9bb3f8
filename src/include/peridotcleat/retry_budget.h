#pragma once

#include <cstdint>

#include "peridotcleat/result.h"

namespace peridotcleat {

/// Limits retries to a share of new requests. Not thread-safe.
///
/// Each new request earns `percent` hundredths of a retry. The bucket starts with half a retry, so that many
/// callers that have sent a few requests each cannot double the load together, and holds at most ten.
class retry_budget {
public:
    /// Fails with `invalid_setting` if `percent` is above 1000.
    static result<retry_budget> create(std::uint32_t percent);

    /// Counts one new request.
    void on_new_request() noexcept;
    /// Takes one retry from the budget. Returns false and takes nothing if less than one is left.
    [[nodiscard]] bool try_take() noexcept;
    /// Returns the hundredths of a retry that are left.
    [[nodiscard]] std::uint32_t hundredths_left() const noexcept { return hundredths_; }

private:
    static constexpr std::uint32_t one_retry = 100;
    static constexpr std::uint32_t max_percent = 1000;
    static constexpr std::uint32_t start = one_retry / 2;
    static constexpr std::uint32_t limit = 10 * one_retry;

    explicit retry_budget(std::uint32_t percent) noexcept : percent_(percent) {}

    std::uint32_t percent_;
    std::uint32_t hundredths_ = start;
};

}  // namespace peridotcleat

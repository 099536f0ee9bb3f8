#include "peridotcleat/admission.h"

#include <cmath>

namespace peridotcleat {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Weight of the newest sample in the moving average.
constexpr double sample_weight = 0.125;
// Without new samples the mean halves in this time, so that a request is admitted again after a slow phase.
constexpr double half_life_us = 2'000'000;

// Number of refusals by the upstream, without a success in between, after which no request is sent for a
// back-off time. Cancelled requests and unknown outcomes in between neither count nor reset the number.
constexpr std::uint32_t refusals_until_backoff = 3;
constexpr milliseconds first_backoff{50};
constexpr milliseconds max_backoff{1000};
// The learned limit is multiplied by this factor after each refusal.
constexpr double refusal_factor = 0.7;

}  // namespace

std::size_t weighted_shares::next(std::span<const service_usage> usage) const noexcept
{
    std::size_t best = usage.size();
    for (std::size_t i = 0; i < usage.size(); ++i) {
        if (usage[i].waiting == 0) {
            continue;
        }
        // Compares running / weight without a division. If the quotients are equal, the request that has
        // waited longest goes first.
        const auto candidate_load =
            best == usage.size() ? 0 : std::uint64_t{usage[i].running} * usage[best].weight;
        const auto best_load =
            best == usage.size() ? 0 : std::uint64_t{usage[best].running} * usage[i].weight;
        if (best == usage.size() || candidate_load < best_load ||
            (candidate_load == best_load && usage[i].oldest_arrival < usage[best].oldest_arrival)) {
            best = i;
        }
    }
    return best == usage.size() ? 0 : best;
}

std::size_t weighted_shares::queue_limit(std::span<const service_usage> usage, std::size_t index,
                                         std::size_t total) const noexcept
{
    std::uint64_t total_weight = 0;
    for (const service_usage& u : usage) {
        total_weight += u.weight;
    }
    return total == 0 ? 0 : std::max<std::size_t>(total * usage[index].weight / total_weight, 1);
}

std::size_t arrival_order::next(std::span<const service_usage> usage) const noexcept
{
    std::size_t best = usage.size();
    for (std::size_t i = 0; i < usage.size(); ++i) {
        if (usage[i].waiting > 0 &&
            (best == usage.size() || usage[i].oldest_arrival < usage[best].oldest_arrival)) {
            best = i;
        }
    }
    return best == usage.size() ? 0 : best;
}

std::size_t arrival_order::queue_limit(std::span<const service_usage> /*usage*/, std::size_t /*index*/,
                                       std::size_t total) const noexcept
{
    return total;
}

void mean_service_time::record(time_point now, microseconds elapsed) noexcept
{
    const auto us = static_cast<double>(elapsed.count());
    mean_us_ = mean_us_ == 0 ? us : mean_us_ + sample_weight * (us - mean_us_);
    last_sample_ = now;
}

microseconds mean_service_time::mean(time_point now) const noexcept
{
    const double idle_us = static_cast<double>((now - last_sample_).count());
    // The decay starts only after one half-life, because a busy upstream with long requests yields few
    // samples.
    const double halvings = std::max(idle_us / half_life_us - 1.0, 0.0);
    return microseconds(static_cast<std::int64_t>(mean_us_ * std::exp2(-halvings)));
}

upstream_limit::upstream_limit(std::uint32_t slots, milliseconds ramp) noexcept
    : max_slots_(slots), ramp_(ramp), learned_slots_(slots)
{
}

void upstream_limit::begin_ramp(time_point now) noexcept
{
    ramp_start_ = now;
    learned_slots_ = max_slots_;
    consecutive_refusals_ = 0;
    backoff_ = milliseconds(0);
    backoff_until_ = now;
}

void upstream_limit::on_result(time_point now, error_code code) noexcept
{
    if (code == error_code::ok || code == error_code::upstream_failed) {
        consecutive_refusals_ = 0;
        backoff_ = milliseconds(0);
        learned_slots_ = std::min(max_slots_, learned_slots_ + 1.0 / learned_slots_);
        return;
    }
    // A cancelled request or one without an answer says nothing about free slots at the upstream.
    if (code != error_code::shed_by_upstream && code != error_code::upstream_unreachable) {
        return;
    }
    last_refusal_ = code;
    learned_slots_ = std::max(1.0, learned_slots_ * refusal_factor);
    if (++consecutive_refusals_ >= refusals_until_backoff) {
        learned_slots_ = 1.0;
        backoff_ = std::min(std::max(backoff_ * 2, first_backoff), max_backoff);
        backoff_until_ = now + backoff_;
    }
}

double upstream_limit::ramp_slots(time_point now) const noexcept
{
    if (ramp_.count() == 0 || now - ramp_start_ >= ramp_) {
        return max_slots_;
    }
    const double ramp_fraction =
        static_cast<double>((now - ramp_start_).count()) / static_cast<double>(ramp_.count());
    return 1.0 + (max_slots_ - 1.0) * ramp_fraction;
}

std::uint32_t upstream_limit::slots(time_point now) const noexcept
{
    if (now < backoff_until_) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::min(learned_slots_, ramp_slots(now)));
}

error_code upstream_limit::reason(time_point now) const noexcept
{
    if (now < backoff_until_ || (learned_slots_ < max_slots_ && learned_slots_ <= ramp_slots(now))) {
        return last_refusal_;
    }
    return ramp_slots(now) < max_slots_ ? error_code::ramping_up : error_code::ok;
}

}  // namespace peridotcleat

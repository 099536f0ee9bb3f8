#include "peridotcleat/admission.h"

#include <cmath>

namespace peridotcleat {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Share of the newest sample in the mean.
constexpr double sample_weight = 0.125;
// Without samples the mean halves in this time, so that a request is tried again after a slow phase.
constexpr double half_life_us = 2'000'000;

// Refusals of the upstream in a row, without a success, until no request is sent for a while.
constexpr std::uint32_t refusals_until_hold = 3;
constexpr milliseconds first_hold{50};
constexpr milliseconds longest_hold{1000};
constexpr double shed_factor = 0.7;

}  // namespace

std::size_t weighted_shares::next(std::span<const share_use> use) const noexcept
{
    std::size_t best = use.size();
    for (std::size_t i = 0; i < use.size(); ++i) {
        if (use[i].waiting == 0) {
            continue;
        }
        // running / weight, compared without division; among equals the longest waiting request is first.
        const auto mine = best == use.size() ? 0 : std::uint64_t{use[i].running} * use[best].weight;
        const auto its = best == use.size() ? 0 : std::uint64_t{use[best].running} * use[i].weight;
        if (best == use.size() || mine < its || (mine == its && use[i].oldest < use[best].oldest)) {
            best = i;
        }
    }
    return best == use.size() ? 0 : best;
}

std::size_t weighted_shares::queue_places(std::span<const share_use> use, std::size_t index,
                                          std::size_t total) const noexcept
{
    std::uint64_t weights = 0;
    for (const share_use& u : use) {
        weights += u.weight;
    }
    return total == 0 ? 0 : std::max<std::size_t>(total * use[index].weight / weights, 1);
}

std::size_t arrival_order::next(std::span<const share_use> use) const noexcept
{
    std::size_t best = use.size();
    for (std::size_t i = 0; i < use.size(); ++i) {
        if (use[i].waiting > 0 && (best == use.size() || use[i].oldest < use[best].oldest)) {
            best = i;
        }
    }
    return best == use.size() ? 0 : best;
}

std::size_t arrival_order::queue_places(std::span<const share_use> /*use*/, std::size_t /*index*/,
                                        std::size_t total) const noexcept
{
    return total;
}

void service_time::record(time_point now, microseconds took) noexcept
{
    const auto us = static_cast<double>(took.count());
    mean_us_ = mean_us_ == 0 ? us : mean_us_ + sample_weight * (us - mean_us_);
    last_ = now;
}

microseconds service_time::mean(time_point now) const noexcept
{
    const double idle_us = static_cast<double>((now - last_).count());
    // The first half-life counts in full: a busy upstream with long requests gives few samples.
    const double halvings = std::max(idle_us / half_life_us - 1.0, 0.0);
    return microseconds(static_cast<std::int64_t>(mean_us_ * std::exp2(-halvings)));
}

upstream_limit::upstream_limit(std::uint32_t slots, milliseconds ramp) noexcept
    : all_(slots), ramp_(ramp), learnt_(slots)
{
}

void upstream_limit::begin_ramp(time_point now) noexcept
{
    ramp_start_ = now;
    learnt_ = all_;
    refused_in_a_row_ = 0;
    hold_ = milliseconds(0);
    held_until_ = now;
}

void upstream_limit::on_result(time_point now, error_code code) noexcept
{
    if (code == error_code::ok || code == error_code::upstream_failed) {
        refused_in_a_row_ = 0;
        hold_ = milliseconds(0);
        learnt_ = std::min(all_, learnt_ + 1.0 / learnt_);
        return;
    }
    // A cancelled request and one without an answer tell nothing about the slots.
    if (code != error_code::shed_by_upstream && code != error_code::upstream_unreachable) {
        return;
    }
    last_refusal_ = code;
    learnt_ = std::max(1.0, learnt_ * shed_factor);
    if (++refused_in_a_row_ >= refusals_until_hold) {
        learnt_ = 1.0;
        hold_ = std::min(std::max(hold_ * 2, first_hold), longest_hold);
        held_until_ = now + hold_;
    }
}

double upstream_limit::ramp_slots(time_point now) const noexcept
{
    if (ramp_.count() == 0 || now - ramp_start_ >= ramp_) {
        return all_;
    }
    const double part = static_cast<double>((now - ramp_start_).count()) / static_cast<double>(ramp_.count());
    return 1.0 + (all_ - 1.0) * part;
}

std::uint32_t upstream_limit::slots(time_point now) const noexcept
{
    if (now < held_until_) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::min(learnt_, ramp_slots(now)));
}

error_code upstream_limit::reason(time_point now) const noexcept
{
    if (now < held_until_ || (learnt_ < all_ && learnt_ <= ramp_slots(now))) {
        return last_refusal_;
    }
    return ramp_slots(now) < all_ ? error_code::ramping_up : error_code::ok;
}

}  // namespace peridotcleat

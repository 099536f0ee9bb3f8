#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "peridotcleat/outbox.h"
#include "peridotcleat/types.h"

namespace peridotcleat {

/// Limits of the slots that one VM shares between its services.
struct admission_settings {
    std::uint32_t slots = 1;
    std::uint32_t queue_per_slot = 4;
    /// Time from the first to all slots after a cold start; 0 admits all at once.
    std::chrono::milliseconds ramp{10000};
};

/// What one service uses of the shared slots.
struct share_use {
    service_id service;
    std::uint32_t weight = 1;
    std::uint32_t running = 0;
    std::size_t waiting = 0;
    /// Arrival number of the longest waiting request.
    std::uint64_t oldest = 0;
};

/// Divides slots and queue places between the services of one VM.
template <class P>
concept share_policy = requires(const P& policy, std::span<const share_use> use, std::size_t n)
{
    /// Index of the service whose longest waiting request gets the next slot; at least one waits.
    {
        policy.next(use)
        } -> std::convertible_to<std::size_t>;
    /// Number of queue places out of `n` that the service with index `n` may take.
    {
        policy.queue_places(use, n, n)
        } -> std::convertible_to<std::size_t>;
};

/// Gives the next slot to the service that uses the least in proportion to its weight, and reserves queue
/// places by weight, so that the backlog of one service never locks out another.
struct weighted_shares {
    [[nodiscard]] std::size_t next(std::span<const share_use> use) const noexcept;
    [[nodiscard]] std::size_t queue_places(std::span<const share_use> use, std::size_t index,
                                           std::size_t total) const noexcept;
};

/// Serves requests in order of arrival, whatever their service.
struct arrival_order {
    [[nodiscard]] std::size_t next(std::span<const share_use> use) const noexcept;
    [[nodiscard]] std::size_t queue_places(std::span<const share_use> use, std::size_t index,
                                           std::size_t total) const noexcept;
};

static_assert(share_policy<weighted_shares> && share_policy<arrival_order>);

/// Mean service time of recent requests. Without new samples it decays, so that a former slow phase does not
/// refuse requests for ever.
class service_time {
public:
    void record(time_point now, std::chrono::microseconds took) noexcept;
    /// Returns the mean, 0 before the first sample.
    [[nodiscard]] std::chrono::microseconds mean(time_point now) const noexcept;

private:
    double mean_us_ = 0;
    time_point last_;
};

/// Number of requests that the upstream may have at a time, learnt only from what became of requests. The
/// upstream's health and load reports are not used, because they lag or are wrong.
class upstream_limit {
public:
    upstream_limit(std::uint32_t slots, std::chrono::milliseconds ramp) noexcept;

    /// Starts again with one slot; `now` is the start of the ramp.
    void begin_ramp(time_point now) noexcept;
    void on_result(time_point now, error_code code) noexcept;
    /// Returns the slots that may be in use at `now`, 0 while requests are held back after repeated refusals.
    [[nodiscard]] std::uint32_t slots(time_point now) const noexcept;
    /// Returns why fewer than all slots may be in use: `ramping_up`, `shed_by_upstream`,
    /// `upstream_unreachable`, or `ok` if all may.
    [[nodiscard]] error_code reason(time_point now) const noexcept;

private:
    [[nodiscard]] double ramp_slots(time_point now) const noexcept;

    double all_;
    std::chrono::microseconds ramp_;
    time_point ramp_start_;
    double learnt_;
    std::uint32_t refused_in_a_row_ = 0;
    std::chrono::milliseconds hold_{0};
    time_point held_until_;
    error_code last_refusal_ = error_code::ok;
};

/// Decision about a new request.
enum class admission_verdict : std::uint8_t { start, wait, refuse };

/// Decision and, for a refusal, its reason.
struct admission_answer {
    admission_verdict verdict = admission_verdict::refuse;
    error_code reason = error_code::ok;
};

/// Admits requests to the slots of one VM: slots in use, bounded queue, deadlines, slow start, fair shares.
/// Not thread-safe.
template <share_policy Policy = weighted_shares>
class basic_admission {
public:
    /// Fails with `invalid_setting` if `slots` is 0.
    static result<basic_admission> create(const admission_settings& settings, Policy policy = {})
    {
        if (settings.slots == 0) {
            return error{error_code::invalid_setting, "slots 0 is not at least 1"};
        }
        if (settings.ramp.count() < 0) {
            return error{error_code::invalid_setting,
                         "ramp " + std::to_string(settings.ramp.count()) + " ms is not at least 0"};
        }
        return basic_admission(settings, policy);
    }

    /// Adds a service, or changes its weight. A service that is not added has weight 1.
    void set_weight(service_id service, std::uint32_t weight)
    {
        share(service).use.weight = std::max(weight, 1U);
    }
    /// The upstream is cold: admits one slot at first, and all after the ramp.
    void begin_ramp(time_point now) noexcept { limit_.begin_ramp(now); }

    /// Decides about a new request. `start` takes a slot, `wait` a place in the queue. The reason of a
    /// refusal is `deadline_exceeded`, `queue_full`, `no_slot` (no queue), `ramping_up`, `shed_by_upstream`
    /// or `upstream_unreachable`.
    admission_answer offer(time_point now, service_id service, const request_name& name,
                           std::chrono::microseconds remaining)
    {
        const std::uint32_t allowed = limit_.slots(now);
        if (allowed == 0) {
            return {admission_verdict::refuse, limit_.reason(now)};
        }
        if (expected(now, allowed) > remaining) {
            return {admission_verdict::refuse, error_code::deadline_exceeded};
        }
        const std::size_t index = index_of(service);
        service_share& s = shares_[index];
        if (running_ < allowed && waiting_ == 0) {
            take_slot(s);
            return {admission_verdict::start, error_code::ok};
        }
        refresh();
        if (waiting_ >= queue_places_ ||
            s.queue.size() >= policy_.queue_places(uses_, index, queue_places_)) {
            return {admission_verdict::refuse, full_reason(now)};
        }
        s.queue.push_back({name, now + remaining, next_arrival_++});
        ++waiting_;
        return {admission_verdict::wait, error_code::ok};
    }

    /// Returns the next request of `service` that gets a slot, which is then taken, or none.
    std::optional<request_name> next(time_point now, service_id service)
    {
        if (waiting_ == 0 || running_ >= limit_.slots(now)) {
            return std::nullopt;
        }
        refresh();
        service_share& s = shares_[policy_.next(uses_)];
        if (s.use.service != service || s.queue.empty()) {
            return std::nullopt;
        }
        const request_name name = s.queue.front().name;
        s.queue.pop_front();
        --waiting_;
        take_slot(s);
        return name;
    }

    /// Removes the waiting requests of `service` whose deadline cannot be met any more.
    void expire(time_point now, service_id service, std::vector<request_name>& out)
    {
        const auto needed = time_.mean(now);
        service_share& s = share(service);
        for (auto it = s.queue.begin(); it != s.queue.end();) {
            if (now + needed > it->deadline) {
                out.push_back(it->name);
                it = s.queue.erase(it);
                --waiting_;
            } else {
                ++it;
            }
        }
    }

    /// Removes one waiting request. Returns false if it does not wait.
    bool withdraw(service_id service, const request_name& name)
    {
        service_share& s = share(service);
        const auto it = std::find_if(s.queue.begin(), s.queue.end(),
                                     [&](const queued_request& q) { return q.name == name; });
        if (it == s.queue.end()) {
            return false;
        }
        s.queue.erase(it);
        --waiting_;
        return true;
    }

    /// Removes and returns all waiting requests of `service`.
    std::vector<request_name> withdraw_all(service_id service)
    {
        service_share& s = share(service);
        std::vector<request_name> names;
        for (const queued_request& q : s.queue) {
            names.push_back(q.name);
        }
        waiting_ -= s.queue.size();
        s.queue.clear();
        return names;
    }

    /// Gives back the slot of a request that took `took` and ended with `code`.
    void release(time_point now, service_id service, error_code code, std::chrono::microseconds took)
    {
        service_share& s = share(service);
        s.use.running -= s.use.running > 0 ? 1 : 0;
        running_ -= running_ > 0 ? 1 : 0;
        limit_.on_result(now, code);
        if (code == error_code::ok || code == error_code::upstream_failed) {
            time_.record(now, took);
        }
    }

    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_; }
    /// Slots that may be in use at `now`.
    [[nodiscard]] std::uint32_t slots(time_point now) const noexcept { return limit_.slots(now); }

private:
    struct queued_request {
        request_name name;
        time_point deadline;
        std::uint64_t arrival = 0;
    };

    struct service_share {
        share_use use;
        std::deque<queued_request> queue;
    };

    basic_admission(const admission_settings& settings, Policy policy)
        : policy_(policy), limit_(settings.slots, settings.ramp),
          queue_places_(std::size_t{settings.slots} * settings.queue_per_slot)
    {
    }

    std::size_t index_of(service_id service)
    {
        for (std::size_t i = 0; i < shares_.size(); ++i) {
            if (shares_[i].use.service == service) {
                return i;
            }
        }
        shares_.push_back({{service, 1, 0, 0, 0}, {}});
        return shares_.size() - 1;
    }
    service_share& share(service_id service) { return shares_[index_of(service)]; }

    void take_slot(service_share& s)
    {
        ++s.use.running;
        ++running_;
    }

    // The policy sees plain figures, not queues.
    void refresh()
    {
        uses_.clear();
        for (service_share& s : shares_) {
            s.use.waiting = s.queue.size();
            s.use.oldest = s.queue.empty() ? 0 : s.queue.front().arrival;
            uses_.push_back(s.use);
        }
    }

    // Time until a request that arrives now is done: its turn in the queue, then its own service time.
    [[nodiscard]] std::chrono::microseconds expected(time_point now, std::uint32_t allowed) const
    {
        const auto one = time_.mean(now);
        if (running_ < allowed && waiting_ == 0) {
            return running_ == 0 ? std::chrono::microseconds(0) : one;
        }
        return one + one * static_cast<std::int64_t>(waiting_ + 1) / allowed;
    }

    [[nodiscard]] error_code full_reason(time_point now) const
    {
        const error_code limited = limit_.reason(now);
        if (limited != error_code::ok) {
            return limited;
        }
        return queue_places_ == 0 ? error_code::no_slot : error_code::queue_full;
    }

    Policy policy_;
    upstream_limit limit_;
    service_time time_;
    std::size_t queue_places_;
    std::vector<service_share> shares_;
    std::vector<share_use> uses_;
    std::uint32_t running_ = 0;
    std::size_t waiting_ = 0;
    std::uint64_t next_arrival_ = 1;
};

/// Admission with shares by weight.
using admission = basic_admission<>;

}  // namespace peridotcleat

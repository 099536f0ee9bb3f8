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

/// Settings of the request slots of one VM, which its services share.
struct admission_settings {
    /// Requests that may run at the same time; at least 1.
    std::uint32_t slots = 1;
    /// Requests that may wait in the queue, for each slot.
    std::uint32_t queue_per_slot = 4;
    /// Duration of the slow start after a cold start, in which the usable slots grow from one to all; 0 makes
    /// all slots usable at once.
    std::chrono::milliseconds ramp{10000};
};

/// Current use of the shared slots and queue by one service.
struct service_usage {
    service_id service;
    std::uint32_t weight = 1;
    std::uint32_t running = 0;
    std::size_t waiting = 0;
    /// Arrival number of the request that has waited longest; 0 if none waits.
    std::uint64_t oldest_arrival = 0;
};

/// Policy that divides the slots and the queue capacity of one VM between its services.
template <class P>
concept share_policy = requires(const P& policy, std::span<const service_usage> usage, std::size_t n)
{
    /// Returns the index of the service whose longest-waiting request gets the next slot. Called only while
    /// at least one request waits.
    {
        policy.next(usage)
        } -> std::convertible_to<std::size_t>;
    /// Returns how many waiting requests the service at the index in the second argument may have. The third
    /// argument is the capacity of the queue that all services share.
    {
        policy.queue_limit(usage, n, n)
        } -> std::convertible_to<std::size_t>;
};

/// Weighted fair sharing: gives the next slot to the service that uses the fewest slots in proportion to its
/// weight, and reserves queue capacity by weight, so that the backlog of one service never starves another.
struct weighted_shares {
    [[nodiscard]] std::size_t next(std::span<const service_usage> usage) const noexcept;
    [[nodiscard]] std::size_t queue_limit(std::span<const service_usage> usage, std::size_t index,
                                          std::size_t total) const noexcept;
};

/// First in, first out: serves requests in order of arrival, whatever their service.
struct arrival_order {
    [[nodiscard]] std::size_t next(std::span<const service_usage> usage) const noexcept;
    [[nodiscard]] std::size_t queue_limit(std::span<const service_usage> usage, std::size_t index,
                                          std::size_t total) const noexcept;
};

static_assert(share_policy<weighted_shares> && share_policy<arrival_order>);

/// Moving average of the service time of recent requests. Without new samples the average decays, so that
/// requests are not refused forever because of an earlier slow phase.
class mean_service_time {
public:
    void record(time_point now, std::chrono::microseconds elapsed) noexcept;
    /// Returns the mean, 0 before the first sample.
    [[nodiscard]] std::chrono::microseconds mean(time_point now) const noexcept;

private:
    double mean_us_ = 0;
    time_point last_sample_;
};

/// Adaptive limit of the requests that may run at the upstream at the same time, learned only from the
/// results of requests. The health and load reports of the upstream are not used, because they lag or are
/// wrong.
class upstream_limit {
public:
    upstream_limit(std::uint32_t slots, std::chrono::milliseconds ramp) noexcept;

    /// Starts a new slow start with one slot at `now`, and forgets earlier refusals.
    void begin_ramp(time_point now) noexcept;
    /// Adapts the limit to the result of one request.
    void on_result(time_point now, error_code code) noexcept;
    /// Returns the number of slots that may be in use at `now`, 0 during the back-off after repeated
    /// refusals.
    [[nodiscard]] std::uint32_t slots(time_point now) const noexcept;
    /// Returns why fewer than all slots may be in use at `now`: `ramping_up`, `shed_by_upstream` or
    /// `upstream_unreachable`; `ok` if all may be in use.
    [[nodiscard]] error_code reason(time_point now) const noexcept;

private:
    [[nodiscard]] double ramp_slots(time_point now) const noexcept;

    double max_slots_;
    std::chrono::microseconds ramp_;
    time_point ramp_start_;
    double learned_slots_;
    std::uint32_t consecutive_refusals_ = 0;
    std::chrono::milliseconds backoff_{0};
    time_point backoff_until_;
    error_code last_refusal_ = error_code::ok;
};

/// What happens to a new request.
enum class admission_action : std::uint8_t { start, wait, refuse };

/// Decision about a new request and, for a refusal, its reason.
struct admission_decision {
    admission_action action = admission_action::refuse;
    error_code reason = error_code::ok;
};

/// Admission control for the slots of one VM: limits the running requests, queues a bounded number of others,
/// refuses requests that would miss their deadline, and applies the slow start and the sharing policy.
/// Not thread-safe.
template <share_policy Policy = weighted_shares>
class basic_admission {
public:
    /// Fails with `invalid_setting` if `slots` is 0 or `ramp` is negative.
    static result<basic_admission> create(const admission_settings& settings, Policy policy = {})
    {
        if (settings.slots == 0) {
            return error{error_code::invalid_setting, "slots is 0 but must be at least 1"};
        }
        if (settings.ramp.count() < 0) {
            return error{error_code::invalid_setting,
                         "ramp is " + std::to_string(settings.ramp.count()) + " ms but must be at least 0"};
        }
        return basic_admission(settings, policy);
    }

    /// Adds a service with this weight, or changes the weight of a known service; 0 counts as 1. A service
    /// that was never added has weight 1.
    void set_weight(service_id service, std::uint32_t weight)
    {
        share(service).usage.weight = std::max(weight, 1U);
    }
    /// Begins a slow start for a cold upstream: one slot is usable at first, and all are after the ramp.
    void begin_ramp(time_point now) noexcept { limit_.begin_ramp(now); }

    /// Decides about a new request that has `remaining` time until its deadline. `start` takes a slot, `wait`
    /// puts the request into the queue. The reason of a refusal is `deadline_exceeded`, `queue_full`,
    /// `no_slot` (all slots are in use and the queue has capacity 0), `ramping_up`, `shed_by_upstream` or
    /// `upstream_unreachable`.
    admission_decision admit(time_point now, service_id service, const request_id& id,
                             std::chrono::microseconds remaining)
    {
        const std::uint32_t allowed_slots = limit_.slots(now);
        if (allowed_slots == 0) {
            return {admission_action::refuse, limit_.reason(now)};
        }
        if (expected_completion(now, allowed_slots) > remaining) {
            return {admission_action::refuse, error_code::deadline_exceeded};
        }
        const std::size_t index = index_of(service);
        service_share& s = shares_[index];
        if (running_ < allowed_slots && waiting_ == 0) {
            take_slot(s);
            return {admission_action::start, error_code::ok};
        }
        update_usages();
        if (waiting_ >= queue_capacity_ ||
            s.queue.size() >= policy_.queue_limit(usages_, index, queue_capacity_)) {
            return {admission_action::refuse, capacity_refusal_reason(now)};
        }
        s.queue.push_back({id, now + remaining, next_arrival_++});
        ++waiting_;
        return {admission_action::wait, error_code::ok};
    }

    /// Takes a free slot for the next waiting request and returns the id of this request. Returns nothing
    /// if no slot is free, or if the next request is not one of `service`.
    std::optional<request_id> next(time_point now, service_id service)
    {
        if (waiting_ == 0 || running_ >= limit_.slots(now)) {
            return std::nullopt;
        }
        update_usages();
        service_share& s = shares_[policy_.next(usages_)];
        if (s.usage.service != service || s.queue.empty()) {
            return std::nullopt;
        }
        const request_id id = s.queue.front().id;
        s.queue.pop_front();
        --waiting_;
        take_slot(s);
        return id;
    }

    /// Removes the waiting requests of `service` that can no longer meet their deadline, and appends their
    /// ids to `out`.
    void expire(time_point now, service_id service, std::vector<request_id>& out)
    {
        const auto needed = service_time_.mean(now);
        service_share& s = share(service);
        for (auto it = s.queue.begin(); it != s.queue.end();) {
            if (now + needed > it->deadline) {
                out.push_back(it->id);
                it = s.queue.erase(it);
                --waiting_;
            } else {
                ++it;
            }
        }
    }

    /// Removes one request from the queue. Returns false if the request is not in the queue.
    bool withdraw(service_id service, const request_id& id)
    {
        service_share& s = share(service);
        const auto it =
            std::find_if(s.queue.begin(), s.queue.end(), [&](const queued_request& q) { return q.id == id; });
        if (it == s.queue.end()) {
            return false;
        }
        s.queue.erase(it);
        --waiting_;
        return true;
    }

    /// Removes and returns all waiting requests of `service`.
    std::vector<request_id> withdraw_all(service_id service)
    {
        service_share& s = share(service);
        std::vector<request_id> ids;
        for (const queued_request& q : s.queue) {
            ids.push_back(q.id);
        }
        waiting_ -= s.queue.size();
        s.queue.clear();
        return ids;
    }

    /// Releases the slot of a request that ran for `elapsed` and ended with `code`.
    void release(time_point now, service_id service, error_code code, std::chrono::microseconds elapsed)
    {
        service_share& s = share(service);
        s.usage.running -= s.usage.running > 0 ? 1 : 0;
        running_ -= running_ > 0 ? 1 : 0;
        limit_.on_result(now, code);
        if (code == error_code::ok || code == error_code::upstream_failed) {
            service_time_.record(now, elapsed);
        }
    }

    /// Number of requests that hold a slot.
    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
    /// Number of requests in the queue, of all services.
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_; }
    /// Number of slots that may be in use at `now`.
    [[nodiscard]] std::uint32_t slots(time_point now) const noexcept { return limit_.slots(now); }

private:
    struct queued_request {
        request_id id;
        time_point deadline;
        std::uint64_t arrival = 0;
    };

    struct service_share {
        service_usage usage;
        std::deque<queued_request> queue;
    };

    basic_admission(const admission_settings& settings, Policy policy)
        : policy_(policy), limit_(settings.slots, settings.ramp),
          queue_capacity_(std::size_t{settings.slots} * settings.queue_per_slot)
    {
    }

    std::size_t index_of(service_id service)
    {
        for (std::size_t i = 0; i < shares_.size(); ++i) {
            if (shares_[i].usage.service == service) {
                return i;
            }
        }
        shares_.push_back({{service, 1, 0, 0, 0}, {}});
        return shares_.size() - 1;
    }
    service_share& share(service_id service) { return shares_[index_of(service)]; }

    void take_slot(service_share& s)
    {
        ++s.usage.running;
        ++running_;
    }

    // Copies the current figures of each service for the policy, which has no access to the queues.
    void update_usages()
    {
        usages_.clear();
        for (service_share& s : shares_) {
            s.usage.waiting = s.queue.size();
            s.usage.oldest_arrival = s.queue.empty() ? 0 : s.queue.front().arrival;
            usages_.push_back(s.usage);
        }
    }

    // Estimated time until a request that arrives now is finished: its wait in the queue plus its own service
    // time. It is 0 if no request runs or waits, so that an idle target always admits one, whatever the mean
    // service time is.
    [[nodiscard]] std::chrono::microseconds expected_completion(time_point now,
                                                                std::uint32_t allowed_slots) const
    {
        const auto service_time = service_time_.mean(now);
        if (running_ < allowed_slots && waiting_ == 0) {
            return running_ == 0 ? std::chrono::microseconds(0) : service_time;
        }
        return service_time + service_time * static_cast<std::int64_t>(waiting_ + 1) / allowed_slots;
    }

    [[nodiscard]] error_code capacity_refusal_reason(time_point now) const
    {
        const error_code limit_reason = limit_.reason(now);
        if (limit_reason != error_code::ok) {
            return limit_reason;
        }
        return queue_capacity_ == 0 ? error_code::no_slot : error_code::queue_full;
    }

    Policy policy_;
    upstream_limit limit_;
    mean_service_time service_time_;
    std::size_t queue_capacity_;
    std::vector<service_share> shares_;
    std::vector<service_usage> usages_;
    std::uint32_t running_ = 0;
    std::size_t waiting_ = 0;
    std::uint64_t next_arrival_ = 1;
};

/// Admission control with weighted shares.
using admission = basic_admission<>;

}  // namespace peridotcleat

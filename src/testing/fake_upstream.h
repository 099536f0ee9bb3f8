#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "peridotcleat/hash.h"
#include "peridotcleat/outbox.h"
#include "testing/fake_network.h"
#include "testing/request_checker.h"

namespace peridotcleat::testing {

/// Behaviour of a simulated upstream.
struct upstream_behaviour {
    std::uint32_t slots = 2;
    std::chrono::milliseconds service_time{50};
    /// The service time of each request varies by up to this fraction in both directions.
    double service_time_spread = 0.5;
    /// Factor by which the service time is longer during `cold_duration` after a start.
    double cold_service_time_factor = 3;
    std::chrono::milliseconds cold_duration{2000};
    /// Probability, from 0 to 1, that a request is shed although slots are free.
    double shed_probability = 0;
    /// Probability, from 0 to 1, that a request fails.
    double failure_probability = 0;
    /// Probability, from 0 to 1, that the result of a request that did not fail gets lost.
    double lost_result_probability = 0;
    /// Largest length in bytes that is passed to `expected_answer`, which may exceed it by part of a chunk.
    std::size_t max_answer_length = 3000;
    /// Queues requests without limit, instead of shedding them, while all slots are in use.
    bool unbounded_queue = false;
};

/// Simulated upstream in virtual time. Reports the requests that it runs to the checker.
class fake_upstream {
public:
    using result_handler = std::function<void(const upstream_result&)>;

    fake_upstream(fake_network& net, request_checker& checker, const upstream_behaviour& behaviour)
        : net_(&net), checker_(&checker), behaviour_(behaviour),
          cold_until_(net.now() + behaviour.cold_duration)
    {
    }

    upstream_behaviour& behaviour() noexcept { return behaviour_; }
    /// Number of requests that were started.
    [[nodiscard]] std::uint64_t run_count() const noexcept { return run_count_; }
    /// Number of requests that are running.
    [[nodiscard]] std::size_t running() const noexcept { return running_.size(); }

    /// Starts, queues or refuses a request. `done` is called with the result, or with `outcome_unknown` if
    /// the upstream crashes before the request has finished.
    void call(const upstream_call& c, incarnation target, const result_handler& done)
    {
        const bool has_slot = running_.size() < behaviour_.slots;
        if (down_) {
            send_result(c.id, error_code::upstream_unreachable, {}, done);
        } else if (net_->chance(behaviour_.shed_probability) || (!has_slot && !behaviour_.unbounded_queue)) {
            send_result(c.id, error_code::shed_by_upstream, {}, done);
        } else if (has_slot) {
            run({c, target, done});
        } else {
            queue_.push_back({c, target, done});
        }
    }

    /// Cancels a running request with probability 0.5, because an upstream may ignore a cancellation.
    void cancel(const request_id& id)
    {
        const auto it = running_.find(id);
        if (it != running_.end() && net_->chance(0.5)) {
            const running_job lost_job = it->second;
            running_.erase(it);
            report_lost_result(id, lost_job);
        }
    }

    /// Crashes the upstream. The outcome of all running and queued requests is unknown.
    void crash()
    {
        down_ = true;
        for (const auto& [id, lost_job] : running_) {
            report_lost_result(id, lost_job);
        }
        for (const job& j : queue_) {
            send_result(j.call.id, error_code::outcome_unknown, {}, j.done);
        }
        running_.clear();
        queue_.clear();
    }
    void start()
    {
        down_ = false;
        cold_until_ = net_->now() + behaviour_.cold_duration;
    }

private:
    struct running_job {
        request_key key;
        std::uint64_t run_number = 0;
        result_handler done;
    };
    struct job {
        upstream_call call;
        incarnation target;
        result_handler done;
    };

    void run(const job& j)
    {
        const request_key key = parse_request_body(j.call.body);
        // The length is the same for each run of an idempotent request, so that the answer of any run is
        // correct.
        const std::size_t length = combine(key.caller, key.id) % (behaviour_.max_answer_length + 1);
        checker_->on_run(key, j.target, length);
        ++run_count_;
        const std::uint64_t run_number = ++last_run_number_;
        running_[j.call.id] = {key, run_number, j.done};
        const double random_fraction = static_cast<double>(net_->random()() >> 11U) * 0x1.0p-53;
        double duration_us = static_cast<double>(behaviour_.service_time.count()) * 1000 *
                             (1 + behaviour_.service_time_spread * (2 * random_fraction - 1));
        duration_us *= net_->now() < cold_until_ ? behaviour_.cold_service_time_factor : 1;
        const error_code code = net_->chance(behaviour_.failure_probability) ? error_code::upstream_failed
                                : net_->chance(behaviour_.lost_result_probability)
                                    ? error_code::outcome_unknown
                                    : error_code::ok;
        net_->schedule(
            net_->now() + std::chrono::microseconds(static_cast<std::int64_t>(duration_us)),
            [this, id = j.call.id, code, length, run_number] { finish(id, code, length, run_number); });
    }

    void finish(const request_id& id, error_code code, std::size_t length, std::uint64_t run_number)
    {
        const auto it = running_.find(id);
        if (it == running_.end() || it->second.run_number != run_number) {
            return;
        }
        const running_job finished_job = it->second;
        running_.erase(it);
        if (code == error_code::outcome_unknown) {
            report_lost_result(id, finished_job);
        } else {
            finished_job.done(
                {id, code,
                 code == error_code::ok ? expected_answer(finished_job.key, length) : std::string()});
        }
        if (!queue_.empty()) {
            const job next = queue_.front();
            queue_.pop_front();
            run(next);
        }
    }

    void report_lost_result(const request_id& id, const running_job& lost_job)
    {
        checker_->on_result_lost(lost_job.key);
        send_result(id, error_code::outcome_unknown, {}, lost_job.done);
    }

    void send_result(const request_id& id, error_code code, std::string body, const result_handler& done)
    {
        net_->schedule(net_->now() + std::chrono::milliseconds(1), [id, code, body = std::move(body), done] {
            done({id, code, body});
        });
    }

    fake_network* net_;
    request_checker* checker_;
    upstream_behaviour behaviour_;
    time_point cold_until_;
    bool down_ = false;
    std::uint64_t last_run_number_ = 0;
    std::uint64_t run_count_ = 0;
    std::map<request_id, running_job> running_;
    std::deque<job> queue_;
};

}  // namespace peridotcleat::testing

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

/// Behaviour of a stand-in for an upstream.
struct upstream_behaviour {
    std::uint32_t slots = 2;
    std::chrono::milliseconds service_time{50};
    /// Service time of each request varies by up to this share in both directions.
    double service_time_spread = 0.5;
    /// While it is cold, requests take this many times as long.
    double cold_service_time_factor = 3;
    std::chrono::milliseconds cold_duration{2000};
    /// Shares of requests that it sheds with free slots, that fail, and whose result gets lost.
    double shed_probability = 0;
    double failure_probability = 0;
    double lost_result_probability = 0;
    std::size_t max_answer_length = 3000;
    /// Queues without limit instead of shedding when its slots are in use.
    bool unbounded_queue = false;
};

/// An upstream in virtual time. It tells the checker what it applies.
class fake_upstream {
public:
    using result_handler = std::function<void(const upstream_result&)>;

    fake_upstream(fake_network& net, request_checker& checker, const upstream_behaviour& behaviour)
        : net_(&net), checker_(&checker), behaviour_(behaviour),
          cold_until_(net.now() + behaviour.cold_duration)
    {
    }

    upstream_behaviour& behaviour() noexcept { return behaviour_; }
    [[nodiscard]] std::uint64_t applied() const noexcept { return applied_; }
    [[nodiscard]] std::size_t running() const noexcept { return running_.size(); }

    /// Starts the request, or refuses it. `done` gets the result, unless the upstream is down by then.
    void call(const upstream_call& c, incarnation at, const result_handler& done)
    {
        const bool has_slot = running_.size() < behaviour_.slots;
        if (down_) {
            answer(c.name, error_code::upstream_unreachable, {}, done);
        } else if (net_->chance(behaviour_.shed_probability) || (!has_slot && !behaviour_.unbounded_queue)) {
            answer(c.name, error_code::shed_by_upstream, {}, done);
        } else if (has_slot) {
            run({c, at, done});
        } else {
            queue_.push_back({c, at, done});
        }
    }

    /// Stops work on a request with a chance of a half; the upstream may ignore a cancellation.
    void cancel(const request_name& name)
    {
        const auto it = running_.find(name);
        if (it != running_.end() && net_->chance(0.5)) {
            const running_job lost = it->second;
            running_.erase(it);
            lose(name, lost);
        }
    }

    /// Loses what runs; the results of these requests are unknown.
    void crash()
    {
        down_ = true;
        for (const auto& [name, lost] : running_) {
            lose(name, lost);
        }
        for (const job& j : queue_) {
            answer(j.call.name, error_code::outcome_unknown, {}, j.done);
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
        std::uint64_t start = 0;
        result_handler done;
    };
    struct job {
        upstream_call call;
        incarnation at;
        result_handler done;
    };

    void run(const job& j)
    {
        const request_key key = parse_request_body(j.call.body);
        // The same for each run of an idempotent request, so that any of its answers is the right one.
        const std::size_t length = combine(key.caller, key.id) % (behaviour_.max_answer_length + 1);
        checker_->ran(key, j.at, length);
        ++applied_;
        const std::uint64_t start = ++starts_;
        running_[j.call.name] = {key, start, j.done};
        const double part = static_cast<double>(net_->random()() >> 11U) * 0x1.0p-53;
        double us = static_cast<double>(behaviour_.service_time.count()) * 1000 *
                    (1 + behaviour_.service_time_spread * (2 * part - 1));
        us *= net_->now() < cold_until_ ? behaviour_.cold_service_time_factor : 1;
        const error_code code = net_->chance(behaviour_.failure_probability) ? error_code::upstream_failed
                                : net_->chance(behaviour_.lost_result_probability)
                                    ? error_code::outcome_unknown
                                    : error_code::ok;
        net_->at(net_->now() + std::chrono::microseconds(static_cast<std::int64_t>(us)),
                 [this, name = j.call.name, code, length, start] { end(name, code, length, start); });
    }

    void end(const request_name& name, error_code code, std::size_t length, std::uint64_t start)
    {
        const auto it = running_.find(name);
        if (it == running_.end() || it->second.start != start) {
            return;
        }
        const running_job ended = it->second;
        running_.erase(it);
        if (code == error_code::outcome_unknown) {
            lose(name, ended);
        } else {
            ended.done(
                {name, code, code == error_code::ok ? expected_answer(ended.key, length) : std::string()});
        }
        if (!queue_.empty()) {
            const job next = queue_.front();
            queue_.pop_front();
            run(next);
        }
    }

    void lose(const request_name& name, const running_job& lost)
    {
        checker_->result_lost(lost.key);
        answer(name, error_code::outcome_unknown, {}, lost.done);
    }

    void answer(const request_name& name, error_code code, std::string body, const result_handler& done)
    {
        net_->at(net_->now() + std::chrono::milliseconds(1), [name, code, body = std::move(body), done] {
            done({name, code, body});
        });
    }

    fake_network* net_;
    request_checker* checker_;
    upstream_behaviour behaviour_;
    time_point cold_until_;
    bool down_ = false;
    std::uint64_t starts_ = 0;
    std::uint64_t applied_ = 0;
    std::map<request_name, running_job> running_;
    std::deque<job> queue_;
};

}  // namespace peridotcleat::testing

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peridotcleat/message.h"
#include "peridotcleat/outbox.h"

namespace peridotcleat::testing {

/// Delay, loss and repetition of one direction between two places.
struct link_quality {
    std::chrono::microseconds delay{1000};
    std::chrono::microseconds jitter{500};
    /// Share of datagrams that are lost or delivered twice, 0 to 1.
    double loss = 0;
    double duplication = 0;
};

/// What one host has sent and received.
struct traffic {
    std::uint64_t messages_out = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t messages_in = 0;
    std::uint64_t bytes_in = 0;
};

/// Virtual time and datagrams between roles in one process.
///
/// A host has an endpoint, a message handler and a tick handler. Messages cross the network as bytes and can
/// be lost, repeated, delayed and reordered; directions can be cut; hosts can be frozen or removed. The same
/// seed and calls give the same run.
class fake_network {
public:
    using message_handler = std::function<void(time_point, const endpoint&, const message&, outbox&)>;
    using tick_handler = std::function<void(time_point, outbox&)>;
    /// Sees the actions other than sends after each event of a host.
    using action_handler = std::function<void(time_point, outbox&)>;

    explicit fake_network(std::uint64_t seed) : random_(seed) {}

    /// Adds or replaces the host at `at`. The first tick comes within one `tick_period`.
    void add(const endpoint& at, message_handler on_message, tick_handler on_tick,
             action_handler on_actions = {})
    {
        host& h = hosts_[at];
        ++h.generation;
        h.on_message = std::move(on_message);
        h.on_tick = std::move(on_tick);
        h.on_actions = std::move(on_actions);
        h.alive = true;
        h.frozen_until = time_point{};
        const auto first = std::chrono::microseconds(random_() % tick_period_.count());
        push({now_ + first, 0, at, {}, {}, h.generation, event_kind::tick, {}});
    }

    /// Removes a host; datagrams on their way to it are lost.
    void remove(const endpoint& at)
    {
        if (const auto it = hosts_.find(at); it != hosts_.end()) {
            it->second.alive = false;
            ++it->second.generation;
        }
    }

    [[nodiscard]] bool is_alive(const endpoint& at) const
    {
        const auto it = hosts_.find(at);
        return it != hosts_.end() && it->second.alive;
    }

    /// Stops a host until `until`; what arrives meanwhile is handled afterwards, as after SIGSTOP and
    /// SIGCONT.
    void freeze(const endpoint& at, time_point until) { hosts_[at].frozen_until = until; }

    /// Cuts or heals the direction from `a` to `b`.
    void cut(const endpoint& a, const endpoint& b, bool on)
    {
        if (on) {
            cuts_.insert({a, b});
        } else {
            cuts_.erase({a, b});
        }
    }
    /// Cuts or heals both directions between two groups.
    void cut_groups(const std::vector<endpoint>& left, const std::vector<endpoint>& right, bool on)
    {
        for (const endpoint& a : left) {
            for (const endpoint& b : right) {
                cut(a, b, on);
                cut(b, a, on);
            }
        }
    }
    void heal_all() { cuts_.clear(); }

    /// Sets the quality of all directions that have no own one.
    void set_default_quality(const link_quality& q) { default_quality_ = q; }
    /// Gives the quality of a direction by a function, for zones with different delays.
    void set_quality(std::function<link_quality(const endpoint&, const endpoint&)> f)
    {
        quality_ = std::move(f);
    }
    void set_tick_period(std::chrono::microseconds period) { tick_period_ = period; }
    void set_cluster(cluster_id id) { cluster_ = id; }

    /// Runs `f` at `when`.
    void at(time_point when, std::function<void()> f)
    {
        push({when, 0, {}, {}, {}, 0, event_kind::call, std::move(f)});
    }

    /// Sends the messages of `out` as `from` and clears it. Other actions go to the host's action handler.
    void dispatch(const endpoint& from, outbox& out)
    {
        std::vector<send_action> sends;
        sends.swap(out.sends);
        for (const send_action& s : sends) {
            send(from, s.to, s.body);
        }
        const auto it = hosts_.find(from);
        if (it != hosts_.end() && it->second.on_actions) {
            it->second.on_actions(now_, out);
        }
        out.clear();
    }

    void send(const endpoint& from, const endpoint& to, const message& body)
    {
        std::string bytes = encode(cluster_, body);
        traffic& sent = traffic_[from];
        ++sent.messages_out;
        // 28 bytes of IP and UDP headers count as traffic.
        sent.bytes_out += bytes.size() + header_bytes;
        if (cuts_.contains({from, to})) {
            return;
        }
        const link_quality q = quality_ ? quality_(from, to) : default_quality_;
        const int copies = chance(q.loss) ? 0 : (chance(q.duplication) ? 2 : 1);
        for (int i = 0; i < copies; ++i) {
            const auto extra =
                q.jitter.count() > 0
                    ? std::chrono::microseconds(random_() % static_cast<std::uint64_t>(q.jitter.count()))
                    : std::chrono::microseconds(0);
            push({now_ + q.delay + extra, 0, to, from, bytes, 0, event_kind::datagram, {}});
        }
    }

    /// Handles all events until `until`.
    void run_until(time_point until)
    {
        while (!events_.empty() && events_.front().when <= until) {
            std::pop_heap(events_.begin(), events_.end(), std::greater<>());
            event_item e = std::move(events_.back());
            events_.pop_back();
            now_ = std::max(now_, e.when);
            handle(e);
        }
        now_ = std::max(now_, until);
    }
    void run_for(std::chrono::microseconds d) { run_until(now_ + d); }

    [[nodiscard]] time_point now() const noexcept { return now_; }
    [[nodiscard]] const traffic& traffic_of(const endpoint& at) { return traffic_[at]; }
    /// Random numbers for the test itself, from the same seed.
    std::mt19937_64& random() noexcept { return random_; }
    [[nodiscard]] bool chance(double p)
    {
        return p > 0 && static_cast<double>(random_() >> 11U) * 0x1.0p-53 < p;
    }

private:
    enum class event_kind : std::uint8_t { datagram, tick, call };

    static constexpr std::uint64_t header_bytes = 28;

    struct event_item {
        time_point when;
        std::uint64_t order;
        endpoint to;
        endpoint from;
        std::string bytes;
        std::uint64_t generation;
        event_kind kind;
        std::function<void()> call;

        bool operator>(const event_item& other) const noexcept
        {
            return std::pair(when, order) > std::pair(other.when, other.order);
        }
    };

    struct host {
        message_handler on_message;
        tick_handler on_tick;
        action_handler on_actions;
        time_point frozen_until;
        std::uint64_t generation = 0;
        bool alive = false;
    };

    void push(event_item e)
    {
        e.order = next_order_++;
        events_.push_back(std::move(e));
        std::push_heap(events_.begin(), events_.end(), std::greater<>());
    }

    void handle(event_item& e)
    {
        if (e.kind == event_kind::call) {
            e.call();
            return;
        }
        const auto it = hosts_.find(e.to);
        if (it == hosts_.end() || !it->second.alive) {
            return;
        }
        host& h = it->second;
        if (e.kind == event_kind::tick && e.generation != h.generation) {
            return;
        }
        if (h.frozen_until > now_) {
            e.when = h.frozen_until;
            push(std::move(e));
            return;
        }
        outbox out;
        if (e.kind == event_kind::tick) {
            h.on_tick(now_, out);
            const std::uint64_t generation = h.generation;
            dispatch(e.to, out);
            push({now_ + tick_period_, 0, e.to, {}, {}, generation, event_kind::tick, {}});
            return;
        }
        traffic& received = traffic_[e.to];
        ++received.messages_in;
        received.bytes_in += e.bytes.size() + header_bytes;
        const auto decoded = decode(cluster_, e.bytes);
        if (has_value(decoded)) {
            h.on_message(now_, e.from, value(decoded), out);
            dispatch(e.to, out);
        }
    }

    std::mt19937_64 random_;
    time_point now_{std::chrono::seconds(1)};
    std::uint64_t next_order_ = 0;
    cluster_id cluster_{1};
    std::chrono::microseconds tick_period_{20000};
    link_quality default_quality_;
    std::function<link_quality(const endpoint&, const endpoint&)> quality_;
    std::map<endpoint, host> hosts_;
    std::map<endpoint, traffic> traffic_;
    std::set<std::pair<endpoint, endpoint>> cuts_;
    // Heap with the earliest event in front.
    std::vector<event_item> events_;
};

}  // namespace peridotcleat::testing

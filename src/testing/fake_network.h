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

/// Delay, loss and duplication of datagrams in one direction between two endpoints.
struct link_quality {
    std::chrono::microseconds delay{1000};
    /// Upper bound of the uniformly distributed time that is added to `delay`.
    std::chrono::microseconds jitter{500};
    /// Shares of datagrams that are lost and that are delivered twice, 0 to 1.
    double loss = 0;
    double duplication = 0;
};

/// Messages and bytes that one host has sent and received. Bytes include the IP and UDP headers.
struct traffic {
    std::uint64_t messages_out = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t messages_in = 0;
    std::uint64_t bytes_in = 0;
};

/// Simulates a datagram network with virtual time between hosts in one process.
///
/// A host has an endpoint, a message handler and a tick handler. Messages cross the network as bytes and can
/// be lost, duplicated, delayed and reordered; either direction between two hosts can be cut; hosts can be
/// frozen or removed. The same seed and the same calls give the same run.
class fake_network {
public:
    using message_handler = std::function<void(time_point, const endpoint&, const message&, outbox&)>;
    using tick_handler = std::function<void(time_point, outbox&)>;
    /// Receives the actions other than sends after each event of a host.
    using action_handler = std::function<void(time_point, outbox&)>;

    explicit fake_network(std::uint64_t seed) : random_(seed) {}

    /// Adds or replaces the host at `address`. Its first tick comes within one tick period.
    void add(const endpoint& address, message_handler on_message, tick_handler on_tick,
             action_handler on_actions = {})
    {
        host& h = hosts_[address];
        ++h.generation;
        h.on_message = std::move(on_message);
        h.on_tick = std::move(on_tick);
        h.on_actions = std::move(on_actions);
        h.alive = true;
        h.frozen_until = time_point{};
        const auto first_tick_delay = std::chrono::microseconds(random_() % tick_period_.count());
        push_event({now_ + first_tick_delay, 0, address, {}, {}, h.generation, event_kind::tick, {}});
    }

    /// Removes a host. Datagrams that are in transit to it are lost.
    void remove(const endpoint& address)
    {
        if (const auto it = hosts_.find(address); it != hosts_.end()) {
            it->second.alive = false;
            ++it->second.generation;
        }
    }

    [[nodiscard]] bool is_alive(const endpoint& address) const
    {
        const auto it = hosts_.find(address);
        return it != hosts_.end() && it->second.alive;
    }

    /// Suspends a host until `until`, as SIGSTOP and SIGCONT do: events that reach it meanwhile are handled
    /// afterwards.
    void freeze(const endpoint& address, time_point until) { hosts_[address].frozen_until = until; }

    /// Drops all messages sent from `from` to `to` if `blocked` is set, else delivers them again.
    void cut(const endpoint& from, const endpoint& to, bool blocked)
    {
        if (blocked) {
            cuts_.insert({from, to});
        } else {
            cuts_.erase({from, to});
        }
    }
    /// Calls `cut` for both directions between each host of one group and each host of the other.
    void cut_groups(const std::vector<endpoint>& left, const std::vector<endpoint>& right, bool blocked)
    {
        for (const endpoint& a : left) {
            for (const endpoint& b : right) {
                cut(a, b, blocked);
                cut(b, a, blocked);
            }
        }
    }
    /// Restores all directions that `cut` blocks.
    void heal_all() { cuts_.clear(); }

    /// Sets the quality of all directions; unused while a function is set by `set_quality`.
    void set_default_quality(const link_quality& q) { default_quality_ = q; }
    /// Sets a function that returns the quality of the direction from its first to its second argument, for
    /// zones with different delays.
    void set_quality(std::function<link_quality(const endpoint&, const endpoint&)> quality)
    {
        quality_ = std::move(quality);
    }
    void set_tick_period(std::chrono::microseconds period) { tick_period_ = period; }
    void set_cluster(cluster_id id) { cluster_ = id; }

    /// Calls `callback` at the virtual time `when`.
    void schedule(time_point when, std::function<void()> callback)
    {
        push_event({when, 0, {}, {}, {}, 0, event_kind::call, std::move(callback)});
    }

    /// Sends the messages of `out` from `from`, passes the other actions to the action handler of that host,
    /// and clears `out`.
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

    /// Encodes a message, counts it as traffic of `from` and delivers 0 to 2 copies to `to`, as cuts and the
    /// link quality decide.
    void send(const endpoint& from, const endpoint& to, const message& body)
    {
        std::string bytes = encode(cluster_, body);
        traffic& sent = traffic_[from];
        ++sent.messages_out;
        sent.bytes_out += bytes.size() + ip_udp_header_bytes;
        if (cuts_.contains({from, to})) {
            return;
        }
        const link_quality q = quality_ ? quality_(from, to) : default_quality_;
        const int copies = chance(q.loss) ? 0 : (chance(q.duplication) ? 2 : 1);
        for (int i = 0; i < copies; ++i) {
            const auto added_delay =
                q.jitter.count() > 0
                    ? std::chrono::microseconds(random_() % static_cast<std::uint64_t>(q.jitter.count()))
                    : std::chrono::microseconds(0);
            push_event({now_ + q.delay + added_delay, 0, to, from, bytes, 0, event_kind::datagram, {}});
        }
    }

    /// Handles all events until `until`.
    void run_until(time_point until)
    {
        while (!events_.empty() && events_.front().when <= until) {
            std::pop_heap(events_.begin(), events_.end(), std::greater<>());
            scheduled_event e = std::move(events_.back());
            events_.pop_back();
            now_ = std::max(now_, e.when);
            handle(e);
        }
        now_ = std::max(now_, until);
    }
    void run_for(std::chrono::microseconds duration) { run_until(now_ + duration); }

    [[nodiscard]] time_point now() const noexcept { return now_; }
    [[nodiscard]] const traffic& traffic_of(const endpoint& address) { return traffic_[address]; }
    /// Returns the generator that the network itself uses, so that a test draws from the same seed.
    std::mt19937_64& random() noexcept { return random_; }
    /// Returns true with the given probability, 0 to 1.
    [[nodiscard]] bool chance(double probability)
    {
        return probability > 0 && static_cast<double>(random_() >> 11U) * 0x1.0p-53 < probability;
    }

private:
    enum class event_kind : std::uint8_t { datagram, tick, call };

    // 20 bytes of IPv4 and 8 bytes of UDP header.
    static constexpr std::uint64_t ip_udp_header_bytes = 28;

    struct scheduled_event {
        time_point when;
        // Events of the same time are handled in the order in which they were added.
        std::uint64_t sequence;
        endpoint to;
        endpoint from;
        std::string bytes;
        // For a tick: the generation of the host that the tick belongs to.
        std::uint64_t generation;
        event_kind kind;
        std::function<void()> callback;

        bool operator>(const scheduled_event& other) const noexcept
        {
            return std::pair(when, sequence) > std::pair(other.when, other.sequence);
        }
    };

    struct host {
        message_handler on_message;
        tick_handler on_tick;
        action_handler on_actions;
        time_point frozen_until;
        // Increased when the host is added, replaced or removed; ticks of earlier generations are ignored.
        std::uint64_t generation = 0;
        bool alive = false;
    };

    void push_event(scheduled_event e)
    {
        e.sequence = next_sequence_++;
        events_.push_back(std::move(e));
        std::push_heap(events_.begin(), events_.end(), std::greater<>());
    }

    void handle(scheduled_event& e)
    {
        if (e.kind == event_kind::call) {
            e.callback();
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
            push_event(std::move(e));
            return;
        }
        outbox out;
        if (e.kind == event_kind::tick) {
            h.on_tick(now_, out);
            const std::uint64_t generation = h.generation;
            dispatch(e.to, out);
            push_event({now_ + tick_period_, 0, e.to, {}, {}, generation, event_kind::tick, {}});
            return;
        }
        traffic& received = traffic_[e.to];
        ++received.messages_in;
        received.bytes_in += e.bytes.size() + ip_udp_header_bytes;
        const auto decoded = decode(cluster_, e.bytes);
        if (has_value(decoded)) {
            h.on_message(now_, e.from, value(decoded), out);
            dispatch(e.to, out);
        }
    }

    std::mt19937_64 random_;
    time_point now_{std::chrono::seconds(1)};
    std::uint64_t next_sequence_ = 0;
    cluster_id cluster_{1};
    std::chrono::microseconds tick_period_{20000};
    link_quality default_quality_;
    std::function<link_quality(const endpoint&, const endpoint&)> quality_;
    std::map<endpoint, host> hosts_;
    std::map<endpoint, traffic> traffic_;
    std::set<std::pair<endpoint, endpoint>> cuts_;
    // Heap with the earliest event at the front.
    std::vector<scheduled_event> events_;
};

}  // namespace peridotcleat::testing

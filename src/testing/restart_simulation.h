#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peridotcleat/hash.h"
#include "peridotcleat/segment_agent.h"
#include "peridotcleat/segment_balancer.h"
#include "testing/fake_segments.h"

namespace peridotcleat::testing {

/// Runs callers with open flows while the agents beside their targets and the balancers are restarted in
/// turn, both at the same time. The targets live on. Throws if a caller's open flow is reset, or if three
/// packets of an open flow reach other targets, none its own, and two seconds lie between them.
class restart_simulation {
public:
    /// A restart takes up to `longest_restart`, more than 5 s.
    restart_simulation(std::uint64_t seed, std::chrono::milliseconds longest_restart)
        : random_(seed), long_restarts_ms_(static_cast<std::uint64_t>(longest_restart.count()) - 5000)
    {
        targets_.resize(4 + random_below(5));
        balancers_.resize(2 + random_below(3));
        start_table();
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            start_agent(i);
            schedule(microseconds(random_below(50'000)), [this, i] { tick_agent(i); });
            schedule(milliseconds(random_below(770)), [this, i] { announce(i); });
        }
        for (std::size_t i = 0; i < balancers_.size(); ++i) {
            start_balancer(i);
            schedule(microseconds(random_below(50'000)), [this, i] { tick_balancer(i); });
        }
        schedule(lease_check_period, [this] { check_leases(); });
    }

    void run()
    {
        run_for(seconds(1));
        for (std::uint32_t i = 0; i < flow_count; ++i) {
            const flow_key key{{0x64400000 + i, 1024}, route_address};
            schedule(milliseconds(random_below(1000)), [this, key] { send_from_caller(key); });
        }
        run_for(seconds(2));
        schedule_restarts(targets_.size(),
                          [this](std::size_t i, milliseconds down) { restart_agent(i, down); });
        schedule_restarts(balancers_.size(),
                          [this](std::size_t i, milliseconds down) { restart_balancer(i, down); });
        run_for(seconds(30));
    }

    /// Number of flows that were opened.
    [[nodiscard]] std::size_t opened() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(flows_, [](const auto& f) { return f.second.holder.has_value(); }));
    }
    /// Number of packets that reached the target of their flow.
    [[nodiscard]] std::size_t delivered() const noexcept { return delivered_; }

private:
    using microseconds = std::chrono::microseconds;
    using milliseconds = std::chrono::milliseconds;
    using seconds = std::chrono::seconds;

    static constexpr std::uint32_t flow_count = 40;
    static constexpr endpoint route_address{0xc6120001, 443};
    static constexpr std::uint16_t caller_port = 8172;
    static constexpr milliseconds lease{6000};
    static constexpr milliseconds lease_check_period{200};
    // Longest time from a change of the table until a balancer has it, and from a start until a join.
    static constexpr milliseconds pull_interval{500};
    static constexpr milliseconds reorder_limit{2000};
    static constexpr std::size_t stray_limit = 3;

    struct target_host {
        std::unique_ptr<segment_agent> agent;
        std::int64_t announcements = 0;
        time_point heard_at;
        std::int64_t nonce = 0;
    };

    struct balancer_host {
        std::unique_ptr<segment_balancer> role;
        bool confirmation_pending = false;
        std::uint64_t generation = 0;
    };

    // A caller's flow, and the packets of it that reached other targets since the last one that reached its
    // own.
    struct caller_flow {
        std::optional<std::size_t> holder;
        std::uint32_t ack_number = 0;
        milliseconds retransmit_after{200};
        std::uint64_t sent = 0;
        std::size_t strays = 0;
        time_point first_stray;
    };

    static endpoint agent_address(std::size_t i)
    {
        return {0x0a010000 + static_cast<std::uint32_t>(i), 7000};
    }
    static endpoint target_address(std::size_t i)
    {
        return {0x0a010000 + static_cast<std::uint32_t>(i), 8080};
    }
    static endpoint balancer_address(std::size_t i)
    {
        return {0x0a020000 + static_cast<std::uint32_t>(i), 7000};
    }

    std::uint64_t random_below(std::uint64_t n) { return random_() % n; }
    void schedule(microseconds delay, std::function<void()> action)
    {
        events_.emplace(now_ + delay, std::move(action));
    }
    [[nodiscard]] microseconds network_delay() { return microseconds(200 + random_below(6000)); }

    void run_for(milliseconds duration)
    {
        const time_point end = now_ + duration;
        while (!events_.empty() && events_.begin()->first <= end) {
            auto event = events_.extract(events_.begin());
            now_ = std::max(now_, event.key());
            event.mapped()();
        }
        now_ = end;
    }

    // Restarts most of `count` nodes in random order, one after the other.
    template <class Restart>
    void schedule_restarts(std::size_t count, Restart restart)
    {
        std::vector<std::size_t> order(count);
        for (std::size_t i = 0; i < count; ++i) {
            order[i] = i;
        }
        std::ranges::shuffle(order, random_);
        order.resize(count - random_below(std::max<std::size_t>(count / 2, 1)));
        milliseconds at(random_below(6000));
        for (const std::size_t i : order) {
            const milliseconds down(random_below(3) == 0 ? 5000 + random_below(long_restarts_ms_)
                                                         : 500 + random_below(2500));
            schedule(at, [restart, i, down] { restart(i, down); });
            at += milliseconds(400 + random_below(1200));
        }
    }

    // Control.

    void start_table()
    {
        wire::replacement r;
        r.version = 1;
        r.services = {"live"};
        wire::replacement_route& route = r.routes.emplace_back();
        route.address = to_wire(route_address);
        wire::route_backend& b = route.backends.emplace_back();
        b.service_id = 0;
        b.weight = 1;
        wire::change c;
        c.__set_replace(r);
        apply(c);
    }

    void apply(wire::change c)
    {
        c.time_ms = 1000;
        table_.apply(revision{++revision_}, c);
        for (std::size_t i = 0; i < balancers_.size(); ++i) {
            schedule(microseconds(random_below(microseconds(pull_interval).count())), [this, i] { pull(i); });
        }
    }

    void pull(std::size_t i)
    {
        if (balancers_[i].role) {
            balancers_[i].role->set_routes(flow_routes::build(table_));
        }
    }

    void check_leases()
    {
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            const auto id = table_.find_target(agent_address(i));
            if (targets_[i].agent) {
                targets_[i].heard_at = now_;
            } else if (id && !table_.targets().at(*id).lost && now_ - targets_[i].heard_at > lease) {
                wire::change c;
                c.__set_lose_target(id->value);
                apply(c);
            }
        }
        schedule(lease_check_period, [this] { check_leases(); });
    }

    void join(std::size_t i)
    {
        wire::target_join j;
        j.value.service_id = table_.find_service("live")->value;
        j.value.agent = to_wire(agent_address(i));
        j.value.zone = "zone";
        j.value.slots = 100;
        j.value.connections = 2000;
        j.value.nonce = ++targets_[i].nonce;
        j.value.name = "agent-" + std::to_string(i);
        if (const auto former = table_.find_target(agent_address(i))) {
            j.__set_replaces(former->value);
        }
        wire::change c;
        c.__set_join_target(j);
        apply(c);
    }

    void confirm(std::size_t i)
    {
        balancer_host& host = balancers_[i];
        if (!host.role || host.confirmation_pending || !host.role->needs_table_confirmation()) {
            return;
        }
        host.confirmation_pending = true;
        const time_point requested_at = now_;
        schedule(network_delay() + network_delay(), [this, i, requested_at, generation = host.generation] {
            balancer_host& asking = balancers_[i];
            if (!asking.role || asking.generation != generation) {
                return;
            }
            asking.confirmation_pending = false;
            outbox out;
            pull(i);
            asking.role->on_table_confirmed(now_, requested_at, out);
            dispatch_balancer(i, out);
        });
    }

    // Agents and targets.

    void start_agent(std::size_t i)
    {
        segment_agent_settings s;
        s.service = "live";
        s.target = target_address(i);
        s.caller_port = caller_port;
        s.format = fake_format;
        s.announcement_interval = milliseconds(770);
        targets_[i].agent = std::make_unique<segment_agent>(s, now_, counted_);
        schedule(milliseconds(random_below(400)), [this, i] { join(i); });
    }

    void restart_agent(std::size_t i, milliseconds down)
    {
        targets_[i].agent.reset();
        schedule(down, [this, i] { start_agent(i); });
    }

    void announce(std::size_t i)
    {
        if (targets_[i].agent) {
            target_announcement a;
            a.id = "i-" + std::to_string(i);
            a.service = "live";
            a.address = target_address(i);
            a.started_ms = 1;
            a.sequence = ++targets_[i].announcements;
            a.slots = 100;
            outbox out;
            (void)targets_[i].agent->on_announcement(now_, a, out);
            dispatch_agent(i, out);
        }
        schedule(milliseconds(770), [this, i] { announce(i); });
    }

    void tick_agent(std::size_t i)
    {
        if (targets_[i].agent) {
            outbox out;
            targets_[i].agent->on_tick(now_, out);
            dispatch_agent(i, out);
        }
        schedule(milliseconds(50), [this, i] { tick_agent(i); });
    }

    void dispatch_agent(std::size_t t, outbox& out)
    {
        for (send_action& s : out.sends) {
            const std::size_t i = s.to.address - balancer_address(0).address;
            schedule(network_delay(), [this, i, t, m = std::move(s.body)] {
                if (balancers_[i].role) {
                    outbox reaction;
                    balancers_[i].role->on_message(now_, agent_address(t), m, reaction);
                    dispatch_balancer(i, reaction);
                }
            });
        }
        for (const packet_send& p : out.packets) {
            p.to == target_address(t) ? on_target(t, p.packet) : to_caller(p.packet);
        }
    }

    void on_target(std::size_t t, const std::string& packet)
    {
        const segment s = *decode_fake(packet);
        caller_flow& f = flows_[s.key];
        segment answer;
        if (s.opens) {
            answer.key = reversed(s.key);
            answer.opens = answer.acknowledges = true;
            answer.sequence = first_sequence(t);
            from_target(t, fake_packet(answer));
        } else if (f.holder == t) {
            ++delivered_;
            f.strays = 0;
            answer.key = reversed(s.key);
            answer.acknowledges = true;
            answer.sequence = first_sequence(t) + 1;
            from_target(t, fake_packet(answer, "answer"));
        } else {
            record_stray(s.key, f);
            segment returned = s;
            returned.returned = true;
            from_target(t, fake_packet(returned, std::string(s.length, 'x')));
        }
    }

    static std::uint32_t first_sequence(std::size_t t)
    {
        return 1000 + (static_cast<std::uint32_t>(t) << 24U);
    }

    void from_target(std::size_t t, std::string packet)
    {
        schedule(microseconds(100), [this, t, packet = std::move(packet)] {
            if (targets_[t].agent) {
                outbox out;
                targets_[t].agent->on_target_packet(now_, packet, out);
                dispatch_agent(t, out);
            }
        });
    }

    void record_stray(const flow_key& key, caller_flow& f)
    {
        f.first_stray = f.strays == 0 ? now_ : f.first_stray;
        ++f.strays;
        if (f.strays >= stray_limit && now_ - f.first_stray >= reorder_limit) {
            throw std::runtime_error("packets of an open flow reached other targets only: " + to_string(key));
        }
    }

    // Balancers.

    void start_balancer(std::size_t i)
    {
        segment_balancer_settings s;
        s.zone = "zone";
        s.caller_port = caller_port;
        s.format = fake_format;
        balancers_[i].role = std::make_unique<segment_balancer>(s, counted_);
        balancers_[i].confirmation_pending = false;
        ++balancers_[i].generation;
        pull(i);
    }

    void restart_balancer(std::size_t i, milliseconds down)
    {
        balancers_[i].role.reset();
        schedule(down, [this, i] { start_balancer(i); });
    }

    void tick_balancer(std::size_t i)
    {
        if (balancers_[i].role) {
            outbox out;
            balancers_[i].role->on_tick(now_, milliseconds(100), out);
            dispatch_balancer(i, out);
        }
        schedule(milliseconds(50), [this, i] { tick_balancer(i); });
    }

    void dispatch_balancer(std::size_t i, outbox& out)
    {
        balancers_[i].role->send_queries(now_, out);
        confirm(i);
        for (send_action& s : out.sends) {
            const std::size_t t = s.to.address - agent_address(0).address;
            schedule(network_delay(), [this, i, t, m = std::move(s.body)] {
                if (targets_[t].agent) {
                    outbox reaction;
                    targets_[t].agent->on_message(now_, balancer_address(i), m, reaction);
                    dispatch_agent(t, reaction);
                }
            });
        }
        for (const packet_send& p : out.packets) {
            to_caller(p.packet);
        }
    }

    // Callers.

    // Returns the balancer to which the router sends the packets of a flow: the same one while it runs.
    [[nodiscard]] std::optional<std::size_t> route(const flow_key& key) const
    {
        std::optional<std::size_t> best;
        std::uint64_t best_rank = 0;
        for (std::size_t i = 0; i < balancers_.size(); ++i) {
            const std::uint64_t rank = combine(key.source.address, i + 1);
            if (balancers_[i].role && (!best || rank > best_rank)) {
                best = i;
                best_rank = rank;
            }
        }
        return best;
    }

    // Sends the opening packet of a flow or, once it is open, its next packet; sends it again after a growing
    // time without an answer.
    void send_from_caller(const flow_key& key)
    {
        caller_flow& f = flows_[key];
        const std::uint64_t number = ++f.sent;
        if (const auto i = route(key)) {
            segment s;
            s.key = key;
            s.opens = !f.holder;
            s.acknowledges = f.holder.has_value();
            s.ack_number = f.ack_number;
            outbox out;
            balancers_[*i].role->on_packet(now_, fake_packet(s, s.opens ? "" : "request"), milliseconds(100),
                                           out);
            dispatch_balancer(*i, out);
        }
        schedule(f.retransmit_after, [this, key, number] {
            caller_flow& waiting = flows_[key];
            if (waiting.sent == number) {
                waiting.retransmit_after = std::min(waiting.retransmit_after * 2, milliseconds(1600));
                send_from_caller(key);
            }
        });
    }

    void to_caller(const std::string& packet)
    {
        schedule(milliseconds(1), [this, packet] {
            const segment s = *decode_fake(packet);
            const flow_key key = reversed(s.key);
            caller_flow& f = flows_[key];
            if (s.resets && f.holder) {
                throw std::runtime_error("an open flow was reset: " + to_string(key));
            }
            if (s.resets || (s.opens && f.holder)) {
                return;
            }
            if (s.opens) {
                f.holder = (s.sequence - first_sequence(0)) >> 24U;
                f.ack_number = s.sequence + 1;
            }
            // An answer ends the wait; the next packet follows after a pause.
            f.retransmit_after = milliseconds(200);
            const std::uint64_t number = ++f.sent;
            schedule(milliseconds(s.opens ? 0 : 100 + random_below(900)), [this, key, number] {
                if (flows_[key].sent == number) {
                    send_from_caller(key);
                }
            });
        });
    }

    std::mt19937_64 random_;
    // Range of the duration of long restarts above 5 s, in milliseconds.
    std::uint64_t long_restarts_ms_;
    time_point now_{seconds(1000)};
    std::multimap<time_point, std::function<void()>> events_;
    counters counted_;
    table_state table_;
    std::int64_t revision_ = 0;
    std::vector<target_host> targets_;
    std::vector<balancer_host> balancers_;
    std::unordered_map<flow_key, caller_flow, flow_key_hash> flows_;
    std::size_t delivered_ = 0;
};

}  // namespace peridotcleat::testing

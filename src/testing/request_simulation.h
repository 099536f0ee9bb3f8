#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "peridotcleat/caller.h"
#include "peridotcleat/hash.h"
#include "peridotcleat/request_table.h"
#include "testing/fake_network.h"
#include "testing/fake_upstream.h"
#include "testing/request_checker.h"

namespace peridotcleat::testing {

/// Size and conditions of a simulation run.
struct request_simulation_settings {
    std::uint64_t seed = 1;
    std::size_t targets = 3;
    std::size_t callers = 3;
    request_settings requests;
    caller_settings caller_defaults;
    upstream_behaviour upstreams;
    link_quality network;
    std::chrono::milliseconds tick{25};
    /// Places new flows on the target that holds the fewest flows, instead of one chosen by hash.
    bool least_loaded_placement = false;
};

/// Simulates callers, and targets with their upstreams, over a fake network. A flow directory without errors
/// replaces the balancers and agents, so that packets reach the target that holds the flow.
class request_simulation {
public:
    explicit request_simulation(const request_simulation_settings& settings)
        : settings_(settings), net_(settings.seed)
    {
        settings_.caller_defaults.service = endpoint{0x7f000001, 80};
        net_.set_tick_period(settings.tick);
        net_.set_default_quality(settings.network);
        for (std::size_t i = 0; i < settings.targets; ++i) {
            targets_.push_back(std::make_unique<target_host>(
                endpoint{0x7f000100U + static_cast<std::uint32_t>(i), std::uint16_t{9000}},
                fake_upstream(net_, checker_, settings.upstreams)));
            start_target(i);
        }
        for (std::size_t i = 0; i < settings.callers; ++i) {
            add_caller(i);
        }
    }

    request_simulation(const request_simulation&) = delete;
    request_simulation& operator=(const request_simulation&) = delete;
    request_simulation(request_simulation&&) = delete;
    request_simulation& operator=(request_simulation&&) = delete;
    ~request_simulation() = default;

    fake_network& net() noexcept { return net_; }
    request_checker& checker() noexcept { return checker_; }
    fake_upstream& upstream(std::size_t i) { return targets_[i]->upstream; }
    request_table& table(std::size_t i) { return *targets_[i]->table; }
    caller& caller_at(std::size_t i) { return *callers_[i]->caller_instance; }
    counters& caller_counters(std::size_t i) { return callers_[i]->counted; }
    counters& target_counters() noexcept { return target_counters_; }
    [[nodiscard]] std::size_t targets() const noexcept { return targets_.size(); }
    [[nodiscard]] std::size_t callers() const noexcept { return callers_.size(); }
    [[nodiscard]] bool is_up(std::size_t i) const { return net_.is_alive(targets_[i]->address); }
    [[nodiscard]] std::uint64_t request_count(std::size_t i) const { return callers_[i]->submitted; }
    /// Sets a function that is called for each finished request.
    void set_finish_handler(std::function<void(const finished_request&)> f) { on_finish_ = std::move(f); }

    std::uint64_t submit(std::size_t i, bool idempotent, std::chrono::milliseconds time_limit)
    {
        caller_host& c = *callers_[i];
        const std::uint64_t id = ++c.submitted;
        const request_key key{static_cast<std::uint32_t>(i), id};
        checker_.on_submitted(key, idempotent);
        std::vector<caller_send> out;
        c.caller_instance->submit(net_.now(), {"work", request_body(key), idempotent, time_limit}, out);
        send(c, out);
        return id;
    }
    void cancel(std::size_t i, std::uint64_t id)
    {
        checker_.on_cancelled({static_cast<std::uint32_t>(i), id});
        std::vector<caller_send> out;
        callers_[i]->caller_instance->cancel(net_.now(), id, out);
        send(*callers_[i], out);
    }

    /// Stops a target abruptly, which loses its flows. Its upstream keeps running.
    void crash_target(std::size_t i)
    {
        net_.remove(targets_[i]->address);
        ++targets_[i]->generation;
        remove_flows(i);
    }
    /// Starts a target as a new incarnation.
    void start_target(std::size_t i)
    {
        target_host& t = *targets_[i];
        ++t.generation;
        t.id = incarnation{++last_incarnation_};
        t.draining = false;
        t.push_counts.clear();
        t.table = std::make_unique<request_table>(
            value(request_table::create(settings_.requests, target_counters_)));
        t.table->set_incarnation(t.id);
        net_.add(
            t.address,
            [this, i](time_point now, auto&, const message& m, outbox& out) {
                on_packet(now, i, std::get<wire::caller_packet>(m), out);
            },
            [this, i](time_point now, outbox& out) { tick_target(now, i, out); },
            [this, i](time_point now, outbox& out) { perform_actions(now, i, out); });
    }
    /// Drains a target and stops it once it is idle.
    void drain_target(std::size_t i)
    {
        targets_[i]->draining = true;
        targets_[i]->drain_started = net_.now();
        targets_[i]->table->set_draining(true);
    }
    [[nodiscard]] bool is_draining(std::size_t i) const { return targets_[i]->draining; }

    /// Pushes the next number over a random flow of the target. Does nothing if the target is down or holds
    /// no flow.
    void push(std::size_t i)
    {
        target_host& t = *targets_[i];
        if (t.flows.empty() || !is_up(i)) {
            return;
        }
        auto it = t.flows.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(net_.random()() % t.flows.size()));
        outbox out;
        std::uint64_t& number = t.push_counts[it->second.token];
        const std::string text = push_flow_id(t, it->second.token) + ':' + std::to_string(number + 1);
        if (has_value(t.table->push(net_.now(), flow_token{it->second.token}, text, out))) {
            ++number;
        }
        net_.dispatch(t.address, out);
    }

    /// Pauses a target or a caller for `d`; messages that arrive in this time are handled afterwards.
    void freeze_target(std::size_t i, std::chrono::milliseconds d)
    {
        net_.freeze(targets_[i]->address, net_.now() + d);
    }
    void freeze_caller(std::size_t i, std::chrono::milliseconds d)
    {
        net_.freeze(callers_[i]->address, net_.now() + d);
    }
    /// Cuts both directions between caller `from` and target `to` for `d`.
    void cut(std::size_t from, std::size_t to, std::chrono::milliseconds d)
    {
        net_.cut_groups({callers_[from]->address}, {targets_[to]->address}, true);
        net_.schedule(net_.now() + d, [this, from, to] {
            net_.cut_groups({callers_[from]->address}, {targets_[to]->address}, false);
        });
    }

    /// With probability `p`, duplicates a request that a target receives, and delivers the copy after a
    /// random delay of at most `max_delay`.
    void set_request_duplication(double p, std::chrono::milliseconds max_delay)
    {
        duplicate_probability_ = p;
        max_duplicate_delay_ = max_delay;
    }
    /// With probability `p`, routes a packet to a random target.
    void set_misroute_probability(double p) { misroute_probability_ = p; }

    /// Checks the invariants that must hold at the end of a run: finished requests, retries, and pushes of
    /// idle targets. Call once all deadlines have passed.
    void check_final_state()
    {
        checker_.check_all_finished();
        for (std::size_t i = 0; i < callers_.size(); ++i) {
            checker_.check_retries(static_cast<std::uint32_t>(i), callers_[i]->submitted, retry_count(i),
                                   settings_.caller_defaults.retry_percent);
        }
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            if (is_up(i) && targets_[i]->table->is_idle(net_.now())) {
                check_pushes(*targets_[i]);
            }
        }
    }

    [[nodiscard]] std::uint64_t retry_count(std::size_t i) const
    {
        std::uint64_t n = 0;
        for (const auto& [name, count] : callers_[i]->counted.snapshot()) {
            n += name.starts_with("retried_") ? count : 0;
        }
        return n;
    }

private:
    struct held_flow {
        std::int64_t nonce = 0;
        std::int64_t token = 0;
    };

    struct target_host {
        target_host(const endpoint& e, fake_upstream u) : address(e), upstream(std::move(u)) {}

        endpoint address;
        fake_upstream upstream;
        std::unique_ptr<request_table> table;
        incarnation id;
        std::uint64_t generation = 0;
        bool draining = false;
        time_point drain_started;
        std::map<flow_key, held_flow> flows;
        std::map<std::int64_t, std::uint64_t> push_counts;
    };

    struct caller_host {
        std::uint32_t number = 0;
        endpoint address;
        counters counted;
        std::unique_ptr<caller> caller_instance;
        std::uint64_t submitted = 0;
    };

    static std::string push_flow_id(const target_host& t, std::int64_t token)
    {
        return std::to_string(t.id.value) + '.' + std::to_string(token);
    }

    // Checks that an idle target has delivered all pushes of its flows. A run must be shorter than the answer
    // retention, because afterwards is_idle ignores unacknowledged pushes.
    void check_pushes(target_host& t)
    {
        for (const auto& [key, flow] : t.flows) {
            checker_.check_all_pushed(push_flow_id(t, flow.token), t.push_counts[flow.token]);
        }
    }

    void add_caller(std::size_t i)
    {
        callers_.push_back(std::make_unique<caller_host>());
        caller_host& c = *callers_.back();
        c.number = static_cast<std::uint32_t>(i);
        c.address = endpoint{0x7f010000U + c.number, 1};
        caller_settings s = settings_.caller_defaults;
        s.local = endpoint{c.address.address, 20000};
        s.seed = settings_.seed * 1000 + i;
        c.caller_instance = std::make_unique<caller>(value(caller::create(s, c.counted)));
        net_.add(
            c.address,
            [this, &c](time_point now, auto&, const message& m, outbox&) {
                const auto& p = std::get<wire::return_packet>(m);
                std::vector<caller_send> out;
                c.caller_instance->on_payload(now, from_wire(p.key).source.port, p.payload, out);
                send(c, out);
            },
            [this, &c](time_point now, outbox&) {
                std::vector<caller_send> out;
                c.caller_instance->on_tick(now, out);
                send(c, out);
            });
        std::vector<caller_send> out;
        c.caller_instance->open(net_.now(), out);
        send(c, out);
    }

    void send(caller_host& c, const std::vector<caller_send>& sends)
    {
        for (const caller_send& s : sends) {
            const flow_key key{{c.address.address, s.port}, settings_.caller_defaults.service, 17};
            wire::caller_packet p;
            p.key = to_wire(key);
            p.payload = s.payload;
            net_.send(c.address, route(key), p);
        }
        for (const finished_request& f : c.caller_instance->take_finished()) {
            checker_.on_finished(c.number, f);
            if (on_finish_) {
                on_finish_(f);
            }
        }
        for (const std::string& text : c.caller_instance->take_pushes()) {
            checker_.on_push(text);
        }
        (void)c.caller_instance->take_released_ports();
    }

    // Returns the target that holds the flow, or for a new flow a target that accepts new flows. If no target
    // accepts flows, returns one that is down or draining. A misrouted packet goes to a random target
    // instead.
    endpoint route(const flow_key& key)
    {
        if (net_.chance(misroute_probability_)) {
            return targets_[net_.random()() % targets_.size()]->address;
        }
        if (const auto it = directory_.find(key); it != directory_.end()) {
            return targets_[it->second]->address;
        }
        const std::size_t start =
            settings_.least_loaded_placement ? least_loaded() : std::size_t{hash_of(key) % targets_.size()};
        for (std::size_t n = 0; n < targets_.size(); ++n) {
            const std::size_t i = (start + n) % targets_.size();
            if (is_up(i) && !targets_[i]->draining) {
                if (settings_.least_loaded_placement) {
                    // The flow counts toward the load of its target from now on, so that flows that open at
                    // the same time are spread as well.
                    directory_[key] = i;
                }
                return targets_[i]->address;
            }
        }
        return targets_[start]->address;
    }

    [[nodiscard]] std::size_t least_loaded() const
    {
        std::vector<std::size_t> load(targets_.size());
        for (const auto& [key, i] : directory_) {
            ++load[i];
        }
        return static_cast<std::size_t>(std::min_element(load.begin(), load.end()) - load.begin());
    }

    void remove_flows(std::size_t i)
    {
        for (const auto& [key, flow] : targets_[i]->flows) {
            if (const auto it = directory_.find(key); it != directory_.end() && it->second == i) {
                directory_.erase(it);
            }
        }
        targets_[i]->flows.clear();
    }

    void on_packet(time_point now, std::size_t i, const wire::caller_packet& p, outbox& out)
    {
        target_host& t = *targets_[i];
        const flow_key key = from_wire(p.key);
        const caller_message m = value(decode_caller(p.payload));
        if (std::holds_alternative<wire::request>(m) && net_.chance(duplicate_probability_)) {
            const auto extra =
                std::chrono::milliseconds(net_.random()() % (max_duplicate_delay_.count() + 1));
            net_.schedule(now + extra, [this, p, key] { net_.send(endpoint{}, route(key), p); });
        }
        const auto flow = t.flows.find(key);
        if (const auto* o = std::get_if<wire::flow_open>(&m)) {
            open_flow(now, i, key, o->nonce, out);
        } else if (const auto* c = std::get_if<wire::flow_close>(&m)) {
            if (flow != t.flows.end() && flow->second.token == c->token) {
                close_flow(now, i, key, out);
            }
            wire::flow_close_ack ack;
            ack.token = c->token;
            out.reply(key, ack);
        } else if (flow == t.flows.end() && !(std::holds_alternative<wire::request>(m) && net_.chance(0.5))) {
            reset(t, key, m, out);
        } else if (const auto* k = std::get_if<wire::flow_keepalive>(&m)) {
            out.reply(key, *k);
        } else {
            t.table->on_payload(now, key, m, out);
        }
    }

    // Replies with a reset for a flow that does not exist, as an agent with a complete directory does.
    static void reset(const target_host& t, const flow_key& key, const caller_message& m, outbox& out)
    {
        std::visit(
            [&](const auto& body) {
                if constexpr (requires { body.token; }) {
                    wire::flow_reset r;
                    r.incarnation = t.id.value;
                    r.token = body.token;
                    out.reply(key, r);
                }
            },
            m);
    }

    void open_flow(time_point now, std::size_t i, const flow_key& key, std::int64_t nonce, outbox& out)
    {
        target_host& t = *targets_[i];
        const auto it = t.flows.find(key);
        if (it == t.flows.end() || it->second.nonce != nonce) {
            if (t.draining) {
                wire::flow_refused refused;
                refused.nonce = nonce;
                refused.reason = static_cast<std::int16_t>(error_code::draining);
                out.reply(key, refused);
                return;
            }
            close_flow(now, i, key, out);
            t.flows[key] = {nonce, ++last_token_};
            directory_[key] = i;
            t.table->on_flow_opened(now, key, flow_token{last_token_});
        }
        wire::flow_open_ack ack;
        ack.nonce = nonce;
        ack.incarnation = t.id.value;
        ack.token = t.flows[key].token;
        out.reply(key, ack);
    }

    void close_flow(time_point now, std::size_t i, const flow_key& key, outbox& out)
    {
        target_host& t = *targets_[i];
        const auto it = t.flows.find(key);
        if (it == t.flows.end()) {
            return;
        }
        t.table->on_flow_closed(now, flow_token{it->second.token}, out);
        t.flows.erase(it);
        if (const auto d = directory_.find(key); d != directory_.end() && d->second == i) {
            directory_.erase(d);
        }
    }

    void tick_target(time_point now, std::size_t i, outbox& out)
    {
        target_host& t = *targets_[i];
        t.table->on_tick(now, out);
        if (t.draining && t.table->is_idle(now)) {
            checker_.on_planned_stop(t.id, t.table->in_progress());
            check_pushes(t);
            t.draining = false;
            crash_target(i);
        }
    }

    void perform_actions(time_point now, std::size_t i, outbox& out)
    {
        target_host& t = *targets_[i];
        for (const caller_reply& r : out.replies) {
            wire::return_packet p;
            p.key = to_wire(r.key);
            p.payload = encode(r.body);
            net_.send(t.address, endpoint{r.key.source.address, 1}, p);
        }
        if (!out.calls.empty() && t.draining) {
            checker_.on_start_while_draining(t.id, now - t.drain_started);
        }
        for (const upstream_call& c : out.calls) {
            t.upstream.call(c, t.id, [this, i, generation = t.generation](const upstream_result& r) {
                target_host& host = *targets_[i];
                if (host.generation != generation) {
                    return;
                }
                outbox results;
                host.table->on_upstream_result(net_.now(), r, results);
                net_.dispatch(host.address, results);
            });
        }
        for (const upstream_cancel& c : out.cancels) {
            t.upstream.cancel(c.id);
        }
    }

    request_simulation_settings settings_;
    fake_network net_;
    request_checker checker_;
    counters target_counters_;
    std::vector<std::unique_ptr<target_host>> targets_;
    std::vector<std::unique_ptr<caller_host>> callers_;
    std::map<flow_key, std::size_t> directory_;
    std::function<void(const finished_request&)> on_finish_;
    std::int64_t last_incarnation_ = 0;
    std::int64_t last_token_ = 0;
    double duplicate_probability_ = 0;
    std::chrono::milliseconds max_duplicate_delay_{0};
    double misroute_probability_ = 0;
};

}  // namespace peridotcleat::testing

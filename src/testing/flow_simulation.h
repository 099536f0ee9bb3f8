#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peridotcleat/balancer.h"
#include "peridotcleat/flow_owner.h"
#include "testing/fake_network.h"
#include "testing/flow_checker.h"
#include "testing/table_source.h"

namespace peridotcleat::testing {

/// Settings of one run.
struct flow_simulation_settings {
    std::uint64_t seed = 1;
    std::chrono::milliseconds change_duration{3000};
    std::chrono::milliseconds change_interval{150};
    std::size_t flows = 10;
    std::size_t balancers = 3;
    std::size_t services = 2;
    std::size_t targets = 3;
    /// Longest time until a change reaches a node; three quarters of the changes take at most a tenth of it.
    std::chrono::milliseconds max_lag{1500};
    bool failures = true;
};

/// Simulates callers, balancers and agents while the table changes continually. Each packet of a caller goes
/// to a random balancer, and each node has its own revision of the table. There is no control process: the
/// simulation applies each change at each node after a random delay.
class flow_simulation {
public:
    explicit flow_simulation(const flow_simulation_settings& settings)
        : settings_(settings), net_(settings.seed), checker_(answer_limit())
    {
        net_.set_tick_period(std::chrono::milliseconds(100));
        link_quality quality;
        quality.delay = std::chrono::microseconds(200 + random_below(5000));
        quality.jitter = std::chrono::microseconds(random_below(8) == 0 ? 300'000 : 1 + random_below(20'000));
        quality.loss = 0.01 * static_cast<double>(random_below(11));
        quality.duplication = 0.01 * static_cast<double>(random_below(11));
        net_.set_default_quality(quality);
        routes_.push_back(route_table::build(table_));
        for (std::size_t i = 0; i < settings.services; ++i) {
            add_service();
        }
        for (std::size_t i = 0; i < settings.targets * settings.services; ++i) {
            join_target(
                std::next(table_.services().begin(), static_cast<std::ptrdiff_t>(i % settings.services))
                    ->first,
                {});
        }
        for (std::size_t i = 0; i < settings.balancers; ++i) {
            add_balancer();
        }
        net_.add(
            caller_host,
            [this](time_point now, const endpoint&, const message& m, outbox&) { on_return(now, m); },
            [this](time_point now, outbox&) { run_caller_timers(now); });
        // The run starts when all nodes have the first table.
        net_.run_for(std::chrono::milliseconds(500));
        started_ = true;
    }

    /// Runs to the end, or to the first violation.
    void run()
    {
        const time_point changes_end = net_.now() + settings_.change_duration;
        const time_point run_end = changes_end + settings_.max_lag + answer_limit();
        time_point next_change = net_.now();
        while (net_.now() < run_end && checker_.violations().empty()) {
            if (net_.now() >= next_change && net_.now() < changes_end) {
                make_random_change();
                next_change = net_.now() +
                              std::chrono::milliseconds(random_below(2 * settings_.change_interval.count()));
            }
            if (net_.now() < changes_end) {
                open_new_flows();
            }
            net_.run_for(std::chrono::milliseconds(50));
        }
    }

    [[nodiscard]] const flow_checker& checker() const noexcept { return checker_; }
    [[nodiscard]] std::size_t changes() const noexcept { return routes_.size() - 1; }
    [[nodiscard]] std::size_t failed_opens() const noexcept { return failed_opens_; }
    [[nodiscard]] std::size_t flows_opened() const noexcept { return opened_; }
    [[nodiscard]] std::size_t flows_still_open() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            flows_, [](const auto& f) { return f.second.current_phase == caller_flow_state::phase::open; }));
    }

private:
    using phase = caller_flow_state::phase;

    struct node {
        endpoint address;
        // Index into `routes_` of the table that the node has.
        std::size_t table_index = 0;
        std::unique_ptr<counters> counted = std::make_unique<counters>();
        // Unset for balancers.
        std::optional<flow_owner> flows;
        incarnation id;
        service_id service;
        bool draining = false;
    };

    static constexpr endpoint caller_host{0x7f000001U, 1};
    // Factor from simulated time to the time in table entries, so that the quarantine of 60 s passes in 5 s,
    // which is still more than the longest lag.
    static constexpr std::int64_t time_scale = 12;
    static constexpr std::chrono::seconds open_timeout{10};

    [[nodiscard]] std::chrono::milliseconds answer_limit() const
    {
        return settings_.max_lag + std::chrono::seconds(4);
    }

    std::uint64_t random_below(std::uint64_t n) { return net_.random()() % n; }

    std::int64_t entry_time() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(net_.now().time_since_epoch()).count() *
               time_scale;
    }

    // ---- Table ----

    apply_outcome apply(const wire::change& change)
    {
        apply_outcome outcome = table_.apply(next_revision(table_), change);
        routes_.push_back(route_table::rebuild(*routes_.back(), table_, outcome.changed_services));
        for (const auto& item : nodes_) {
            schedule_table(item.second);
        }
        return outcome;
    }

    void schedule_table(const std::shared_ptr<node>& n)
    {
        const auto longest = static_cast<std::uint64_t>(settings_.max_lag.count());
        const auto lag = std::chrono::milliseconds(
            !started_ ? 0 : random_below(random_below(4) == 0 ? longest : 1 + longest / 10));
        net_.schedule(net_.now() + lag, [this, weak = std::weak_ptr(n), table_index = routes_.size() - 1] {
            const auto receiver = weak.lock();
            if (receiver != nullptr && net_.is_alive(receiver->address) &&
                receiver->table_index < table_index) {
                receiver->table_index = table_index;
                apply_routes(*receiver);
            }
        });
    }

    void apply_routes(node& n)
    {
        if (!n.flows) {
            return;
        }
        outbox out;
        n.flows->set_routes(net_.now(), routes_[n.table_index], n.service, n.id, out);
        dispatch_actions(n, out);
    }

    // ---- Changes ----

    void make_random_change()
    {
        const std::uint64_t kind = random_below(20);
        if (kind < 6) {
            join_target(any_service(), {});
        } else if (kind < 11) {
            drain_target();
        } else if (kind < 12) {
            fail_target();
        } else if (kind < 14) {
            add_balancer();
        } else if (kind < 16) {
            remove_balancer();
        } else if (kind < 17) {
            remove_service();
        } else if (kind < 18) {
            add_service();
        } else {
            move_address();
        }
        remove_empty_targets();
    }

    service_id any_service()
    {
        return std::next(table_.services().begin(),
                         static_cast<std::ptrdiff_t>(random_below(table_.services().size())))
            ->first;
    }

    std::vector<std::shared_ptr<node>> active_targets(service_id service)
    {
        std::vector<std::shared_ptr<node>> found;
        for (const auto& item : nodes_) {
            if (item.second->flows && item.second->service == service && !item.second->draining) {
                found.push_back(item.second);
            }
        }
        return found;
    }

    void join_target(service_id service, std::optional<endpoint> reused_address)
    {
        if (!reused_address && active_targets(service).size() >= 7) {
            return;
        }
        const endpoint address = reused_address.value_or(endpoint{0x7f010000U + next_host_++, 9000});
        const auto outcome = apply(make_target_join(entry_time(), service, address, next_nonce_++,
                                                    static_cast<std::int32_t>(1 + random_below(7))));
        if (!outcome.joined) {
            return;
        }
        flow_settings limits;
        limits.address = address;
        limits.connections = 2000;
        auto n = std::make_shared<node>();
        n->address = address;
        n->flows.emplace(value(flow_owner::create(limits, *n->counted)));
        n->id = *outcome.joined;
        n->service = service;
        checker_.on_target_joined(n->id, service);
        add_node(n);
        net_.add(
            address,
            [this, n](time_point now, const endpoint& from, const message& m, outbox& out) {
                n->flows->on_message(now, from, m, out);
                check_events(now, *n);
            },
            [this, n](time_point now, outbox& out) {
                n->flows->on_tick(now, out);
                check_events(now, *n);
            },
            [this, n](time_point, outbox& out) { send_replies(*n, out); });
        schedule_table(n);
    }

    void add_node(const std::shared_ptr<node>& n) { nodes_[n->address] = n; }

    void drain_target()
    {
        const auto targets = active_targets(any_service());
        if (targets.size() < 2) {
            return;
        }
        node& n = *targets[random_below(targets.size())];
        n.draining = true;
        checker_.on_target_draining(net_.now(), n.id);
        apply(make_target_drain(entry_time(), n.id));
    }

    // Lets an upstream VM fail, and replaces it by one with the same address.
    void fail_target()
    {
        const auto targets = active_targets(any_service());
        if (!settings_.failures || targets.size() < 2) {
            return;
        }
        const std::shared_ptr<node>& n = targets[random_below(targets.size())];
        checker_.on_target_failed(n->id, net_.now() + std::chrono::seconds(1) + settings_.max_lag);
        nodes_.erase(n->address);
        net_.remove(n->address);
        net_.schedule(net_.now() + std::chrono::milliseconds(random_below(1000)), [this, n] {
            if (table_.services().contains(n->service)) {
                join_target(n->service, n->address);
            }
        });
    }

    void remove_empty_targets()
    {
        std::vector<std::shared_ptr<node>> empty_targets;
        for (const auto& item : nodes_) {
            node& n = *item.second;
            if (n.flows && n.draining && n.flows->flows() == 0 && n.flows->waiting() == 0 &&
                routes_[n.table_index]->find(n.service) != nullptr && n.flows->owned_buckets() == 0) {
                empty_targets.push_back(item.second);
            }
        }
        for (const auto& n : empty_targets) {
            checker_.on_target_left(net_.now(), n->id, n->flows->flows());
            nodes_.erase(n->address);
            net_.remove(n->address);
            apply(make_target_leave(entry_time(), n->id));
        }
    }

    void add_balancer()
    {
        const auto count = std::ranges::count_if(nodes_, [](const auto& n) { return !n.second->flows; });
        if (count >= 6) {
            return;
        }
        auto n = std::make_shared<node>();
        n->address = {0x7f020000U + next_host_++, 7000};
        n->table_index = routes_.size() - 1;
        add_node(n);
        net_.add(
            n->address,
            [this, n](time_point, const endpoint&, const message& m, outbox& out) {
                route_packet(*n, m, out);
            },
            [](time_point, outbox&) {});
    }

    void remove_balancer()
    {
        const auto all = balancers();
        if (all.size() > 1) {
            const endpoint address = all[random_below(all.size())]->address;
            net_.remove(address);
            nodes_.erase(address);
        }
    }

    std::vector<std::shared_ptr<node>> balancers()
    {
        std::vector<std::shared_ptr<node>> found;
        for (const auto& item : nodes_) {
            if (!item.second->flows) {
                found.push_back(item.second);
            }
        }
        return found;
    }

    apply_outcome patch(operation kind, const wire::service_entry& value)
    {
        return apply(make_patch(entry_time(), "patch-" + std::to_string(next_nonce_++),
                                table_.version().value, {make_operation(kind, value)}));
    }

    void add_service()
    {
        if (table_.services().size() >= 4) {
            return;
        }
        const auto number = next_host_++;
        patch(operation::add,
              make_service("service-" + std::to_string(number),
                           {endpoint{0x0a000000U + number, 80}, endpoint{0x0a000000U + number, 81}}));
        const service_id id = table_.services().rbegin()->first;
        join_target(id, {});
        join_target(id, {});
    }

    void remove_service()
    {
        if (table_.services().size() < 3) {
            return;
        }
        const service_id id = any_service();
        const wire::service_entry entry = table_.services().at(id);
        checker_.on_service_removed(id);
        for (const wire::endpoint& a : entry.addresses) {
            free_addresses_.push_back(from_wire(a));
        }
        patch(operation::remove, entry);
        std::erase_if(nodes_, [id](const auto& n) { return n.second->flows && n.second->service == id; });
    }

    // Removes an address from a service, or adds one that was removed before to a service.
    void move_address()
    {
        wire::service_entry entry = table_.services().at(any_service());
        if (!free_addresses_.empty() && random_below(3) != 0) {
            const endpoint address = free_addresses_[random_below(free_addresses_.size())];
            entry.addresses.push_back(to_wire(address));
            // Refused while the address is in quarantine.
            if (const auto outcome = patch(operation::change, entry);
                outcome.patch && outcome.patch->status == patch_status::accepted) {
                std::erase(free_addresses_, address);
                moved_addresses_.insert_or_assign(address, service_id{entry.id});
            }
        } else if (entry.addresses.size() > 1) {
            const endpoint address = from_wire(entry.addresses.back());
            entry.addresses.pop_back();
            checker_.on_address_removed(address, {entry.id});
            free_addresses_.push_back(address);
            patch(operation::change, entry);
        }
    }

    // ---- Packets ----

    void route_packet(const node& n, const message& m, outbox& out)
    {
        const auto* packet = std::get_if<wire::caller_packet>(&m);
        route_decision decision;
        if (packet == nullptr ||
            route(*routes_[n.table_index], from_wire(packet->key), decision) != error_code::ok) {
            return;
        }
        wire::forwarded_packet f;
        f.key = packet->key;
        f.service_id = decision.service.value;
        f.revision = decision.table_revision.value;
        f.incarnation = decision.owner.value;
        f.balancer = to_wire(n.address);
        f.payload = packet->payload;
        out.send(decision.agent, std::move(f));
    }

    void dispatch_actions(node& n, outbox& out)
    {
        check_events(net_.now(), n);
        net_.dispatch(n.address, out);
    }

    void check_events(time_point now, node& n)
    {
        for (const flow_event& e : n.flows->take_events()) {
            const auto it = flows_.find(e.key);
            if (it == flows_.end()) {
                continue;
            }
            if (e.kind == flow_event_kind::opened) {
                checker_.on_opened(now, n.id, it->second);
            } else if (e.kind == flow_event_kind::payload) {
                checker_.on_delivered(now, n.id, it->second);
            }
        }
    }

    void send_replies(node& n, outbox& out)
    {
        for (const caller_reply& r : out.replies) {
            wire::return_packet p;
            p.key = to_wire(r.key);
            p.payload = encode(r.body);
            net_.send(n.address, caller_host, std::move(p));
        }
    }

    void send_through_balancer(const caller_flow_state& f, const caller_message& m)
    {
        const auto all = balancers();
        wire::caller_packet p;
        p.key = to_wire(f.key);
        p.payload = encode(m);
        net_.send(caller_host, all[random_below(all.size())]->address, std::move(p));
    }

    // ---- Callers ----

    void open_new_flows()
    {
        const auto live = static_cast<std::size_t>(std::ranges::count_if(
            flows_, [](const auto& f) { return f.second.current_phase <= phase::open; }));
        for (std::size_t i = live; i < settings_.flows && i < live + 4; ++i) {
            const wire::service_entry& service = table_.services().at(any_service());
            caller_flow_state f;
            f.key.source = {0xc0a80000U + next_host_++, 5000};
            f.key.destination = from_wire(service.addresses[random_below(service.addresses.size())]);
            f.service = {service.id};
            f.nonce = next_nonce_++;
            f.opening_since = net_.now();
            f.next_send = net_.now();
            // Half of the flows stay open until the end of the run.
            f.close_at = random_below(2) == 0
                             ? time_point::max()
                             : net_.now() + std::chrono::milliseconds(200 + random_below(5000));
            flows_.emplace(f.key, f);
        }
    }

    void send_open(const caller_flow_state& f)
    {
        wire::flow_open m;
        m.nonce = f.nonce;
        send_through_balancer(f, m);
        if (random_below(4) == 0) {
            send_through_balancer(f, m);
        }
    }

    void send_close(const caller_flow_state& f)
    {
        wire::flow_close m;
        m.incarnation = f.holder.value;
        m.token = f.token.value;
        send_through_balancer(f, m);
    }

    void send_on_open_flow(time_point now, caller_flow_state& f)
    {
        wire::flow_keepalive alive;
        alive.token = f.token.value;
        send_through_balancer(f, alive);
        f.unanswered_since = f.unanswered_since.value_or(now);
        if (random_below(4) == 0) {
            wire::request r;
            r.incarnation = f.holder.value;
            r.token = f.token.value;
            send_through_balancer(f, r);
        }
        // Once the address may belong to another service, an opening packet would correctly open a flow
        // there.
        if (random_below(8) == 0 && !checker_.may_end(f)) {
            send_open(f);
        }
    }

    void run_caller_timers(time_point now)
    {
        for (auto& item : flows_) {
            caller_flow_state& f = item.second;
            checker_.check_answer(now, f);
            if (f.next_send > now || f.current_phase >= phase::closed) {
                continue;
            }
            const bool idle = f.current_phase == phase::open && !f.unanswered_since;
            f.next_send =
                now + std::chrono::milliseconds(idle ? 300 + random_below(900) : 150 + random_below(100));
            if (f.current_phase == phase::opening && checker_.may_end(f)) {
                f.current_phase = phase::failed;
            } else if (f.current_phase == phase::opening && f.opening_since + open_timeout < now) {
                f.current_phase = phase::failed;
                ++failed_opens_;
            } else if (f.current_phase == phase::opening) {
                send_open(f);
            } else if (f.current_phase == phase::open && f.close_at < now) {
                f.current_phase = phase::closing;
                send_close(f);
            } else if (f.current_phase == phase::open) {
                send_on_open_flow(now, f);
            } else {
                send_close(f);
            }
        }
    }

    void on_return(time_point now, const message& m)
    {
        const auto* packet = std::get_if<wire::return_packet>(&m);
        const auto it = packet != nullptr ? flows_.find(from_wire(packet->key)) : flows_.end();
        const auto body =
            packet != nullptr ? decode_caller(packet->payload) : result<caller_message>(error{});
        if (it == flows_.end() || !has_value(body)) {
            return;
        }
        caller_flow_state& f = it->second;
        if (const auto* ack = std::get_if<wire::flow_open_ack>(&value(body)); ack && ack->nonce == f.nonce) {
            on_ack(now, f, *ack);
        } else if (const auto* alive = std::get_if<wire::flow_keepalive>(&value(body));
                   alive && alive->token == f.token.value) {
            f.unanswered_since.reset();
        } else if (const auto* reset = std::get_if<wire::flow_reset>(&value(body));
                   reset && reset->token == f.token.value) {
            checker_.on_reset(now, f);
            f.current_phase = phase::closed;
        } else if (const auto* closed = std::get_if<wire::flow_close_ack>(&value(body));
                   closed && closed->token == f.token.value) {
            f.current_phase = phase::closed;
        } else if (const auto* refused = std::get_if<wire::flow_refused>(&value(body));
                   refused && refused->nonce == f.nonce && f.current_phase == phase::opening) {
            f.current_phase = phase::failed;
        }
    }

    void on_ack(time_point now, caller_flow_state& f, const wire::flow_open_ack& ack)
    {
        checker_.on_ack(now, f, {ack.incarnation}, {ack.token});
        if (f.current_phase == phase::opening) {
            f.current_phase = phase::open;
            f.holder = {ack.incarnation};
            f.token = {ack.token};
            ++opened_;
        } else if (f.current_phase == phase::failed) {
            f.holder = {ack.incarnation};
            f.token = {ack.token};
            f.current_phase = phase::closing;
        }
    }

    flow_simulation_settings settings_;
    fake_network net_;
    flow_checker checker_;
    table_state table_;
    std::vector<std::shared_ptr<const route_table>> routes_;
    std::map<endpoint, std::shared_ptr<node>> nodes_;
    std::map<flow_key, caller_flow_state> flows_;
    std::vector<endpoint> free_addresses_;
    std::map<endpoint, service_id> moved_addresses_;
    std::uint32_t next_host_ = 1;
    std::int64_t next_nonce_ = 1;
    bool started_ = false;
    std::size_t failed_opens_ = 0;
    std::size_t opened_ = 0;
};

}  // namespace peridotcleat::testing

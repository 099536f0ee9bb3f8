#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "peridotcleat/control.h"
#include "peridotcleat/node_link.h"
#include "peridotcleat/relay.h"
#include "testing/fake_disk.h"
#include "testing/fake_network.h"

namespace peridotcleat::testing {

/// Size and shape of a cluster in one process. Processes are spread evenly over the zones.
struct cluster_shape {
    std::size_t controls = 3;
    std::size_t balancers = 4;
    std::size_t agents = 8;
    std::size_t services = 2;
    std::size_t zones = 2;
    std::int64_t snapshot_after = 4096;
    std::chrono::milliseconds tick{40};
    std::chrono::milliseconds answer_timeout{10000};
};

/// A control process and its disk, which outlives restarts.
struct control_process {
    endpoint address;
    std::string name;
    std::shared_ptr<fake_disk_content> disk;
    std::unique_ptr<control<fake_disk>> role;
    counters counted;
    /// Processor time of the role, if the cluster measures it.
    std::chrono::nanoseconds processor_time{0};
};

/// A balancer (with a relay) or an agent (without).
struct node_process {
    endpoint address;
    std::string name;
    std::string zone;
    node_role kind = node_role::balancer;
    std::string service;
    std::unique_ptr<node_link> link;
    std::unique_ptr<relay> children;
    counters counted;
    /// Processor time of the role, if the cluster measures it.
    std::chrono::nanoseconds processor_time{0};
    /// Called after each event of the host.
    std::function<void(node_process&)> on_event;
};

/// Adds the processor time of its scope to `sum`, if there is one.
class stopwatch {
public:
    explicit stopwatch(std::chrono::nanoseconds* sum) : sum_(sum), start_(sum != nullptr ? read() : 0) {}
    ~stopwatch()
    {
        if (sum_ != nullptr) {
            *sum_ += std::chrono::nanoseconds(read() - start_);
        }
    }
    stopwatch(const stopwatch&) = delete;
    stopwatch& operator=(const stopwatch&) = delete;

private:
    static std::int64_t read()
    {
        timespec t{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
        return (t.tv_sec * std::int64_t{1'000'000'000}) + t.tv_nsec;
    }

    std::chrono::nanoseconds* sum_;
    std::int64_t start_;
};

/// Hosts control processes, balancers and agents on a fake network, and restarts them.
class control_cluster {
public:
    control_cluster(std::uint64_t seed, cluster_shape shape) : shape_(shape), net_(seed), seeds_(seed)
    {
        net_.set_tick_period(shape.tick);
        for (std::size_t i = 0; i < shape.controls; ++i) {
            auto& c = *controls_.emplace_back(std::make_unique<control_process>());
            c.address = address(0, i);
            c.name = "control-" + std::to_string(i);
            c.disk = std::make_shared<fake_disk_content>(cluster_id{1}, c.name, seeds_());
        }
        for (std::size_t i = 0; i < shape.balancers; ++i) {
            add_node(address(1, i), "balancer-" + std::to_string(i), i, node_role::balancer);
        }
        for (std::size_t i = 0; i < shape.agents; ++i) {
            auto& a = add_node(address(2, i), "agent-" + std::to_string(i), i, node_role::target);
            a.service = service_name(i % shape.services);
        }
    }

    static std::string service_name(std::size_t i) { return "service-" + std::to_string(i); }
    static endpoint address(std::uint32_t group, std::size_t i)
    {
        return {0x7f000000U + (group << 16U) + static_cast<std::uint32_t>(i) + 1, 7000};
    }
    /// Zone of a process of any kind.
    [[nodiscard]] std::size_t zone_of(const endpoint& at) const
    {
        return ((at.address & 0xffffU) - 1) % shape_.zones;
    }

    void start_control(std::size_t i, bool bootstrap)
    {
        control_process& c = *controls_[i];
        control_settings s;
        s.snapshot_after = shape_.snapshot_after;
        s.answer_timeout = shape_.answer_timeout;
        s.replica.name = c.name;
        s.replica.address = c.address;
        s.replica.bootstrap = bootstrap;
        s.replica.seed = seeds_();
        for (const auto& other : controls_) {
            s.replica.peers.push_back(other->address);
            wire::member m;
            m.name = other->name;
            m.address = to_wire(other->address);
            m.voter = true;
            s.replica.initial_members.push_back(m);
        }
        auto opened = control<fake_disk>::open(s, fake_disk(c.disk), net_.now(), c.counted);
        if (!has_value(opened)) {
            throw std::runtime_error(c.name + ": " + failure(opened).message);
        }
        c.role = std::make_unique<control<fake_disk>>(value(std::move(opened)));
        net_.add(
            c.address,
            [this, &c](time_point now, const endpoint& from, const message& m, outbox& out) {
                const stopwatch watch(measure_ ? &c.processor_time : nullptr);
                c.role->on_message(now, from, m, out);
                flush_control(now, c, out);
            },
            [this, &c](time_point now, outbox& out) {
                const stopwatch watch(measure_ ? &c.processor_time : nullptr);
                c.role->on_tick(now, wall(), out);
                flush_control(now, c, out);
            });
    }

    /// Ends a control process; what its disk has not synced may be lost.
    void kill_control(std::size_t i)
    {
        net_.remove(controls_[i]->address);
        controls_[i]->role.reset();
        controls_[i]->disk->crash();
    }
    void start_node(node_process& n)
    {
        node_link_settings s;
        s.role = n.kind;
        s.name = n.name;
        s.zone = n.zone;
        s.address = n.address;
        s.seed = seeds_();
        if (n.kind == node_role::balancer) {
            for (const auto& c : controls_) {
                s.parents.push_back(c->address);
            }
            n.children = std::make_unique<relay>(relay_limits::of_balancer(), n.counted);
        } else {
            for (const auto& b : nodes_) {
                if (b->kind == node_role::balancer && b->zone == n.zone) {
                    s.parents.push_back(b->address);
                }
            }
        }
        n.link = std::make_unique<node_link>(value(node_link::create(s, n.counted)));
        if (n.kind == node_role::target) {
            n.link->set_offer({n.service, 2, 2000});
        }
        net_.add(
            n.address,
            [this, &n](time_point now, const endpoint& from, const message& m, outbox& out) {
                const stopwatch watch(measure_ ? &n.processor_time : nullptr);
                node_message(now, n, from, m, out);
            },
            [this, &n](time_point now, outbox& out) {
                const stopwatch watch(measure_ ? &n.processor_time : nullptr);
                node_tick(now, n, out);
            });
    }
    void kill_node(node_process& n)
    {
        net_.remove(n.address);
        n.link.reset();
        n.children.reset();
    }

    void start_all()
    {
        for (std::size_t i = 0; i < controls_.size(); ++i) {
            start_control(i, true);
        }
        for (auto& n : nodes_) {
            start_node(*n);
        }
    }

    /// Runs the event handlers' follow-up of a control process; also needed after submitting to it.
    void flush_control(time_point now, control_process& c, outbox& out)
    {
        (void)c.role->flush(now, out);
        if (on_control_event) {
            on_control_event(c);
        }
    }
    /// As `settle`, from outside an event of the host.
    void flush_control(control_process& c)
    {
        outbox out;
        flush_control(net_.now(), c, out);
        net_.dispatch(c.address, out);
    }

    /// Returns the control process that leads with a valid lease, if any.
    control_process* leader()
    {
        for (auto& c : controls_) {
            if (c->role && net_.is_alive(c->address) && c->role->leading() &&
                c->role->log().lease_valid(net_.now())) {
                return c.get();
            }
        }
        return nullptr;
    }

    /// Measures the processor time of each role from now on.
    void measure_processor_time() noexcept { measure_ = true; }

    fake_network& net() noexcept { return net_; }
    std::vector<std::unique_ptr<control_process>>& controls() noexcept { return controls_; }
    std::vector<std::unique_ptr<node_process>>& nodes() noexcept { return nodes_; }
    [[nodiscard]] const cluster_shape& shape() const noexcept { return shape_; }
    /// Wall time that passes as the network's time does.
    [[nodiscard]] wall_time wall() const
    {
        return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(net_.now().time_since_epoch() +
                                                                               std::chrono::hours(24)));
    }

    /// Called after each event of a control process.
    std::function<void(control_process&)> on_control_event;

private:
    node_process& add_node(const endpoint& at, std::string name, std::size_t i, node_role kind)
    {
        auto& n = *nodes_.emplace_back(std::make_unique<node_process>());
        n.address = at;
        n.name = std::move(name);
        n.zone = "zone-" + std::to_string(i % shape_.zones);
        n.kind = kind;
        return n;
    }

    void node_message(time_point now, node_process& n, const endpoint& from, const message& m, outbox& out)
    {
        if (n.children) {
            if (const auto* pull = std::get_if<wire::pull_request>(&m)) {
                n.children->on_pull(now, from, *pull, n.link->table(), {n.link->age(now)}, out);
            } else if (const auto* request = std::get_if<wire::announce>(&m)) {
                n.children->on_announce(now, *request, n.address, n.link->parent(), out);
            } else if (const auto* answer = std::get_if<wire::announce_reply>(&m);
                       answer != nullptr && answer->nonce != n.link->nonce()) {
                n.children->on_announce_reply(now, *answer, out);
            } else if (const auto* reply = std::get_if<wire::relay_report_reply>(&m)) {
                n.children->on_report_reply(now, *reply);
            }
        }
        n.link->on_message(now, from, m, out);
        after_event(now, n, out);
    }

    void node_tick(time_point now, node_process& n, outbox& out)
    {
        n.link->on_tick(now, out);
        if (n.children) {
            n.children->on_tick(now, n.link->id(), n.link->nonce(), n.link->parent(), out);
        }
        after_event(now, n, out);
    }

    static void after_event(time_point now, node_process& n, outbox& out)
    {
        bool changed = false;
        (void)n.link->take_touched(changed);
        if (changed && n.children) {
            n.children->on_table_changed(now, n.link->table(), out);
        }
        if (n.on_event) {
            n.on_event(n);
        }
    }

    cluster_shape shape_;
    fake_network net_;
    std::mt19937_64 seeds_;
    bool measure_ = false;
    std::vector<std::unique_ptr<control_process>> controls_;
    std::vector<std::unique_ptr<node_process>> nodes_;
};

}  // namespace peridotcleat::testing

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

/// Size and settings of a simulated cluster. The simulated processes are spread evenly over the zones.
struct cluster_shape {
    std::size_t controls = 3;
    /// Control processes that form the cluster, and those that vote. 0: all form it and vote. The others join
    /// from the addresses of the first ones and are on standby.
    std::size_t initial_controls = 0;
    std::size_t voters = 0;
    std::size_t balancers = 4;
    std::size_t agents = 8;
    std::size_t services = 2;
    std::size_t zones = 2;
    std::int64_t snapshot_after = 4096;
    std::chrono::milliseconds tick{40};
    std::chrono::milliseconds answer_timeout{10000};
    std::chrono::milliseconds lost_target_retention{0};
};

/// A simulated control process and its disk, whose content survives restarts.
struct control_process {
    endpoint address;
    std::string name;
    std::shared_ptr<fake_disk_content> disk;
    std::unique_ptr<control<fake_disk>> role;
    counters counted;
    /// Processor time of the role, if the cluster measures it.
    std::chrono::nanoseconds processor_time{0};
};

/// A simulated balancer, which has a relay, or agent, which has none.
struct node_process {
    endpoint address;
    std::string name;
    std::string zone;
    node_role kind = node_role::balancer;
    std::string service;
    std::unique_ptr<node_link> link;
    std::unique_ptr<relay> node_relay;
    counters counted;
    /// Processor time of the role, if the cluster measures it.
    std::chrono::nanoseconds processor_time{0};
    /// Called after each event of the node.
    std::function<void(node_process&)> on_event;
};

/// Adds the processor time that the thread uses during the stopwatch's lifetime to `sum`, unless it is null.
class stopwatch {
public:
    explicit stopwatch(std::chrono::nanoseconds* sum)
        : sum_(sum), start_(sum != nullptr ? thread_time_ns() : 0)
    {
    }
    ~stopwatch()
    {
        if (sum_ != nullptr) {
            *sum_ += std::chrono::nanoseconds(thread_time_ns() - start_);
        }
    }
    stopwatch(const stopwatch&) = delete;
    stopwatch& operator=(const stopwatch&) = delete;

private:
    static std::int64_t thread_time_ns()
    {
        timespec t{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
        return (t.tv_sec * std::int64_t{1'000'000'000}) + t.tv_nsec;
    }

    std::chrono::nanoseconds* sum_;
    std::int64_t start_;
};

/// Runs control processes, balancers and agents on a fake network in one thread, and restarts them.
class control_cluster {
public:
    control_cluster(std::uint64_t seed, cluster_shape shape) : shape_(shape), net_(seed), seed_random_(seed)
    {
        net_.set_tick_period(shape.tick);
        for (std::size_t i = 0; i < shape.controls; ++i) {
            controls_.push_back(make_control());
        }
        for (std::size_t i = 0; i < shape.balancers; ++i) {
            add_node(address(1, i), "balancer-" + std::to_string(i), i, node_role::balancer);
        }
        for (std::size_t i = 0; i < shape.agents; ++i) {
            auto& agent = add_node(address(2, i), "agent-" + std::to_string(i), i, node_role::target);
            agent.service = service_name(i % shape.services);
        }
    }

    static std::string service_name(std::size_t i) { return "service-" + std::to_string(i); }
    static endpoint address(std::uint32_t group, std::size_t i)
    {
        return {0x7f000000U + (group << 16U) + static_cast<std::uint32_t>(i) + 1, 7000};
    }
    /// Returns the index of the zone of a process of any kind.
    [[nodiscard]] std::size_t zone_of(const endpoint& at) const
    {
        return ((at.address & 0xffffU) - 1) % shape_.zones;
    }

    void start_control(std::size_t i, bool bootstrap)
    {
        control_process& process = *controls_[i];
        control_settings settings;
        settings.snapshot_after = shape_.snapshot_after;
        settings.answer_timeout = shape_.answer_timeout;
        settings.membership.lost_target_retention = shape_.lost_target_retention;
        settings.replica.name = process.name;
        settings.replica.address = process.address;
        settings.replica.bootstrap = bootstrap;
        settings.replica.voter_count = shape_.voters;
        settings.replica.seed = seed_random_();
        const std::size_t initial = shape_.initial_controls == 0 ? controls_.size() : shape_.initial_controls;
        for (std::size_t n = 0; n < initial; ++n) {
            const control_process& other = *controls_[n];
            settings.replica.peers.push_back(other.address);
            wire::member m;
            m.name = other.name;
            m.address = to_wire(other.address);
            m.voter = true;
            settings.replica.initial_members.push_back(m);
        }
        auto opened =
            control<fake_disk>::open(settings, fake_disk(process.disk), net_.now(), process.counted);
        if (!has_value(opened)) {
            throw std::runtime_error(process.name + ": " + failure(opened).message);
        }
        process.role = std::make_unique<control<fake_disk>>(value(std::move(opened)));
        net_.add(
            process.address,
            [this, &process](time_point now, const endpoint& from, const message& m, outbox& out) {
                const stopwatch watch(measures_processor_time_ ? &process.processor_time : nullptr);
                process.role->on_message(now, from, m, out);
                flush_control(now, process, out);
            },
            [this, &process](time_point now, outbox& out) {
                const stopwatch watch(measures_processor_time_ ? &process.processor_time : nullptr);
                process.role->on_tick(now, wall(), out);
                flush_control(now, process, out);
            });
    }

    /// Kills a control process. Data that its disk has not synced may be lost.
    void kill_control(std::size_t i)
    {
        net_.remove(controls_[i]->address);
        controls_[i]->role.reset();
        controls_[i]->disk->crash();
    }
    /// Removes a control process and its disk for good. A process with an empty disk at another address takes
    /// its place; it runs once `start_control` is called.
    void replace_control(std::size_t i)
    {
        net_.remove(controls_[i]->address);
        controls_[i] = make_control();
    }

    void start_node(node_process& node)
    {
        node_link_settings settings;
        settings.role = node.kind;
        settings.name = node.name;
        settings.zone = node.zone;
        settings.address = node.address;
        settings.seed = seed_random_();
        if (node.kind == node_role::balancer) {
            for (const auto& process : controls_) {
                settings.parents.push_back(process->address);
            }
            settings.discover_parents = shape_.voters != 0;
            node.node_relay = std::make_unique<relay>(relay_limits::of_balancer(), node.counted);
        } else {
            for (const auto& balancer : nodes_) {
                if (balancer->kind == node_role::balancer && balancer->zone == node.zone) {
                    settings.parents.push_back(balancer->address);
                }
            }
        }
        node.link = std::make_unique<node_link>(value(node_link::create(settings, node.counted)));
        if (node.kind == node_role::target) {
            node.link->set_offer({node.service, 2, 2000});
        }
        net_.add(
            node.address,
            [this, &node](time_point now, const endpoint& from, const message& m, outbox& out) {
                const stopwatch watch(measures_processor_time_ ? &node.processor_time : nullptr);
                node_message(now, node, from, m, out);
            },
            [this, &node](time_point now, outbox& out) {
                const stopwatch watch(measures_processor_time_ ? &node.processor_time : nullptr);
                node_tick(now, node, out);
            });
    }
    void kill_node(node_process& node)
    {
        net_.remove(node.address);
        node.link.reset();
        node.node_relay.reset();
    }

    void start_all()
    {
        for (std::size_t i = 0; i < controls_.size(); ++i) {
            start_control(i, shape_.initial_controls == 0 || i < shape_.initial_controls);
        }
        for (auto& node : nodes_) {
            start_node(*node);
        }
    }

    /// Flushes a control process, which is needed after each event and after each request submitted to it.
    void flush_control(time_point now, control_process& process, outbox& out)
    {
        (void)process.role->flush(now, out);
        if (on_control_event) {
            on_control_event(process);
        }
    }
    /// Flushes a control process outside of its event handlers and sends the resulting messages.
    void flush_control(control_process& process)
    {
        outbox out;
        flush_control(net_.now(), process, out);
        net_.dispatch(process.address, out);
    }

    /// Returns the control process that leads with a valid lease, if any.
    control_process* leader()
    {
        for (auto& process : controls_) {
            if (process->role && net_.is_alive(process->address) && process->role->leading() &&
                process->role->log().lease_valid(net_.now())) {
                return process.get();
            }
        }
        return nullptr;
    }

    /// Measures the processor time of each role from now on.
    void measure_processor_time() noexcept { measures_processor_time_ = true; }

    fake_network& net() noexcept { return net_; }
    std::vector<std::unique_ptr<control_process>>& controls() noexcept { return controls_; }
    std::vector<std::unique_ptr<node_process>>& nodes() noexcept { return nodes_; }
    [[nodiscard]] const cluster_shape& shape() const noexcept { return shape_; }
    /// Wall time, which advances with the time of the fake network.
    [[nodiscard]] wall_time wall() const
    {
        return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(net_.now().time_since_epoch() +
                                                                               std::chrono::hours(24)));
    }

    /// Called after each event of a control process.
    std::function<void(control_process&)> on_control_event;

private:
    std::unique_ptr<control_process> make_control()
    {
        auto process = std::make_unique<control_process>();
        const std::size_t number = next_control_++;
        process->address = address(0, number);
        process->name = "control-" + std::to_string(number);
        process->disk = std::make_shared<fake_disk_content>(cluster_id{1}, process->name, seed_random_());
        return process;
    }

    node_process& add_node(const endpoint& address, std::string name, std::size_t i, node_role kind)
    {
        auto& node = *nodes_.emplace_back(std::make_unique<node_process>());
        node.address = address;
        node.name = std::move(name);
        node.zone = "zone-" + std::to_string(i % shape_.zones);
        node.kind = kind;
        return node;
    }

    void node_message(time_point now, node_process& node, const endpoint& from, const message& m, outbox& out)
    {
        if (node.node_relay) {
            if (const auto* pull = std::get_if<wire::pull_request>(&m)) {
                node.node_relay->on_pull(now, from, *pull, node.link->table(), {node.link->age(now)}, out);
            } else if (const auto* request = std::get_if<wire::announce>(&m)) {
                node.node_relay->on_announce(now, *request, node.address, node.link->parent(), out);
            } else if (const auto* answer = std::get_if<wire::announce_reply>(&m);
                       answer != nullptr && answer->nonce != node.link->nonce()) {
                node.node_relay->on_announce_reply(now, *answer, out);
            } else if (const auto* reply = std::get_if<wire::relay_report_reply>(&m)) {
                node.node_relay->on_report_reply(now, *reply);
            }
        }
        node.link->on_message(now, from, m, out);
        after_event(now, node, out);
    }

    void node_tick(time_point now, node_process& node, outbox& out)
    {
        node.link->on_tick(now, out);
        if (node.node_relay) {
            node.node_relay->on_tick(now, node.link->id(), node.link->nonce(), node.link->parent(), out);
        }
        after_event(now, node, out);
    }

    static void after_event(time_point now, node_process& node, outbox& out)
    {
        bool changed = false;
        (void)node.link->take_touched(changed);
        if (changed && node.node_relay) {
            node.node_relay->on_table_changed(now, node.link->table(), out);
        }
        if (node.on_event) {
            node.on_event(node);
        }
    }

    cluster_shape shape_;
    fake_network net_;
    std::mt19937_64 seed_random_;
    bool measures_processor_time_ = false;
    std::vector<std::unique_ptr<control_process>> controls_;
    std::size_t next_control_ = 0;
    std::vector<std::unique_ptr<node_process>> nodes_;
};

}  // namespace peridotcleat::testing

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "bench.h"
#include "testing/control_cluster.h"

namespace peridotcleat::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::cluster_shape;
using testing::control_cluster;
using testing::control_process;
using testing::link_quality;
using testing::node_process;

void print(const std::string& name, double value, const char* unit, double bound, double baseline,
           std::uint64_t seed)
{
    print(
        measurement{name, value, unit, bound, baseline, bound <= 0 ? bound_kind::none : bound_kind::at_most},
        seed);
}

// Sets delays of 5 ms between zones, jitter and 2 % loss, as on the networks of the system's users.
void set_zone_network(control_cluster& cluster)
{
    cluster.net().set_quality([&cluster](const endpoint& a, const endpoint& b) {
        const bool same_zone = cluster.zone_of(a) == cluster.zone_of(b);
        return link_quality{same_zone ? std::chrono::microseconds(300) : std::chrono::microseconds(5000),
                            std::chrono::microseconds(same_zone ? 200 : 2000), 0.02, 0};
    });
}

wire::patch service_patch(std::int64_t number, std::int64_t base, const std::string& name, std::int8_t kind,
                          std::size_t service)
{
    wire::patch_operation op;
    op.kind = kind;
    op.name = name;
    wire::service_entry value;
    value.name = name;
    value.addresses.push_back(to_wire(endpoint{0x0a000000U + static_cast<std::uint32_t>(service) + 1, 80}));
    value.__set_idle_timeout_ms(static_cast<std::int32_t>(1000 + (number % 100000)));
    op.__set_value(value);
    wire::patch p;
    p.patch_id = "bench-" + std::to_string(number);
    p.base = base;
    p.operations.push_back(op);
    return p;
}

// Measures for each accepted change the time until the last node has it in its table.
class propagation_meter {
public:
    explicit propagation_meter(control_cluster& cluster) : cluster_(cluster)
    {
        for (auto& n : cluster.nodes()) {
            n->on_event = [this](node_process& node) { observe(node); };
        }
    }

    /// Starts the measurement of the change with the given revision, which was accepted now.
    void on_accepted(revision accepted)
    {
        std::size_t missing = 0;
        for (const auto& n : cluster_.nodes()) {
            missing += n->link->table().current_revision() < accepted ? 1 : 0;
        }
        if (missing == 0) {
            delays_.push_back(0);
            return;
        }
        pending_.push_back({accepted, cluster_.net().now(), missing});
    }
    [[nodiscard]] bool all_propagated() const { return pending_.empty(); }
    /// Returns the seconds from each acceptance until the last node had the change, in ascending order.
    std::vector<double> delays()
    {
        std::ranges::sort(delays_);
        return delays_;
    }

private:
    struct pending_change {
        revision accepted;
        time_point accepted_at;
        // Number of nodes that do not have the revision yet.
        std::size_t missing = 0;
    };

    void observe(const node_process& n)
    {
        revision& previous = node_revisions_[n.address];
        const revision current = n.link->table().current_revision();
        if (current == previous) {
            return;
        }
        for (pending_change& p : pending_) {
            if (previous < p.accepted && p.accepted <= current && --p.missing == 0) {
                delays_.push_back(
                    std::chrono::duration<double>(cluster_.net().now() - p.accepted_at).count());
            }
        }
        std::erase_if(pending_, [](const pending_change& p) { return p.missing == 0; });
        previous = current;
    }

    control_cluster& cluster_;
    std::deque<pending_change> pending_;
    std::map<endpoint, revision> node_revisions_;
    std::vector<double> delays_;
};

// An operator that submits one change at a time and waits until it is accepted.
class bench_operator {
public:
    explicit bench_operator(control_cluster& cluster) : cluster_(cluster)
    {
        cluster.on_control_event = [this](control_process& c) {
            for (const operator_answer& a : c.role->take_answers()) {
                if (a.id == waiting_ticket_ && a.patch.status == patch_status::accepted) {
                    answer_ = a.patch;
                }
            }
        };
    }

    /// Returns the revision of the accepted patch, or an invalid one if there is no leader, the patch was
    /// refused or it took more than 10 s.
    revision submit(const std::string& name, std::int8_t kind, std::size_t service)
    {
        control_process* leader = cluster_.leader();
        if (leader == nullptr) {
            return {};
        }
        const auto p =
            service_patch(++patch_number_, leader->role->table().version().value, name, kind, service);
        waiting_ticket_ = leader->role->submit_patch(cluster_.net().now(), cluster_.wall(), p, true);
        return wait(*leader);
    }

    /// Returns the revision from which on the target `name` drains, or an invalid one as `submit` does.
    revision drain(const std::string& name)
    {
        control_process* leader = cluster_.leader();
        if (leader == nullptr) {
            return {};
        }
        waiting_ticket_ = leader->role->submit_drain(cluster_.net().now(), cluster_.wall(), name);
        return wait(*leader);
    }

private:
    revision wait(control_process& leader)
    {
        answer_ = {};
        cluster_.flush_control(leader);
        for (int i = 0; i < 1000 && !answer_.entry_revision.valid(); ++i) {
            cluster_.net().run_for(milliseconds(10));
        }
        return answer_.entry_revision;
    }

    control_cluster& cluster_;
    ticket waiting_ticket_;
    patch_answer answer_;
    std::int64_t patch_number_ = 0;
};

bool all_ready(control_cluster& cluster)
{
    return std::ranges::all_of(cluster.nodes(), [](const auto& n) { return n->link->ready(); });
}

// Starts all processes, adds the services and waits until all nodes are ready. Returns false if a service is
// not accepted or a node is not ready in time.
bool warm_up(control_cluster& cluster, bench_operator& op)
{
    set_zone_network(cluster);
    cluster.start_all();
    cluster.net().run_for(seconds(8));
    for (std::size_t i = 0; i < cluster.shape().services; ++i) {
        if (!op.submit(control_cluster::service_name(i), 1, i).valid()) {
            return false;
        }
    }
    for (int i = 0; i < 120 && !all_ready(cluster); ++i) {
        cluster.net().run_for(seconds(1));
    }
    cluster.net().run_for(seconds(5));
    return all_ready(cluster);
}

std::uint64_t bytes_of(control_cluster& cluster, const endpoint& address)
{
    const auto& t = cluster.net().traffic_of(address);
    return t.bytes_in + t.bytes_out;
}

std::uint64_t messages_of(control_cluster& cluster, const endpoint& address)
{
    const auto& t = cluster.net().traffic_of(address);
    return t.messages_in + t.messages_out;
}

// Measures the bytes that each node sends and receives in each second.
class traffic_meter {
public:
    explicit traffic_meter(control_cluster& cluster) : cluster_(cluster)
    {
        sample(false);
        schedule();
    }

    /// Reads the traffic of each node since the last sample. The first sample, with `counts` unset, only sets
    /// the start values.
    void sample(bool counts = true)
    {
        for (const auto& n : cluster_.nodes()) {
            const std::uint64_t total = bytes_of(cluster_, n->address);
            const auto used = static_cast<double>(total - last_total_[n->address]);
            last_total_[n->address] = total;
            if (counts) {
                sum_ += used;
                ++samples_;
                busiest_ = std::max(busiest_, used);
                double& node_sum = sum_by_node_[n->address];
                node_sum += used;
            }
        }
        seconds_ += counts ? 1 : 0;
    }
    [[nodiscard]] double mean() const { return samples_ == 0 ? 0 : sum_ / samples_; }
    [[nodiscard]] double busiest() const { return busiest_; }
    /// Returns the mean bytes per second of the node with the most traffic.
    [[nodiscard]] double highest_mean() const
    {
        double highest = 0;
        for (const auto& [address, sum] : sum_by_node_) {
            highest = std::max(highest, sum / seconds_);
        }
        return highest;
    }

private:
    void schedule()
    {
        cluster_.net().schedule(cluster_.net().now() + seconds(1), [this] {
            sample();
            schedule();
        });
    }

    control_cluster& cluster_;
    std::map<endpoint, std::uint64_t> last_total_;
    std::map<endpoint, double> sum_by_node_;
    double sum_ = 0;
    double samples_ = 0;
    double busiest_ = 0;
    double seconds_ = 0;
};

void bench_propagation(std::uint64_t seed)
{
    constexpr std::size_t patches = 500;
    cluster_shape shape;
    shape.controls = 7;
    shape.balancers = 30;
    shape.agents = 200;
    shape.services = 20;
    shape.zones = 3;
    control_cluster cluster(seed, shape);
    bench_operator op(cluster);
    if (!warm_up(cluster, op)) {
        print("control_warm_up_failed", 1, "count", 0.5, 0, seed);
        return;
    }
    propagation_meter propagation(cluster);
    traffic_meter traffic(cluster);
    std::size_t refused = 0;
    for (std::size_t i = 0; i < patches; ++i) {
        const time_point next = cluster.net().now() + seconds(2);
        const std::size_t service = i % shape.services;
        const revision accepted = op.submit(control_cluster::service_name(service), 2, service);
        refused += accepted.valid() ? 0 : 1;
        if (accepted.valid()) {
            propagation.on_accepted(accepted);
        }
        cluster.net().run_until(next);
    }
    for (int i = 0; i < 30 && !propagation.all_propagated(); ++i) {
        cluster.net().run_for(seconds(1));
    }
    const auto delays = propagation.delays();
    print("control_patches_not_accepted", static_cast<double>(refused), "count", 0.5, 0, seed);
    print("control_patches_not_spread", static_cast<double>(patches - refused - delays.size()), "count", 0.5,
          0, seed);
    print("control_in_force_max", delays.empty() ? 99 : delays.back(), "s", 14, 0, seed);
    print("control_in_force_median", delays.empty() ? 99 : delays[delays.size() / 2], "s", 14, 0, seed);
    print("control_bytes_mean", traffic.mean(), "B/s", 3000, 0, seed);
    print("control_bytes_mean_highest_node", traffic.highest_mean(), "B/s", 3000, 0, seed);
    print("control_bytes_busiest_second", traffic.busiest(), "B/s", 3000, 0, seed);
}

// Costs per second of one process of a role, and its memory.
struct role_cost {
    double bytes = 0;
    double messages = 0;
    double cpu_us = 0;
    double memory_bytes = 0;
};

constexpr std::array<const char*, 3> role_names{"control", "relay", "node"};
using run_costs = std::array<role_cost, role_names.size()>;

// Returns the number of heap bytes that `release` frees.
double memory_freed(const std::function<void()>& release)
{
    const std::size_t before = mallinfo2().uordblks;
    release();
    const std::size_t after = mallinfo2().uordblks;
    return static_cast<double>(before) - static_cast<double>(after);
}

// Measures the costs of the processes of one role from its construction on. `role` is an index of
// `role_names`; for "control" only the leader is measured.
class role_meter {
public:
    role_meter(control_cluster& cluster, std::size_t role) : cluster_(cluster), role_(role)
    {
        start_ = read();
    }

    [[nodiscard]] role_cost per_second(double elapsed) const
    {
        const role_cost end = read();
        const double share = 1 / (elapsed * static_cast<double>(count()));
        return {(end.bytes - start_.bytes) * share, (end.messages - start_.messages) * share,
                (end.cpu_us - start_.cpu_us) * share, 0};
    }

private:
    // Calls `f` with the address and the CPU time of each process of the role.
    template <class F>
    void for_each_process(F f) const
    {
        if (role_ == 0) {
            f(cluster_.leader()->address, cluster_.leader()->processor_time);
            return;
        }
        const node_role kind = role_ == 1 ? node_role::balancer : node_role::target;
        for (const auto& n : cluster_.nodes()) {
            if (n->kind == kind) {
                f(n->address, n->processor_time);
            }
        }
    }
    [[nodiscard]] std::size_t count() const
    {
        std::size_t n = 0;
        for_each_process([&](const endpoint&, std::chrono::nanoseconds) { ++n; });
        return n;
    }
    [[nodiscard]] role_cost read() const
    {
        role_cost sum;
        for_each_process([&](const endpoint& address, std::chrono::nanoseconds processor_time) {
            sum.bytes += static_cast<double>(bytes_of(cluster_, address));
            sum.messages += static_cast<double>(messages_of(cluster_, address));
            sum.cpu_us += static_cast<double>(processor_time.count()) / 1000;
        });
        return sum;
    }

    control_cluster& cluster_;
    std::size_t role_;
    role_cost start_;
};

// Size of one run of the slope measurement; each run changes one field.
struct run_size {
    std::size_t balancers = 8;
    std::size_t agents = 40;
    std::size_t addresses = 8;
    std::size_t changes_per_minute = 6;
};

run_costs measure_run(std::uint64_t seed, const run_size& size)
{
    constexpr int minutes = 1;
    cluster_shape shape;
    shape.controls = 3;
    shape.balancers = size.balancers;
    shape.agents = size.agents;
    shape.services = size.addresses;
    shape.zones = 2;
    // No snapshots and no log compaction: they come in bursts, which would distort these short runs.
    shape.snapshot_after = 1'000'000;
    control_cluster cluster(seed, shape);
    bench_operator op(cluster);
    run_costs costs;
    if (!warm_up(cluster, op)) {
        return costs;
    }
    cluster.measure_processor_time();
    std::vector<role_meter> meters;
    for (std::size_t role = 0; role < role_names.size(); ++role) {
        meters.emplace_back(cluster, role);
    }
    const time_point start = cluster.net().now();
    const std::size_t changes = size.changes_per_minute * minutes;
    for (std::size_t i = 0; i < changes; ++i) {
        const std::size_t service = i % shape.services;
        op.submit(control_cluster::service_name(service), 2, service);
        cluster.net().run_until(start +
                                (std::chrono::microseconds(60'000'000) * minutes * (i + 1) / changes));
    }
    const double elapsed = std::chrono::duration<double>(cluster.net().now() - start).count();
    for (std::size_t role = 0; role < role_names.size(); ++role) {
        costs[role] = meters[role].per_second(elapsed);
    }
    control_process* leader = cluster.leader();
    costs[0].memory_bytes = memory_freed([&] { leader->role.reset(); });
    for (const auto kind : {node_role::balancer, node_role::target}) {
        const auto it = std::ranges::find(cluster.nodes(), kind, [](const auto& n) { return n->kind; });
        costs[kind == node_role::balancer ? 1 : 2].memory_bytes = memory_freed([&] {
            (*it)->link.reset();
            (*it)->node_relay.reset();
        });
    }
    return costs;
}

// Returns the largest distance of a point from the line, in percent of the largest value.
double residual_percent(const line_fit& line, const std::vector<std::pair<double, double>>& points)
{
    double highest = 1e-9;
    for (const auto& [x, y] : points) {
        highest = std::max(highest, std::abs(y));
    }
    return 100 * line.residual / highest;
}

// A field of `run_size` and the values at which it is measured.
struct axis {
    const char* name;
    std::array<std::size_t, 4> sizes;
    std::size_t run_size::*field;
};

// A field of `role_cost` and its unit.
struct quantity {
    const char* name;
    const char* unit;
    double role_cost::*field;
};

constexpr std::array<axis, 4> axes{{{"nodes", {4, 8, 16, 32}, &run_size::balancers},
                                    {"upstreams", {20, 40, 80, 160}, &run_size::agents},
                                    {"addresses", {4, 8, 16, 32}, &run_size::addresses},
                                    {"changes_per_minute", {3, 6, 12, 24}, &run_size::changes_per_minute}}};
constexpr std::array<quantity, 4> quantities{{{"bytes", "B/s", &role_cost::bytes},
                                              {"messages", "1/s", &role_cost::messages},
                                              {"cpu", "us/s", &role_cost::cpu_us},
                                              {"memory", "B", &role_cost::memory_bytes}}};

void bench_slopes(std::uint64_t seed)
{
    for (const axis& a : axes) {
        std::vector<std::pair<double, run_costs>> runs;
        for (const std::size_t size : a.sizes) {
            run_size s;
            s.*a.field = size;
            runs.emplace_back(static_cast<double>(size), measure_run(seed, s));
        }
        for (std::size_t role = 0; role < role_names.size(); ++role) {
            for (const quantity& q : quantities) {
                std::vector<std::pair<double, double>> points;
                points.reserve(runs.size());
                for (const auto& [x, costs] : runs) {
                    points.emplace_back(x, costs[role].*q.field);
                }
                const line_fit line = fit(points);
                const std::string name =
                    std::string("control_slope_") + role_names[role] + '_' + q.name + "_per_" + a.name;
                print(name, line.slope, q.unit, 0, line.intercept, seed);
                print(name + "_residual", residual_percent(line, points), "percent", 0, 0, seed);
            }
        }
    }
}

// Measures the time from the acceptance of a drain until every node has it in its table, after which no ready
// node offers the target.
void bench_drains(std::uint64_t seed)
{
    constexpr std::size_t drains = 40;
    cluster_shape shape;
    shape.controls = 7;
    shape.balancers = 30;
    shape.agents = 200;
    shape.services = 20;
    shape.zones = 3;
    control_cluster cluster(seed, shape);
    bench_operator op(cluster);
    if (!warm_up(cluster, op)) {
        print("control_warm_up_failed", 1, "count", 0.5, 0, seed);
        return;
    }
    propagation_meter propagation(cluster);
    for (std::size_t i = 0; i < drains; ++i) {
        propagation.on_accepted(op.drain("agent-" + std::to_string(i)));
        cluster.net().run_for(seconds(10));
    }
    const auto delays = propagation.delays();
    print("control_drains_not_spread", static_cast<double>(drains - delays.size()), "count", 0.5, 0, seed);
    print("control_drain_everywhere_max", delays.empty() ? 99 : delays.back(), "s", 5, 0, seed);
    print("control_drain_everywhere_median", delays.empty() ? 99 : delays[delays.size() / 2], "s", 5, 0,
          seed);
}

}  // namespace

void bench_control(std::uint64_t seed)
{
    bench_propagation(seed);
    bench_drains(seed);
}

void bench_scale(std::uint64_t seed) { bench_slopes(seed); }

}  // namespace peridotcleat::bench

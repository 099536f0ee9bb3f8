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

// Zones 5 ms apart with jitter and 2 % loss, as the users' networks have them.
void set_users_network(control_cluster& cluster)
{
    cluster.net().set_quality([&cluster](const endpoint& a, const endpoint& b) {
        const bool near = cluster.zone_of(a) == cluster.zone_of(b);
        return link_quality{near ? std::chrono::microseconds(300) : std::chrono::microseconds(5000),
                            std::chrono::microseconds(near ? 200 : 2000), 0.02, 0};
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

// Follows each accepted patch until the last node has it in its table.
class spread_meter {
public:
    explicit spread_meter(control_cluster& cluster) : cluster_(cluster)
    {
        for (auto& n : cluster.nodes()) {
            n->on_event = [this](node_process& host) { observe(host); };
        }
    }

    void accepted(revision at)
    {
        std::size_t missing = 0;
        for (const auto& n : cluster_.nodes()) {
            missing += n->link->table().current_revision() < at ? 1 : 0;
        }
        if (missing == 0) {
            delays_.push_back(0);
            return;
        }
        open_.push_back({at, cluster_.net().now(), missing});
    }
    [[nodiscard]] bool settled() const { return open_.empty(); }
    /// Seconds from the acceptance to the last node, in order of size.
    std::vector<double> delays()
    {
        std::ranges::sort(delays_);
        return delays_;
    }

private:
    struct open_patch {
        revision at;
        time_point when;
        std::size_t missing = 0;
    };

    void observe(const node_process& n)
    {
        revision& before = seen_[n.address];
        const revision now = n.link->table().current_revision();
        if (now == before) {
            return;
        }
        for (open_patch& p : open_) {
            if (before < p.at && p.at <= now && --p.missing == 0) {
                delays_.push_back(std::chrono::duration<double>(cluster_.net().now() - p.when).count());
            }
        }
        std::erase_if(open_, [](const open_patch& p) { return p.missing == 0; });
        before = now;
    }

    control_cluster& cluster_;
    std::deque<open_patch> open_;
    std::map<endpoint, revision> seen_;
    std::vector<double> delays_;
};

// One operator that submits a patch and follows it until it is accepted.
class bench_operator {
public:
    explicit bench_operator(control_cluster& cluster) : cluster_(cluster)
    {
        cluster.on_control_event = [this](control_process& c) {
            for (const operator_answer& a : c.role->take_answers()) {
                if (a.id == waiting_ && a.patch.status == patch_status::accepted) {
                    answer_ = a.patch;
                }
            }
        };
    }

    /// Returns the revision of the accepted patch, or none if it was refused or took more than 10 s.
    revision submit(const std::string& name, std::int8_t kind, std::size_t service)
    {
        control_process* leader = cluster_.leader();
        if (leader == nullptr) {
            return {};
        }
        const auto p = service_patch(++number_, leader->role->table().version().value, name, kind, service);
        waiting_ = leader->role->submit_patch(cluster_.net().now(), cluster_.wall(), p, true);
        return wait(*leader);
    }

    /// Returns the revision at which the target `name` drains, or none.
    revision drain(const std::string& name)
    {
        control_process* leader = cluster_.leader();
        if (leader == nullptr) {
            return {};
        }
        waiting_ = leader->role->submit_drain(cluster_.net().now(), cluster_.wall(), name);
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
    ticket waiting_;
    patch_answer answer_;
    std::int64_t number_ = 0;
};

bool all_ready(control_cluster& cluster)
{
    return std::ranges::all_of(cluster.nodes(), [](const auto& n) { return n->link->ready(); });
}

// Starts everything, adds the services and waits until all nodes are ready.
bool warm_up(control_cluster& cluster, bench_operator& op)
{
    set_users_network(cluster);
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

std::uint64_t bytes_of(control_cluster& cluster, const endpoint& at)
{
    const auto& t = cluster.net().traffic_of(at);
    return t.bytes_in + t.bytes_out;
}

std::uint64_t messages_of(control_cluster& cluster, const endpoint& at)
{
    const auto& t = cluster.net().traffic_of(at);
    return t.messages_in + t.messages_out;
}

// Bytes of each node in each whole second, sent and received.
class traffic_meter {
public:
    explicit traffic_meter(control_cluster& cluster) : cluster_(cluster)
    {
        sample(false);
        schedule();
    }

    void sample(bool counts = true)
    {
        for (const auto& n : cluster_.nodes()) {
            const std::uint64_t total = bytes_of(cluster_, n->address);
            const auto used = static_cast<double>(total - last_[n->address]);
            last_[n->address] = total;
            if (counts) {
                sum_ += used;
                ++samples_;
                busiest_ = std::max(busiest_, used);
                double& mean = by_node_[n->address];
                mean += used;
            }
        }
        seconds_ += counts ? 1 : 0;
    }
    [[nodiscard]] double mean() const { return samples_ == 0 ? 0 : sum_ / samples_; }
    [[nodiscard]] double busiest() const { return busiest_; }
    /// Mean of the node with the most traffic.
    [[nodiscard]] double highest_mean() const
    {
        double highest = 0;
        for (const auto& [at, sum] : by_node_) {
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
    std::map<endpoint, std::uint64_t> last_;
    std::map<endpoint, double> by_node_;
    double sum_ = 0;
    double samples_ = 0;
    double busiest_ = 0;
    double seconds_ = 0;
};

void bench_spread(std::uint64_t seed)
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
    spread_meter spread(cluster);
    traffic_meter traffic(cluster);
    std::size_t refused = 0;
    for (std::size_t i = 0; i < patches; ++i) {
        const time_point next = cluster.net().now() + seconds(2);
        const std::size_t service = i % shape.services;
        const revision at = op.submit(control_cluster::service_name(service), 2, service);
        refused += at.valid() ? 0 : 1;
        if (at.valid()) {
            spread.accepted(at);
        }
        cluster.net().run_until(next);
    }
    for (int i = 0; i < 30 && !spread.settled(); ++i) {
        cluster.net().run_for(seconds(1));
    }
    const auto delays = spread.delays();
    print("control_patches_not_accepted", static_cast<double>(refused), "count", 0.5, 0, seed);
    print("control_patches_not_spread", static_cast<double>(patches - refused - delays.size()), "count", 0.5,
          0, seed);
    print("control_in_force_max", delays.empty() ? 99 : delays.back(), "s", 14, 0, seed);
    print("control_in_force_median", delays.empty() ? 99 : delays[delays.size() / 2], "s", 14, 0, seed);
    print("control_bytes_mean", traffic.mean(), "B/s", 3000, 0, seed);
    print("control_bytes_mean_highest_node", traffic.highest_mean(), "B/s", 3000, 0, seed);
    print("control_bytes_busiest_second", traffic.busiest(), "B/s", 3000, 0, seed);
}

// Costs of one process of a role for each second, and its memory.
struct role_cost {
    double bytes = 0;
    double messages = 0;
    double cpu_us = 0;
    double memory_bytes = 0;
};

constexpr std::array<const char*, 3> role_names{"control", "relay", "node"};
using run_costs = std::array<role_cost, role_names.size()>;

// Memory that `release` gives back, in bytes.
double memory_freed(const std::function<void()>& release)
{
    const std::size_t before = mallinfo2().uordblks;
    release();
    const std::size_t after = mallinfo2().uordblks;
    return static_cast<double>(before) - static_cast<double>(after);
}

// Sums of a role's processes before and after the measured time.
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
    template <class F>
    void each(F f) const
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
        each([&](const endpoint&, std::chrono::nanoseconds) { ++n; });
        return n;
    }
    [[nodiscard]] role_cost read() const
    {
        role_cost sum;
        each([&](const endpoint& at, std::chrono::nanoseconds busy) {
            sum.bytes += static_cast<double>(bytes_of(cluster_, at));
            sum.messages += static_cast<double>(messages_of(cluster_, at));
            sum.cpu_us += static_cast<double>(busy.count()) / 1000;
        });
        return sum;
    }

    control_cluster& cluster_;
    std::size_t role_;
    role_cost start_;
};

// Size of one run of the slopes.
struct run_size {
    std::size_t balancers = 8;
    std::size_t agents = 40;
    std::size_t addresses = 8;
    std::size_t changes_per_minute = 6;
};

run_costs measure(std::uint64_t seed, const run_size& size)
{
    constexpr int minutes = 1;
    cluster_shape shape;
    shape.controls = 3;
    shape.balancers = size.balancers;
    shape.agents = size.agents;
    shape.services = size.addresses;
    shape.zones = 2;
    // Compaction and snapshots come in bursts that do not belong to one of these short runs.
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

// Least-squares line through `points` and the largest distance from it, in percent of the largest value.
// Largest distance of a point from the line, in percent of the largest value.
double residual_percent(const line_fit& line, const std::vector<std::pair<double, double>>& points)
{
    double highest = 1e-9;
    for (const auto& [x, y] : points) {
        highest = std::max(highest, std::abs(y));
    }
    return 100 * line.residual / highest;
}

struct axis {
    const char* name;
    std::array<std::size_t, 4> sizes;
    std::size_t run_size::*field;
};

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
            runs.emplace_back(static_cast<double>(size), measure(seed, s));
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
                print(name, line.slope, q.unit, 0, line.constant, seed);
                print(name + "_residual", residual_percent(line, points), "percent", 0, 0, seed);
            }
        }
    }
}

// Time from the acceptance of a drain until no ready node offers the target.
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
    spread_meter spread(cluster);
    for (std::size_t i = 0; i < drains; ++i) {
        spread.accepted(op.drain("agent-" + std::to_string(i)));
        cluster.net().run_for(seconds(10));
    }
    const auto delays = spread.delays();
    print("control_drains_not_spread", static_cast<double>(drains - delays.size()), "count", 0.5, 0, seed);
    print("control_drain_everywhere_max", delays.empty() ? 99 : delays.back(), "s", 5, 0, seed);
    print("control_drain_everywhere_median", delays.empty() ? 99 : delays[delays.size() / 2], "s", 5, 0,
          seed);
}

}  // namespace

void bench_control(std::uint64_t seed)
{
    bench_spread(seed);
    bench_drains(seed);
}

void bench_scale(std::uint64_t seed) { bench_slopes(seed); }

}  // namespace peridotcleat::bench

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <random>
#include <tuple>
#include <vector>

#include "bench.h"
#include "testing/request_simulation.h"

namespace peridotcleat::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::request_simulation;
using testing::request_simulation_settings;

struct figure {
    const char* name;
    const char* unit;
    double value;
    double bound;
    double baseline;
    bool at_least;
};

void print(const figure& f, std::uint64_t seed)
{
    print(measurement{f.name, f.value, f.unit, f.bound, f.baseline,
                      f.at_least ? bound_kind::at_least : bound_kind::at_most},
          seed);
}

// The system as it is, and the baselines that are compared with it in the same run.
enum class variant : std::uint8_t { complete, without_admission, without_retry_budget };

constexpr milliseconds service_time{100};
constexpr milliseconds deadline{1000};

request_simulation_settings base_settings(std::uint64_t seed, variant v)
{
    request_simulation_settings s;
    s.seed = seed;
    s.targets = 7;
    s.callers = 70;
    s.requests.slots = 7;
    s.requests.ramp = milliseconds(0);
    s.upstreams.slots = 7;
    s.upstreams.service_time = service_time;
    s.upstreams.cold_duration = milliseconds(0);
    s.upstreams.max_answer_length = 200;
    s.network = {milliseconds(3), milliseconds(1), 0, 0};
    s.least_loaded_placement = true;
    if (v == variant::without_admission) {
        // The request table admits every request, and requests wait in the upstream.
        s.requests.slots = 1000000;
        s.upstreams.unbounded_queue = true;
    }
    if (v == variant::without_retry_budget) {
        s.caller_defaults.retry_percent = 1000;
    }
    return s;
}

// Number of requests of a period by their result. An answer after the deadline counts as `not_answered`.
struct counts {
    std::uint64_t submitted = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_answered = 0;
    std::uint64_t retries = 0;

    [[nodiscard]] double refused_or_late() const
    {
        return static_cast<double>(not_answered) / static_cast<double>(answered + not_answered);
    }
};

std::uint64_t total_retries(const request_simulation& simulation)
{
    std::uint64_t n = 0;
    for (std::size_t i = 0; i < simulation.callers(); ++i) {
        n += simulation.retry_count(i);
    }
    return n;
}

// Submits requests of random callers at `per_second` requests per second on average, and counts the requests
// that finish meanwhile.
counts run_load(request_simulation& simulation, double per_second, milliseconds duration)
{
    counts c;
    simulation.set_finish_handler([&c](const finished_request& f) {
        if (f.status == request_status::answered && f.duration <= deadline) {
            ++c.answered;
        } else {
            ++c.not_answered;
        }
    });
    const std::uint64_t retries = total_retries(simulation);
    std::exponential_distribution<double> interval_s(per_second);
    const time_point end = simulation.net().now() + duration;
    while (simulation.net().now() < end) {
        simulation.net().run_for(std::chrono::microseconds(
            static_cast<std::int64_t>(interval_s(simulation.net().random()) * 1e6) + 1));
        simulation.submit(simulation.net().random()() % simulation.callers(), false, deadline);
        ++c.submitted;
    }
    c.retries = total_retries(simulation) - retries;
    simulation.set_finish_handler({});
    return c;
}

double capacity(const request_simulation_settings& s)
{
    return static_cast<double>(s.targets * s.upstreams.slots) * 1000.0 /
           static_cast<double>(service_time.count());
}

// Runs a load that is given as a share of capacity for 30 s, after a warm-up of 5 s that is not counted.
counts run_steady_load(std::uint64_t seed, variant v, double load)
{
    const request_simulation_settings s = base_settings(seed, v);
    request_simulation simulation(s);
    simulation.net().run_for(seconds(1));
    run_load(simulation, load * capacity(s), seconds(5));
    return run_load(simulation, load * capacity(s), seconds(30));
}

void bench_overload(std::uint64_t seed)
{
    // At least 95 % of the capacity must become goodput. The bounds on requests that are refused or late
    // follow from it: they are the share of the requests that this goodput leaves.
    constexpr double goodput_bound = 0.95;
    const counts complete_90 = run_steady_load(seed, variant::complete, 0.9);
    const counts baseline_90 = run_steady_load(seed, variant::without_admission, 0.9);
    print({"requests_refused_or_late_90", "share", complete_90.refused_or_late(), 1 - goodput_bound,
           baseline_90.refused_or_late(), false},
          seed);
    const counts complete = run_steady_load(seed, variant::complete, 1.2);
    const counts baseline = run_steady_load(seed, variant::without_admission, 1.2);
    print({"requests_refused_or_late_120", "share", complete.refused_or_late(), 1 - goodput_bound / 1.2,
           baseline.refused_or_late(), false},
          seed);
    const double capacity_requests = capacity(base_settings(seed, variant::complete)) * 30;
    print({"requests_goodput_120", "share_of_capacity",
           static_cast<double>(complete.answered) / capacity_requests, goodput_bound,
           static_cast<double>(baseline.answered) / capacity_requests, true},
          seed);
}

// Returns how many requests are sent, retries included, for each submitted one after half of the upstreams
// have crashed. The agents of the crashed upstreams keep running.
double amplification(std::uint64_t seed, variant v)
{
    const request_simulation_settings s = base_settings(seed, v);
    request_simulation simulation(s);
    simulation.net().run_for(seconds(1));
    const double rate = 0.6 * capacity(s);
    run_load(simulation, rate, seconds(30));
    for (std::size_t i = 0; i < (s.targets + 1) / 2; ++i) {
        simulation.upstream(i).crash();
    }
    const counts c = run_load(simulation, rate, seconds(60));
    return 1 + static_cast<double>(c.retries) / static_cast<double>(c.submitted);
}

void bench_amplification(std::uint64_t seed)
{
    print({"requests_retry_amplification", "ratio", amplification(seed, variant::complete), 1.1,
           amplification(seed, variant::without_retry_budget), false},
          seed);
}

struct burst_shares {
    /// Share of admitted requests that are not answered in time.
    double admitted_late = 0;
    /// Share of all requests that are refused or not answered in time.
    double not_answered = 0;
};

constexpr std::size_t burst_targets = 4;
constexpr std::size_t burst_slots = 2;
constexpr std::size_t burst_size = 160;

// The callers of four upstreams with two slots each submit all their requests at once, as the callers of the
// monthly schedules do.
burst_shares burst(std::uint64_t seed, variant v, std::uint32_t queue_per_slot)
{
    request_simulation_settings s = base_settings(seed, v);
    s.targets = burst_targets;
    s.callers = burst_size;
    s.upstreams.slots = burst_slots;
    s.requests.slots = v == variant::complete ? burst_slots : s.requests.slots;
    s.requests.queue_per_slot = queue_per_slot;
    request_simulation simulation(s);
    simulation.net().run_for(seconds(1));
    std::uint64_t answered = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    simulation.set_finish_handler([&](const finished_request& f) {
        answered += f.status == request_status::answered ? 1 : 0;
        refused += f.status == request_status::not_run ? 1 : 0;
        late += f.status == request_status::answered || f.status == request_status::not_run ? 0 : 1;
    });
    for (int n = 0; n < 10; ++n) {
        for (std::size_t i = 0; i < s.callers; ++i) {
            simulation.submit(i, false, deadline);
        }
        simulation.net().run_for(seconds(3));
    }
    const auto admitted = static_cast<double>(answered + late);
    return {static_cast<double>(late) / admitted,
            static_cast<double>(late + refused) / (admitted + static_cast<double>(refused))};
}

void bench_burst(std::uint64_t seed)
{
    constexpr std::uint32_t default_queue = 4;
    // With 8 queued requests, a slot serves nine in a row, which takes 0.9 s on average. A tenth request
    // would end at the deadline of 1 s on average, so that half of these requests could not be answered in
    // time by any target.
    constexpr std::uint32_t long_queue = 8;
    const burst_shares baseline = burst(seed, variant::without_admission, default_queue);
    for (const auto& [queue, late_name, name] :
         {std::tuple(default_queue, "requests_burst_admitted_late", "requests_burst_not_answered"),
          std::tuple(long_queue, "requests_burst_admitted_late_queue_8",
                     "requests_burst_not_answered_queue_8")}) {
        const burst_shares complete = burst(seed, variant::complete, queue);
        // 95 % of the requests that slots and queues can hold must be answered.
        const auto capacity_share =
            static_cast<double>(burst_targets * burst_slots * (1 + queue)) / burst_size;
        print({late_name, "share", complete.admitted_late, 0.05, baseline.admitted_late, false}, seed);
        print({name, "share", complete.not_answered, 1 - 0.95 * capacity_share, baseline.not_answered, false},
              seed);
    }
}

// Returns the goodput while `disturb` is applied to one upstream, as a share of the requests that the
// upstreams can serve; requests of a flow are served only by the upstream that holds it. `remaining_share` is
// the share of its requests that the disturbed upstream can still serve. The load is 60 %, so that the others
// have free slots.
double disturbed_goodput(std::uint64_t seed, variant v, double remaining_share,
                         const std::function<void(testing::upstream_behaviour&)>& disturb)
{
    const request_simulation_settings s = base_settings(seed, v);
    request_simulation simulation(s);
    simulation.net().run_for(seconds(1));
    const double rate = 0.6 * capacity(s);
    run_load(simulation, rate, seconds(5));
    disturb(simulation.upstream(0).behaviour());
    const counts c = run_load(simulation, rate, seconds(30));
    const double servable_share =
        (static_cast<double>(s.targets - 1) + remaining_share) / static_cast<double>(s.targets);
    return static_cast<double>(c.answered) / (static_cast<double>(c.submitted) * servable_share);
}

void bench_disturbed(std::uint64_t seed)
{
    const auto slow_down = [](testing::upstream_behaviour& b) { b.service_time = service_time * 6; };
    // The upstream keeps 1/6 of its capacity, which is 1/6 / 0.6 = 1/3.6 of its part of the load of 60 %.
    print({"requests_goodput_one_slow", "share_of_possible",
           disturbed_goodput(seed, variant::complete, 1 / 3.6, slow_down), 0.95,
           disturbed_goodput(seed, variant::without_admission, 1 / 3.6, slow_down), true},
          seed);
    // The health report of this upstream would still show no fault; the system does not read it.
    const auto refuse_all = [](testing::upstream_behaviour& b) { b.shed_probability = 1; };
    print({"requests_goodput_one_refuses", "share_of_possible",
           disturbed_goodput(seed, variant::complete, 0, refuse_all), 0.95,
           disturbed_goodput(seed, variant::without_admission, 0, refuse_all), true},
          seed);
}

// Returns the time from the recovery of an upstream that refused all requests for 10 s until its target
// admits requests again, in milliseconds. The upstream's health report would lag by another 10 s.
double recovery_ms(std::uint64_t seed)
{
    const request_simulation_settings s = base_settings(seed, variant::complete);
    request_simulation simulation(s);
    simulation.net().run_for(seconds(1));
    const double rate = 0.6 * capacity(s);
    simulation.upstream(0).behaviour().shed_probability = 1;
    run_load(simulation, rate, seconds(10));
    simulation.upstream(0).behaviour().shed_probability = 0;
    const std::uint64_t before = simulation.upstream(0).run_count();
    const time_point recovered = simulation.net().now();
    while (simulation.upstream(0).run_count() == before && simulation.net().now() - recovered < seconds(20)) {
        run_load(simulation, rate, milliseconds(10));
    }
    return static_cast<double>((simulation.net().now() - recovered).count()) / 1000.0;
}

void bench_recovery(std::uint64_t seed)
{
    // The baseline is not measured: a target that followed the health report would wait for the lag of the
    // report.
    constexpr double report_lag_ms = 10000;
    print({"requests_recovery_after_refusals", "ms", recovery_ms(seed), report_lag_ms, report_lag_ms, false},
          seed);
}

std::size_t heap_bytes_in_use() { return mallinfo2().uordblks; }

// Returns the heap bytes of a request table with `flows` flows and, on each, `records` running requests
// without a body.
double table_bytes(std::size_t flows, std::int64_t records)
{
    counters counted;
    const std::size_t before = heap_bytes_in_use();
    request_settings limits;
    limits.slots = static_cast<std::uint32_t>(flows * 8);
    limits.ramp = milliseconds(0);
    request_table table = value(request_table::create(limits, counted));
    table.set_incarnation(incarnation{1});
    outbox out;
    const time_point now{seconds(1)};
    for (std::size_t f = 1; f <= flows; ++f) {
        const flow_key key{{0x7f000001, static_cast<std::uint16_t>(f)}, {0x7f000002, 80}, 17};
        table.on_flow_opened(now, key, flow_token{static_cast<std::int64_t>(f)});
        for (std::int64_t n = 1; n <= records; ++n) {
            wire::request r;
            r.incarnation = 1;
            r.token = static_cast<std::int64_t>(f);
            r.sequence = n;
            r.settled_below = 1;
            r.remaining_ms = 1000;
            table.on_payload(now, key, r, out);
            out.clear();
        }
    }
    return static_cast<double>(heap_bytes_in_use() - before);
}

// Returns the least-squares slope of `y` over `x`.
double slope(const std::vector<double>& x, const std::vector<double>& y)
{
    double mean_x = 0;
    double mean_y = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        mean_x += x[i] / static_cast<double>(x.size());
        mean_y += y[i] / static_cast<double>(x.size());
    }
    double sum_xy = 0;
    double sum_xx = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        sum_xy += (x[i] - mean_x) * (y[i] - mean_y);
        sum_xx += (x[i] - mean_x) * (x[i] - mean_x);
    }
    return sum_xy / sum_xx;
}

void bench_memory(std::uint64_t seed)
{
    // 64 MB for 2,000 connections of a target, with one open request each, leave 33 KB for a connection and
    // its request together; each of them gets half.
    constexpr double bound = 64.0 * 1024 * 1024 / 2000 / 2;
    std::vector<double> flows;
    std::vector<double> flow_bytes;
    std::vector<double> record_counts;
    std::vector<double> record_bytes;
    for (const std::size_t n : {500U, 1000U, 2000U, 4000U}) {
        flows.push_back(static_cast<double>(n));
        flow_bytes.push_back(table_bytes(n, 0));
        record_counts.push_back(static_cast<double>(n) * 8);
        record_bytes.push_back(table_bytes(n, 8) - flow_bytes.back());
    }
    print({"requests_bytes_per_flow", "bytes", slope(flows, flow_bytes), bound, 0, false}, seed);
    print({"requests_bytes_per_record", "bytes", slope(record_counts, record_bytes), bound, 0, false}, seed);
}

}  // namespace

/// Measures the request path and prints one line for each figure.
void bench_requests(std::uint64_t seed)
{
    bench_overload(seed);
    bench_amplification(seed);
    bench_burst(seed);
    bench_disturbed(seed);
    bench_recovery(seed);
    bench_memory(seed);
}

}  // namespace peridotcleat::bench

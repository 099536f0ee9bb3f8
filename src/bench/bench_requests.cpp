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

// The two ways of handling load that are compared in one run.
enum class variant : std::uint8_t { ours, without_admission, without_budget };

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
        // The table admits everything, and requests wait in the upstream.
        s.requests.slots = 1000000;
        s.upstreams.unbounded_queue = true;
    }
    if (v == variant::without_budget) {
        s.caller_defaults.retry_percent = 1000;
    }
    return s;
}

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

std::uint64_t retries_of(const request_simulation& world)
{
    std::uint64_t n = 0;
    for (std::size_t i = 0; i < world.callers(); ++i) {
        n += world.retry_count(i);
    }
    return n;
}

// Submits requests of random callers, `per_second` on average, and counts what ends meanwhile.
counts run_load(request_simulation& world, double per_second, milliseconds duration)
{
    counts c;
    world.set_finish_handler([&c](const finished_request& f) {
        if (f.status == request_status::answered && f.duration <= deadline) {
            ++c.answered;
        } else {
            ++c.not_answered;
        }
    });
    const std::uint64_t retries = retries_of(world);
    std::exponential_distribution<double> gap(per_second);
    const time_point end = world.net().now() + duration;
    while (world.net().now() < end) {
        world.net().run_for(
            std::chrono::microseconds(static_cast<std::int64_t>(gap(world.net().random()) * 1e6) + 1));
        world.submit(world.net().random()() % world.callers(), false, deadline);
        ++c.submitted;
    }
    c.retries = retries_of(world) - retries;
    world.set_finish_handler({});
    return c;
}

double capacity(const request_simulation_settings& s)
{
    return static_cast<double>(s.targets * s.upstreams.slots) * 1000.0 /
           static_cast<double>(service_time.count());
}

// Load as a share of capacity, after a warm-up that is not counted.
counts steady(std::uint64_t seed, variant v, double load)
{
    const request_simulation_settings s = base_settings(seed, v);
    request_simulation world(s);
    world.net().run_for(seconds(1));
    run_load(world, load * capacity(s), seconds(5));
    return run_load(world, load * capacity(s), seconds(30));
}

void bench_overload(std::uint64_t seed)
{
    // Goodput of 95 % of capacity leaves this share of the requests without an answer in time.
    constexpr double goodput_bound = 0.95;
    const counts ours_90 = steady(seed, variant::ours, 0.9);
    const counts base_90 = steady(seed, variant::without_admission, 0.9);
    print({"requests_refused_or_late_90", "share", ours_90.refused_or_late(), 1 - goodput_bound,
           base_90.refused_or_late(), false},
          seed);
    const counts ours = steady(seed, variant::ours, 1.2);
    const counts base = steady(seed, variant::without_admission, 1.2);
    print({"requests_refused_or_late_120", "share", ours.refused_or_late(), 1 - goodput_bound / 1.2,
           base.refused_or_late(), false},
          seed);
    const double all = capacity(base_settings(seed, variant::ours)) * 30;
    print({"requests_goodput_120", "share_of_capacity", static_cast<double>(ours.answered) / all,
           goodput_bound, static_cast<double>(base.answered) / all, true},
          seed);
}

// Requests sent for each new one after half of the upstreams have crashed; their agents go on.
double amplification(std::uint64_t seed, variant v)
{
    const request_simulation_settings s = base_settings(seed, v);
    request_simulation world(s);
    world.net().run_for(seconds(1));
    const double rate = 0.6 * capacity(s);
    run_load(world, rate, seconds(30));
    for (std::size_t i = 0; i < (s.targets + 1) / 2; ++i) {
        world.upstream(i).crash();
    }
    const counts c = run_load(world, rate, seconds(60));
    return 1 + static_cast<double>(c.retries) / static_cast<double>(c.submitted);
}

void bench_amplification(std::uint64_t seed)
{
    print({"requests_retry_amplification", "ratio", amplification(seed, variant::ours), 1.1,
           amplification(seed, variant::without_budget), false},
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

// Callers of four small upstreams submit together, as for the monthly schedules.
burst_shares burst(std::uint64_t seed, variant v, std::uint32_t queue_per_slot)
{
    request_simulation_settings s = base_settings(seed, v);
    s.targets = burst_targets;
    s.callers = burst_size;
    s.upstreams.slots = burst_slots;
    s.requests.slots = v == variant::ours ? burst_slots : s.requests.slots;
    s.requests.queue_per_slot = queue_per_slot;
    request_simulation world(s);
    world.net().run_for(seconds(1));
    std::uint64_t answered = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    world.set_finish_handler([&](const finished_request& f) {
        answered += f.status == request_status::answered ? 1 : 0;
        refused += f.status == request_status::not_run ? 1 : 0;
        late += f.status == request_status::answered || f.status == request_status::not_run ? 0 : 1;
    });
    for (int n = 0; n < 10; ++n) {
        for (std::size_t i = 0; i < s.callers; ++i) {
            world.submit(i, false, deadline);
        }
        world.net().run_for(seconds(3));
    }
    const auto admitted = static_cast<double>(answered + late);
    return {static_cast<double>(late) / admitted,
            static_cast<double>(late + refused) / (admitted + static_cast<double>(refused))};
}

void bench_burst(std::uint64_t seed)
{
    constexpr std::uint32_t default_queue = 4;
    // Nine requests in a row take 0.9 s on average. A tenth would end at the deadline, so that half of them
    // could not be answered by any target.
    constexpr std::uint32_t long_queue = 8;
    const burst_shares base = burst(seed, variant::without_admission, default_queue);
    for (const auto& [queue, late_name, name] :
         {std::tuple(default_queue, "requests_burst_admitted_late", "requests_burst_not_answered"),
          std::tuple(long_queue, "requests_burst_admitted_late_queue_8",
                     "requests_burst_not_answered_queue_8")}) {
        const burst_shares ours = burst(seed, variant::ours, queue);
        // 95 % of what fits into slots and queue must be answered.
        const auto fits = static_cast<double>(burst_targets * burst_slots * (1 + queue)) / burst_size;
        print({late_name, "share", ours.admitted_late, 0.05, base.admitted_late, false}, seed);
        print({name, "share", ours.not_answered, 1 - 0.95 * fits, base.not_answered, false}, seed);
    }
}

// Goodput in shares of what the upstreams can serve of the requests of their own flows, with one upstream
// disturbed. 60 % load, so that the others have slots to spare.
double disturbed(std::uint64_t seed, variant v, double left_at_disturbed,
                 const std::function<void(testing::upstream_behaviour&)>& disturb)
{
    const request_simulation_settings s = base_settings(seed, v);
    request_simulation world(s);
    world.net().run_for(seconds(1));
    const double rate = 0.6 * capacity(s);
    run_load(world, rate, seconds(5));
    disturb(world.upstream(0).behaviour());
    const counts c = run_load(world, rate, seconds(30));
    const double served =
        (static_cast<double>(s.targets - 1) + left_at_disturbed) / static_cast<double>(s.targets);
    return static_cast<double>(c.answered) / (static_cast<double>(c.submitted) * served);
}

void bench_disturbed(std::uint64_t seed)
{
    const auto slow = [](testing::upstream_behaviour& b) { b.service_time = service_time * 6; };
    // 1/6 of its capacity is 1/6 / 0.6 of its share of the load.
    print({"requests_goodput_one_slow", "share_of_possible", disturbed(seed, variant::ours, 1 / 3.6, slow),
           0.95, disturbed(seed, variant::without_admission, 1 / 3.6, slow), true},
          seed);
    // Its health report would still say that it is fine; nothing here reads it.
    const auto refuses = [](testing::upstream_behaviour& b) { b.shed_probability = 1; };
    print({"requests_goodput_one_refuses", "share_of_possible", disturbed(seed, variant::ours, 0, refuses),
           0.95, disturbed(seed, variant::without_admission, 0, refuses), true},
          seed);
}

// An upstream refuses for 10 s and recovers; its report would lag by another 10 s. Time from the recovery
// until its target admits requests again.
double recovery_ms(std::uint64_t seed)
{
    const request_simulation_settings s = base_settings(seed, variant::ours);
    request_simulation world(s);
    world.net().run_for(seconds(1));
    const double rate = 0.6 * capacity(s);
    world.upstream(0).behaviour().shed_probability = 1;
    run_load(world, rate, seconds(10));
    world.upstream(0).behaviour().shed_probability = 0;
    const std::uint64_t before = world.upstream(0).run_count();
    const time_point recovered = world.net().now();
    while (world.upstream(0).run_count() == before && world.net().now() - recovered < seconds(20)) {
        run_load(world, rate, milliseconds(10));
    }
    return static_cast<double>((world.net().now() - recovered).count()) / 1000.0;
}

void bench_recovery(std::uint64_t seed)
{
    // The baseline is not measured: a target that follows the report waits for its lag.
    constexpr double report_lag_ms = 10000;
    print({"requests_recovery_after_refusals", "ms", recovery_ms(seed), report_lag_ms, report_lag_ms, false},
          seed);
}

std::size_t heap_in_use() { return mallinfo2().uordblks; }

// Heap bytes of a table with `flows` flows and `records` running requests without a body on each.
double table_bytes(std::size_t flows, std::int64_t records)
{
    counters counted;
    const std::size_t before = heap_in_use();
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
    return static_cast<double>(heap_in_use() - before);
}

// Least-squares slope of `y` over `x`.
double slope(const std::vector<double>& x, const std::vector<double>& y)
{
    double mean_x = 0;
    double mean_y = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        mean_x += x[i] / static_cast<double>(x.size());
        mean_y += y[i] / static_cast<double>(x.size());
    }
    double above = 0;
    double below = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        above += (x[i] - mean_x) * (y[i] - mean_y);
        below += (x[i] - mean_x) * (x[i] - mean_x);
    }
    return above / below;
}

void bench_memory(std::uint64_t seed)
{
    // A target has 2,000 connections; 64 MB for them and one open request each leave 33 KB for both together.
    constexpr double bound = 64.0 * 1024 * 1024 / 2000 / 2;
    std::vector<double> flows;
    std::vector<double> flow_bytes;
    std::vector<double> records;
    std::vector<double> record_bytes;
    for (const std::size_t n : {500U, 1000U, 2000U, 4000U}) {
        flows.push_back(static_cast<double>(n));
        flow_bytes.push_back(table_bytes(n, 0));
        records.push_back(static_cast<double>(n) * 8);
        record_bytes.push_back(table_bytes(n, 8) - flow_bytes.back());
    }
    print({"requests_bytes_per_flow", "bytes", slope(flows, flow_bytes), bound, 0, false}, seed);
    print({"requests_bytes_per_record", "bytes", slope(records, record_bytes), bound, 0, false}, seed);
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

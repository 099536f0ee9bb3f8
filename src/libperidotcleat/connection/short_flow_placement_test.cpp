// Placement of flows that carry one request each, on targets with two slots, at 70 to 80 % of the capacity:
// each case names the pattern of load or failure that it guards against.

#include <gtest/gtest.h>

#include <numeric>

#include "testing/segment_simulation.h"

namespace peridotcleat {
namespace {

using namespace std::chrono_literals;
using testing::segment_fleet;
using testing::segment_simulation;
using target_fault = segment_simulation::target_fault;

// 44 targets with two slots and 43 ms of work serve 2,046 requests a second.
constexpr double capacity = 2046;

// Fails on a fleet whose balancers all choose the target that was the least loaded one when it reported last.
TEST(short_flow_placement, balancers_with_old_load_reports_do_not_flood_one_target)
{
    segment_simulation fleet{segment_fleet{}};
    auto warm = fleet.run(0.7 * capacity, 2s);
    auto result = fleet.run(0.8 * capacity, 5s);
    EXPECT_LT(result.shed_share(), 0.02);
    EXPECT_EQ(result.refused, 0U);
    EXPECT_LT(result.latency(0.5), 60ms);
    EXPECT_LT(result.latency(0.99), 250ms);
}

// Fails if a share of the flows of a quiet service waits in a queue while other targets have free slots.
TEST(short_flow_placement, a_quiet_service_has_no_queue)
{
    segment_simulation fleet{segment_fleet{}};
    auto result = fleet.run(0.4 * capacity, 4s);
    EXPECT_EQ(result.shed, 0U);
    EXPECT_LT(result.latency(0.95), 85ms);
}

// Fails if requests beyond the capacity are held or queued until targets shed them, or if they reduce the
// number of requests that are served.
TEST(short_flow_placement, requests_beyond_the_capacity_are_refused_at_once)
{
    segment_simulation fleet{segment_fleet{}};
    auto warm = fleet.run(0.7 * capacity, 2s);
    auto result = fleet.run(1.5 * capacity, 3s);
    EXPECT_LT(result.shed_share(), 0.02);
    EXPECT_GT(static_cast<double>(result.served), 0.95 * capacity * 3);
    EXPECT_LT(result.slowest_refusal, 75ms);  // a quarter of a latency objective of 300 ms
    EXPECT_EQ(result.served + result.shed + result.refused, result.sent);
}

// Fails if a target that fails every request at once, and therefore seems idle, attracts the flows.
TEST(short_flow_placement, a_target_that_fails_at_once_attracts_few_flows)
{
    segment_simulation fleet{segment_fleet{}};
    fleet.set_fault(0, target_fault::fails_at_once);
    auto result = fleet.run(0.7 * capacity, 5s);
    const auto mean = static_cast<double>(result.sent) / static_cast<double>(result.arrivals.size());
    EXPECT_LT(static_cast<double>(result.arrivals[0]), 2.5 * mean);
}

// Fails if a target that works five times slower gets the share of a healthy one and sheds the rest.
TEST(short_flow_placement, a_slow_target_gets_what_it_can_serve)
{
    segment_simulation fleet{segment_fleet{}};
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.set_fault(i * 7, target_fault::slow);
    }
    auto warm = fleet.run(0.6 * capacity, 2s);
    auto result = fleet.run(0.65 * capacity, 5s);
    EXPECT_LT(result.shed_share(), 0.01);
}

// Fails if flows keep going to a third of the targets after these ceased to react, or if the others are
// flooded.
TEST(short_flow_placement, the_loss_of_a_third_of_the_targets_costs_their_share_for_a_moment)
{
    segment_simulation fleet{segment_fleet{}};
    auto warm = fleet.run(0.5 * capacity, 2s);
    for (std::size_t i = 0; i < 14; ++i) {
        fleet.set_fault(i * 3, target_fault::dark);
    }
    auto first = fleet.run(0.5 * capacity, 1s);
    auto later = fleet.run(0.5 * capacity, 4s);
    EXPECT_LT(later.shed_share(), 0.02);
    EXPECT_GT(static_cast<double>(later.served), 0.97 * static_cast<double>(later.sent));
}

}  // namespace
}  // namespace peridotcleat

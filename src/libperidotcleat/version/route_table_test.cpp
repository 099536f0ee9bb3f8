#include "peridotcleat/route_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <map>
#include <utility>

#include "peridotcleat/balancer.h"
#include "testing/table_source.h"

namespace peridotcleat {
namespace {

using testing::next_revision;

constexpr endpoint service_address{0x7f000001U, 80};
constexpr service_id only_service{1};

endpoint agent_at(std::uint64_t i) { return {0x7f010000U + static_cast<std::uint32_t>(i), 9000}; }

// Returns a table with one service and one target for each element of `slots`.
table_state table_with_slots(const std::vector<std::int32_t>& slots)
{
    table_state table;
    testing::fill_table(table, 1, 0, 0);
    for (std::size_t i = 0; i < slots.size(); ++i) {
        table.apply(next_revision(table),
                    testing::make_target_join(1, only_service, agent_at(i), 1, slots[i]));
    }
    return table;
}

// Returns the owner of each bucket as an endpoint, which a restart of the target does not change.
std::vector<endpoint> owners_of(const table_state& table)
{
    const auto routes = route_table::build(table);
    const service_routes* r = routes->find(only_service);
    std::vector<endpoint> owners;
    if (r->has_owner) {
        std::ranges::transform(r->owners, std::back_inserter(owners),
                               [r](std::uint16_t i) { return r->targets[i].agent; });
    }
    return owners;
}

std::vector<std::int32_t> arbitrary_slots()
{
    const auto count = *rc::gen::inRange<std::size_t>(2, 20);
    return *rc::gen::container<std::vector<std::int32_t>>(count, rc::gen::inRange(1, 50));
}

// Guards against buckets that move between targets that did not change. Each bucket that moves costs a
// handover and, for the packets in flight, an extra hop.
RC_GTEST_PROP(route_table, a_change_of_one_target_moves_only_its_buckets, ())
{
    const auto slots = arbitrary_slots();
    table_state table = table_with_slots(slots);
    const auto before = owners_of(table);
    const auto index = *rc::gen::inRange<std::size_t>(0, slots.size());
    const endpoint agent = agent_at(index);
    const incarnation id = *table.find_target(agent);
    const auto change_kind = *rc::gen::inRange(0, 3);
    if (change_kind == 0) {
        table.apply(next_revision(table), testing::make_target_drain(1, id));
    } else if (change_kind == 1) {
        table.apply(next_revision(table), testing::make_target_leave(1, id));
    } else {
        table.apply(next_revision(table), testing::make_target_join(1, only_service, agent, 2, slots[index]));
    }
    const auto after = owners_of(table);
    for (std::size_t b = 0; b < bucket_count; ++b) {
        if (change_kind == 2) {
            RC_ASSERT(after[b] == before[b]);
        } else {
            RC_ASSERT(after[b] != agent);
            RC_ASSERT(after[b] == before[b] || before[b] == agent);
        }
    }
    if (change_kind == 1) {
        // The target joins again and owns exactly the buckets that it owned before.
        table.apply(next_revision(table), testing::make_target_join(1, only_service, agent, 3, slots[index]));
        RC_ASSERT(owners_of(table) == before);
    }
}

// Guards against buckets owned by a draining target while another target is active, against buckets that
// change owner while all targets drain, which would misroute open flows, and against second candidates that
// are the owner or draining.
RC_GTEST_PROP(route_table, owners_and_candidates_are_active_unless_all_targets_drain, ())
{
    table_state table = table_with_slots(arbitrary_slots());
    const auto owners_before_draining = owners_of(table);
    for (const auto& item : std::map(table.targets())) {
        if (*rc::gen::inRange(0, 4) != 0) {
            table.apply(next_revision(table), testing::make_target_drain(1, item.first));
        }
    }
    const auto routes = route_table::build(table);
    const service_routes& r = *routes->find(service_address);
    const auto active = std::ranges::count_if(r.targets, [](const auto& t) { return !t.draining; });
    RC_CLASSIFY(active == 0, "all drain");
    RC_ASSERT(r.has_owner);
    RC_ASSERT(r.all_draining == (active == 0));
    RC_ASSERT(active > 0 || owners_of(table) == owners_before_draining);
    for (std::size_t b = 0; b < bucket_count; ++b) {
        const route_target& owner = r.targets[r.owners[b]];
        RC_ASSERT(owner.draining == (active == 0));
        RC_ASSERT(r.index_of(owner.id) == r.owners[b]);
        const auto second = r.second_candidate(mix(b), owner.id);
        RC_ASSERT(second.has_value() == (active > 1));
        RC_ASSERT(!second || (!r.targets[*second].draining && r.targets[*second].id != owner.id));
    }
}

bool all_drain(const table_state& table, service_id service)
{
    return std::ranges::all_of(table.targets_of(service),
                               [&](incarnation id) { return table.targets().at(id).draining; });
}

// Guards against a packet that is routed to a service other than the one it is addressed to, and against a
// routing decision for an address that no service has.
TEST(route_table, packets_are_routed_to_the_service_of_the_address)
{
    testing::change_source source(3);
    table_state table;
    for (int step = 0; step < 400; ++step) {
        table.apply(next_revision(table), source.next(table));
        const auto routes = route_table::build(table);
        for (std::uint16_t port = 80; port < 96; ++port) {
            const endpoint address{0x7f000100U, port};
            const flow_key key{{0x7f020000U, static_cast<std::uint16_t>(1024 + source.random_below(60'000))},
                               address};
            route_decision decision;
            const error_code code = route(*routes, key, decision);
            const auto owner = table.find_address(address);
            if (!owner) {
                EXPECT_EQ(code, error_code::wrong_service);
            } else if (code == error_code::ok) {
                const wire::target& t = table.targets().at(decision.owner);
                EXPECT_EQ(decision.service, *owner);
                EXPECT_EQ(t.service_id, owner->value);
                EXPECT_EQ(from_wire(t.agent), decision.agent);
                EXPECT_TRUE(!t.draining || all_drain(table, *owner));
                EXPECT_EQ(decision.table_revision, table.current_revision());
            } else {
                EXPECT_EQ(code, error_code::no_target);
                EXPECT_TRUE(table.targets_of(*owner).empty());
            }
        }
    }
}

// Guards against an incremental rebuild that differs from a full build, and against a rebuild that changes
// the route table it starts from.
TEST(route_table, incremental_rebuild_equals_a_full_build)
{
    for (std::uint64_t seed = 1; seed <= testing::seed_count(20); ++seed) {
        testing::change_source source(seed);
        table_state table;
        auto routes = route_table::build(table);
        for (int step = 0; step < 250; ++step) {
            const auto out = table.apply(next_revision(table), source.next(table));
            const auto previous = routes;
            const std::uint64_t digest = previous->digest();
            routes = route_table::rebuild(*previous, table, out.changed_services);
            const auto full = route_table::build(table);
            ASSERT_EQ(routes->digest(), full->digest()) << "seed " << seed << " step " << step;
            ASSERT_EQ(previous->digest(), digest);
            for (std::uint16_t port = 80; port < 96; ++port) {
                const service_routes* a = routes->find(endpoint{0x7f000100U, port});
                const service_routes* b = full->find(endpoint{0x7f000100U, port});
                ASSERT_EQ(a == nullptr, b == nullptr);
                ASSERT_TRUE(a == nullptr || a->service == b->service);
            }
        }
    }
}

// Guards against shares of buckets that are not in proportion to the slots. The number of buckets of a target
// has a binomial distribution; a deviation above four standard deviations over all services indicates a
// fault.
TEST(route_table, shares_are_proportional_to_slots)
{
    constexpr std::size_t services = 200;
    table_state table;
    testing::fill_table(table, services, 0, 0);
    for (std::size_t i = 0; i < 3 * services; ++i) {
        table.apply(next_revision(table),
                    testing::make_target_join(1, {static_cast<std::int64_t>(i / 3) + 1}, agent_at(i), 1,
                                              static_cast<std::int32_t>(1 + i % 3)));
    }
    const auto routes = route_table::build(table);
    std::array<double, 3> owned{};
    for (const auto& item : table.services()) {
        const service_routes* r = routes->find(item.first);
        for (const std::uint16_t o : r->owners) {
            owned.at(r->targets[o].weight - 1) += 1;
        }
    }
    constexpr double total = services * bucket_count;
    for (std::size_t i = 0; i < 3; ++i) {
        const double share = static_cast<double>(i + 1) / 6;
        EXPECT_NEAR(owned.at(i), total * share, 4 * std::sqrt(total * share * (1 - share))) << i;
    }
}

// Guards against a score that differs from the logarithm that it approximates, by 1e-6 or more. Such a score,
// for example one that is not monotonic, would favour some targets.
RC_GTEST_PROP(route_table, score_is_the_logarithm, (std::uint64_t hash))
{
    const double exact = -std::log2(static_cast<double>(hash | 1U) * 0x1p-64);
    const double score = static_cast<double>(rendezvous_score(hash)) * 0x1p-40;
    RC_ASSERT(std::abs(score - exact) < 1e-6);
}

}  // namespace
}  // namespace peridotcleat

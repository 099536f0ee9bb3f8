#include "peridotcleat/control.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <map>
#include <random>

#include "testing/control_run.h"

namespace peridotcleat {
namespace {

using std::chrono::seconds;
using testing::cluster_shape;
using testing::control_cluster;

wire::patch add_service_patch(const std::string& id, std::int64_t base, const std::string& name,
                              std::size_t i)
{
    wire::patch_operation op;
    op.kind = 1;
    op.name = name;
    wire::service_entry service;
    service.name = name;
    service.addresses.push_back(to_wire(endpoint{0x0a000000U + static_cast<std::uint32_t>(i) + 1, 80}));
    op.__set_value(service);
    wire::patch p;
    p.patch_id = id;
    p.base = base;
    p.operations.push_back(op);
    return p;
}

// Guards against a cluster of one control process that accepts no patch, and against an accepted change that
// does not reach all nodes.
TEST(control, a_patch_reaches_all_nodes_of_a_single_control_process)
{
    cluster_shape shape;
    shape.controls = 1;
    control_cluster cluster(1, shape);
    cluster.start_all();
    cluster.net().run_for(seconds(6));
    auto* leader = cluster.leader();
    ASSERT_NE(leader, nullptr);
    for (std::size_t i = 0; i < shape.services; ++i) {
        const auto patch = add_service_patch("p" + std::to_string(i), static_cast<std::int64_t>(i),
                                             control_cluster::service_name(i), i);
        leader->role->submit_patch(cluster.net().now(), cluster.wall(), patch);
        cluster.net().run_for(seconds(1));
        const auto answers = leader->role->take_answers();
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_EQ(answers[0].patch.status, patch_status::accepted) << answers[0].patch.reason.message;
    }
    cluster.net().run_for(seconds(14));
    for (const auto& n : cluster.nodes()) {
        EXPECT_TRUE(n->link->ready()) << n->name;
        EXPECT_EQ(n->link->table().current_revision(), leader->role->table().current_revision()) << n->name;
        EXPECT_EQ(n->link->table().digest(), leader->role->table().digest()) << n->name;
    }
    const auto status = leader->role->status(cluster.net().now(), config_version{2});
    EXPECT_TRUE(status.known);
    EXPECT_TRUE(status.everywhere);
    EXPECT_TRUE(status.unreachable.empty());
}

wire::replacement replacement_with_routes(std::int64_t version, std::size_t routes)
{
    wire::replacement r;
    r.version = version;
    r.services = {"service-0"};
    for (std::size_t i = 0; i < routes; ++i) {
        wire::replacement_route& route = r.routes.emplace_back();
        route.address = to_wire(endpoint{0xc6120000U + static_cast<std::uint32_t>(i), 443});
        wire::route_backend& backend = route.backends.emplace_back();
        backend.service_id = 0;
        backend.weight = 1;
    }
    // Documents are compressed by their authors' programs; a route takes about 13 bytes of one.
    std::mt19937_64 random(static_cast<std::uint64_t>(version));
    std::ranges::generate_n(std::back_inserter(r.document), static_cast<std::ptrdiff_t>(routes * 13),
                            [&] { return static_cast<char>(random()); });
    return r;
}

// Guards against a description within the limits of a table that is refused again and again as if control
// had no quorum, because its log entry exceeds a datagram, and against one that changes on its way through
// the log, a restart or a snapshot.
TEST(control, a_description_as_large_as_a_table_may_hold_is_accepted)
{
    cluster_shape shape;
    shape.balancers = 1;
    shape.agents = 0;
    shape.snapshot_after = 32;
    control_cluster cluster(3, shape);
    cluster.start_all();
    cluster.net().run_for(seconds(6));
    std::int64_t version = 0;
    for (const std::size_t routes : {std::size_t{1640}, std::size_t{3040}, table_state::max_routes}) {
        auto* leader = cluster.leader();
        ASSERT_NE(leader, nullptr);
        const auto replacement = replacement_with_routes(++version, routes);
        leader->role->submit_replacement(cluster.net().now(), cluster.wall(), replacement);
        cluster.net().run_for(seconds(8));
        const auto answers = leader->role->take_answers();
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_EQ(answers[0].patch.status, patch_status::accepted)
            << routes << " routes: " << answers[0].patch.reason.message;
        const std::size_t restarted = static_cast<std::size_t>(version) % 3;
        cluster.kill_control(restarted);
        cluster.start_control(restarted, false);
        cluster.net().run_for(seconds(10));
        for (const auto& process : cluster.controls()) {
            EXPECT_EQ(process->role->table().routes().size(), routes) << process->name;
            EXPECT_TRUE(process->role->table().document().bytes == replacement.document) << process->name;
        }
        EXPECT_EQ(cluster.nodes().front()->link->table().routes().size(), routes);
    }
}

// Guards against a description that can never be accepted but is answered as if it might be accepted later.
TEST(control, a_description_that_no_log_entry_can_hold_is_refused_for_good)
{
    cluster_shape shape;
    shape.balancers = 0;
    shape.agents = 0;
    control_cluster cluster(4, shape);
    cluster.start_all();
    cluster.net().run_for(seconds(6));
    auto* leader = cluster.leader();
    ASSERT_NE(leader, nullptr);
    auto replacement = replacement_with_routes(1, 1);
    replacement.document.resize(max_change_data + 1);
    leader->role->submit_replacement(cluster.net().now(), cluster.wall(), replacement);
    cluster.net().run_for(seconds(1));
    const auto answers = leader->role->take_answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].patch.status, patch_status::invalid);
    EXPECT_EQ(answers[0].patch.reason.code, error_code::message_too_large);
}

// Guards against balancers that reset an open flow because the table has dropped its target, although only
// the agent beside it was silent: the target must stay known as lost until its flows are too old. The agent
// joins again at once when it is back, also if control has a new leader.
TEST(control, a_target_with_a_silent_agent_stays_known_until_its_flows_have_ended)
{
    cluster_shape shape;
    shape.balancers = 1;
    shape.agents = 2;
    shape.services = 1;
    shape.zones = 1;
    shape.lost_target_retention = seconds(60);
    control_cluster cluster(7, shape);
    cluster.start_all();
    cluster.net().run_for(seconds(6));
    cluster.leader()->role->submit_patch(cluster.net().now(), cluster.wall(),
                                         add_service_patch("p", 0, control_cluster::service_name(0), 0));
    cluster.net().run_for(seconds(6));
    testing::node_process& agent = *cluster.nodes().back();
    const auto targets = [&] {
        std::vector<wire::target> found;
        for (const auto& [id, target] : cluster.nodes().front()->link->table().targets()) {
            if (target.name == agent.name) {
                found.push_back(target);
            }
        }
        return found;
    };
    ASSERT_EQ(targets().size(), 1U);
    cluster.kill_node(agent);
    cluster.net().run_for(seconds(9));
    ASSERT_EQ(targets().size(), 1U);
    EXPECT_TRUE(targets()[0].lost);
    EXPECT_TRUE(targets()[0].draining);
    const auto leader = static_cast<std::size_t>(cluster.leader()->address.address & 0xffffU) - 1;
    cluster.kill_control(leader);
    cluster.start_control(leader, false);
    cluster.net().run_for(seconds(10));
    cluster.start_node(agent);
    cluster.net().run_for(seconds(5));
    ASSERT_EQ(targets().size(), 1U);
    EXPECT_FALSE(targets()[0].lost);
    EXPECT_FALSE(targets()[0].draining);
    EXPECT_TRUE(agent.link->ready());
    cluster.kill_node(agent);
    cluster.net().run_for(seconds(55));
    EXPECT_EQ(targets().size(), 1U);
    cluster.net().run_for(seconds(20));
    EXPECT_TRUE(targets().empty());
}

std::uint64_t from_environment(const char* name, std::uint64_t default_value)
{
    // Not thread-safe, but no other thread changes the environment.
    const char* text = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

// Guards against an isolated leader that confirms its table although another leader may have changed the
// table since, and against a leader that confirms its table before a quorum has answered.
TEST(control, a_table_is_confirmed_by_a_leader_with_a_quorum_only)
{
    cluster_shape shape;
    shape.balancers = 0;
    shape.agents = 0;
    control_cluster cluster(2, shape);
    cluster.start_all();
    cluster.net().run_for(seconds(6));
    auto* leader = cluster.leader();
    ASSERT_NE(leader, nullptr);
    const endpoint client{0x7f090001, 7000};
    std::vector<std::int32_t> confirmed;
    cluster.net().add(
        client,
        [&](time_point, const endpoint&, const message& m, outbox&) {
            const auto* reply = std::get_if<wire::pull_reply>(&m);
            if (reply != nullptr && reply->confirmed) {
                confirmed.push_back(reply->confirm);
            }
        },
        [](time_point, outbox&) {});
    const auto ask = [&](std::int32_t number) {
        wire::pull_request request;
        request.__set_confirm(number);
        cluster.net().send(client, leader->address, request);
        cluster.net().run_for(std::chrono::milliseconds(200));
    };
    ask(1);
    EXPECT_EQ(confirmed, std::vector<std::int32_t>{1});
    cluster.net().set_quality([&](const endpoint& from, const endpoint& to) {
        testing::link_quality q;
        q.loss = from != client && to != client && (from == leader->address || to == leader->address) ? 1 : 0;
        return q;
    });
    ask(2);
    EXPECT_TRUE(leader->role->leading());
    EXPECT_EQ(confirmed.size(), 1U);
}

void run_under_faults(testing::control_run::voting voting)
{
    const std::uint64_t first = from_environment("PERIDOTCLEAT_FIRST_SEED", 1);
    const std::uint64_t count = from_environment("PERIDOTCLEAT_SEEDS", 2);
    std::size_t accepted = 0;
    std::size_t faults = 0;
    std::array<std::size_t, 6> answers{};
    std::map<event, std::uint64_t> events{{event::elections_won, 0},     {event::snapshots_installed, 0},
                                          {event::snapshots_written, 0}, {event::joins, 0},
                                          {event::leases_expired, 0},    {event::parent_changes, 0},
                                          {event::digest_mismatches, 0}, {event::full_tables_sent, 0},
                                          {event::leader_step_downs, 0}};
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        testing::control_run run(seed, voting);
        try {
            run.run();
        } catch (const std::exception& e) {
            ADD_FAILURE() << "seed " << seed << ": " << e.what();
        }
        accepted += run.checker().accepted();
        faults += run.faults();
        for (std::size_t i = 0; i < answers.size(); ++i) {
            answers[i] += run.answers(static_cast<patch_status>(i));
        }
        for (auto& [e, sum] : events) {
            sum += run.total(e);
        }
    }
    std::cout << "seeds=" << count << " accepted=" << accepted << " faults=" << faults;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        std::cout << ' ' << to_string(static_cast<patch_status>(i)) << '=' << answers[i];
    }
    for (const auto& [e, sum] : events) {
        std::cout << ' ' << to_string(e) << '=' << sum;
    }
    std::cout << '\n';
    EXPECT_GT(accepted, count);
}

// Guards against accepted versions that are lost, changed or reverted, answers to operators that turn out to
// be wrong, tables that differ at the same revision, and membership that does not converge, under all faults
// of the failure model: restarts, freezes, partitions, lost disks, lost and duplicated datagrams and skewed
// clocks.
TEST(control, invariants_hold_under_faults) { run_under_faults(testing::control_run::voting::all); }

// Guards against the same failures if some control processes are on standby and take the votes of others, and
// against a cluster that stands still after processes were replaced permanently.
TEST(control, invariants_hold_under_faults_with_standby_processes)
{
    run_under_faults(testing::control_run::voting::some);
}

}  // namespace
}  // namespace peridotcleat

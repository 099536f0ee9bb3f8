#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>
#include <map>

#include "peridotcleat/flow_routes.h"
#include "peridotcleat/table_copy.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat {
namespace {

wire::replacement_route route_to(std::uint16_t port, std::int64_t service, std::int32_t weight = 1)
{
    wire::replacement_route r;
    r.address = to_wire(endpoint{0xc6120001, port});
    wire::route_backend b;
    b.service_id = service;
    b.weight = weight;
    r.backends.push_back(b);
    return r;
}

wire::replacement make_replacement(std::int64_t version, std::vector<wire::replacement_route> routes)
{
    wire::replacement r;
    r.version = version;
    r.services = {"live", "chart"};
    r.routes = std::move(routes);
    r.document = "document " + std::to_string(version);
    return r;
}

struct table_replace_test : public ::testing::Test {
    apply_outcome replace(const wire::replacement& r)
    {
        wire::change c;
        c.time_ms = ++last_revision * 1000;
        c.__set_replace(r);
        return table.apply(revision{last_revision}, c);
    }

    // Returns the incarnation of a target that joins `service`, always at the same address.
    incarnation join(const std::string& service)
    {
        wire::target_join j;
        j.value.service_id = table.find_service(service)->value;
        j.value.agent = to_wire(endpoint{0x0a010001, 7000});
        j.value.slots = 1;
        j.value.connections = 1;
        j.value.nonce = last_revision + 1;
        j.value.name = "agent";
        wire::change c;
        c.time_ms = ++last_revision * 1000;
        c.__set_join_target(j);
        return *table.apply(revision{last_revision}, c).joined;
    }

    std::int64_t last_revision = 0;
    table_state table;
};

// Guards against a version in force that decreases, and against new content under a version that was already
// acknowledged.
TEST_F(table_replace_test, a_version_that_is_not_higher_changes_nothing)
{
    EXPECT_EQ(replace(make_replacement(7, {route_to(80, 0)})).patch->status, patch_status::accepted);
    const auto digest = table.digest();
    for (const std::int64_t version : {7, 3}) {
        const auto outcome = replace(make_replacement(version, {route_to(81, 1)}));
        EXPECT_EQ(outcome.patch->status, patch_status::already_accepted);
        EXPECT_EQ(outcome.patch->version.value, 7);
        EXPECT_EQ(table.digest(), digest);
        EXPECT_EQ(table.document().bytes, "document 7");
    }
}

// Guards against an invalid description that comes into force, wholly or in part.
TEST_F(table_replace_test, an_invalid_description_changes_nothing)
{
    replace(make_replacement(1, {route_to(80, 0)}));
    const auto digest = table.digest();
    EXPECT_EQ(replace(make_replacement(2, {route_to(80, 0), route_to(80, 1)})).refused->code,
              error_code::address_overlap);
    EXPECT_EQ(replace(make_replacement(2, {route_to(80, 2)})).refused->code, error_code::service_unknown);
    EXPECT_EQ(replace(make_replacement(2, {route_to(80, 0, 0)})).refused->code,
              error_code::description_invalid_value);
    EXPECT_EQ(table.digest(), digest);
    EXPECT_EQ(table.document().version, 1);
}

// Guards against a service that gets another id, and thereby would lose its targets, when a description is
// replaced by one that still names the service.
TEST_F(table_replace_test, services_that_stay_keep_their_id)
{
    replace(make_replacement(1, {route_to(80, 0)}));
    const auto live_service = table.find_service("live");
    wire::replacement r = make_replacement(2, {route_to(80, 1)});
    r.services = {"other", "live"};
    replace(r);
    EXPECT_EQ(table.find_service("live"), live_service);
    EXPECT_FALSE(table.find_service("chart"));
    EXPECT_EQ(table.routes().begin()->second.backends[0].service_id, live_service->value);
}

// Guards against a search for open flows that omits the service to which a route sent them before a
// replacement, and against a former service that is still listed when the route changes after
// `former_service_timeout`.
TEST_F(table_replace_test, a_change_of_a_route_drops_expired_former_services)
{
    replace(make_replacement(1, {route_to(80, 0)}));
    replace(make_replacement(2, {route_to(80, 1)}));
    ASSERT_EQ(table.routes().begin()->second.formers.size(), 1U);
    EXPECT_EQ(table.routes().begin()->second.formers[0].service_id, table.find_service("live")->value);
    // The time of a change is derived from its revision: 200 s later, after `former_service_timeout`.
    last_revision += 200;
    wire::replacement r = make_replacement(3, {route_to(80, 1, 2)});
    replace(r);
    EXPECT_TRUE(table.routes().begin()->second.formers.empty());
}

// Guards against the loss of the targets that hold open flows of a route when a description moves the route
// to another service and no longer lists the former one.
TEST_F(table_replace_test, a_service_stays_while_a_route_that_left_it_may_have_flows)
{
    replace(make_replacement(1, {route_to(80, 0)}));
    const auto live_service = *table.find_service("live");
    const auto target = join("live");
    wire::replacement without_live = make_replacement(2, {route_to(80, 0)});
    without_live.services = {"chart"};
    replace(without_live);
    EXPECT_EQ(table.targets_of(live_service), std::vector{target});
    ASSERT_EQ(table.routes().begin()->second.formers.size(), 1U);
    EXPECT_EQ(table.routes().begin()->second.formers[0].service_id, live_service.value);
    // The restarted agent of a target of the former service joins again.
    const auto restarted = join("live");
    EXPECT_EQ(table.targets_of(live_service), std::vector{restarted});
    // A further change that does not concern the route keeps the service, too.
    without_live.version = 3;
    without_live.routes.push_back(route_to(81, 0));
    replace(without_live);
    EXPECT_EQ(table.targets_of(live_service), std::vector{restarted});
    // The time of a change is derived from its revision: 200 s later, after `former_service_timeout`.
    last_revision += 200;
    without_live.version = 4;
    replace(without_live);
    EXPECT_FALSE(table.find_service("live"));
    EXPECT_TRUE(table.targets().empty());
    EXPECT_TRUE(table.routes().begin()->second.formers.empty());
}

// Guards against a service that comes back under another id than its targets and the routes' flows have.
TEST_F(table_replace_test, a_service_that_is_listed_again_keeps_its_id_and_targets)
{
    replace(make_replacement(1, {route_to(80, 0)}));
    const auto live_service = *table.find_service("live");
    const auto target = join("live");
    wire::replacement without_live = make_replacement(2, {route_to(80, 0)});
    without_live.services = {"chart"};
    replace(without_live);
    EXPECT_TRUE(table.services().at(live_service).retired);
    replace(make_replacement(3, {route_to(80, 0)}));
    EXPECT_EQ(table.find_service("live"), live_service);
    EXPECT_FALSE(table.services().at(live_service).retired);
    EXPECT_EQ(table.targets_of(live_service), std::vector{target});
}

// Guards against services that stay in the table although no flow can need them.
TEST_F(table_replace_test, a_service_that_is_no_longer_listed_and_has_no_flows_is_removed)
{
    replace(make_replacement(1, {route_to(80, 0), route_to(81, 1)}));
    join("chart");
    wire::replacement without_chart = make_replacement(2, {route_to(80, 0)});
    without_chart.services = {"live"};
    replace(without_chart);
    EXPECT_FALSE(table.find_service("chart"));
    EXPECT_TRUE(table.targets().empty());
}

// Guards against a search that omits a target which may hold flows of a route (rule FLOW), whatever the
// descriptions of the last minute list: the model knows until when each service may hold flows of the route.
RC_GTEST_PROP(table_replace, every_target_that_may_hold_flows_of_a_route_is_searched, ())
{
    const std::vector<std::string> names{"a", "b", "c", "d"};
    const wire::endpoint address = route_to(80, 0).address;
    table_state table;
    std::map<std::string, std::int64_t> may_hold_until_ms;
    std::int64_t now_ms = 1'000'000;
    const auto rounds = *rc::gen::inRange<std::int64_t>(1, 30);
    for (std::int64_t i = 1; i <= rounds; ++i) {
        now_ms += *rc::gen::inRange<std::int64_t>(0, 40'000);
        const auto used = *rc::gen::inRange<std::size_t>(0, names.size());
        wire::replacement r;
        r.version = i;
        for (std::size_t n = 0; n < names.size(); ++n) {
            if (n == used || *rc::gen::inRange(0, 2) == 0) {
                r.services.push_back(names[n]);
            }
        }
        const auto position = std::ranges::find(r.services, names[used]) - r.services.begin();
        r.routes = {route_to(80, position)};
        wire::change c;
        c.time_ms = now_ms;
        c.__set_replace(r);
        RC_ASSERT(!table.apply(revision{2 * i}, c).refused);
        for (const std::string& name : names) {
            if (name == names[used] && table.targets_of(*table.find_service(name)).empty()) {
                wire::change joined;
                joined.time_ms = now_ms;
                wire::target_join& join = joined.join_target;
                joined.__isset.join_target = true;
                join.value.service_id = table.find_service(name)->value;
                join.value.agent = to_wire(endpoint{0x0a010000 + static_cast<std::uint32_t>(used), 7000});
                join.value.slots = join.value.connections = 1;
                join.value.nonce = i;
                join.value.name = name;
                RC_ASSERT(table.apply(revision{(2 * i) + 1}, joined).joined.has_value());
            }
        }
        // New flows went to the service of the previous description until now, and live for a minute.
        if (i > 1) {
            const auto previous =
                std::ranges::max_element(may_hold_until_ms, {}, [](const auto& item) { return item.second; });
            previous->second = now_ms + 60'000;
        }
        may_hold_until_ms[names[used]] = std::numeric_limits<std::int64_t>::max();
        const auto routes = flow_routes::build(table);
        const auto searched = routes->find(from_wire(address))->services_with_flows();
        for (const auto& [name, until_ms] : may_hold_until_ms) {
            const auto found = std::ranges::find(searched, name, &flow_service::name);
            RC_ASSERT(until_ms < now_ms || (found != searched.end() && !(*found)->targets.empty()));
        }
        RC_ASSERT(table.services().size() <= names.size());
    }
}

// Guards against copies and snapshots that differ from the table after routes were added, removed and added
// again.
RC_GTEST_PROP(table_replace, copies_and_snapshots_equal_the_table, ())
{
    table_state table;
    table_copy copy;
    std::vector<service_id> changed_services;
    const auto rounds = *rc::gen::inRange<std::int64_t>(1, 12);
    for (std::int64_t i = 1; i <= rounds; ++i) {
        std::vector<wire::replacement_route> routes;
        for (std::uint16_t port = 1; port <= 40; ++port) {
            if (*rc::gen::inRange(0, 3) != 0) {
                routes.push_back(route_to(port, *rc::gen::inRange<std::int64_t>(0, 2)));
            }
        }
        wire::change c;
        c.time_ms = i * 30'000;
        c.__set_replace(make_replacement(i, routes));
        RC_ASSERT(!table.apply(revision{i}, c).refused);
        RC_ASSERT(table.routes().size() == routes.size());
        if (*rc::gen::inRange(0, 2) == 0) {
            continue;
        }
        page_outcome outcome = page_outcome::staged;
        for (int page = 0; page < 50 && outcome == page_outcome::staged; ++page) {
            wire::pull_request request;
            copy.fill_request(request);
            outcome = copy.process_page(table.delta(request.position, request.full, 300), changed_services);
        }
        RC_ASSERT(outcome == page_outcome::applied);
        RC_ASSERT(copy.table().digest() == table.digest());
        RC_ASSERT(copy.table().routes() == table.routes());
        RC_ASSERT(copy.table().document().version == i);
    }
    const auto restored = table_state::from_snapshot(table.snapshot());
    RC_ASSERT(has_value(restored));
    RC_ASSERT(value(restored).digest() == table.digest());
    RC_ASSERT(value(restored).document().bytes == table.document().bytes);
}

}  // namespace
}  // namespace peridotcleat

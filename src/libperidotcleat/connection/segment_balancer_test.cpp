#include "peridotcleat/segment_balancer.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "testing/fake_segments.h"

namespace peridotcleat {
namespace {

using std::chrono::milliseconds;
using testing::decode_fake;
using testing::fake_packet;

constexpr endpoint route_address{0xc6120001, 443};
constexpr endpoint agent_a{0x0a010001, 7000};
constexpr endpoint agent_b{0x0a020001, 7000};
constexpr endpoint agent_c{0x0a020002, 7000};

wire::replacement description(std::int64_t version, const std::string& service)
{
    wire::replacement r;
    r.version = version;
    r.services = {"live", "chart"};
    wire::replacement_route entry;
    entry.address = to_wire(route_address);
    wire::route_backend b;
    b.service_id = service == "live" ? 0 : 1;
    b.weight = 1;
    entry.backends.push_back(b);
    r.routes.push_back(entry);
    return r;
}

struct segment_balancer_test : public ::testing::Test {
    segment_balancer_test() { replace_description(1, "live"); }

    void replace_description(std::int64_t version, const std::string& service)
    {
        wire::change c;
        c.time_ms = 1000 * version;
        c.__set_replace(description(version, service));
        table.apply(revision{++last_revision}, c);
        install_routes();
    }

    void join(const endpoint& agent, const std::string& zone, const std::string& service)
    {
        wire::change c;
        wire::target_join j;
        j.value.service_id = table.find_service(service)->value;
        j.value.agent = to_wire(agent);
        j.value.zone = zone;
        j.value.slots = 4;
        j.value.connections = 2000;
        j.value.nonce = agent.address;
        j.value.name = to_string(agent);
        c.__set_join_target(j);
        table.apply(revision{++last_revision}, c);
        install_routes();
    }

    void install_routes() { balancer.set_routes(flow_routes::build(table)); }

    segment from_caller(std::uint16_t port) const
    {
        segment s;
        s.key = {{0x64400001, port}, route_address};
        return s;
    }

    void open(std::uint16_t port)
    {
        segment s = from_caller(port);
        s.opens = true;
        balancer.on_packet(now, fake_packet(s), table_age, out);
    }

    void send(std::uint16_t port, std::uint32_t ack_number)
    {
        segment s = from_caller(port);
        s.acknowledges = true;
        s.ack_number = ack_number;
        balancer.on_packet(now, fake_packet(s, "data"), table_age, out);
    }

    // Handles an agent's answer to a query for one flow.
    void answer(const endpoint& from, std::uint16_t port, segment_outcome outcome)
    {
        wire::segment_answer flow_answer;
        flow_answer.key = to_wire(from_caller(port).key);
        flow_answer.outcome = static_cast<std::int8_t>(outcome);
        wire::segment_answers all;
        all.load_permille = 0;
        all.flows = {flow_answer};
        balancer.on_message(now, from, all, out);
    }

    void report(const endpoint& from, std::uint16_t port, segment_outcome outcome, std::int32_t sequence = 0,
                error_code reason = error_code::ok, const std::string& packet = {})
    {
        wire::segment_report r;
        r.key = to_wire(from_caller(port).key);
        r.service_key = service_key("live");
        r.outcome = static_cast<std::int8_t>(outcome);
        r.load_permille = 0;
        r.__set_sequence(sequence);
        if (reason != error_code::ok) {
            r.__set_reason(static_cast<std::int16_t>(reason));
        }
        if (!packet.empty()) {
            r.__set_packet(packet);
        }
        balancer.on_message(now, from, r, out);
    }

    // Returns the agents to which segments of `purpose` were sent since the last call.
    std::vector<endpoint> sent(segment_purpose purpose)
    {
        std::vector<endpoint> recipients;
        for (const send_action& s : out.sends) {
            const auto* forwarded = std::get_if<wire::segment_forward>(&s.body);
            if (forwarded != nullptr && forwarded->purpose == static_cast<std::int8_t>(purpose)) {
                recipients.push_back(s.to);
            }
        }
        out.clear();
        return recipients;
    }

    // Returns the agents that were queried since the last call, once for each flow.
    std::vector<endpoint> queried()
    {
        balancer.send_queries(now, out);
        std::vector<endpoint> recipients;
        for (const send_action& s : out.sends) {
            if (const auto* query = std::get_if<wire::segment_query>(&s.body)) {
                recipients.insert(recipients.end(), query->flows.size(), s.to);
            }
        }
        out.clear();
        return recipients;
    }

    std::size_t resets() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            out.packets, [](const packet_send& p) { return decode_fake(p.packet)->resets; }));
    }

    std::int64_t last_revision = 0;
    table_state table;
    counters counted;
    segment_balancer balancer{{"zone-a", 8172, testing::fake_format}, counted};
    outbox out;
    time_point now{std::chrono::seconds(100)};
    milliseconds table_age{100};
};

using targets = std::vector<endpoint>;

// Guards against a target of another zone that is chosen while one of the balancer's zone has capacity, and
// against a target of the balancer's zone that is chosen while it is overloaded.
TEST_F(segment_balancer_test, prefers_the_zone_of_the_balancer_unless_its_target_is_much_busier)
{
    join(agent_b, "zone-b", "live");
    join(agent_a, "zone-a", "live");
    open(1);
    EXPECT_EQ(sent(segment_purpose::place), targets{agent_a});
    wire::segment_load busy;
    busy.service_key = service_key("live");
    busy.load_permille = 8000;
    busy.accepting = true;
    balancer.on_message(now, agent_a, busy, out);
    open(2);
    EXPECT_EQ(sent(segment_purpose::place), targets{agent_b});
}

// Guards against callers that have to wait for a resend because a packet reached a balancer before its table,
// against several placements for copies of one opening packet, and against packets that are still handled
// after their sender has given up.
TEST_F(segment_balancer_test, packets_before_the_first_table_are_kept_for_a_short_time)
{
    join(agent_a, "zone-a", "live");
    join(agent_b, "zone-b", "live");
    const auto routes = balancer.routes();
    balancer = segment_balancer({"zone-a", 8172, testing::fake_format}, counted);
    table_age = std::chrono::hours(1);
    open(1);
    now += milliseconds(1000);
    open(2);
    open(2);
    send(3, 1000);
    now += milliseconds(400);
    balancer.set_routes(routes);
    balancer.release_early_packets(now, table_age, out);
    const auto placed = std::ranges::count_if(out.sends, [](const send_action& s) {
        return std::holds_alternative<wire::segment_forward>(s.body);
    });
    EXPECT_EQ(placed, 1);
    EXPECT_EQ(queried(), (targets{agent_a, agent_b}));
    EXPECT_EQ(counted.refusals(error_code::no_table), 2U);
}

// Guards against a caller that waits for a dead target: each copy of its opening packet goes to another
// target.
TEST_F(segment_balancer_test, copies_of_an_opening_packet_go_to_further_targets)
{
    join(agent_a, "zone-a", "live");
    join(agent_b, "zone-b", "live");
    open(1);
    now += milliseconds(200);
    open(1);
    EXPECT_EQ(sent(segment_purpose::place), (targets{agent_a, agent_b}));
    // The target that did not answer is not chosen for further flows.
    open(2);
    EXPECT_EQ(sent(segment_purpose::place), targets{agent_b});
}

// Guards against packets that go to the wrong target when two targets have offered to accept the flow.
TEST_F(segment_balancer_test, the_acknowledged_sequence_identifies_the_holder)
{
    join(agent_a, "zone-a", "live");
    join(agent_b, "zone-b", "live");
    open(1);
    now += milliseconds(200);
    open(1);
    report(agent_a, 1, segment_outcome::offered, 1'000'000);
    report(agent_b, 1, segment_outcome::offered, -5);
    out.clear();
    send(1, 0xfffffffcU);
    EXPECT_EQ(sent(segment_purpose::held), targets{agent_b});
}

// Guards against a caller that waits without end after every target has declined its flow.
TEST_F(segment_balancer_test, a_declined_flow_goes_to_the_next_target_and_is_reset_after_the_last)
{
    join(agent_a, "zone-a", "live");
    join(agent_b, "zone-b", "live");
    segment s = from_caller(1);
    s.opens = true;
    open(1);
    out.clear();
    report(agent_a, 1, segment_outcome::declined, 0, error_code::draining, fake_packet(s));
    EXPECT_EQ(sent(segment_purpose::place), targets{agent_b});
    report(agent_b, 1, segment_outcome::declined, 0, error_code::shed_by_upstream, fake_packet(s));
    EXPECT_EQ(resets(), 1U);
}

// Guards against open flows that break when the router sends their packets to a balancer that does not have
// them in its cache.
TEST_F(segment_balancer_test, an_unknown_flow_is_searched_for_and_found)
{
    join(agent_a, "zone-a", "live");
    join(agent_b, "zone-b", "live");
    send(1, 77);
    EXPECT_EQ(queried().size(), 2U);
    send(1, 77);
    EXPECT_TRUE(out.sends.empty());
    answer(agent_b, 1, segment_outcome::held);
    EXPECT_EQ(sent(segment_purpose::held), (targets{agent_b, agent_b}));
    send(1, 78);
    EXPECT_EQ(sent(segment_purpose::held), targets{agent_b});
}

// Guards against a search that fills the balancer's link: the data of the searched flow must not go to every
// target.
TEST_F(segment_balancer_test, only_a_target_that_may_hold_the_flow_gets_the_segment)
{
    join(agent_a, "zone-a", "live");
    join(agent_b, "zone-b", "live");
    send(1, 77);
    EXPECT_TRUE(sent(segment_purpose::search).empty());
    answer(agent_a, 1, segment_outcome::absent);
    answer(agent_b, 1, segment_outcome::unsure);
    EXPECT_EQ(sent(segment_purpose::search), targets{agent_b});
    answer(agent_b, 1, segment_outcome::held);
    EXPECT_TRUE(sent(segment_purpose::held).empty());
}

// Guards against packets of an open flow that reach several other targets and none its own (rule FLOW): the
// agent beside its target is being restarted and silent, and others that were restarted before are unsure.
TEST_F(segment_balancer_test, while_an_agent_is_silent_no_other_target_gets_the_segment)
{
    join(agent_a, "zone-a", "live");
    join(agent_b, "zone-b", "live");
    join(agent_c, "zone-b", "live");
    send(1, 77);
    answer(agent_a, 1, segment_outcome::unsure);
    answer(agent_b, 1, segment_outcome::unsure);
    EXPECT_TRUE(sent(segment_purpose::search).empty());
    now += milliseconds(300);
    send(1, 77);
    EXPECT_EQ(queried().size(), 3U);
    answer(agent_a, 1, segment_outcome::unsure);
    answer(agent_b, 1, segment_outcome::unsure);
    EXPECT_TRUE(sent(segment_purpose::search).empty());
    answer(agent_c, 1, segment_outcome::absent);
    EXPECT_EQ(sent(segment_purpose::search), (targets{agent_a, agent_b}));
}

// Guards against an open flow whose packets reach many other targets, because all agents have restarted and
// most of them beside new targets: those get the segment only after all others have denied the flow, and the
// flow is reset only after they have, too.
TEST_F(segment_balancer_test, targets_that_are_unlikely_to_hold_the_flow_get_the_segment_last)
{
    join(agent_a, "zone-a", "live");
    join(agent_b, "zone-b", "live");
    join(agent_c, "zone-b", "live");
    send(1, 77);
    answer(agent_b, 1, segment_outcome::unlikely);
    answer(agent_c, 1, segment_outcome::unlikely);
    EXPECT_TRUE(sent(segment_purpose::search).empty());
    answer(agent_a, 1, segment_outcome::unsure);
    EXPECT_EQ(sent(segment_purpose::search), targets{agent_a});
    report(agent_a, 1, segment_outcome::absent);
    EXPECT_EQ(sent(segment_purpose::search), (targets{agent_b, agent_c}));
    balancer.on_table_confirmed(now, now, out);
    report(agent_b, 1, segment_outcome::absent);
    EXPECT_EQ(resets(), 0U);
    report(agent_c, 1, segment_outcome::absent);
    EXPECT_EQ(resets(), 1U);
}

// Guards against packets that reach targets which are unlikely to hold the flow while the flow's own agent is
// silent, and was marked as lost for it.
TEST_F(segment_balancer_test, targets_that_are_unlikely_to_hold_the_flow_wait_for_lost_ones)
{
    join(agent_a, "zone-a", "live");
    join(agent_b, "zone-b", "live");
    wire::change lost;
    lost.time_ms = 5000;
    lost.__set_lose_target(table.find_target(agent_a)->value);
    table.apply(revision{++last_revision}, lost);
    install_routes();
    for (int i = 0; i < 20; ++i) {
        send(1, 77);
        answer(agent_b, 1, segment_outcome::unlikely);
        now += milliseconds(200);
    }
    EXPECT_TRUE(sent(segment_purpose::search).empty());
}

// Guards against links that are full of segments of flows that no target holds: after a power failure of the
// whole system most targets seem new and every packet belongs to such a flow.
TEST_F(segment_balancer_test, segments_for_unlikely_holders_leave_most_of_a_small_link_to_other_traffic)
{
    constexpr std::uint32_t agents = 100;
    for (std::uint32_t i = 0; i < agents; ++i) {
        join({0x0a030000 + i, 7000}, "zone-a", "live");
    }
    std::size_t segments = 0;
    for (std::uint16_t port = 1; port <= 200; ++port) {
        now += milliseconds(5);
        send(port, 77);
        (void)queried();
        for (std::uint32_t i = 0; i < agents; ++i) {
            answer({0x0a030000 + i, 7000}, port, segment_outcome::unlikely);
        }
        segments += sent(segment_purpose::search).size();
    }
    constexpr std::size_t segment_bytes = 80;
    constexpr std::size_t link_bytes_per_second = 250'000;
    EXPECT_LT(segments * segment_bytes, link_bytes_per_second / 2);
    EXPECT_GT(segments, agents);
}

// Guards against the reset of an open flow whose agent is silent for longer than its lease, against new flows
// for a lost target, and against searches that wait for it before they ask targets that may hold the flow.
TEST_F(segment_balancer_test, a_lost_target_gets_no_flow_but_must_deny_a_flow_before_its_reset)
{
    join(agent_a, "zone-a", "live");
    join(agent_b, "zone-b", "live");
    join(agent_c, "zone-b", "live");
    wire::change lost;
    lost.time_ms = 5000;
    lost.__set_lose_target(table.find_target(agent_c)->value);
    table.apply(revision{++last_revision}, lost);
    install_routes();
    for (std::uint16_t port = 100; port < 120; ++port) {
        open(port);
    }
    const auto placed = sent(segment_purpose::place);
    EXPECT_EQ(std::ranges::count(placed, agent_c), 0);
    send(1, 77);
    answer(agent_a, 1, segment_outcome::unsure);
    answer(agent_b, 1, segment_outcome::unsure);
    EXPECT_EQ(sent(segment_purpose::search).size(), 2U);
    report(agent_a, 1, segment_outcome::absent);
    report(agent_b, 1, segment_outcome::absent);
    now += milliseconds(600);
    balancer.on_table_confirmed(now, now - milliseconds(50), out);
    EXPECT_EQ(resets(), 0U);
    answer(agent_c, 1, segment_outcome::absent);
    EXPECT_EQ(resets(), 1U);
}

// Guards against searches that leave no bandwidth for new flows: after a power failure of the whole system,
// every packet belongs to an unknown flow.
TEST_F(segment_balancer_test, searches_are_limited_and_new_flows_are_not)
{
    join(agent_a, "zone-a", "live");
    join(agent_b, "zone-b", "live");
    // The default of 80,000 bytes per second is enough for 2,000 questions; half a second of it may be used
    // at once, and as much may be owed.
    std::size_t questions = 0;
    for (std::uint16_t port = 1; port <= 5000; ++port) {
        send(port, 77);
        questions += queried().size();
    }
    EXPECT_LE(questions, 1100U);
    open(6000);
    EXPECT_EQ(sent(segment_purpose::place).size(), 1U);
    for (int i = 0; i < 20; ++i) {
        now += milliseconds(50);
        questions += queried().size();
    }
    EXPECT_LE(questions, 3100U);
    send(7000, 77);
    EXPECT_EQ(queried().size(), 2U);
}

// Guards against links that are full of small queries, so that the table and the packets of flows are lost:
// each of 100 flows that become unknown within a second is searched for at 150 targets, over a link of 2
// Mbit/s.
TEST_F(segment_balancer_test, many_searches_leave_most_of_a_small_link_to_other_traffic)
{
    for (std::uint32_t i = 0; i < 150; ++i) {
        join({0x0a030000 + i, 7000}, "zone-a", "live");
    }
    std::size_t datagrams = 0;
    std::size_t questions = 0;
    for (std::uint16_t port = 1; port <= 100; ++port) {
        now += milliseconds(10);
        send(port, 77);
        balancer.send_queries(now, out);
        for (const send_action& s : out.sends) {
            if (const auto* query = std::get_if<wire::segment_query>(&s.body)) {
                ++datagrams;
                questions += query->flows.size();
            }
        }
        out.clear();
    }
    constexpr std::size_t header_bytes = 28;
    constexpr std::size_t link_bytes_per_second = 250'000;
    EXPECT_LT((datagrams * header_bytes) + (questions * 40), link_bytes_per_second / 2);
    EXPECT_GT(questions, 150U * 8);
}

// Guards against the reset of an open flow while one target has not answered, or while the table has not been
// confirmed since the search began.
TEST_F(segment_balancer_test, a_flow_is_reset_only_if_every_target_of_a_confirmed_table_lacks_it)
{
    join(agent_a, "zone-a", "live");
    join(agent_b, "zone-b", "live");
    send(1, 77);
    answer(agent_a, 1, segment_outcome::absent);
    now += std::chrono::seconds(1);
    balancer.on_table_confirmed(now, now, out);
    balancer.on_tick(now, milliseconds(0), out);
    EXPECT_EQ(resets(), 0U);
    now += milliseconds(1);
    send(2, 77);
    answer(agent_a, 2, segment_outcome::absent);
    answer(agent_b, 2, segment_outcome::absent);
    EXPECT_TRUE(balancer.needs_table_confirmation());
    now += std::chrono::seconds(1);
    balancer.on_tick(now, milliseconds(0), out);
    balancer.on_table_confirmed(now, now - milliseconds(1001), out);
    EXPECT_EQ(resets(), 0U);
    balancer.on_table_confirmed(now, now - milliseconds(1000), out);
    EXPECT_EQ(resets(), 1U);
}

// Guards against a caller that waits for the next tick although the last missing answer has arrived.
TEST_F(segment_balancer_test, the_last_absent_answer_ends_a_search_at_once)
{
    join(agent_a, "zone-a", "live");
    send(1, 77);
    balancer.on_table_confirmed(now, now, out);
    EXPECT_EQ(resets(), 0U);
    answer(agent_a, 1, segment_outcome::absent);
    EXPECT_EQ(resets(), 1U);
}

// Guards against a separate datagram for each flow and target after a power failure of the whole system, when
// every flow is searched for.
TEST_F(segment_balancer_test, searches_share_datagrams)
{
    join(agent_a, "zone-a", "live");
    for (std::uint16_t port = 1; port <= 60; ++port) {
        send(port, 77);
    }
    balancer.send_queries(now, out);
    EXPECT_LE(out.sends.size(), 2U);
    for (const send_action& s : out.sends) {
        EXPECT_LE(encode(cluster_id{1}, s.body).size(), max_control_body + 40);
    }
    EXPECT_EQ(queried().size(), 60U);
}

// Guards against the reset of a flow whose target has joined so recently that this balancer's table does not
// contain it, although another balancer has placed flows there.
TEST_F(segment_balancer_test, a_target_that_joined_meanwhile_is_asked_before_a_reset)
{
    join(agent_a, "zone-a", "live");
    send(1, 77);
    answer(agent_a, 1, segment_outcome::absent);
    EXPECT_EQ(resets(), 0U);
    join(agent_b, "zone-b", "live");
    (void)queried();
    now += milliseconds(600);
    balancer.on_table_confirmed(now, now - milliseconds(50), out);
    EXPECT_EQ(queried(), targets{agent_b});
    answer(agent_b, 1, segment_outcome::held);
    now += milliseconds(600);
    balancer.on_table_confirmed(now, now - milliseconds(50), out);
    EXPECT_EQ(resets(), 0U);
}

// Guards against the reset of an open flow after its route was changed to another service: the targets of the
// former service still hold it.
TEST_F(segment_balancer_test, former_services_of_a_route_are_searched_too)
{
    join(agent_a, "zone-a", "live");
    join(agent_c, "zone-b", "chart");
    replace_description(2, "chart");
    send(1, 77);
    EXPECT_EQ(queried().size(), 2U);
    answer(agent_c, 1, segment_outcome::absent);
    now += std::chrono::seconds(1);
    balancer.on_tick(now, milliseconds(0), out);
    EXPECT_EQ(resets(), 0U);
    answer(agent_a, 1, segment_outcome::held);
    out.clear();
    send(1, 78);
    EXPECT_EQ(sent(segment_purpose::held), targets{agent_a});
}

// Guards against the reset of an open flow after a description moved its route to another service and no
// longer lists the former one, whose targets still hold the flow.
TEST_F(segment_balancer_test, a_former_service_that_is_no_longer_listed_is_searched_too)
{
    join(agent_a, "zone-a", "live");
    join(agent_c, "zone-b", "chart");
    wire::change c;
    c.time_ms = 5000;
    c.__set_replace(description(2, "live"));
    c.replace.services = {"chart"};
    table.apply(revision{++last_revision}, c);
    install_routes();
    open(2);
    EXPECT_EQ(sent(segment_purpose::place), targets{agent_c});
    send(1, 77);
    EXPECT_EQ(queried().size(), 2U);
    answer(agent_c, 1, segment_outcome::absent);
    balancer.on_table_confirmed(now, now, out);
    EXPECT_EQ(resets(), 0U);
    answer(agent_a, 1, segment_outcome::held);
    out.clear();
    send(1, 78);
    EXPECT_EQ(sent(segment_purpose::held), targets{agent_a});
}

// Guards against new flows on a route that the description in force does not have.
TEST_F(segment_balancer_test, a_route_that_was_removed_takes_no_flow)
{
    join(agent_a, "zone-a", "live");
    wire::change c;
    c.time_ms = 5000;
    wire::replacement r = description(3, "live");
    r.routes.clear();
    c.__set_replace(r);
    table.apply(revision{++last_revision}, c);
    install_routes();
    open(1);
    EXPECT_EQ(resets(), 1U);
    EXPECT_TRUE(out.sends.empty());
}

}  // namespace
}  // namespace peridotcleat

#include "peridotcleat/segment_agent.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "testing/fake_segments.h"

namespace peridotcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::decode_fake;
using testing::fake_packet;

constexpr endpoint balancer_address{0x0a010009, 7000};
constexpr endpoint target_address{0x0a010001, 8080};
constexpr flow_key flow{{0x64400001, 40001}, {0xc6120001, 443}};

struct segment_agent_test : public ::testing::Test {
    segment_agent_test() { announce(1, 5); }

    segment_agent_settings settings()
    {
        segment_agent_settings s;
        s.service = "live";
        s.target = target_address;
        s.caller_port = 8172;
        s.format = testing::fake_format;
        return s;
    }

    bool announce(std::int64_t started, std::int64_t sequence, bool draining = false)
    {
        target_announcement a;
        a.id = "i-1";
        a.service = "live";
        a.address = target_address;
        a.started_ms = started;
        a.sequence = sequence;
        a.slots = 2;
        a.draining = draining;
        return has_value(agent.on_announcement(now, a, out));
    }

    void forward(segment_purpose purpose, bool opens, std::uint32_t ack_number = 0,
                 const std::string& service = "live", std::string_view data = {})
    {
        segment s;
        s.key = flow;
        s.opens = opens;
        s.ack_number = ack_number;
        wire::segment_forward m;
        m.packet = fake_packet(s, data);
        m.service_key = service_key(service);
        m.purpose = static_cast<std::int8_t>(purpose);
        agent.on_message(now, balancer_address, m, out);
    }

    // Handles a packet that the target writes itself.
    void target_sends(bool opens, std::uint32_t sequence, std::string_view data = {})
    {
        segment s;
        s.key = reversed(flow);
        s.opens = opens;
        s.acknowledges = true;
        s.sequence = sequence;
        agent.on_target_packet(now, fake_packet(s, data), out);
    }

    void target_returns(bool opens, std::uint32_t ack_number = 0)
    {
        segment s;
        s.key = flow;
        s.opens = opens;
        s.ack_number = ack_number;
        s.returned = true;
        agent.on_target_packet(now, fake_packet(s), out);
    }

    // Returns the answer of `queried_agent` to a query for the flow.
    segment_outcome query_flow(segment_agent& queried_agent, const std::string& service)
    {
        wire::segment_question question;
        question.key = to_wire(flow);
        question.acknowledged = 5001;
        wire::segment_query q;
        q.service_key = service_key(service);
        q.flows = {question};
        out.clear();
        queried_agent.on_message(now, balancer_address, q, out);
        const auto answers = std::get<wire::segment_answers>(out.sends.at(0).body);
        EXPECT_EQ(answers.flows.size(), 1U);
        return static_cast<segment_outcome>(answers.flows.at(0).outcome);
    }

    std::vector<wire::segment_report> reports()
    {
        std::vector<wire::segment_report> all;
        for (const send_action& s : out.sends) {
            if (const auto* r = std::get_if<wire::segment_report>(&s.body)) {
                all.push_back(*r);
            }
        }
        out.sends.clear();
        return all;
    }

    bool last_outcome_is(segment_outcome outcome)
    {
        const auto all = reports();
        return !all.empty() && all.back().outcome == static_cast<std::int8_t>(outcome);
    }

    std::size_t packets_to_target() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(out.packets, [](const packet_send& p) { return p.to == target_address; }));
    }

    std::size_t resets() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            out.packets, [](const packet_send& p) { return decode_fake(p.packet)->resets; }));
    }

    void open_flow()
    {
        forward(segment_purpose::place, true);
        target_sends(true, 5000);
        forward(segment_purpose::held, false, 5001);
        out.clear();
    }

    counters counted;
    outbox out;
    time_point now{seconds(100)};
    segment_agent agent{settings(), now, counted};
};

// Guards against new flows at a draining target that balancers with an older table still choose.
TEST_F(segment_agent_test, a_draining_target_takes_no_new_flow_and_keeps_its_open_ones)
{
    open_flow();
    EXPECT_TRUE(announce(1, 6, true));
    out.clear();
    segment s;
    s.key = {{0x64400001, 40002}, flow.destination};
    s.opens = true;
    wire::segment_forward m;
    m.packet = fake_packet(s);
    m.service_key = service_key("live");
    m.purpose = static_cast<std::int8_t>(segment_purpose::place);
    agent.on_message(now, balancer_address, m, out);
    EXPECT_EQ(packets_to_target(), 0U);
    const auto all = reports();
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all[0].reason, static_cast<std::int16_t>(error_code::draining));
    EXPECT_EQ(all[0].packet, m.packet);
    forward(segment_purpose::held, false, 5001);
    EXPECT_EQ(packets_to_target(), 1U);
}

// Guards against answers about flows that are not certain. After a restart of the target, the flows of its
// previous start are not absent before the target has returned one of their packets.
TEST_F(segment_agent_test, claims_a_flow_as_held_or_absent_only_if_certain)
{
    const auto query = [&](const std::string& service) { return query_flow(agent, service); };
    EXPECT_EQ(query("live"), segment_outcome::unsure);
    EXPECT_EQ(query("chart"), segment_outcome::absent);
    open_flow();
    EXPECT_EQ(query("live"), segment_outcome::held);
    EXPECT_TRUE(announce(9, 1));
    out.clear();
    EXPECT_EQ(query("live"), segment_outcome::held);
    target_returns(false, 5001);
    EXPECT_EQ(resets(), 1U);
    EXPECT_EQ(query("live"), segment_outcome::absent);
}

// Guards against the reset of an open flow whose target has not yet sent an announcement to its restarted
// agent.
TEST_F(segment_agent_test, an_agent_that_has_not_heard_its_target_denies_nothing)
{
    segment_agent restarted(settings(), now, counted);
    const auto outcome = [&] { return query_flow(restarted, "live"); };
    EXPECT_EQ(outcome(), segment_outcome::unsure);
    EXPECT_TRUE(has_value(restarted.on_target_left(now, "i-1", out)));
    out.clear();
    EXPECT_EQ(outcome(), segment_outcome::unsure);
    restarted.on_port_closed(now, out);
    out.clear();
    EXPECT_EQ(outcome(), segment_outcome::absent);
}

// Guards against a report that a flow is absent which a previous run of the agent has admitted, because the
// target seems to have just started: its clock was set back since then, or it accepted the flow before its
// first announcement.
TEST_F(segment_agent_test, a_target_that_seems_to_have_just_started_is_no_proof_that_it_holds_no_flow)
{
    const auto outcome = [&](milliseconds age, std::int64_t sequence) {
        segment_agent restarted(settings(), now, counted);
        target_announcement a;
        a.id = "i-1";
        a.service = "live";
        a.address = target_address;
        a.started_ms = 7;
        a.sequence = sequence;
        a.age = age;
        EXPECT_TRUE(has_value(restarted.on_announcement(now, a, out)));
        out.clear();
        return query_flow(restarted, "live");
    };
    EXPECT_EQ(outcome(milliseconds(0), 3), segment_outcome::unlikely);
    EXPECT_EQ(outcome(milliseconds(899), 3), segment_outcome::unlikely);
    EXPECT_EQ(outcome(milliseconds(900), 3), segment_outcome::unsure);
    EXPECT_EQ(outcome(milliseconds(-1), 3), segment_outcome::unsure);
    EXPECT_EQ(outcome(milliseconds(5000), 1), segment_outcome::unlikely);
}

// Guards against segments of lost flows that are delivered to every target for a minute after the start of
// the system, and against an agent that takes a closed port of a running target for proof.
TEST_F(segment_agent_test, an_agent_that_started_before_its_target_knows_all_flows)
{
    const auto outcome = [&](std::int64_t first_sequence) {
        segment_agent restarted(settings(), now, counted);
        restarted.on_port_closed_at_start();
        EXPECT_EQ(query_flow(restarted, "live"), segment_outcome::unsure);
        target_announcement a;
        a.id = "i-1";
        a.service = "live";
        a.address = target_address;
        a.started_ms = 7;
        a.sequence = first_sequence;
        EXPECT_TRUE(has_value(restarted.on_announcement(now, a, out)));
        a.sequence = first_sequence + 1;
        EXPECT_TRUE(has_value(restarted.on_announcement(now, a, out)));
        return query_flow(restarted, "live");
    };
    EXPECT_EQ(outcome(1), segment_outcome::absent);
    EXPECT_EQ(outcome(2), segment_outcome::unsure);
}

// Guards against packets that reach another service after the address was given to another target.
TEST_F(segment_agent_test, segments_of_another_service_are_not_delivered)
{
    forward(segment_purpose::place, true, 0, "chart");
    EXPECT_TRUE(last_outcome_is(segment_outcome::declined));
    forward(segment_purpose::search, false, 77, "chart");
    EXPECT_TRUE(last_outcome_is(segment_outcome::absent));
    EXPECT_EQ(packets_to_target(), 0U);
}

// Guards against flows that are reset although their target holds them: a restarted target accepts flows
// before its first announcement, while its agent still relies on the announcements of the previous start.
TEST_F(segment_agent_test, flows_that_a_restarted_target_accepts_before_its_first_announcement_are_held)
{
    now += seconds(70);
    announce(1, 6);
    out.clear();
    open_flow();
    EXPECT_TRUE(announce(9, 1));
    out.clear();
    EXPECT_EQ(query_flow(agent, "live"), segment_outcome::held);
    forward(segment_purpose::search, false, 5001);
    EXPECT_EQ(packets_to_target(), 1U);
    EXPECT_TRUE(last_outcome_is(segment_outcome::held));
    EXPECT_EQ(resets(), 0U);
}

// Guards against callers that wait for a flow that ended with the previous start of its target: the restarted
// target returns the next packet, and the caller gets a reset.
TEST_F(segment_agent_test, a_flow_of_the_previous_start_of_a_target_is_reset_when_the_target_returns_it)
{
    open_flow();
    EXPECT_TRUE(announce(9, 1));
    forward(segment_purpose::held, false, 5001, "live", "request");
    target_returns(false, 5001);
    EXPECT_EQ(resets(), 1U);
    EXPECT_EQ(agent.flows(), 0U);
}

// Guards against a restarted target that gets no new flows because its agent still counts the requests and
// flows of the previous start as its load.
TEST_F(segment_agent_test, the_load_of_a_restarted_target_excludes_flows_of_its_previous_start)
{
    for (std::uint16_t port = 1; port <= 100; ++port) {
        segment s;
        s.key = {{0x64400001, port}, flow.destination};
        s.ack_number = 5001;
        wire::segment_forward m;
        m.packet = fake_packet(s, "request");
        m.service_key = service_key("live");
        m.purpose = static_cast<std::int8_t>(segment_purpose::held);
        agent.on_message(now, balancer_address, m, out);
        s.key = reversed(s.key);
        s.acknowledges = true;
        agent.on_target_packet(now, fake_packet(s), out);
        agent.on_message(now, balancer_address, m, out);
    }
    const auto load = [this] {
        now += milliseconds(200);
        out.clear();
        agent.on_tick(now, out);
        return std::get<wire::segment_load>(out.sends.at(0).body).load_permille;
    };
    EXPECT_GT(load(), 10'000);
    EXPECT_TRUE(announce(9, 1));
    for (int i = 0; i < 20; ++i) {
        (void)load();
    }
    EXPECT_LT(load(), 1000);
}

// Guards against a delayed announcement, of an earlier start or with a lower sequence, that replaces a later
// one.
TEST_F(segment_agent_test, outdated_announcements_change_nothing)
{
    EXPECT_TRUE(announce(9, 1));
    EXPECT_FALSE(announce(1, 50, true));
    EXPECT_TRUE(announce(9, 3, true));
    EXPECT_FALSE(announce(9, 2, false));
    EXPECT_TRUE(agent.target()->draining);
}

// Guards against a target that its agent refuses until the agent restarts, because the clock was set back
// before the target restarted, or because another program has announced a later start of it.
TEST_F(segment_agent_test, after_a_silence_any_announcement_of_the_target_is_accepted)
{
    EXPECT_TRUE(announce(9, 7));
    now += milliseconds(1200);
    EXPECT_FALSE(announce(2, 1));
    EXPECT_FALSE(announce(9, 6));
    now += milliseconds(1900);
    EXPECT_TRUE(announce(2, 1));
    EXPECT_EQ(agent.target()->started_ms, 2);
    EXPECT_TRUE(announce(2, 2));
    EXPECT_FALSE(announce(1, 50));
}

// Guards against a late message of a former start that ends the flows of the target in use.
TEST_F(segment_agent_test, only_the_announced_target_can_leave)
{
    open_flow();
    EXPECT_EQ(failure(agent.on_target_left(now, "i-former", out)).code, error_code::wrong_incarnation);
    EXPECT_TRUE(agent.target());
    EXPECT_FALSE(agent.needs_port_check());
    out.clear();
    EXPECT_EQ(query_flow(agent, "live"), segment_outcome::held);
}

// Guards against flows that are reset while their target still runs: it has said that it leaves, but its port
// is open, or it is a later start that has taken over the id of the one that left.
TEST_F(segment_agent_test, a_target_that_leaves_keeps_its_flows_until_its_port_is_closed)
{
    open_flow();
    EXPECT_TRUE(has_value(agent.on_target_left(now, "i-1", out)));
    EXPECT_FALSE(agent.target());
    EXPECT_TRUE(agent.needs_port_check());
    out.clear();
    EXPECT_EQ(query_flow(agent, "live"), segment_outcome::held);
    EXPECT_TRUE(announce(9, 1));
    EXPECT_FALSE(agent.needs_port_check());
    out.clear();
    EXPECT_EQ(query_flow(agent, "live"), segment_outcome::held);
    EXPECT_TRUE(has_value(agent.on_target_left(now, "i-1", out)));
    agent.on_port_closed(now, out);
    EXPECT_FALSE(agent.needs_port_check());
    out.clear();
    EXPECT_EQ(query_flow(agent, "live"), segment_outcome::absent);
}

// Guards against a target that has ended and is used again because one of its announcements was delayed.
TEST_F(segment_agent_test, a_target_that_has_ended_is_not_announced_again_by_a_late_message)
{
    EXPECT_TRUE(has_value(agent.on_target_left(now, "i-1", out)));
    agent.on_port_closed(now, out);
    EXPECT_FALSE(announce(1, 6));
    EXPECT_FALSE(agent.target());
    EXPECT_TRUE(announce(9, 1));
}

// Guards against open flows that break when only the agent restarts: the segment is delivered to the target,
// which still knows the flow.
TEST_F(segment_agent_test, after_a_restart_the_target_is_asked)
{
    forward(segment_purpose::search, false, 77);
    EXPECT_EQ(packets_to_target(), 1U);
    EXPECT_TRUE(reports().empty());
    target_sends(false, 5000, "answer");
    EXPECT_TRUE(last_outcome_is(segment_outcome::held));
}

// Guards against a reset of a flow that another target may hold, and against a search that never learns that
// this target does not hold the flow: the agent only reports that the flow is absent.
TEST_F(segment_agent_test, a_flow_whose_segment_the_target_returns_is_absent)
{
    forward(segment_purpose::search, false, 77);
    target_returns(false, 77);
    EXPECT_TRUE(last_outcome_is(segment_outcome::absent));
    EXPECT_EQ(resets(), 0U);
}

// Guards against packets of one open flow that a restarted agent passes to its target again for each balancer
// that searches for the flow (rule FLOW), and against a flow that stays denied after it was opened here.
TEST_F(segment_agent_test, a_flow_that_the_target_has_returned_is_not_passed_to_it_again)
{
    forward(segment_purpose::search, false, 77);
    target_returns(false, 77);
    out.clear();
    EXPECT_EQ(query_flow(agent, "live"), segment_outcome::absent);
    forward(segment_purpose::search, false, 77);
    EXPECT_EQ(packets_to_target(), 0U);
    EXPECT_TRUE(last_outcome_is(segment_outcome::absent));
    EXPECT_TRUE(announce(9, 2));
    open_flow();
    EXPECT_EQ(query_flow(agent, "live"), segment_outcome::held);
}

// Guards against a restarted agent that delivers segments of unknown flows without end: after the greatest
// age of a flow it knows all flows of its target.
TEST_F(segment_agent_test, knows_all_flows_after_their_greatest_age)
{
    now += seconds(70);
    announce(1, 6);
    out.clear();
    forward(segment_purpose::search, false, 77);
    EXPECT_EQ(packets_to_target(), 0U);
    EXPECT_TRUE(last_outcome_is(segment_outcome::absent));
}

// Guards against a flow that breaks because the target that did not become the holder gets a segment that
// acknowledges the offer of another target.
TEST_F(segment_agent_test, a_flow_whose_caller_accepted_another_offer_is_reported_absent)
{
    forward(segment_purpose::place, true);
    target_sends(true, 5000);
    out.clear();
    forward(segment_purpose::held, false, 0x80000000U);
    EXPECT_EQ(packets_to_target(), 0U);
    EXPECT_TRUE(last_outcome_is(segment_outcome::absent));
}

// Guards against new flows that are refused because callers have opened many flows before that they do not
// use yet.
TEST_F(segment_agent_test, unused_flows_take_free_slots_but_not_the_queue)
{
    const auto open_with_limit = [this](std::uint16_t port, std::int32_t max_outstanding) {
        segment s;
        s.key = {{0x64400001, port}, flow.destination};
        s.opens = true;
        wire::segment_forward m;
        m.packet = fake_packet(s);
        m.service_key = service_key("live");
        m.purpose = static_cast<std::int8_t>(segment_purpose::place);
        m.__set_max_outstanding(max_outstanding);
        out.clear();
        agent.on_message(now, balancer_address, m, out);
        return packets_to_target() == 1;
    };
    EXPECT_TRUE(open_with_limit(1, 1000));
    EXPECT_TRUE(open_with_limit(2, 1000));
    EXPECT_FALSE(open_with_limit(3, 1000));
    const auto all = reports();
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all[0].reason, static_cast<std::int16_t>(error_code::no_slot));
    EXPECT_TRUE(all[0].__isset.expected_wait_ms);
    for (std::uint16_t port = 3; port < 30; ++port) {
        EXPECT_TRUE(open_with_limit(port, 2500));
    }
    // The callers of the unused flows have not taken the offers, or will use the flows later.
    now += milliseconds(150);
    agent.on_tick(now, out);
    EXPECT_TRUE(open_with_limit(40, 1000));
}

// Guards against an opening packet that reaches the next target with the flag by which the previous one
// returned it.
TEST_F(segment_agent_test, a_shed_opening_packet_is_reported_as_its_sender_wrote_it)
{
    forward(segment_purpose::place, true);
    target_returns(true);
    const auto all = reports();
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all[0].outcome, static_cast<std::int8_t>(segment_outcome::declined));
    EXPECT_FALSE(decode_fake(all[0].packet)->returned);
}

// Guards against callers that wait without end for a target that has restarted and lost its flows.
TEST_F(segment_agent_test, a_flow_that_its_target_lost_is_reset)
{
    open_flow();
    target_returns(false, 5001);
    EXPECT_EQ(resets(), 1U);
}

// Guards against new flows at a target that no longer sends announcements.
TEST_F(segment_agent_test, a_silent_target_takes_no_new_flow)
{
    now += seconds(4);
    forward(segment_purpose::place, true);
    EXPECT_TRUE(last_outcome_is(segment_outcome::declined));
    EXPECT_EQ(packets_to_target(), 0U);
}

}  // namespace
}  // namespace peridotcleat

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

constexpr endpoint balancer{0x0a010009, 7000};
constexpr endpoint app{0x0a010001, 8080};
constexpr flow_key flow{{0x64400001, 40001}, {0xc6120001, 443}};

struct segment_agent_test : public ::testing::Test {
    segment_agent_test() { announce(1, 5); }

    segment_agent_settings settings()
    {
        segment_agent_settings s;
        s.service = "live";
        s.target = app;
        s.caller_port = 8172;
        s.format = testing::fake_format;
        return s;
    }

    bool announce(std::int64_t started, std::int64_t sequence, bool draining = false)
    {
        target_announcement a;
        a.id = "i-1";
        a.service = "live";
        a.started_ms = started;
        a.sequence = sequence;
        a.slots = 2;
        a.draining = draining;
        return agent.on_announcement(now, a, out);
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
        agent.on_message(now, balancer, m, out);
    }

    // A packet that the target sends itself.
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

    // What `asked` answers to a query for the flow.
    segment_outcome ask(segment_agent& asked, const std::string& service)
    {
        wire::segment_question question;
        question.key = to_wire(flow);
        question.acknowledged = 5001;
        wire::segment_query q;
        q.service_key = service_key(service);
        q.flows = {question};
        out.clear();
        asked.on_message(now, balancer, q, out);
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

    std::size_t delivered() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(out.packets, [](const packet_send& p) { return p.to == app; }));
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

// Guards against new work at a target that has begun to leave, whatever balancers know.
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
    agent.on_message(now, balancer, m, out);
    EXPECT_EQ(delivered(), 0U);
    const auto all = reports();
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all[0].reason, static_cast<std::int16_t>(error_code::draining));
    EXPECT_EQ(all[0].packet, m.packet);
    forward(segment_purpose::held, false, 5001);
    EXPECT_EQ(delivered(), 1U);
}

// Guards against segments at targets that cannot hold their flow: an agent that heard the first announcement
// knows.
TEST_F(segment_agent_test, answers_queries_by_what_is_certain)
{
    const auto query = [&](const std::string& service) { return ask(agent, service); };
    EXPECT_EQ(query("live"), segment_outcome::unsure);
    EXPECT_EQ(query("chart"), segment_outcome::absent);
    open_flow();
    EXPECT_EQ(query("live"), segment_outcome::held);
    EXPECT_TRUE(announce(9, 1));
    out.clear();
    EXPECT_EQ(query("live"), segment_outcome::absent);
}

// Guards against the reset of an open flow while a restarted agent waits for the first word of its target.
TEST_F(segment_agent_test, an_agent_that_has_not_heard_its_target_denies_nothing)
{
    segment_agent restarted(settings(), now, counted);
    const auto outcome = [&] { return ask(restarted, "live"); };
    EXPECT_EQ(outcome(), segment_outcome::unsure);
    restarted.on_target_left(now, out);
    out.clear();
    EXPECT_EQ(outcome(), segment_outcome::absent);
}

// Guards against a loss of all power after which every lost flow is tried at every target, because the agents
// start later than their targets and miss the first announcements; and against the denial of a flow that a
// former agent of the same target admitted.
TEST_F(segment_agent_test, a_target_that_nobody_can_have_acknowledged_holds_no_flow)
{
    const auto outcome = [&](milliseconds age) {
        segment_agent restarted(settings(), now, counted);
        target_announcement a;
        a.id = "i-1";
        a.service = "live";
        a.started_ms = 7;
        a.sequence = 3;
        a.age = age;
        EXPECT_TRUE(restarted.on_announcement(now, a, out));
        out.clear();
        return ask(restarted, "live");
    };
    EXPECT_EQ(outcome(milliseconds(0)), segment_outcome::absent);
    EXPECT_EQ(outcome(milliseconds(899)), segment_outcome::absent);
    EXPECT_EQ(outcome(milliseconds(900)), segment_outcome::unsure);
    EXPECT_EQ(outcome(milliseconds(-1)), segment_outcome::unsure);
}

// Guards against packets at another service after the machine's address has changed hands.
TEST_F(segment_agent_test, segments_of_another_service_are_not_delivered)
{
    forward(segment_purpose::place, true, 0, "chart");
    EXPECT_TRUE(last_outcome_is(segment_outcome::declined));
    forward(segment_purpose::search, false, 77, "chart");
    EXPECT_TRUE(last_outcome_is(segment_outcome::absent));
    EXPECT_EQ(delivered(), 0U);
}

// Guards against an announcement of a former start that undoes the present one.
TEST_F(segment_agent_test, late_announcements_change_nothing)
{
    EXPECT_TRUE(announce(9, 1));
    EXPECT_FALSE(announce(1, 50, true));
    EXPECT_TRUE(announce(9, 3, true));
    EXPECT_FALSE(announce(9, 2, false));
    EXPECT_TRUE(agent.target()->draining);
}

// Guards against the end of open flows when only the agent restarts: the target itself knows them.
TEST_F(segment_agent_test, after_a_restart_the_target_is_asked)
{
    forward(segment_purpose::search, false, 77);
    EXPECT_EQ(delivered(), 1U);
    EXPECT_TRUE(reports().empty());
    target_sends(false, 5000, "answer");
    EXPECT_TRUE(last_outcome_is(segment_outcome::held));
}

// Guards against a false claim that a flow is gone, and against a caller that waits for one that is.
TEST_F(segment_agent_test, a_flow_that_the_target_gives_back_is_absent)
{
    forward(segment_purpose::search, false, 77);
    target_returns(false, 77);
    EXPECT_TRUE(last_outcome_is(segment_outcome::absent));
    EXPECT_EQ(resets(), 0U);
}

// Guards against an agent that delivers strangers' packets for ever: after the greatest age of a flow it
// knows all.
TEST_F(segment_agent_test, knows_all_flows_after_their_greatest_age)
{
    now += seconds(70);
    announce(1, 6);
    out.clear();
    forward(segment_purpose::search, false, 77);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_TRUE(last_outcome_is(segment_outcome::absent));
}

// Guards against the end of a flow at its holder when another target offered first.
TEST_F(segment_agent_test, an_acknowledgement_of_another_offer_is_passed_on)
{
    forward(segment_purpose::place, true);
    target_sends(true, 5000);
    out.clear();
    forward(segment_purpose::held, false, 0x80000000U);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_TRUE(last_outcome_is(segment_outcome::absent));
}

// Guards against a refused opening packet that reaches the next target with the mark of the refusal.
TEST_F(segment_agent_test, a_shed_flow_comes_back_as_its_sender_wrote_it)
{
    forward(segment_purpose::place, true);
    target_returns(true);
    const auto all = reports();
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all[0].outcome, static_cast<std::int8_t>(segment_outcome::declined));
    EXPECT_FALSE(decode_fake(all[0].packet)->returned);
}

// Guards against callers that wait for a target whose new start holds none of its flows.
TEST_F(segment_agent_test, a_flow_that_its_target_lost_is_reset)
{
    open_flow();
    target_returns(false, 5001);
    EXPECT_EQ(resets(), 1U);
}

// Guards against new flows at a target that has fallen silent.
TEST_F(segment_agent_test, a_silent_target_takes_no_new_flow)
{
    now += seconds(4);
    forward(segment_purpose::place, true);
    EXPECT_TRUE(last_outcome_is(segment_outcome::declined));
    EXPECT_EQ(delivered(), 0U);
}

}  // namespace
}  // namespace peridotcleat

#include "peridotcleat/node_link.h"

#include <gtest/gtest.h>

#include <optional>
#include <set>

namespace peridotcleat {
namespace {

using namespace std::chrono_literals;

// Guards against a node that never leaves a dead parent while it receives traffic. Each packet with a newer
// revision caused a pull from the dead parent and postponed the regular pull, and only the regular pull tries
// other parents.
TEST(node_link, leaves_a_dead_parent_while_newer_revisions_arrive)
{
    const endpoint first{1, 1};
    const endpoint second{1, 2};
    node_link_settings settings;
    settings.name = "a";
    settings.zone = "z";
    settings.address = {1, 3};
    settings.parents = {first, second};
    counters counted;
    auto created = node_link::create(settings, counted);
    ASSERT_TRUE(has_value(created));
    node_link link = value(std::move(created));

    bool pulled_first = false;
    bool pulled_second = false;
    time_point now{1s};
    const time_point end = now + settings.parent_timeout;
    for (; now < end; now += 50ms) {
        outbox out;
        link.on_newer_revision(now, revision{5}, out);
        link.on_tick(now, out);
        for (const send_action& s : out.sends) {
            const bool pull = std::holds_alternative<wire::pull_request>(s.body);
            pulled_first = pulled_first || (pull && s.to == first);
            pulled_second = pulled_second || (pull && s.to == second);
        }
    }
    EXPECT_TRUE(pulled_first);
    EXPECT_TRUE(pulled_second);
}

// Guards against a node that, after a complete power loss, waits for one dead parent although others are up.
TEST(node_link, asks_every_parent_for_the_first_table)
{
    node_link_settings settings;
    settings.name = "a";
    settings.zone = "z";
    settings.address = {1, 9};
    settings.parents = {{1, 1}, {1, 2}, {1, 3}};
    settings.join_interval = 200ms;
    counters counted;
    auto created = node_link::create(settings, counted);
    ASSERT_TRUE(has_value(created));
    node_link link = value(std::move(created));
    std::set<endpoint> asked;
    for (time_point now{1s}; now <= time_point{1s} + 2 * settings.join_interval; now += 50ms) {
        outbox out;
        link.on_tick(now, out);
        for (const send_action& s : out.sends) {
            if (std::holds_alternative<wire::pull_request>(s.body)) {
                asked.insert(s.to);
            }
        }
    }
    EXPECT_EQ(asked.size(), 3U);
}

// Guards against a confirmation that is credited to a later request than the one it answers, against a node
// that does not follow a referral to the leader, and against endless requests to two processes that name each
// other as the leader.
TEST(node_link, a_confirmation_counts_for_the_request_that_it_answers)
{
    const endpoint first{1, 1};
    const endpoint leader{1, 2};
    node_link_settings settings;
    settings.name = "a";
    settings.zone = "z";
    settings.address = {1, 3};
    settings.parents = {first};
    counters counted;
    auto created = node_link::create(settings, counted);
    ASSERT_TRUE(has_value(created));
    node_link link = value(std::move(created));
    time_point now{1s};
    const auto ask = [&] {
        outbox out;
        link.request_confirmation(now, out);
        return out;
    };
    const auto answer = [&](const endpoint& from, std::int32_t number, bool confirmed,
                            std::optional<endpoint> referred_leader) {
        wire::pull_reply reply;
        reply.nonce = link.nonce();
        reply.age_ms = 0;
        reply.page = table_state().delta({}, false, 1000);
        reply.__set_confirm(number);
        reply.__set_confirmed(confirmed);
        if (referred_leader) {
            reply.__set_leader(to_wire(*referred_leader));
        }
        outbox out;
        link.on_message(now, from, reply, out);
        return out;
    };
    ASSERT_EQ(ask().sends.size(), 1U);
    EXPECT_TRUE(ask().sends.empty());
    const outbox after_referral = answer(first, 1, false, leader);
    ASSERT_EQ(after_referral.sends.size(), 1U);
    EXPECT_EQ(after_referral.sends[0].to, leader);
    EXPECT_TRUE(answer(leader, 2, false, first).sends.empty());
    EXPECT_FALSE(link.confirmed_as_of());

    now += 300ms;
    const time_point third_request_time = now;
    ASSERT_EQ(ask().sends.size(), 1U);
    now += 300ms;
    ASSERT_EQ(ask().sends.size(), 1U);
    (void)answer(first, 3, true, {});
    EXPECT_FALSE(link.confirmed_as_of());
    (void)answer(first, 4, true, {});
    ASSERT_TRUE(link.confirmed_as_of());
    EXPECT_EQ(*link.confirmed_as_of(), third_request_time + 300ms);
}

}  // namespace
}  // namespace peridotcleat

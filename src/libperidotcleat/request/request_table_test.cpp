#include "peridotcleat/request_table.h"

#include <gtest/gtest.h>

#include <limits>
#include <list>

namespace peridotcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr flow_key key{{0x7f000001, 20000}, {0x7f000002, 80}, 17};
constexpr flow_token token{7};

class request_table_test : public ::testing::Test {
protected:
    request_table_test() : table_(make({})) {}

    request_table make(request_settings s)
    {
        s.slots = 1;
        s.ramp = milliseconds(0);
        request_table t = value(request_table::create(s, counted_));
        t.set_incarnation(incarnation{3});
        t.on_flow_opened(now_, key, token);
        return t;
    }

    void request(std::int64_t sequence, milliseconds time_left, std::int64_t settled_below = 1)
    {
        wire::request r;
        r.incarnation = 3;
        r.token = token.value;
        r.sequence = sequence;
        r.settled_below = settled_below;
        r.remaining_ms = static_cast<std::int32_t>(time_left.count());
        table_.on_payload(now_, key, r, out_);
    }

    void finish(std::int64_t sequence, error_code code = error_code::ok)
    {
        table_.on_upstream_result(now_, {{token, sequence}, code, "answer"}, out_);
    }

    void run_for(milliseconds duration)
    {
        for (const time_point end = now_ + duration; now_ < end;) {
            now_ += milliseconds(50);
            table_.on_tick(now_, out_);
        }
    }

    // Reasons of the results that were sent for `sequence`.
    std::vector<error_code> reasons(std::int64_t sequence)
    {
        std::vector<error_code> result_reasons;
        for (const caller_reply& r : out_.replies) {
            const auto* m = std::get_if<wire::request_result>(&r.body);
            if (m != nullptr && m->sequence == sequence) {
                result_reasons.push_back(static_cast<error_code>(m->reason));
            }
        }
        return result_reasons;
    }

    counters counted_;
    time_point now_{seconds(1)};
    request_table table_;
    outbox out_;
};

// Guards against a draining target that accepts new requests, starts queued requests too late, aborts running
// requests, or counts as idle before its caller has the answer.
TEST_F(request_table_test, draining_refuses_queued_requests_and_delivers_running_ones)
{
    request(1, seconds(60));
    request(2, seconds(60));
    table_.set_draining(true);
    request(3, seconds(60));
    EXPECT_EQ(reasons(3), std::vector{error_code::draining});
    // The process is paused for 6 s, and the slot becomes free before its next tick.
    now_ += seconds(1);
    table_.on_tick(now_, out_);
    now_ += seconds(6);
    finish(1);
    EXPECT_EQ(out_.calls.size(), 1U);
    EXPECT_EQ(reasons(2), std::vector{error_code::draining});
    run_for(seconds(2));
    EXPECT_FALSE(table_.is_idle(now_));
    for (const std::int64_t sequence : {1, 2, 3}) {
        wire::part_request all;
        all.token = token.value;
        all.sequence = sequence;
        table_.on_payload(now_, key, all, out_);
    }
    EXPECT_TRUE(table_.is_idle(now_));
}

// Guards against a request that waited in the queue and is passed on with its full initial time, and against
// deadlines that are not enforced.
TEST_F(request_table_test, the_remaining_time_is_passed_on_and_enforced)
{
    request(1, milliseconds(1000));
    request(2, milliseconds(5000));
    EXPECT_EQ(out_.calls.at(0).remaining, milliseconds(1000));
    run_for(milliseconds(1000));
    run_for(milliseconds(1000));
    ASSERT_EQ(out_.cancels.size(), 1U);
    EXPECT_EQ(out_.cancels.at(0).id.sequence, 1);
    finish(1, error_code::outcome_unknown);
    ASSERT_EQ(out_.calls.size(), 2U);
    EXPECT_EQ(out_.calls.at(1).remaining, milliseconds(3000));
    EXPECT_EQ(reasons(1), std::vector{error_code::outcome_unknown});
}

// Guards against an unbounded number of records of one flow or of all flows, and against requests that run
// without a record.
TEST_F(request_table_test, requests_beyond_the_limits_are_dropped_without_a_reply)
{
    request(request_window + 1, seconds(1));
    EXPECT_TRUE(out_.calls.empty() && out_.replies.empty());
    // The largest sequence must not cause an overflow when the window is computed.
    request(std::numeric_limits<std::int64_t>::max(), seconds(1), std::numeric_limits<std::int64_t>::max());
    EXPECT_EQ(out_.calls.size(), 1U);
    out_.clear();
    request_settings s;
    s.max_records = 2;
    table_ = make(s);
    request(1, seconds(1));
    request(2, seconds(1));
    request(3, seconds(1));
    EXPECT_EQ(table_.in_progress(), 2U);
    EXPECT_TRUE(reasons(3).empty());
    finish(1);
    // Settled requests free their records. The second request still counts as running until the result of its
    // call arrives.
    request(3, seconds(1), 3);
    EXPECT_EQ(out_.cancels.size(), 1U);
    EXPECT_EQ(table_.in_progress(), 2U);
    finish(2, error_code::outcome_unknown);
    EXPECT_EQ(table_.in_progress(), 1U);
    EXPECT_EQ(out_.calls.back().id.sequence, 3);
}

// Guards against answers that exhaust the memory because callers do not settle them.
TEST_F(request_table_test, unsettled_answers_are_bounded_and_expire)
{
    request_settings s;
    s.answer_memory = 5;
    table_ = make(s);
    request(1, seconds(1));
    finish(1);
    request(2, seconds(1));
    EXPECT_EQ(reasons(2), std::vector{error_code::queue_full});
    run_for(s.answer_retention + milliseconds(50));
    EXPECT_TRUE(table_.is_idle(now_));
    request(3, seconds(1));
    EXPECT_EQ(table_.in_progress(), 1U);
    // The answer has expired. A duplicate of its request must not run, and the reply must say that the answer
    // is no longer available.
    request(1, seconds(1));
    EXPECT_EQ(out_.calls.size(), 2U);
    EXPECT_EQ(reasons(1), std::vector{error_code::answer_incomplete});
}

// Guards against requests that were sent to an earlier incarnation and run after the target has rejoined.
TEST_F(request_table_test, a_new_incarnation_ends_all_flows)
{
    request(1, seconds(5));
    request(2, seconds(5));
    table_.set_incarnation(incarnation{4});
    table_.on_tick(now_, out_);
    EXPECT_EQ(out_.cancels.size(), 1U);
    finish(1);
    EXPECT_EQ(out_.calls.size(), 1U);
    EXPECT_EQ(table_.in_progress(), 0U);
    request(2, seconds(5));
    EXPECT_EQ(reasons(2), std::vector{error_code::wrong_incarnation});
}

// Guards against one service whose table takes all slots of a VM that it shares with other services.
TEST_F(request_table_test, tables_of_two_services_share_slots)
{
    const auto shared_admission =
        std::make_shared<admission>(value(admission::create({2, 4, milliseconds(0)})));
    std::list<request_table> tables;
    for (const service_id service : {service_id{1}, service_id{2}}) {
        tables.push_back(value(request_table::create({}, counted_, shared_admission, service)));
        tables.back().set_incarnation(incarnation{3});
        tables.back().on_flow_opened(now_, key, token);
    }
    for (std::int64_t n = 1; n <= 4; ++n) {
        for (request_table& t : tables) {
            wire::request r;
            r.incarnation = 3;
            r.token = token.value;
            r.sequence = n;
            r.settled_below = 1;
            r.remaining_ms = 60000;
            t.on_payload(now_, key, r, out_);
        }
    }
    EXPECT_EQ(tables.front().slots_in_use(), 1U);
    EXPECT_EQ(tables.back().slots_in_use(), 1U);
}

}  // namespace
}  // namespace peridotcleat

#include "peridotcleat/caller.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "peridotcleat/request_table.h"

namespace peridotcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs one caller; the test sends the messages of its targets.
class caller_test : public ::testing::Test {
protected:
    caller_test() : caller_(make(1, counted_)) {}

    static caller make(std::uint64_t seed, counters& counted)
    {
        caller_settings s;
        s.local = endpoint{0x7f000001, 20000};
        s.service = endpoint{0x7f000002, 80};
        s.seed = seed;
        s.retry_percent = 100;
        return value(caller::create(s, counted));
    }

    // Returns the messages of type T that were sent since `out_` was last cleared.
    template <class T>
    std::vector<std::pair<std::uint16_t, T>> sent()
    {
        std::vector<std::pair<std::uint16_t, T>> found;
        for (const caller_send& s : out_) {
            const auto m = value(decode_caller(s.payload));
            if (const T* body = std::get_if<T>(&m)) {
                found.emplace_back(s.port, *body);
            }
        }
        return found;
    }

    void receive(std::uint16_t port, const caller_message& m)
    {
        caller_.on_payload(now_, port, encode(m), out_);
    }

    void acknowledge_open(std::uint16_t port, std::int64_t nonce, std::int64_t target, std::int64_t token)
    {
        wire::flow_open_ack ack;
        ack.nonce = nonce;
        ack.incarnation = target;
        ack.token = token;
        receive(port, ack);
    }

    // Opens the primary flow at target 1 with token 11 and returns its port.
    std::uint16_t open_primary_flow()
    {
        caller_.open(now_, out_);
        const auto opens = sent<wire::flow_open>();
        acknowledge_open(opens.front().first, opens.front().second.nonce, 1, 11);
        out_.clear();
        return opens.front().first;
    }

    void receive_result(std::uint16_t port, const wire::request& r, error_code reason,
                        wire_status status = wire_status::not_run)
    {
        wire::request_result m;
        m.token = r.token;
        m.sequence = r.sequence;
        m.status = static_cast<std::int8_t>(status);
        m.reason = static_cast<std::int16_t>(reason);
        receive(port, m);
    }

    void run_for(milliseconds duration)
    {
        for (const time_point end = now_ + duration; now_ < end;) {
            now_ += milliseconds(50);
            caller_.on_tick(now_, out_);
        }
    }

    counters counted_;
    caller caller_;
    time_point now_{seconds(1)};
    std::vector<caller_send> out_;
};

// Two targets accept copies of the same flow_open message. Guards against a second target that keeps a flow
// which nobody uses, and against a caller that changes its target in the middle of a flow.
TEST_F(caller_test, the_first_of_two_targets_is_used_and_the_other_flow_is_closed)
{
    caller_.open(now_, out_);
    const auto [port, open] = sent<wire::flow_open>().front();
    acknowledge_open(port, open.nonce, 1, 11);
    acknowledge_open(port, open.nonce, 2, 22);
    acknowledge_open(port, open.nonce, 1, 11);
    const auto closes = sent<wire::flow_close>();
    ASSERT_EQ(closes.size(), 1U);
    EXPECT_EQ(closes.front().second.token, 22);
    EXPECT_EQ(closes.front().second.incarnation, 2);
    EXPECT_EQ(caller_.target(), incarnation{1});
}

// Guards against new requests on a draining flow, and against a drain that breaks the pending requests of the
// flow.
TEST_F(caller_test, a_draining_flow_finishes_its_requests_and_gets_no_new_ones)
{
    const std::uint16_t port = open_primary_flow();
    caller_.submit(now_, {"a", "1", false, seconds(5)}, out_);
    const wire::request pending = sent<wire::request>().front().second;
    wire::flow_draining notice;
    notice.token = 11;
    receive(port, notice);
    out_.clear();
    caller_.submit(now_, {"a", "2", false, seconds(5)}, out_);
    EXPECT_TRUE(sent<wire::request>().empty());
    run_for(milliseconds(300));
    const auto [second_port, open] = sent<wire::flow_open>().front();
    EXPECT_NE(second_port, port);
    acknowledge_open(second_port, open.nonce, 2, 22);
    EXPECT_TRUE(std::any_of(out_.begin(), out_.end(), [&, s = second_port](const caller_send& c) {
        return c.port == s && std::holds_alternative<wire::request>(value(decode_caller(c.payload)));
    }));
    receive_result(port, pending, error_code::upstream_failed, wire_status::failed);
    EXPECT_EQ(caller_.take_finished().size(), 1U);
    EXPECT_EQ(caller_.broken_flows(), 0U);
    out_.clear();
    run_for(seconds(3));
    EXPECT_EQ(sent<wire::flow_close>().front().second.token, 11);
}

// Guards against a non-idempotent request that is reported as not run because another target, which never
// received the request, answers that it did not run.
TEST_F(caller_test, not_run_from_another_incarnation_leaves_the_outcome_unknown)
{
    const std::uint16_t port = open_primary_flow();
    caller_.submit(now_, {"a", "1", false, seconds(5)}, out_);
    receive_result(port, sent<wire::request>().front().second, error_code::wrong_incarnation);
    const auto finished = caller_.take_finished();
    ASSERT_EQ(finished.size(), 1U);
    EXPECT_EQ(finished.front().status, request_status::outcome_unknown);
    EXPECT_EQ(caller_.broken_flows(), 1U);
}

// Guards against a retry on the flow whose target refused the request, a retry with a new deadline, and a
// retry that is missing in the counters.
TEST_F(caller_test, a_refused_request_is_retried_on_a_new_flow_within_its_deadline)
{
    const std::uint16_t port = open_primary_flow();
    caller_.submit(now_, {"a", "1", false, seconds(5)}, out_);
    const wire::request first_attempt = sent<wire::request>().front().second;
    out_.clear();
    now_ += seconds(2);
    receive_result(port, first_attempt, error_code::queue_full);
    const auto [second_port, open] = sent<wire::flow_open>().front();
    EXPECT_NE(second_port, port);
    out_.clear();
    acknowledge_open(second_port, open.nonce, 2, 22);
    const auto retries = sent<wire::request>();
    ASSERT_EQ(retries.size(), 1U);
    EXPECT_EQ(retries.front().second.remaining_ms, 3000);
    EXPECT_EQ(counted_.retries(error_code::queue_full), 1U);
}

// Guards against callers that all open new flows at the same moment after a mass failure. With 200 callers
// and delays in tenths of a second, at most 50 may fall into the same tenth of the first second.
TEST_F(caller_test, reopening_after_a_reset_is_spread_over_time)
{
    std::vector<std::int64_t> delays_in_tenths;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        caller_ = make(seed, counted_);
        const std::uint16_t port = open_primary_flow();
        wire::flow_reset reset;
        reset.incarnation = 2;
        reset.token = 11;
        receive(port, reset);
        const time_point start = now_;
        while (sent<wire::flow_open>().empty() && now_ < start + seconds(5)) {
            run_for(milliseconds(50));
        }
        delays_in_tenths.push_back((now_ - start).count() / 100000);
        out_.clear();
    }
    for (std::int64_t tenth = 0; tenth < 10; ++tenth) {
        EXPECT_LE(std::count(delays_in_tenths.begin(), delays_in_tenths.end(), tenth), 50);
    }
}

}  // namespace
}  // namespace peridotcleat

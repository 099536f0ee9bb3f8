#include "peridotcleat/caller.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "peridotcleat/request_table.h"

namespace peridotcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A caller whose peer is the test itself.
class caller_test : public ::testing::Test {
protected:
    caller_test() : role_(make(1, counted_)) {}

    static caller make(std::uint64_t seed, counters& counted)
    {
        caller_settings s;
        s.local = endpoint{0x7f000001, 20000};
        s.service = endpoint{0x7f000002, 80};
        s.seed = seed;
        s.retry_percent = 100;
        return value(caller::create(s, counted));
    }

    // Returns the messages of type T that were sent since the last call of `clear`.
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
        role_.on_payload(now_, port, encode(m), out_);
    }

    void acknowledge_open(std::uint16_t port, std::int64_t nonce, std::int64_t target, std::int64_t token)
    {
        wire::flow_open_ack ack;
        ack.nonce = nonce;
        ack.incarnation = target;
        ack.token = token;
        receive(port, ack);
    }

    // Opens the first flow at target 1 with token 11 and returns its port.
    std::uint16_t open_first()
    {
        role_.open(now_, out_);
        const auto opens = sent<wire::flow_open>();
        acknowledge_open(opens.front().first, opens.front().second.nonce, 1, 11);
        out_.clear();
        return opens.front().first;
    }

    void refuse(std::uint16_t port, const wire::request& r, error_code reason,
                wire_status status = wire_status::not_run)
    {
        wire::request_result m;
        m.token = r.token;
        m.sequence = r.sequence;
        m.status = static_cast<std::int8_t>(status);
        m.reason = static_cast<std::int16_t>(reason);
        receive(port, m);
    }

    void run_for(milliseconds d)
    {
        for (const time_point end = now_ + d; now_ < end;) {
            now_ += milliseconds(50);
            role_.on_tick(now_, out_);
        }
    }

    counters counted_;
    caller role_;
    time_point now_{seconds(1)};
    std::vector<caller_send> out_;
};

// Guards against a second target that keeps a flow which nobody uses, and against a caller that changes its
// target in the middle of a flow.
TEST_F(caller_test, the_first_of_two_targets_wins_and_the_other_flow_is_closed)
{
    role_.open(now_, out_);
    const auto [port, open] = sent<wire::flow_open>().front();
    acknowledge_open(port, open.nonce, 1, 11);
    acknowledge_open(port, open.nonce, 2, 22);
    acknowledge_open(port, open.nonce, 1, 11);
    const auto closes = sent<wire::flow_close>();
    ASSERT_EQ(closes.size(), 1U);
    EXPECT_EQ(closes.front().second.token, 22);
    EXPECT_EQ(closes.front().second.incarnation, 2);
    EXPECT_EQ(role_.target(), incarnation{1});
}

// Guards against new requests on a draining flow, and against a drain that breaks the requests on it.
TEST_F(caller_test, a_draining_flow_ends_its_requests_and_gets_no_new_ones)
{
    const std::uint16_t port = open_first();
    role_.submit(now_, {"a", "1", false, seconds(5)}, out_);
    const wire::request pending = sent<wire::request>().front().second;
    wire::flow_draining notice;
    notice.token = 11;
    receive(port, notice);
    out_.clear();
    role_.submit(now_, {"a", "2", false, seconds(5)}, out_);
    EXPECT_TRUE(sent<wire::request>().empty());
    run_for(milliseconds(300));
    const auto [second, open] = sent<wire::flow_open>().front();
    EXPECT_NE(second, port);
    acknowledge_open(second, open.nonce, 2, 22);
    EXPECT_TRUE(std::any_of(out_.begin(), out_.end(), [&, s = second](const caller_send& c) {
        return c.port == s && std::holds_alternative<wire::request>(value(decode_caller(c.payload)));
    }));
    refuse(port, pending, error_code::upstream_failed, wire_status::failed);
    EXPECT_EQ(role_.take_finished().size(), 1U);
    EXPECT_EQ(role_.broken_flows(), 0U);
    out_.clear();
    run_for(seconds(3));
    EXPECT_EQ(sent<wire::flow_close>().front().second.token, 11);
}

// Guards against a non-idempotent request that is reported as not run because another target, which never
// had it, says so.
TEST_F(caller_test, another_incarnation_is_no_proof_of_not_run)
{
    const std::uint16_t port = open_first();
    role_.submit(now_, {"a", "1", false, seconds(5)}, out_);
    refuse(port, sent<wire::request>().front().second, error_code::wrong_incarnation);
    const auto finished = role_.take_finished();
    ASSERT_EQ(finished.size(), 1U);
    EXPECT_EQ(finished.front().status, request_status::outcome_unknown);
    EXPECT_EQ(role_.broken_flows(), 1U);
}

// Guards against a retry over the flow that refused, under a new deadline, or that is not counted.
TEST_F(caller_test, a_refused_request_is_retried_on_a_new_flow_within_its_deadline)
{
    const std::uint16_t port = open_first();
    role_.submit(now_, {"a", "1", false, seconds(5)}, out_);
    const wire::request first = sent<wire::request>().front().second;
    out_.clear();
    now_ += seconds(2);
    refuse(port, first, error_code::queue_full);
    const auto [other, open] = sent<wire::flow_open>().front();
    EXPECT_NE(other, port);
    out_.clear();
    acknowledge_open(other, open.nonce, 2, 22);
    const auto again = sent<wire::request>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again.front().second.remaining_ms, 3000);
    EXPECT_EQ(counted_.retries(error_code::queue_full), 1U);
}

// Guards against callers that all open new flows in the same moment after a mass failure.
TEST_F(caller_test, reopening_after_a_reset_is_spread)
{
    std::vector<std::int64_t> delays;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        role_ = make(seed, counted_);
        const std::uint16_t port = open_first();
        wire::flow_reset reset;
        reset.incarnation = 2;
        reset.token = 11;
        receive(port, reset);
        const time_point start = now_;
        while (sent<wire::flow_open>().empty() && now_ < start + seconds(5)) {
            run_for(milliseconds(50));
        }
        delays.push_back((now_ - start).count() / 100000);
        out_.clear();
    }
    for (std::int64_t tenth = 0; tenth < 10; ++tenth) {
        EXPECT_LE(std::count(delays.begin(), delays.end(), tenth), 50);
    }
}

}  // namespace
}  // namespace peridotcleat

#include "peridotcleat/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "peridotcleat/retry_budget.h"

namespace peridotcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr service_id first_service{1};
constexpr service_id second_service{2};

admission make(std::uint32_t slots, std::uint32_t queue, milliseconds ramp = milliseconds(0))
{
    return value(admission::create({slots, queue, ramp}));
}

// Guards against slots that leak or are assigned twice, requests that leave the queue twice or never, and an
// unbounded queue. Runs random sequences of admit, release, expire and next.
RC_GTEST_PROP(admission, each_request_ends_once_and_limits_hold, ())
{
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 5);
    const auto queue = *rc::gen::inRange<std::uint32_t>(0, 4);
    admission a = make(slots, queue, milliseconds(*rc::gen::inRange(0, 2000)));
    time_point now{seconds(1)};
    a.begin_ramp(now);
    std::int64_t sequence = 0;
    std::map<request_id, service_id> waiting;
    std::vector<service_id> running;
    for (int step = 0; step < 100; ++step) {
        now += milliseconds(*rc::gen::inRange(0, 100));
        const service_id service = *rc::gen::element(first_service, second_service);
        const request_id id{flow_token{1}, ++sequence};
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
        case 1: {
            const auto decision = a.admit(now, service, id, milliseconds(*rc::gen::inRange(1, 2000)));
            RC_ASSERT((decision.action == admission_action::refuse) == (decision.reason != error_code::ok));
            if (decision.action == admission_action::start) {
                running.push_back(service);
            } else if (decision.action == admission_action::wait) {
                waiting[id] = service;
            }
            break;
        }
        case 2:
            if (!running.empty()) {
                const auto code =
                    *rc::gen::element(error_code::ok, error_code::shed_by_upstream,
                                      error_code::upstream_unreachable, error_code::outcome_unknown);
                a.release(now, running.back(), code, milliseconds(50));
                running.pop_back();
            }
            break;
        case 3: {
            std::vector<request_id> expired;
            a.expire(now, service, expired);
            for (const request_id& n : expired) {
                RC_ASSERT(waiting.erase(n) == 1U);
            }
            break;
        }
        default:
            if (const auto next = a.next(now, service)) {
                RC_ASSERT(waiting.at(*next) == service);
                waiting.erase(*next);
                running.push_back(service);
            }
        }
        RC_ASSERT(a.running() == running.size());
        RC_ASSERT(a.waiting() == waiting.size());
        RC_ASSERT(running.size() <= slots);
        RC_ASSERT(waiting.size() <= std::size_t{slots} * queue);
    }
}

// Guards against a service whose backlog takes the slots or the queue capacity of another service on the same
// VM.
RC_GTEST_PROP(admission, shares_follow_weights_under_backlog, ())
{
    const auto weight = *rc::gen::inRange<std::uint32_t>(1, 4);
    const auto slots = *rc::gen::inRange<std::uint32_t>(2, 8);
    admission a = make(slots, 8);
    a.set_weight(first_service, weight);
    a.set_weight(second_service, 1);
    const time_point now{seconds(1)};
    std::int64_t sequence = 0;
    std::map<service_id, std::uint32_t> started;
    std::deque<service_id> running;
    for (int round = 0; round < 200; ++round) {
        // The first service submits twice as many requests, and always before the second one.
        for (const service_id s : {first_service, first_service, second_service}) {
            const auto decision = a.admit(now, s, {flow_token{1}, ++sequence}, seconds(60));
            if (decision.action == admission_action::start) {
                running.push_back(s);
            }
        }
        if (!running.empty()) {
            a.release(now, running.front(), error_code::ok, milliseconds(1));
            running.pop_front();
        }
        for (const service_id s : {first_service, second_service}) {
            while (a.next(now, s)) {
                running.push_back(s);
                ++started[s];
            }
        }
    }
    const double share = static_cast<double>(started[second_service]) /
                         static_cast<double>(started[first_service] + started[second_service]);
    // Slots are shared as whole units, so the share can deviate by one slot.
    RC_ASSERT(share >= 1.0 / (weight + 1) - 1.0 / slots);
    RC_ASSERT(share <= 1.0 / (weight + 1) + 1.0 / slots);
}

// Guards against a refusal with the wrong reason, which a caller or operator could not act on. Provokes
// each kind of refusal except upstream_unreachable.
TEST(admission, each_refusal_has_its_reason)
{
    const time_point now{seconds(1)};
    const request_id id{flow_token{1}, 1};
    const auto refusal = [&](admission& a, time_point at, milliseconds left) {
        return a.admit(at, first_service, id, left).reason;
    };
    admission no_queue = make(1, 0);
    EXPECT_EQ(no_queue.admit(now, first_service, id, seconds(1)).action, admission_action::start);
    EXPECT_EQ(refusal(no_queue, now, seconds(1)), error_code::no_slot);

    admission full = make(1, 1);
    EXPECT_EQ(full.admit(now, first_service, id, seconds(1)).action, admission_action::start);
    EXPECT_EQ(full.admit(now, first_service, id, seconds(1)).action, admission_action::wait);
    EXPECT_EQ(refusal(full, now, seconds(1)), error_code::queue_full);
    full.release(now, first_service, error_code::ok, milliseconds(400));
    EXPECT_TRUE(full.next(now, first_service).has_value());
    EXPECT_EQ(refusal(full, now, milliseconds(700)), error_code::deadline_exceeded);

    admission cold = make(4, 0, seconds(10));
    cold.begin_ramp(now);
    EXPECT_EQ(cold.slots(now), 1U);
    EXPECT_EQ(cold.slots(now + seconds(5)), 2U);
    EXPECT_EQ(cold.slots(now + seconds(10)), 4U);
    EXPECT_EQ(cold.admit(now, first_service, id, seconds(1)).action, admission_action::start);
    EXPECT_EQ(refusal(cold, now, seconds(1)), error_code::ramping_up);

    admission shed = make(4, 1);
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(shed.admit(now, first_service, id, seconds(1)).action, admission_action::start);
        shed.release(now, first_service, error_code::shed_by_upstream, milliseconds(1));
    }
    EXPECT_EQ(refusal(shed, now, seconds(1)), error_code::shed_by_upstream);
    EXPECT_EQ(shed.slots(now + seconds(1)), 1U);
}

// Guards against a service time estimate that refuses all requests forever after one slow phase: without
// admitted requests there would be no new samples to correct it.
TEST(admission, a_slow_phase_does_not_refuse_requests_forever)
{
    admission a = make(2, 4);
    const time_point now{seconds(1)};
    EXPECT_EQ(a.admit(now, first_service, {flow_token{1}, 1}, seconds(90)).action, admission_action::start);
    a.release(now, first_service, error_code::ok, seconds(60));
    EXPECT_EQ(a.admit(now, first_service, {flow_token{1}, 2}, milliseconds(100)).action,
              admission_action::start);
    EXPECT_EQ(a.admit(now, first_service, {flow_token{1}, 3}, milliseconds(100)).reason,
              error_code::deadline_exceeded);
    EXPECT_EQ(a.admit(now + seconds(60), first_service, {flow_token{1}, 4}, milliseconds(100)).action,
              admission_action::start);
}

// Guards against more retries than the configured share of any 200 consecutive requests, even if earlier
// requests have filled the budget.
RC_GTEST_PROP(retry_budget, retries_of_any_200_requests_stay_within_the_share, ())
{
    const auto percent = *rc::gen::inRange<std::uint32_t>(5, 101);
    retry_budget budget = value(retry_budget::create(percent));
    for (int i = *rc::gen::inRange(0, 1000); i > 0; --i) {
        budget.on_new_request();
    }
    std::uint32_t retries = 0;
    for (int i = 0; i < 200; ++i) {
        budget.on_new_request();
        while (budget.try_take()) {
            ++retries;
        }
    }
    RC_ASSERT(retries <= percent * 2);
    RC_ASSERT(retries + 1 >= percent * 2 * 9 / 10);
}

}  // namespace
}  // namespace peridotcleat

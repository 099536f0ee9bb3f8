#include "peridotcleat/event_loop.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace peridotcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a process that takes 5 s longer to stop, beyond its grace period, because an HTTP request
// waits for a loop that has ended.
TEST(event_loop, a_call_at_a_loop_that_ends_is_answered_at_once)
{
    counters counted;
    auto created = event_loop::create({0x7f000705U, 18120}, cluster_id{1}, counted);
    ASSERT_TRUE(has_value(created)) << failure(created).message;
    event_loop& loop = *value(created);
    loop_handlers handlers;
    handlers.on_message = [](time_point, const endpoint&, const message&, outbox&) {};
    handlers.on_tick = [](time_point, outbox&) {};
    const auto ignored = [](time_point, outbox&) { return admin_response{200, "{}"}; };
    std::promise<void> blocked;
    std::promise<void> release;
    std::thread runner([&] { loop.run(handlers); });
    loop.post([&](time_point, outbox&) {
        blocked.set_value();
        release.get_future().wait();
    });
    blocked.get_future().wait();
    loop.stop();
    // Queued after the last batch has begun, so the loop drops it.
    auto pending = std::async(std::launch::async, [&] { return loop.call(ignored).status; });
    std::this_thread::sleep_for(milliseconds(100));
    release.set_value();
    EXPECT_EQ(pending.wait_for(seconds(2)), std::future_status::ready);
    EXPECT_EQ(pending.get(), 503);
    runner.join();
    const time_point begin = event_loop::now();
    EXPECT_EQ(loop.call(ignored).status, 503);
    EXPECT_LT(event_loop::now() - begin, seconds(2));
}

}  // namespace
}  // namespace peridotcleat

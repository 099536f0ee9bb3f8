#include "peridotcleat/admin_server.h"

#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>

#include "peridotcleat/counters.h"
#include "peridotcleat/daemon.h"
#include "peridotcleat/distribution.h"
#include "peridotcleat/event_loop.h"
#include "peridotcleat/net_address.h"

namespace peridotcleat {
namespace {

using namespace std::chrono_literals;

constexpr endpoint http_address{0x7f000701U, 18100};

// Guards against bodies, queries and status codes that are lost between server and client.
TEST(admin_server, request_and_answer_arrive_whole)
{
    const auto server = admin_server::start(http_address, [](const admin_request& r) -> admin_response {
        return {202, r.method + ' ' + r.path + ' ' + r.query("version") + ' ' + r.body};
    });
    ASSERT_TRUE(has_value(server));
    const auto answer = http_call(http_address, "POST", "/v1/x?version=3", "body", 2s);
    ASSERT_TRUE(has_value(answer));
    EXPECT_EQ(value(answer).status, 202);
    EXPECT_EQ(value(answer).body, "POST /v1/x 3 body");
    // A second server on the address must fail instead of receiving part of the requests.
    const auto second =
        admin_server::start(http_address, [](const admin_request&) { return admin_response{}; });
    ASSERT_FALSE(has_value(second));
    EXPECT_EQ(failure(second).code, error_code::address_in_use);
}

// Guards against a request body that exhausts the memory, and against an exception in the handler that ends
// the process.
TEST(admin_server, oversized_body_and_failing_handler_get_numbered_errors)
{
    const auto server = admin_server::start(
        http_address, [](const admin_request&) -> admin_response { throw std::runtime_error("bad field"); });
    ASSERT_TRUE(has_value(server));
    const auto large = http_call(http_address, "POST", "/", std::string(admin_server::max_body + 1, 'x'), 5s);
    ASSERT_TRUE(has_value(large));
    EXPECT_EQ(value(large).status, 413);
    EXPECT_NE(value(large).body.find("\"code\":301"), std::string::npos);
    const auto failing = http_call(http_address, "GET", "/", "", 2s);
    ASSERT_TRUE(has_value(failing));
    EXPECT_EQ(value(failing).status, 400);
}

// Guards against `outcome_unknown` for a request that was certainly not sent, which would forbid a retry.
TEST(http_call, refused_connection_is_proof_that_nothing_was_sent)
{
    const auto answer = http_call({0x7f000702U, 18101}, "POST", "/", "x", 1s);
    ASSERT_FALSE(has_value(answer));
    EXPECT_EQ(failure(answer).code, error_code::upstream_unreachable);
}

// Guards against a command that waits forever for a process that accepts the connection and does not answer.
TEST(http_call, silent_server_gives_outcome_unknown)
{
    Poco::Net::ServerSocket silent;
    silent.bind(to_socket_address({0x7f000702U, 18103}), true, false);
    silent.listen();
    const auto answer = http_call({0x7f000702U, 18103}, "POST", "/", "x", 200ms);
    ASSERT_FALSE(has_value(answer));
    EXPECT_EQ(failure(answer).code, error_code::outcome_unknown);
}

// Guards against messages and posted tasks that the loop drops, against a loop that does not end after
// `stop`, and against two loops that are bound to the same address.
TEST(event_loop, delivers_messages_and_tasks_and_refuses_a_used_address)
{
    counters counted;
    const endpoint address{0x7f000701U, 18102};
    auto created = event_loop::create(address, cluster_id{1}, counted);
    ASSERT_TRUE(has_value(created));
    event_loop& loop = *value(created);
    std::int64_t received_revision = 0;
    loop_handlers handlers;
    handlers.on_message = [&](time_point, const endpoint& from, const message& m, outbox&) {
        EXPECT_EQ(from, address);
        received_revision = std::get<wire::stale_notice>(m).revision;
        loop.stop();
    };
    handlers.on_tick = [](time_point, outbox&) {};
    loop.post([&](time_point, outbox& out) {
        wire::stale_notice n;
        n.revision = 42;
        out.send(address, n);
    });
    loop.run(handlers);
    EXPECT_EQ(received_revision, 42);
    const auto second = event_loop::create(address, cluster_id{1}, counted);
    ASSERT_FALSE(has_value(second));
    EXPECT_EQ(failure(second).code, error_code::address_in_use);
}

// Guards against refusals and retries that are shown under the wrong reason or as each other.
TEST(counters, refusals_and_retries_are_kept_apart_by_reason)
{
    counters c;
    c.add(event::flows_opened, 3);
    c.count_refusal(error_code::no_slot);
    c.count_retry(error_code::no_slot);
    c.count_retry(error_code::queue_full);
    EXPECT_EQ(to_json(c),
              R"({"flows_opened":3,"refused_no_slot":1,"retried_no_slot":1,"retried_queue_full":1})");
}

// Guards against quantiles that are taken from the wrong bin.
TEST(distribution, quantiles_are_upper_edges)
{
    distribution d(0.1, 1000, 200);
    EXPECT_EQ(d.quantile(0.5), 0);
    for (int i = 1; i <= 100; ++i) {
        d.record(std::chrono::milliseconds(i));
    }
    EXPECT_EQ(d.count(), 100U);
    EXPECT_NEAR(d.quantile(0.5), 50, 3);
    EXPECT_NEAR(d.quantile(0.99), 99, 6);
}

}  // namespace
}  // namespace peridotcleat

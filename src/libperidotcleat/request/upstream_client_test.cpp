#include "peridotcleat/upstream_client.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <gtest/gtest.h>

#include <condition_variable>
#include <map>
#include <mutex>

namespace peridotcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requests that the test server has received, shared between its threads and the test.
struct server_state {
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, std::string>> requests;
    std::vector<std::string> cancelled;
    bool released = false;
};

// Answers each call as the `X-Method` header of the request requires.
class request_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit request_handler(server_state& state) : state_(&state) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request,  // NOLINT(readability-identifier-naming)
                       Poco::Net::HTTPServerResponse& response) override
    {
        if (request.getMethod() == "DELETE") {
            const std::scoped_lock lock(state_->mutex);
            state_->cancelled.push_back(request.getURI());
            state_->released = true;
            state_->changed.notify_all();
            response.setContentLength(0);
            response.send();
            return;
        }
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        const std::string method = request.get("X-Method");
        {
            std::unique_lock lock(state_->mutex);
            auto& recorded_request = state_->requests[request.get("X-Request-Id")];
            recorded_request = {{"uri", request.getURI()},
                                {"deadline", request.get("X-Deadline-Ms")},
                                {"idempotent", request.get("X-Idempotent")},
                                {"method", method}};
            state_->changed.notify_all();
            if (method == "wait") {
                state_->changed.wait_for(lock, seconds(5), [this] { return state_->released; });
            }
        }
        send_answer(method, body, response);
    }

private:
    static void send_answer(const std::string& method, const std::string& body,
                            Poco::Net::HTTPServerResponse& response)
    {
        if (method == "status") {
            response.setStatus(body);
        } else if (method == "short") {
            response.setContentLength(static_cast<std::streamsize>(body.size()) + 10);
            response.send() << body;
            return;
        } else if (method == "chunked") {
            response.setChunkedTransferEncoding(true);
            response.send() << body;
            return;
        }
        response.setContentLength(static_cast<std::streamsize>(body.size()));
        response.send() << body;
    }

    server_state* state_;
};

class request_handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit request_handler_factory(server_state& state) : state_(&state) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(  // NOLINT(readability-identifier-naming)
        const Poco::Net::HTTPServerRequest& /*request*/) override
    {
        return new request_handler(*state_);
    }

private:
    server_state* state_;
};

class upstream_client_test : public ::testing::Test {
public:
    upstream_client_test()
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
          server_(new request_handler_factory(state_), socket_, new Poco::Net::HTTPServerParams)
    {
        server_.start();
        start_client(socket_.address().port());
    }
    ~upstream_client_test() override
    {
        client_.reset();
        release_waiting_requests();
        server_.stopAll(true);
    }
    upstream_client_test(const upstream_client_test&) = delete;
    upstream_client_test& operator=(const upstream_client_test&) = delete;
    upstream_client_test(upstream_client_test&&) = delete;
    upstream_client_test& operator=(upstream_client_test&&) = delete;

protected:
    void start_client(std::uint16_t port)
    {
        upstream_client_settings s;
        s.upstream = endpoint{0x7f000001, port};
        s.slots = 2;
        s.id_prefix = "a-";
        s.grace = milliseconds(100);
        client_ = value(upstream_client::create(s, [this] { on_result_ready(); }));
    }

    void on_result_ready()
    {
        const std::scoped_lock lock(state_.mutex);
        ++ready_notifications_;
        state_.changed.notify_all();
    }

    void release_waiting_requests()
    {
        const std::scoped_lock lock(state_.mutex);
        state_.released = true;
        state_.changed.notify_all();
    }

    // Waits until the server has received `count` requests.
    void await_requests(std::size_t count)
    {
        std::unique_lock lock(state_.mutex);
        EXPECT_TRUE(
            state_.changed.wait_for(lock, seconds(10), [&] { return state_.requests.size() >= count; }));
    }

    // Makes a call and waits for its result.
    upstream_result result_of(const std::string& method, const std::string& body,
                              milliseconds remaining = seconds(5))
    {
        client_->call({{flow_token{7}, ++sequence_}, true, remaining, method, body});
        return next_result();
    }

    upstream_result next_result()
    {
        const auto end = std::chrono::steady_clock::now() + seconds(10);
        while (std::chrono::steady_clock::now() < end) {
            std::unique_lock lock(state_.mutex);
            state_.changed.wait_for(lock, milliseconds(100), [this] { return ready_notifications_ > 0; });
            ready_notifications_ = 0;
            lock.unlock();
            auto results = client_->take_results();
            if (!results.empty()) {
                EXPECT_EQ(results.size(), 1U);
                return results.front();
            }
        }
        ADD_FAILURE() << "no result within 10 s";
        return {};
    }

    server_state state_;
    Poco::Net::ServerSocket socket_;
    Poco::Net::HTTPServer server_;
    std::unique_ptr<upstream_client> client_;
    std::int64_t sequence_ = 0;
    int ready_notifications_ = 0;
};

// Guards against headers or bodies that do not reach the upstream as documented, and against header injection
// by a method that contains a line break.
TEST_F(upstream_client_test, passes_request_and_answer)
{
    const std::string body(200000, 'b');
    const upstream_result r = result_of("chart\r\nX-Idempotent: false", body);
    EXPECT_EQ(r.code, error_code::ok);
    EXPECT_EQ(r.body, body);
    EXPECT_EQ(r.id, (request_id{flow_token{7}, 1}));
    auto& recorded_request = state_.requests["a-7-1"];
    EXPECT_EQ(recorded_request["uri"], "/requests");
    EXPECT_EQ(recorded_request["idempotent"], "true");
    EXPECT_EQ(recorded_request["method"], "chart%0D%0AX-Idempotent:%20false");
    const int deadline = std::stoi(recorded_request["deadline"]);
    EXPECT_TRUE(deadline > 0 && deadline <= 5000) << deadline;
}

// Guards against an HTTP status that is mapped to the wrong result code.
TEST_F(upstream_client_test, maps_status_codes)
{
    EXPECT_EQ(result_of("status", "503").code, error_code::shed_by_upstream);
    EXPECT_EQ(result_of("status", "500").code, error_code::upstream_failed);
    EXPECT_EQ(result_of("status", "404").code, error_code::upstream_failed);
    EXPECT_EQ(result_of("status", "201").code, error_code::ok);
}

// Guards against a truncated answer that is passed on as complete. An answer without a length counts as
// truncated, because its end cannot be verified.
TEST_F(upstream_client_test, incomplete_answers_are_unknown_outcomes)
{
    EXPECT_EQ(result_of("short", "abc").code, error_code::outcome_unknown);
    EXPECT_EQ(result_of("chunked", "abc").code, error_code::outcome_unknown);
}

// Guards against a call without an answer that is reported as not run, or that never ends.
TEST_F(upstream_client_test, no_answer_within_the_deadline_is_unknown)
{
    EXPECT_EQ(result_of("wait", "", milliseconds(100)).code, error_code::outcome_unknown);
    EXPECT_EQ(result_of("echo", "", milliseconds(0)).code, error_code::deadline_exceeded);
}

// Guards against a request that is reported as not run without proof, although it may have run, and against a
// request that is reported as possibly run although it could not be sent. A refused connection proves that
// the request did not run.
TEST_F(upstream_client_test, no_connection_proves_not_run)
{
    // A port whose socket was bound and closed again refuses connections.
    Poco::Net::ServerSocket closed_socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    const std::uint16_t port = closed_socket.address().port();
    closed_socket.close();
    start_client(port);
    EXPECT_EQ(result_of("echo", "").code, error_code::upstream_unreachable);
}

// Guards against a cancellation that waits for a worker thread until the call that it should cancel has
// ended.
TEST_F(upstream_client_test, cancellation_reaches_the_upstream_while_all_slots_wait)
{
    client_->call({{flow_token{7}, 1}, false, seconds(5), "wait", ""});
    client_->call({{flow_token{7}, 2}, false, seconds(5), "wait", ""});
    await_requests(2);
    client_->cancel({{flow_token{7}, 1}});
    std::unique_lock lock(state_.mutex);
    EXPECT_TRUE(state_.changed.wait_for(lock, seconds(4), [this] { return !state_.cancelled.empty(); }));
    EXPECT_EQ(state_.cancelled, std::vector<std::string>{"/requests/a-7-1"});
}

// Guards against a stop that waits for the answer of a slow upstream.
TEST_F(upstream_client_test, stop_shuts_down_open_connections)
{
    client_->call({{flow_token{7}, 1}, false, seconds(60), "wait", ""});
    await_requests(1);
    client_->stop();
    const auto results = client_->take_results();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results.front().code, error_code::outcome_unknown);
}

}  // namespace
}  // namespace peridotcleat

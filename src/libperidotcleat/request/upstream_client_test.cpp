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

// What the server in the test has seen.
struct server_state {
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, std::string>> requests;
    std::vector<std::string> cancelled;
    bool released = false;
};

// Behaves as the method of the request says.
class handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit handler(server_state& state) : state_(&state) {}

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
            auto& seen = state_->requests[request.get("X-Request-Id")];
            seen = {{"uri", request.getURI()},
                    {"deadline", request.get("X-Deadline-Ms")},
                    {"idempotent", request.get("X-Idempotent")},
                    {"method", method}};
            state_->changed.notify_all();
            if (method == "wait") {
                state_->changed.wait_for(lock, seconds(5), [this] { return state_->released; });
            }
        }
        answer(method, body, response);
    }

private:
    static void answer(const std::string& method, const std::string& body,
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

class factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit factory(server_state& state) : state_(&state) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(  // NOLINT(readability-identifier-naming)
        const Poco::Net::HTTPServerRequest& /*request*/) override
    {
        return new handler(*state_);
    }

private:
    server_state* state_;
};

class upstream_client_test : public ::testing::Test {
public:
    upstream_client_test()
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
          server_(new factory(state_), socket_, new Poco::Net::HTTPServerParams)
    {
        server_.start();
        start(socket_.address().port());
    }
    ~upstream_client_test() override
    {
        client_.reset();
        release();
        server_.stopAll(true);
    }
    upstream_client_test(const upstream_client_test&) = delete;
    upstream_client_test& operator=(const upstream_client_test&) = delete;
    upstream_client_test(upstream_client_test&&) = delete;
    upstream_client_test& operator=(upstream_client_test&&) = delete;

protected:
    void start(std::uint16_t port)
    {
        upstream_client_settings s;
        s.upstream = endpoint{0x7f000001, port};
        s.slots = 2;
        s.id_prefix = "a-";
        s.grace = milliseconds(100);
        client_ = value(upstream_client::create(s, [this] { wake(); }));
    }

    void wake()
    {
        const std::scoped_lock lock(state_.mutex);
        ++wakes_;
        state_.changed.notify_all();
    }

    void release()
    {
        const std::scoped_lock lock(state_.mutex);
        state_.released = true;
        state_.changed.notify_all();
    }

    // Waits until the server holds `n` requests.
    void await_requests(std::size_t n)
    {
        std::unique_lock lock(state_.mutex);
        EXPECT_TRUE(state_.changed.wait_for(lock, seconds(10), [&] { return state_.requests.size() >= n; }));
    }

    // Waits for the result of one call.
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
            state_.changed.wait_for(lock, milliseconds(100), [this] { return wakes_ > 0; });
            wakes_ = 0;
            lock.unlock();
            auto results = client_->take_results();
            if (!results.empty()) {
                EXPECT_EQ(results.size(), 1U);
                return results.front();
            }
        }
        ADD_FAILURE() << "no result";
        return {};
    }

    server_state state_;
    Poco::Net::ServerSocket socket_;
    Poco::Net::HTTPServer server_;
    std::unique_ptr<upstream_client> client_;
    std::int64_t sequence_ = 0;
    int wakes_ = 0;
};

// Guards against headers or bodies that do not reach the upstream as documented, and against a method that
// adds a header of its own.
TEST_F(upstream_client_test, passes_request_and_answer)
{
    const std::string body(200000, 'b');
    const upstream_result r = result_of("chart\r\nX-Idempotent: false", body);
    EXPECT_EQ(r.code, error_code::ok);
    EXPECT_EQ(r.body, body);
    EXPECT_EQ(r.name, (request_name{flow_token{7}, 1}));
    auto& seen = state_.requests["a-7-1"];
    EXPECT_EQ(seen["uri"], "/requests");
    EXPECT_EQ(seen["idempotent"], "true");
    EXPECT_EQ(seen["method"], "chart%0D%0AX-Idempotent:%20false");
    const int deadline = std::stoi(seen["deadline"]);
    EXPECT_TRUE(deadline > 0 && deadline <= 5000) << deadline;
}

// Guards against a status that is taken for another outcome than the one it states.
TEST_F(upstream_client_test, maps_status_codes)
{
    EXPECT_EQ(result_of("status", "503").code, error_code::shed_by_upstream);
    EXPECT_EQ(result_of("status", "500").code, error_code::upstream_failed);
    EXPECT_EQ(result_of("status", "404").code, error_code::upstream_failed);
    EXPECT_EQ(result_of("status", "201").code, error_code::ok);
}

// Guards against answers that are cut off and passed on as whole.
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

// Guards against "not run" without proof and against a missing proof.
TEST_F(upstream_client_test, no_connection_proves_not_run)
{
    // A port that was bound and is closed again refuses connections.
    Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
    const std::uint16_t port = closed.address().port();
    closed.close();
    start(port);
    EXPECT_EQ(result_of("echo", "").code, error_code::upstream_unreachable);
}

// Guards against cancellations that wait behind the calls they should end.
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

// Guards against a stop that waits for slow upstreams.
TEST_F(upstream_client_test, stop_breaks_open_connections)
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

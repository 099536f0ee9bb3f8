// Stand-in for an upstream: serves requests of its agent over HTTP with slots, cold start, shedding,
// deadlines, cancellation and drain, and records each request that it applies in a file.

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include "peridotcleat/admin_server.h"
#include "peridotcleat/daemon.h"
#include "peridotcleat/event_loop.h"
#include "peridotcleat/log.h"
#include "peridotcleat/net_address.h"
#include "peridotcleat/settings.h"

namespace {

using namespace peridotcleat;
using namespace std::chrono_literals;

constexpr const char* usage = R"(Stand-in for an upstream.

Usage:
  peridotcleat-upstream --service=S --listen=A --agent=A --applied=F [options]

Options:
  --service=S       Name of the service that it serves.
  --listen=A        HTTP address for requests of the agent.
  --agent=A         HTTP address of its agent.
  --applied=F       File that gets one line for each applied request.
  --slots=N         Concurrent requests [default: 7].
  --connections=N   Concurrent flows [default: 2000].
  --work-ms=N       Time to serve one request [default: 5].
  --cold-ms=N       Time after start during which requests take ten times as long [default: 0].
  --shed-every=N    Refuses each Nth request with status 503 before it runs; 0 for none [default: 0].
  --help            Prints this text.
  --version         Prints the version.
)";

struct upstream_settings {
    std::string service;
    endpoint listen;
    endpoint agent;
    std::string applied_file;
    std::int64_t slots = 1;
    std::int64_t connections = 1;
    std::chrono::milliseconds work_duration{0};
    std::chrono::milliseconds cold_duration{0};
    std::int64_t shed_every = 0;
};

// Returns the answer to a chart request. The request determines its length and content, so that callers can
// check both.
std::string chart(const std::string& name)
{
    constexpr std::size_t chart_bytes = 20000;
    std::string text;
    while (text.size() < chart_bytes) {
        text += name + '.';
    }
    text.resize(chart_bytes);
    return text;
}

class upstream {
public:
    explicit upstream(upstream_settings s)
        : settings_(std::move(s)), started_(std::chrono::steady_clock::now()),
          applied_(settings_.applied_file, std::ios::app)
    {
    }

    // Runs one request and returns the HTTP status and the answer. Status 503 means that the request was not
    // applied.
    http_answer serve(const std::string& id, const std::string& method, std::chrono::milliseconds remaining,
                      const std::string& body)
    {
        const std::int64_t request_number = ++received_;
        if (settings_.shed_every > 0 && request_number % settings_.shed_every == 0) {
            return {503, "shed"};
        }
        if (!take_slot()) {
            return {503, "no slot"};
        }
        const auto duration = current_work_duration();
        if (duration > remaining) {
            release_slot();
            return {503, "deadline"};
        }
        std::this_thread::sleep_for(duration);
        http_answer answer{200, method == "chart" ? chart(body) : "done " + body};
        {
            const std::scoped_lock lock(mutex_);
            if (cancelled_.erase(id) > 0) {
                answer = {503, "cancelled"};
            } else {
                applied_ << settings_.service << ' ' << method << ' ' << body << '\n' << std::flush;
            }
        }
        release_slot();
        return answer;
    }

    // Prevents a request from being applied, if it has not been applied yet.
    void cancel(const std::string& id)
    {
        const std::scoped_lock lock(mutex_);
        cancelled_.insert(id);
    }

    std::string load()
    {
        const std::scoped_lock lock(mutex_);
        return R"({"slots":)" + std::to_string(settings_.slots) + R"(,"in_use":)" + std::to_string(in_use_) +
               "}";
    }

    // Announces this upstream to the agent. Retries every 100 ms, at most 200 times, until the agent accepts
    // it.
    void announce()
    {
        const std::string body = R"({"service":")" + settings_.service + R"(","address":")" +
                                 to_string(settings_.listen) + R"(","slots":)" +
                                 std::to_string(settings_.slots) + R"(,"connections":)" +
                                 std::to_string(settings_.connections) + "}";
        for (int i = 0; i < 200; ++i) {
            const auto answer = http_call(settings_.agent, "POST", "/v1/upstream", body, 1s);
            if (has_value(answer) && value(answer).status == 200) {
                return;
            }
            std::this_thread::sleep_for(100ms);
        }
        log_event(log_level::error, "announce_failed", {{"agent", to_string(settings_.agent)}});
    }

    void announce_drain() const { (void)http_call(settings_.agent, "POST", "/v1/upstream/drain", "{}", 1s); }

private:
    bool take_slot()
    {
        const std::scoped_lock lock(mutex_);
        if (in_use_ >= settings_.slots) {
            return false;
        }
        ++in_use_;
        return true;
    }

    void release_slot()
    {
        const std::scoped_lock lock(mutex_);
        --in_use_;
    }

    std::chrono::milliseconds current_work_duration() const
    {
        const bool cold = std::chrono::steady_clock::now() - started_ < settings_.cold_duration;
        return cold ? settings_.work_duration * 10 : settings_.work_duration;
    }

    upstream_settings settings_;
    std::chrono::steady_clock::time_point started_;
    std::atomic<std::int64_t> received_{0};
    // Guards all members below.
    std::mutex mutex_;
    std::int64_t in_use_ = 0;
    std::set<std::string> cancelled_;
    std::ofstream applied_;
};

class request_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit request_handler(upstream& u) : upstream_(u) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override
    {
        http_answer answer{404, ""};
        const std::string& path = request.getURI();
        if (request.getMethod() == "POST" && path == "/requests") {
            std::stringstream body;
            body << request.stream().rdbuf();
            answer = upstream_.serve(request.get("X-Request-Id", ""), request.get("X-Method", ""),
                                     std::chrono::milliseconds(std::stoll(request.get("X-Deadline-Ms", "0"))),
                                     body.str());
        } else if (request.getMethod() == "DELETE" && path.rfind("/requests/", 0) == 0) {
            upstream_.cancel(path.substr(10));
            answer = {200, ""};
        } else if (path == "/health" || path == "/load") {
            answer = {200, upstream_.load()};
        }
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
        response.setContentLength(static_cast<std::streamsize>(answer.body.size()));
        response.send() << answer.body;
    }

private:
    upstream& upstream_;
};

class request_handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit request_handler_factory(upstream& u) : upstream_(u) {}
    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override
    {
        return new request_handler(upstream_);
    }

private:
    upstream& upstream_;
};

upstream_settings read_settings(settings& s)
{
    upstream_settings u;
    u.service = s.text("--service");
    u.listen = s.address("--listen");
    u.agent = s.address("--agent");
    u.applied_file = s.text("--applied");
    u.slots = s.integer("--slots", 1, 10000);
    u.connections = s.integer("--connections", 1, 1000000);
    u.work_duration = s.milliseconds("--work-ms", 0ms, 60000ms);
    u.cold_duration = s.milliseconds("--cold-ms", 0ms, 600000ms);
    u.shed_every = s.integer("--shed-every", 0, 1000000);
    return u;
}

int run(settings& s)
{
    const upstream_settings u = read_settings(s);
    if (!s.report()) {
        return 2;
    }
    block_stop_signals();
    start_logging(to_string(u.listen), log_level::info);
    upstream served_upstream(u);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(static_cast<int>(u.slots) + 4);
    params->setMaxQueued(1000);
    Poco::ThreadPool threads(1, static_cast<int>(u.slots) + 8);
    const Poco::Net::ServerSocket socket(to_socket_address(u.listen));
    Poco::Net::HTTPServer server(new request_handler_factory(served_upstream), threads, socket, params);
    server.start();
    served_upstream.announce();
    wait_for_stop_signal();
    served_upstream.announce_drain();
    server.stopAll(false);
    return 0;
}

}  // namespace

int main(int argc, char** argv) { return run_daemon(argc, argv, usage, "peridotcleat-upstream", run); }

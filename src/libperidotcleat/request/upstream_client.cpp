#include "peridotcleat/upstream_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <deque>
#include <istream>
#include <map>
#include <mutex>
#include <optional>
#include <ostream>
#include <set>
#include <thread>
#include <utility>

#include "peridotcleat/answer_parts.h"

namespace peridotcleat {

namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::StreamSocket;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Cancellations are best effort; a slow one must not occupy a worker thread for long.
constexpr milliseconds cancel_timeout{1000};

Poco::Timespan to_timespan(milliseconds d) { return {d.count() / 1000, d.count() % 1000 * 1000}; }

milliseconds time_until(steady_clock::time_point t)
{
    return std::chrono::duration_cast<milliseconds>(t - steady_clock::now());
}

error_code error_code_of_status(int status) noexcept
{
    if (status >= 200 && status < 300) {
        return error_code::ok;
    }
    return status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE ? error_code::shed_by_upstream
                                                            : error_code::upstream_failed;
}

// Reads the body until `deadline`. Returns nothing if the body is incomplete, of unknown length or longer
// than `max_answer_bytes`.
std::optional<std::string> read_body(std::istream& in, const HTTPResponse& response,
                                     steady_clock::time_point deadline)
{
    if (response.getStatus() == HTTPResponse::HTTP_NO_CONTENT) {
        return std::string();
    }
    if (!response.hasContentLength() || response.getContentLength64() > max_answer_bytes) {
        return std::nullopt;
    }
    const auto length = static_cast<std::size_t>(response.getContentLength64());
    std::string body;
    std::array<char, 16384> buffer{};
    while (body.size() < length && in && steady_clock::now() < deadline) {
        in.read(buffer.data(), static_cast<std::streamsize>(std::min(buffer.size(), length - body.size())));
        body.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
    }
    return body.size() == length ? std::optional(std::move(body)) : std::nullopt;
}

}  // namespace

struct upstream_client::impl {
    struct job {
        upstream_call call;
        steady_clock::time_point deadline;
    };

    upstream_client_settings settings;
    std::function<void()> wake_up;
    // Guards all members below except `workers`. It is not held during blocking calls or while `wake_up`
    // runs.
    std::mutex mutex;
    std::condition_variable work_available;
    std::deque<job> calls;
    std::deque<request_id> cancels;
    std::vector<upstream_result> results;
    // Calls that a worker thread has taken from the queue but not sent yet; true if cancelled in the
    // meantime.
    std::map<request_id, bool> taken_calls;
    // Open connections, which `stop` shuts down.
    std::set<StreamSocket> connections;
    bool stopping = false;
    std::vector<std::thread> workers;

    impl(upstream_client_settings s, std::function<void()> f) : settings(std::move(s)), wake_up(std::move(f))
    {
        for (std::uint32_t i = 0; i < settings.slots + settings.extra_workers; ++i) {
            workers.emplace_back([this] { run_worker(); });
        }
    }

    void run_worker();
    void stop();
    void finish(upstream_result r);
    upstream_result run_call(const job& j);
    upstream_result send_and_receive(const job& j, StreamSocket& socket, const std::string& http_id);
    void send_cancel(const request_id& id);
    bool connect(StreamSocket& socket, milliseconds timeout);
    void disconnect(const StreamSocket& socket);
    // Marks a call as sent. Returns false if the call was cancelled and therefore must not be sent.
    bool begin_send(const request_id& id);

    [[nodiscard]] std::string http_request_id(const request_id& id) const
    {
        return settings.id_prefix + std::to_string(id.token.value) + '-' + std::to_string(id.sequence);
    }
};

void upstream_client::impl::run_worker()
{
    for (;;) {
        std::unique_lock lock(mutex);
        work_available.wait(lock, [this] { return stopping || !calls.empty() || !cancels.empty(); });
        if (stopping) {
            return;
        }
        if (!cancels.empty()) {
            const request_id id = cancels.front();
            cancels.pop_front();
            lock.unlock();
            send_cancel(id);
            continue;
        }
        const job j = std::move(calls.front());
        calls.pop_front();
        taken_calls[j.call.id] = false;
        lock.unlock();
        finish(run_call(j));
    }
}

void upstream_client::impl::finish(upstream_result r)
{
    {
        const std::scoped_lock lock(mutex);
        taken_calls.erase(r.id);
        results.push_back(std::move(r));
    }
    if (wake_up) {
        wake_up();
    }
}

bool upstream_client::impl::connect(StreamSocket& socket, milliseconds timeout)
{
    try {
        const Poco::Net::SocketAddress address(to_string(settings.upstream));
        socket.connect(address, to_timespan(std::max(timeout, milliseconds(1))));
        socket.setNoDelay(true);
    } catch (const Poco::Exception&) {
        return false;
    }
    const std::scoped_lock lock(mutex);
    if (stopping) {
        return false;
    }
    connections.insert(socket);
    return true;
}

void upstream_client::impl::disconnect(const StreamSocket& socket)
{
    const std::scoped_lock lock(mutex);
    connections.erase(socket);
}

bool upstream_client::impl::begin_send(const request_id& id)
{
    const std::scoped_lock lock(mutex);
    const auto it = taken_calls.find(id);
    const bool cancelled = it != taken_calls.end() && it->second;
    taken_calls.erase(id);
    return !cancelled;
}

upstream_result upstream_client::impl::run_call(const job& j)
{
    if (time_until(j.deadline).count() <= 0) {
        return {j.call.id, error_code::deadline_exceeded, {}};
    }
    StreamSocket socket;
    if (!connect(socket, std::min(settings.connect_timeout, time_until(j.deadline)))) {
        return {j.call.id, error_code::upstream_unreachable, {}};
    }
    if (!begin_send(j.call.id)) {
        disconnect(socket);
        return {j.call.id, error_code::cancelled, {}};
    }
    upstream_result r{j.call.id, error_code::outcome_unknown, {}};
    try {
        r = send_and_receive(j, socket, http_request_id(j.call.id));
    } catch (const std::exception&) {
        // The upstream may have received the request.
        r.code = error_code::outcome_unknown;
    }
    disconnect(socket);
    return r;
}

upstream_result upstream_client::impl::send_and_receive(const job& j, StreamSocket& socket,
                                                        const std::string& http_id)
{
    const milliseconds remaining = std::max(time_until(j.deadline), milliseconds(1));
    const auto read_deadline = j.deadline + settings.grace;
    socket.setSendTimeout(to_timespan(remaining + settings.grace));
    socket.setReceiveTimeout(to_timespan(remaining + settings.grace));
    HTTPClientSession session(socket);
    session.setTimeout(to_timespan(remaining + settings.grace));
    HTTPRequest request(HTTPRequest::HTTP_POST, "/requests", HTTPRequest::HTTP_1_1);
    request.setHost(to_string(settings.upstream));
    request.setKeepAlive(false);
    request.set("X-Request-Id", http_id);
    request.set("X-Deadline-Ms", std::to_string(remaining.count()));
    std::string method;
    // Percent-encoding keeps a line break in the caller's method from adding another header.
    Poco::URI::encode(j.call.method, " ", method);
    request.set("X-Method", method);
    request.set("X-Idempotent", j.call.idempotent ? "true" : "false");
    request.setContentType("application/octet-stream");
    request.setContentLength64(static_cast<Poco::Int64>(j.call.body.size()));
    session.sendRequest(request) << j.call.body << std::flush;
    HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    const error_code code = error_code_of_status(response.getStatus());
    if (code != error_code::ok) {
        return {j.call.id, code, {}};
    }
    auto body = read_body(in, response, read_deadline);
    if (!body) {
        return {j.call.id, error_code::outcome_unknown, {}};
    }
    return {j.call.id, error_code::ok, std::move(*body)};
}

void upstream_client::impl::send_cancel(const request_id& id)
{
    StreamSocket socket;
    if (!connect(socket, cancel_timeout)) {
        return;
    }
    try {
        HTTPClientSession session(socket);
        session.setTimeout(to_timespan(cancel_timeout));
        HTTPRequest request(HTTPRequest::HTTP_DELETE, "/requests/" + http_request_id(id),
                            HTTPRequest::HTTP_1_1);
        request.setHost(to_string(settings.upstream));
        request.setKeepAlive(false);
        session.sendRequest(request);
        HTTPResponse response;
        session.receiveResponse(response);
    } catch (const std::exception&) {
        // A failed cancellation is ignored; the result of the call states the outcome of the request.
        disconnect(socket);
        return;
    }
    disconnect(socket);
}

void upstream_client::impl::stop()
{
    {
        const std::scoped_lock lock(mutex);
        stopping = true;
        for (StreamSocket socket : connections) {
            try {
                socket.shutdown();
            } catch (const std::exception&) {
                // The upstream has already closed the connection.
                continue;
            }
        }
    }
    work_available.notify_all();
    for (std::thread& t : workers) {
        t.join();
    }
    workers.clear();
}

upstream_client::upstream_client(std::unique_ptr<impl> i) : impl_(std::move(i)) {}

upstream_client::~upstream_client() { stop(); }

result<std::unique_ptr<upstream_client>> upstream_client::create(const upstream_client_settings& settings,
                                                                 std::function<void()> wake_up)
{
    if (!settings.upstream.valid()) {
        return error{error_code::invalid_setting,
                     "upstream " + to_string(settings.upstream) + " is not a valid endpoint"};
    }
    if (settings.slots == 0) {
        return error{error_code::invalid_setting, "slots is 0 but must be at least 1"};
    }
    return std::unique_ptr<upstream_client>(
        new upstream_client(std::make_unique<impl>(settings, std::move(wake_up))));
}

void upstream_client::call(upstream_call c)
{
    const auto deadline = steady_clock::now() + c.remaining;
    {
        const std::scoped_lock lock(impl_->mutex);
        impl_->calls.push_back({std::move(c), deadline});
    }
    impl_->work_available.notify_one();
}

void upstream_client::cancel(const upstream_cancel& c)
{
    {
        const std::scoped_lock lock(impl_->mutex);
        const auto it = std::find_if(impl_->calls.begin(), impl_->calls.end(),
                                     [&](const impl::job& j) { return j.call.id == c.id; });
        if (const auto taken_call = impl_->taken_calls.find(c.id); taken_call != impl_->taken_calls.end()) {
            taken_call->second = true;
        } else if (it == impl_->calls.end()) {
            impl_->cancels.push_back(c.id);
        } else {
            impl_->calls.erase(it);
            impl_->results.push_back({c.id, error_code::cancelled, {}});
        }
    }
    impl_->work_available.notify_one();
    if (impl_->wake_up) {
        impl_->wake_up();
    }
}

std::vector<upstream_result> upstream_client::take_results()
{
    const std::scoped_lock lock(impl_->mutex);
    return std::exchange(impl_->results, {});
}

void upstream_client::stop() { impl_->stop(); }

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "peridotcleat/answer_parts.h"
#include "peridotcleat/counters.h"
#include "peridotcleat/message.h"
#include "peridotcleat/push_queue.h"
#include "peridotcleat/retry_budget.h"

namespace peridotcleat {

/// Final outcome of a request as its caller may report it.
enum class request_status : std::uint8_t { answered, not_run, failed, outcome_unknown };

/// Returns the stable name of `s`.
const char* to_string(request_status s) noexcept;

/// Settings of a caller.
struct caller_settings {
    endpoint local;
    endpoint service;
    std::chrono::milliseconds resend_after{250};
    std::chrono::milliseconds open_timeout{10000};
    /// Retries elsewhere, as a share of new requests in percent.
    std::uint32_t retry_percent = 10;
    std::uint64_t seed = 0;
    /// Silence after which an open flow is probed with `flow_keepalive`.
    std::chrono::milliseconds keepalive{20000};
    /// Time without an answer to probes after which an open flow counts as broken.
    std::chrono::milliseconds silence_timeout{60000};
    /// Requests that may be in progress or wait for a flow; more are finished as `not_run`.
    std::uint32_t max_requests = 1024;
};

/// One request as the application gives it.
struct new_request {
    std::string method;
    std::string body;
    bool idempotent = false;
    std::chrono::milliseconds deadline{5000};
};

/// Outcome of one request.
struct finished_request {
    std::uint64_t id = 0;
    request_status status = request_status::outcome_unknown;
    error_code reason = error_code::ok;
    std::string body;
    std::chrono::milliseconds duration{0};
};

/// One payload to the service from source port `port`.
struct caller_send {
    std::uint16_t port = 0;
    std::string payload;
};

namespace pvt {

enum class caller_flow_state : std::uint8_t { opening, open, closing };

/// One flow of a caller, named by its source port.
struct caller_flow {
    caller_flow_state state = caller_flow_state::opening;
    /// The target drains: no new requests, pending ones go on.
    bool draining = false;
    std::int64_t nonce = 0;
    std::int64_t token = 0;
    incarnation target;
    std::int64_t next_sequence = 1;
    /// Sequence to request id.
    std::map<std::int64_t, std::uint64_t> pending;
    push_receiver pushes;
    time_point started;
    time_point last_heard;
    time_point last_used;
    time_point next_send;
    std::chrono::milliseconds interval{0};
    std::uint32_t sends = 0;
};

/// One request of a caller.
struct caller_request {
    new_request content;
    time_point submitted;
    time_point deadline;
    /// Flow that it was sent on or waits for; 0 waits for the first flow.
    std::uint16_t port = 0;
    /// 0 until it was sent on `port`.
    std::int64_t sequence = 0;
    /// An earlier attempt may have run; only for idempotent requests.
    bool may_have_run = false;
    bool cancelled = false;
    std::uint32_t attempts = 1;
    std::uint32_t opens = 0;
    /// Targets that it was sent to.
    std::vector<incarnation> tried;
    /// Reason of the last refusal, `ok` if none.
    error_code refusal = error_code::ok;
    time_point next_send;
    std::chrono::milliseconds interval{0};
    answer_assembly answer;
};

}  // namespace pvt

/// A caller with one flow that it keeps open, and further flows for retries. Not thread-safe.
///
/// Flows are told apart by their source port; the host binds a socket for each port that appears in a
/// `caller_send`. Ports are counted up from `local.port`.
///
/// A request is finished as `not_run` only if it was never sent, or each target that may have received it has
/// stated that it did not and will not run. `wrong_incarnation` and `flow_unknown` are no such statements,
/// because a former target may have run the request; they count as the loss of the flow.
class caller {
public:
    /// Fails with `invalid_setting`.
    static result<caller> create(const caller_settings& settings, counters& counted);

    /// Opens the flow.
    void open(time_point now, std::vector<caller_send>& out);
    /// Starts a request and returns its id.
    std::uint64_t submit(time_point now, new_request request, std::vector<caller_send>& out);
    void cancel(time_point now, std::uint64_t id, std::vector<caller_send>& out);
    /// Closes all flows. Requests that were sent end as `outcome_unknown`, others as `not_run`, both with the
    /// reason `stopped`.
    void close(time_point now, std::vector<caller_send>& out);
    /// Takes one payload that arrived at source port `port`.
    void on_payload(time_point now, std::uint16_t port, std::string_view payload,
                    std::vector<caller_send>& out);
    void on_tick(time_point now, std::vector<caller_send>& out);

    /// Returns and clears the finished requests; each id appears once.
    std::vector<finished_request> take_finished();
    /// Returns and clears pushed messages in order, each once.
    std::vector<std::string> take_pushes();
    /// Returns and clears the ports that are not used any more, for the host to close their sockets.
    std::vector<std::uint16_t> take_released_ports();
    /// True while the first flow is open.
    [[nodiscard]] bool is_open() const noexcept;
    /// Number of flows that were open and were reset.
    [[nodiscard]] std::uint64_t broken_flows() const noexcept { return broken_flows_; }
    /// Target of the open flow, 0 if none.
    [[nodiscard]] incarnation target() const noexcept;
    /// Requests that are not finished.
    [[nodiscard]] std::size_t in_progress() const noexcept { return requests_.size(); }

private:
    using sends = std::vector<caller_send>;

    caller(const caller_settings& settings, counters& counted, retry_budget budget);

    // Flows (caller_flows.cpp).
    std::uint16_t start_flow(time_point now, sends& out);
    void send_open(time_point now, std::uint16_t port, pvt::caller_flow& flow, sends& out);
    void on_open_ack(time_point now, std::uint16_t port, const wire::flow_open_ack& m, sends& out);
    void on_refused(time_point now, std::uint16_t port, const wire::flow_refused& m, sends& out);
    void on_draining(time_point now, std::uint16_t port);
    void on_push(std::uint16_t port, const wire::push& m, sends& out);
    void open_failed(time_point now, std::uint16_t port, sends& out);
    void lose_flow(time_point now, std::uint16_t port, error_code reason, sends& out);
    void begin_close(time_point now, std::uint16_t port, sends& out);
    void release(std::uint16_t port);
    void schedule_first(time_point now);
    void tick_flow(time_point now, std::uint16_t port, sends& out);
    void tick_open_flow(time_point now, std::uint16_t port, pvt::caller_flow& flow, sends& out);
    [[nodiscard]] pvt::caller_flow* flow_at(std::uint16_t port);
    [[nodiscard]] pvt::caller_flow* flow_with(std::uint16_t port, std::int64_t token);
    [[nodiscard]] bool usable(const pvt::caller_flow& flow) const noexcept;
    static void send_message(std::uint16_t port, const caller_message& m, sends& out);
    std::uint64_t next_random() noexcept;
    std::chrono::milliseconds jittered(std::chrono::milliseconds full) noexcept;

    // Requests (caller.cpp).
    void place(time_point now, std::uint64_t id, sends& out);
    void place_waiting(time_point now, std::uint16_t port, sends& out);
    void send_request(time_point now, pvt::caller_request& r, sends& out);
    void send_cancel(const pvt::caller_request& r, sends& out);
    void acknowledge(std::uint16_t port, std::int64_t token, std::int64_t sequence, sends& out);
    void on_part(time_point now, std::uint16_t port, const wire::response_part& m, sends& out);
    void on_result(time_point now, std::uint16_t port, const wire::request_result& m, sends& out);
    void on_flow_message(time_point now, std::uint16_t port, const caller_message& m, sends& out);
    void on_not_run(time_point now, std::uint64_t id, error_code reason, sends& out);
    void on_unknown(time_point now, std::uint64_t id, error_code reason, sends& out);
    bool retry_elsewhere(time_point now, std::uint64_t id, error_code reason, sends& out);
    void assign_other_flow(time_point now, std::uint64_t id, sends& out);
    void leave_flow(pvt::caller_request& r);
    void finish(time_point now, std::uint64_t id, request_status status, error_code reason, std::string body);
    void finish_without_answer(time_point now, std::uint64_t id, error_code reason);
    void tick_request(time_point now, std::uint64_t id, sends& out);
    [[nodiscard]] std::uint64_t pending_id(std::uint16_t port, std::int64_t token, std::int64_t sequence);

    caller_settings settings_;
    counters* counted_;
    retry_budget budget_;
    std::map<std::uint16_t, pvt::caller_flow> flows_;
    std::map<std::uint64_t, pvt::caller_request> requests_;
    std::vector<finished_request> finished_;
    std::vector<std::string> pushes_;
    std::vector<std::uint16_t> released_;
    /// Flow that new requests use, 0 if none.
    std::uint16_t first_ = 0;
    /// Flow that is being opened to become the first one, 0 if none.
    std::uint16_t next_first_ = 0;
    bool wanted_open_ = false;
    time_point open_at_;
    std::uint32_t open_failures_ = 0;
    error_code open_refusal_ = error_code::no_target;
    std::uint16_t next_port_;
    std::uint64_t next_id_ = 1;
    std::uint64_t random_state_;
    std::uint64_t broken_flows_ = 0;
};

}  // namespace peridotcleat

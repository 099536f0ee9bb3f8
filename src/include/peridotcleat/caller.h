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

/// Final outcome of a request, as reported to the application: `answered` (ran, and the answer is complete),
/// `not_run` (did not and will not run), `failed` (ran, but the upstream or the target reported a failure) or
/// `outcome_unknown` (may have run).
enum class request_status : std::uint8_t { answered, not_run, failed, outcome_unknown };

/// Returns the stable name of `s`.
const char* to_string(request_status s) noexcept;

/// Settings of a caller.
struct caller_settings {
    /// Local address; its port is the first source port.
    endpoint local;
    /// Address of the service.
    endpoint service;
    /// Time until the first resend of an unanswered message. It doubles with each further resend, up to 2 s;
    /// requests and `flow_open` add a random extra of up to a quarter. It starts again with each received
    /// part of an answer, and becomes 2 s once the target reports the request as in progress.
    std::chrono::milliseconds resend_after{250};
    /// Time after which opening a flow has failed.
    std::chrono::milliseconds open_timeout{10000};
    /// Limit of retries on other flows, as a percentage of new requests.
    std::uint32_t retry_percent = 10;
    /// Seed of the random delays and nonces.
    std::uint64_t seed = 0;
    /// Time without a received message after which an open flow is probed with `flow_keepalive`.
    std::chrono::milliseconds keepalive{20000};
    /// Time without an answer to the probes after which an open flow counts as broken.
    std::chrono::milliseconds silence_timeout{60000};
    /// Maximum number of requests that are in progress or wait for a flow; further requests are finished as
    /// `not_run`.
    std::uint32_t max_requests = 1024;
};

/// One request as submitted by the application.
struct new_request {
    std::string method;
    std::string body;
    bool idempotent = false;
    /// Time from the submission to the deadline.
    std::chrono::milliseconds time_limit{5000};
};

/// Outcome of one request.
struct finished_request {
    std::uint64_t id = 0;
    request_status status = request_status::outcome_unknown;
    error_code reason = error_code::ok;
    /// Answer of the target; empty unless `status` is `answered`.
    std::string body;
    /// Time from the submission to the outcome.
    std::chrono::milliseconds duration{0};
};

/// One payload to be sent to the service from source port `port`.
struct caller_send {
    std::uint16_t port = 0;
    std::string payload;
};

namespace pvt {

enum class caller_flow_state : std::uint8_t { opening, open, closing };

/// One flow of a caller, identified by its source port.
struct caller_flow {
    caller_flow_state state = caller_flow_state::opening;
    /// The target is draining: the flow takes no new requests, and pending requests continue.
    bool draining = false;
    std::int64_t nonce = 0;
    std::int64_t token = 0;
    incarnation target;
    std::int64_t next_sequence = 1;
    /// Unfinished requests that were sent on this flow: sequence to the id that `submit` returned.
    std::map<std::int64_t, std::uint64_t> pending;
    push_receiver pushes;
    time_point started;
    /// When the last message of this flow arrived.
    time_point last_heard;
    /// When the last request was sent, the last push arrived, or the flow changed to open or draining.
    time_point last_used;
    time_point next_send;
    std::chrono::milliseconds resend_interval{0};
    /// Number of `flow_close` messages that were sent.
    std::uint32_t closes_sent = 0;
};

/// One request of a caller.
struct caller_request {
    new_request content;
    time_point submitted;
    time_point deadline;
    /// Source port of the flow that the request was sent on or waits for; 0 while it waits for the primary
    /// flow.
    std::uint16_t port = 0;
    /// Sequence on the flow of `port`; 0 until the request is sent on it.
    std::int64_t sequence = 0;
    /// True if an earlier attempt may have run. Only idempotent requests are retried then.
    bool may_have_run = false;
    bool cancelled = false;
    std::uint32_t attempts = 1;
    /// Number of flows that were opened for retries of this request.
    std::uint32_t flows_opened = 0;
    /// Targets that the request was sent to.
    std::vector<incarnation> tried_targets;
    /// Reason of the last refusal, `ok` if none.
    error_code last_refusal = error_code::ok;
    time_point next_send;
    std::chrono::milliseconds resend_interval{0};
    answer_assembly answer;
};

}  // namespace pvt

/// Caller of one service. Keeps a primary flow open, and opens further flows for retries. Not thread-safe.
///
/// Flows are distinguished by their source port. The host binds a socket for each port that appears in a
/// `caller_send`. Ports are assigned in ascending order from `local.port`.
///
/// A request is finished as `not_run` only if it was never sent, or if each target that may have received the
/// request has stated that it did not and will not run the request. The reasons `wrong_incarnation` and
/// `flow_unknown` are no such statements, because a former target may have run the request; the caller treats
/// the flow as broken instead.
class caller {
public:
    /// Fails with `invalid_setting` if an address is invalid, `resend_after` or `open_timeout` is not above
    /// 0, or `retry_percent` is above 1000.
    static result<caller> create(const caller_settings& settings, counters& counted);

    /// Opens the primary flow, and keeps one open until `close`.
    void open(time_point now, std::vector<caller_send>& out);
    /// Starts a request and returns its id.
    std::uint64_t submit(time_point now, new_request request, std::vector<caller_send>& out);
    /// Cancels a request. A request that waits for a flow is finished at once.
    void cancel(time_point now, std::uint64_t id, std::vector<caller_send>& out);
    /// Closes all flows. Requests that may have run end as `outcome_unknown`, others as `not_run`, both with
    /// the reason `stopped`.
    void close(time_point now, std::vector<caller_send>& out);
    /// Handles one payload that arrived at source port `port`.
    void on_payload(time_point now, std::uint16_t port, std::string_view payload,
                    std::vector<caller_send>& out);
    /// Sends what is due, enforces deadlines and timeouts, and closes unused flows. Call periodically.
    void on_tick(time_point now, std::vector<caller_send>& out);

    /// Returns and clears the finished requests; each id appears once.
    std::vector<finished_request> take_finished();
    /// Returns and clears the pushes that have arrived; those of one flow are in order, and each appears
    /// once.
    std::vector<std::string> take_pushes();
    /// Returns and clears the ports that are no longer used, so that the host can close their sockets.
    std::vector<std::uint16_t> take_released_ports();
    /// Returns true while the primary flow is open.
    [[nodiscard]] bool is_open() const noexcept;
    /// Number of open flows that broke because the target reset the flow, did not know it, had another
    /// incarnation, or was silent.
    [[nodiscard]] std::uint64_t broken_flows() const noexcept { return broken_flows_; }
    /// Target of the primary flow; 0 while it is not open.
    [[nodiscard]] incarnation target() const noexcept;
    /// Number of requests that are not finished.
    [[nodiscard]] std::size_t in_progress() const noexcept { return requests_.size(); }

private:
    using send_list = std::vector<caller_send>;

    caller(const caller_settings& settings, counters& counted, retry_budget budget);

    // Flows (caller_flows.cpp).
    std::uint16_t start_flow(time_point now, send_list& out);
    void send_open(time_point now, std::uint16_t port, pvt::caller_flow& flow, send_list& out);
    void on_open_ack(time_point now, std::uint16_t port, const wire::flow_open_ack& m, send_list& out);
    void on_open_refused(time_point now, std::uint16_t port, const wire::flow_refused& m, send_list& out);
    void on_draining(time_point now, std::uint16_t port);
    void on_push(std::uint16_t port, const wire::push& m, send_list& out);
    void on_open_failed(time_point now, std::uint16_t port, send_list& out);
    void on_flow_broken(time_point now, std::uint16_t port, error_code reason, send_list& out);
    void begin_close(time_point now, std::uint16_t port, send_list& out);
    void remove_flow(std::uint16_t port);
    void schedule_reopen(time_point now);
    void tick_flow(time_point now, std::uint16_t port, send_list& out);
    void tick_open_flow(time_point now, std::uint16_t port, pvt::caller_flow& flow, send_list& out);
    [[nodiscard]] pvt::caller_flow* flow_at(std::uint16_t port);
    [[nodiscard]] pvt::caller_flow* flow_with_token(std::uint16_t port, std::int64_t token);
    [[nodiscard]] bool usable(const pvt::caller_flow& flow) const noexcept;
    static void send_message(std::uint16_t port, const caller_message& m, send_list& out);
    std::uint64_t next_random() noexcept;
    std::chrono::milliseconds random_delay(std::chrono::milliseconds limit) noexcept;

    // Requests (caller.cpp).
    void send_if_ready(time_point now, std::uint64_t id, send_list& out);
    void send_waiting(time_point now, std::uint16_t port, send_list& out);
    void send_request(time_point now, pvt::caller_request& r, send_list& out);
    void send_cancel(const pvt::caller_request& r, send_list& out);
    void acknowledge(std::uint16_t port, std::int64_t token, std::int64_t sequence, send_list& out);
    void on_part(time_point now, std::uint16_t port, const wire::response_part& m, send_list& out);
    void on_result(time_point now, std::uint16_t port, const wire::request_result& m, send_list& out);
    void on_flow_message(time_point now, std::uint16_t port, const caller_message& m, send_list& out);
    void on_not_run(time_point now, std::uint64_t id, error_code reason, send_list& out);
    void on_outcome_unknown(time_point now, std::uint64_t id, error_code reason, send_list& out);
    bool retry_elsewhere(time_point now, std::uint64_t id, error_code reason, send_list& out);
    void assign_other_flow(time_point now, std::uint64_t id, send_list& out);
    void detach_from_flow(pvt::caller_request& r);
    void finish(time_point now, std::uint64_t id, request_status status, error_code reason, std::string body);
    void finish_without_answer(time_point now, std::uint64_t id, error_code reason);
    void tick_request(time_point now, std::uint64_t id, send_list& out);
    [[nodiscard]] std::uint64_t pending_submission_id(std::uint16_t port, std::int64_t token,
                                                      std::int64_t sequence);

    caller_settings settings_;
    counters* counted_;
    retry_budget budget_;
    std::map<std::uint16_t, pvt::caller_flow> flows_;
    std::map<std::uint64_t, pvt::caller_request> requests_;
    std::vector<finished_request> finished_;
    std::vector<std::string> pushes_;
    std::vector<std::uint16_t> released_ports_;
    /// Source port of the primary flow, which new requests use; 0 if there is none.
    std::uint16_t primary_port_ = 0;
    /// Source port of the flow that is being opened to become the primary one; 0 if there is none.
    std::uint16_t next_primary_port_ = 0;
    /// True between `open` and `close`.
    bool keep_open_ = false;
    /// Earliest time to open a new primary flow.
    time_point reopen_at_;
    /// Number of times that a new primary flow was scheduled since one was last opened; sets the back-off.
    std::uint32_t reopen_attempts_ = 0;
    error_code last_open_refusal_ = error_code::no_target;
    std::uint16_t next_port_;
    std::uint64_t next_id_ = 1;
    std::uint64_t random_state_;
    std::uint64_t broken_flows_ = 0;
};

}  // namespace peridotcleat

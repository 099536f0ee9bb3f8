#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotcleat/admission.h"
#include "peridotcleat/counters.h"
#include "peridotcleat/distribution.h"
#include "peridotcleat/hash.h"
#include "peridotcleat/outbox.h"
#include "peridotcleat/push_queue.h"

namespace peridotcleat {

/// Values of `request_result.status`. `in_progress` is the reply to a duplicate of a request that waits or
/// runs; its reason is `duplicate_request`, and it is not final.
enum class wire_status : std::int8_t { in_progress = 0, not_run = 1, failed = 2, outcome_unknown = 3 };

/// Number of sequences, counted from `settled_below`, for which a target keeps records. Requests with later
/// sequences are dropped without a reply.
inline constexpr std::int64_t request_window = 256;

/// Settings of the request table of one target.
struct request_settings {
    /// Requests that may run at the same time; at least 1.
    std::uint32_t slots = 1;
    /// Requests that may wait in the queue, for each slot.
    std::uint32_t queue_per_slot = 4;
    /// Duration of the slow start after a cold start, in which the usable slots grow from one to all; 0 makes
    /// all slots usable at once.
    std::chrono::milliseconds ramp{10000};
    /// Time for which an answer is kept for resends after a part of it was last sent.
    std::chrono::milliseconds answer_retention{30000};
    /// Maximum size of one part of an answer in bytes.
    std::uint32_t part_bytes = 1100;
    /// Limit of the memory for kept answers in bytes. While they take more, new requests are refused with
    /// `queue_full`.
    std::size_t answer_memory = 64U << 20U;
    /// Maximum number of records of all flows. Further requests are dropped without a reply, because a
    /// request without a record must not run.
    std::size_t max_records = 1U << 18U;
    /// Maximum number of pushes of one flow that wait for their acknowledgement.
    std::uint32_t max_queued_pushes = 64;
    /// Requests that still wait in the queue this long after draining began are refused, so that no new work
    /// starts later.
    std::chrono::milliseconds drain_queue_timeout{4000};
};

namespace pvt {

/// State of one request at its target.
enum class record_state : std::uint8_t { waiting, running, answered, not_run, failed, outcome_unknown };

/// Record of one request, kept until its caller has settled it or its flow ends.
struct request_record {
    record_state state = record_state::waiting;
    bool idempotent = false;
    bool cancelled = false;
    /// True once the caller has acknowledged the outcome, or the retention has passed.
    bool acknowledged = false;
    error_code reason = error_code::ok;
    time_point deadline;
    /// When the outcome or the state of the request was last sent.
    time_point last_sent;
    /// Checksum of the answer.
    std::int64_t checksum = 0;
    /// Method of the request while it waits; empty afterwards.
    std::string method;
    /// Body of the request while it waits; the answer once it is answered, until it is acknowledged.
    std::string body;
};

/// Records and pushes of one flow.
struct flow_records {
    flow_key key;
    /// All requests with lower sequences are settled: their caller needs nothing more about them.
    std::int64_t settled_below = 1;
    /// Records by sequence.
    std::map<std::int64_t, request_record> records;
    /// Null until the first push.
    std::unique_ptr<push_sender> pushes;
    /// Number of periodic `flow_draining` notices sent since draining began.
    std::uint8_t drain_notices = 0;
};

}  // namespace pvt

/// Request handling for all flows of one target: admission, records that let each request run at most once,
/// answers in parts, and pushes. Not thread-safe.
///
/// A `part_request` without indices acknowledges the whole answer or the result of a request.
class request_table {
public:
    /// Creates a table with slots of its own. Fails with `invalid_setting` if `slots` or `part_bytes` is 0 or
    /// `ramp` is negative.
    static result<request_table> create(const request_settings& settings, counters& counted);
    /// Creates a table that shares the slots of `shared_admission` with the tables of other services on the
    /// VM; the slots, queue and ramp of `settings` are unused. All these tables must be used by one thread.
    /// Fails with `invalid_setting` if `part_bytes` is 0.
    static result<request_table> create(const request_settings& settings, counters& counted,
                                        std::shared_ptr<admission> shared_admission, service_id service);

    /// Sets the incarnation that requests must name. A changed incarnation ends all flows and begins a slow
    /// start.
    void set_incarnation(incarnation id);
    /// Adds a flow, whose requests are accepted from now on.
    void on_flow_opened(time_point now, const flow_key& key, flow_token token);
    /// Drops the records of a flow and cancels its running requests at the upstream.
    void on_flow_closed(time_point now, flow_token token, outbox& out);
    /// Handles the messages `request`, `part_request`, `request_cancel` and `push_ack` of a flow; ignores all
    /// others.
    void on_payload(time_point now, const flow_key& key, const caller_message& m, outbox& out);
    /// Handles the result of an `upstream_call`. Late and repeated results are counted and dropped.
    void on_upstream_result(time_point now, const upstream_result& r, outbox& out);
    /// Pushes bytes to the caller of a flow, with resends until the push is acknowledged. Fails with
    /// `flow_unknown`, or with `queue_full` if `max_queued_pushes` pushes wait for their acknowledgement.
    result<success> push(time_point now, flow_token token, std::string bytes, outbox& out);
    /// Resends pushes, enforces deadlines, sends drain notices, and expires old answers. Call at least every
    /// 50 ms.
    void on_tick(time_point now, outbox& out);
    /// Begins or ends draining. While draining, refuses new requests with `draining`; running requests
    /// continue. Callers get `flow_draining` on later ticks and with each refusal.
    void set_draining(bool draining);

    /// Number of requests that run or wait.
    [[nodiscard]] std::size_t in_progress() const noexcept;
    /// Returns true if no request is in progress, each outcome was acknowledged or settled by its caller or
    /// its retention has passed, and the oldest unacknowledged push of each flow, if any, has waited at least
    /// the retention.
    [[nodiscard]] bool is_idle(time_point now) const;
    /// Number of requests of this table that run.
    [[nodiscard]] std::uint32_t slots_in_use() const noexcept;

private:
    struct running_request {
        time_point started;
        time_point deadline;
        bool cancel_sent = false;
    };
    /// A finished request whose answer expires after the retention.
    struct finished_entry {
        request_id id;
        time_point retained_since;
    };

    request_table(const request_settings& settings, counters& counted,
                  std::shared_ptr<admission> admission_control, service_id service);

    [[nodiscard]] pvt::flow_records* find_flow(const flow_key& key, std::int64_t token);
    [[nodiscard]] pvt::request_record* find_record(const request_id& id);
    void on_request(time_point now, const flow_key& key, const wire::request& m, outbox& out);
    void on_cancel(time_point now, const flow_key& key, const wire::request_cancel& m, outbox& out);
    void on_part_request(time_point now, const flow_key& key, const wire::part_request& m, outbox& out);
    void on_push_ack(const flow_key& key, const wire::push_ack& m);
    void admit_request(time_point now, const request_id& id, pvt::flow_records& flow, const wire::request& m,
                       outbox& out);
    [[nodiscard]] error_code early_refusal_reason(const wire::request& m) const;
    void start(time_point now, const request_id& id, pvt::request_record& record, outbox& out);
    void start_waiting(time_point now, outbox& out);
    void refuse(time_point now, const request_id& id, error_code reason, outbox& out);
    void finish(time_point now, const request_id& id, pvt::request_record& record, pvt::record_state state,
                error_code reason, std::string body, outbox& out);
    void settle(flow_token token, pvt::flow_records& flow, std::int64_t below, outbox& out);
    void drop_record(const request_id& id, const pvt::request_record& record, outbox& out);
    void acknowledge(pvt::request_record& record);
    void cancel_upstream(const request_id& id, outbox& out);
    void send_state(time_point now, const flow_key& key, const request_id& id, pvt::request_record& record,
                    outbox& out) const;
    void expire_answers(time_point now);
    void enforce_deadlines(time_point now, outbox& out);
    void refuse_waiting_after_drain_timeout(time_point now, outbox& out);
    void tick_draining(time_point now, outbox& out);
    void send_pushes(time_point now, flow_token token, pvt::flow_records& flow, outbox& out);

    request_settings settings_;
    counters* counted_;
    std::shared_ptr<admission> admission_;
    service_id service_;
    incarnation incarnation_;
    /// True from a change of the incarnation until the next payload or tick, which begins the slow start.
    bool cold_ = false;
    bool draining_ = false;
    /// Time of the first tick while draining.
    std::optional<time_point> draining_since_;
    time_point next_drain_notice_;
    std::unordered_map<flow_token, pvt::flow_records, id_hash> flows_;
    std::map<request_id, running_request> running_;
    /// Number of requests that wait in the queue.
    std::size_t waiting_ = 0;
    std::deque<finished_entry> finished_;
    std::size_t record_count_ = 0;
    /// Number of finished requests that are neither acknowledged nor expired.
    std::size_t unacknowledged_count_ = 0;
    /// Total size of the kept answers.
    std::size_t answer_bytes_ = 0;
    std::set<flow_token> flows_with_pushes_;
    /// Running requests of an earlier incarnation; the next tick cancels them at the upstream.
    std::vector<request_id> deferred_cancels_;
};

}  // namespace peridotcleat

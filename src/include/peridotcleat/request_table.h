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

/// `request_result.status` values. `in_progress` answers a duplicate of a request that waits or runs; its
/// reason is `duplicate_request`, and it is not final.
enum class wire_status : std::int8_t { in_progress = 0, not_run = 1, failed = 2, outcome_unknown = 3 };

/// Sequences from `settled_below` on that a target keeps records of; later ones are dropped without a reply.
inline constexpr std::int64_t request_window = 256;

/// Limits of one target.
struct request_settings {
    std::uint32_t slots = 1;
    std::uint32_t queue_per_slot = 4;
    /// Time from the first to all slots after a cold start; 0 admits all at once.
    std::chrono::milliseconds ramp{10000};
    /// How long an answer is kept for resends after its last part was sent.
    std::chrono::milliseconds answer_retention{30000};
    /// Largest part of an answer in bytes.
    std::uint32_t part_bytes = 1100;
    /// Bytes of answers that are kept; while more are, new requests are refused with `queue_full`.
    std::size_t answer_memory = 64U << 20U;
    /// Records of all flows; requests beyond are dropped without a reply, so that they are not run.
    std::size_t max_records = 1U << 18U;
    /// Pushes of one flow that may wait for their acknowledgement.
    std::uint32_t push_queue = 64;
    /// Requests that still wait this long after draining began are refused, so that no new work starts later.
    std::chrono::milliseconds drain_queue_timeout{4000};
};

namespace pvt {

/// State of one request at its target.
enum class record_state : std::uint8_t { waiting, running, answered, not_run, failed, unknown };

/// Record of one request, kept until its caller has settled it.
struct request_record {
    record_state state = record_state::waiting;
    bool idempotent = false;
    bool cancelled = false;
    bool acknowledged = false;
    error_code reason = error_code::ok;
    time_point deadline;
    /// When its outcome was last sent.
    time_point sent;
    std::int64_t checksum = 0;
    /// Only while it waits.
    std::string method;
    /// Body of the request while it waits, the answer afterwards.
    std::string body;
};

/// Records and pushes of one flow.
struct flow_records {
    flow_key key;
    std::int64_t settled_below = 1;
    std::map<std::int64_t, request_record> records;
    std::unique_ptr<push_sender> pushes;
    std::uint8_t drain_notices = 0;
};

}  // namespace pvt

/// Requests of all flows that one target holds: admission, at-most-once records, answers in parts, pushes.
/// Not thread-safe.
///
/// A `part_request` without indices acknowledges the whole answer or the result of a request.
class request_table {
public:
    /// Fails with `invalid_setting` if `slots` or `part_bytes` is 0.
    static result<request_table> create(const request_settings& settings, counters& counted);
    /// Shares the slots of `shared` with the tables of other services on the VM; the slots, queue and ramp of
    /// `settings` are unused. All these tables must be used by one thread.
    static result<request_table> create(const request_settings& settings, counters& counted,
                                        std::shared_ptr<admission> shared, service_id service);

    /// Identity that requests must name. Another identity than before ends all flows and starts the ramp.
    void set_incarnation(incarnation id);
    void on_flow_opened(time_point now, const flow_key& key, flow_token token);
    /// Drops the records of a flow; its running requests are cancelled at the upstream.
    void on_flow_closed(time_point now, flow_token token, outbox& out);
    /// Handles request, part_request, request_cancel and push_ack of a flow; ignores others.
    void on_payload(time_point now, const flow_key& key, const caller_message& m, outbox& out);
    /// Takes the outcome of an `upstream_call`. Late and repeated results are counted and dropped.
    void on_upstream_result(time_point now, const upstream_result& r, outbox& out);
    /// Pushes bytes to the caller of a flow until they are acknowledged. Fails with `flow_unknown` or
    /// `queue_full`.
    result<success> push(time_point now, flow_token token, std::string bytes, outbox& out);
    /// Resends pushes, expires queued requests and old answers. Call at least every 50 ms.
    void on_tick(time_point now, outbox& out);
    /// Refuses new requests with `draining`; running ones go on. Callers get `flow_draining` on later ticks.
    void set_draining(bool draining);

    /// Requests that run or wait.
    [[nodiscard]] std::size_t in_progress() const noexcept;
    /// True if no request is in progress and each answer was settled by its caller or its retention has
    /// passed.
    [[nodiscard]] bool is_idle(time_point now) const;
    [[nodiscard]] std::uint32_t slots_in_use() const noexcept;

private:
    struct running_request {
        time_point started;
        time_point deadline;
        bool cancel_sent = false;
    };
    struct finished_entry {
        request_name name;
        time_point when;
    };

    request_table(const request_settings& settings, counters& counted, std::shared_ptr<admission> slots,
                  service_id service);

    [[nodiscard]] pvt::flow_records* find_flow(const flow_key& key, std::int64_t token);
    [[nodiscard]] pvt::request_record* find_record(const request_name& name);
    void on_request(time_point now, const flow_key& key, const wire::request& m, outbox& out);
    void on_cancel(time_point now, const flow_key& key, const wire::request_cancel& m, outbox& out);
    void on_part_request(time_point now, const flow_key& key, const wire::part_request& m, outbox& out);
    void on_push_ack(const flow_key& key, const wire::push_ack& m);
    void admit(time_point now, const request_name& name, pvt::flow_records& flow, const wire::request& m,
               outbox& out);
    [[nodiscard]] error_code refuse_early(const wire::request& m) const;
    void start(time_point now, const request_name& name, pvt::request_record& record, outbox& out);
    void start_waiting(time_point now, outbox& out);
    void refuse(time_point now, const request_name& name, error_code reason, outbox& out);
    void finish(time_point now, const request_name& name, pvt::request_record& record,
                pvt::record_state state, error_code reason, std::string body, outbox& out);
    void settle(flow_token token, pvt::flow_records& flow, std::int64_t below, outbox& out);
    void drop_record(const request_name& name, const pvt::request_record& record, outbox& out);
    void acknowledge(pvt::request_record& record);
    void cancel_upstream(const request_name& name, outbox& out);
    void send_state(time_point now, const flow_key& key, const request_name& name,
                    pvt::request_record& record, outbox& out) const;
    void expire_answers(time_point now);
    void enforce_deadlines(time_point now, outbox& out);
    void refuse_drained(time_point now, outbox& out);
    void drain_tick(time_point now, outbox& out);
    void send_pushes(time_point now, flow_token token, pvt::flow_records& flow, outbox& out);

    request_settings settings_;
    counters* counted_;
    std::shared_ptr<admission> slots_;
    service_id service_;
    incarnation incarnation_;
    bool cold_ = false;
    bool draining_ = false;
    std::optional<time_point> draining_since_;
    time_point next_drain_notice_;
    std::unordered_map<flow_token, pvt::flow_records, id_hash> flows_;
    std::map<request_name, running_request> running_;
    std::size_t waiting_ = 0;
    std::deque<finished_entry> finished_;
    std::size_t record_count_ = 0;
    std::size_t unacknowledged_ = 0;
    std::size_t answer_bytes_ = 0;
    std::set<flow_token> pushing_;
    std::vector<request_name> late_cancels_;
};

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "peridotcleat/counters.h"
#include "peridotcleat/distribution.h"
#include "peridotcleat/outbox.h"

namespace peridotcleat {

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
};

/// Requests of all flows that one target holds: admission, at-most-once records, answers in parts, pushes.
/// Not thread-safe.
class request_table {
public:
    /// Fails with `invalid_setting` if `slots` is 0.
    static result<request_table> create(const request_settings& settings, counters& counted);

    /// Identity that requests must name.
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
    /// Refuses new requests with `draining`; running ones go on.
    void set_draining(bool draining);

    /// Requests that run or wait.
    [[nodiscard]] std::size_t in_progress() const noexcept;
    /// True if no request is in progress and each answer was settled by its caller or its retention has
    /// passed.
    [[nodiscard]] bool quiet(time_point now) const;
    [[nodiscard]] std::uint32_t slots_in_use() const noexcept;
};

}  // namespace peridotcleat

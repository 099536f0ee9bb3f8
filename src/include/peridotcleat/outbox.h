#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "peridotcleat/message.h"

namespace peridotcleat {

/// Sends `body` to the process at `to`.
struct send_action {
    endpoint to;
    message body;
};

/// Sends a payload to the caller of a flow, from the service address.
struct caller_reply {
    flow_key key;
    caller_message body;
};

/// Identifies one request at its target: the flow and the sequence number within the flow.
struct request_id {
    flow_token token;
    std::int64_t sequence = 0;

    auto operator<=>(const request_id&) const = default;
};

/// Starts a request at the upstream. The host answers with `upstream_result` exactly once.
struct upstream_call {
    request_id id;
    bool idempotent = false;
    std::chrono::milliseconds remaining{0};
    std::string method;
    std::string body;
};

/// Asks the upstream to cancel a request.
struct upstream_cancel {
    request_id id;
};

/// Outcome of an `upstream_call`.
struct upstream_result {
    request_id id;
    /// `ok`; `upstream_unreachable`, `shed_by_upstream`, `cancelled` or `deadline_exceeded`, which prove that
    /// the request did not run and will not run; `upstream_failed`, if the request ran and failed; or
    /// `outcome_unknown`.
    error_code code = error_code::ok;
    std::string body;
};

/// Sends a raw packet that is not wrapped in a message.
struct packet_send {
    endpoint to;
    std::string packet;
};

/// Collects the actions of one role (control process, balancer or agent) for the host to carry out. Each list
/// is in the order in which the role decided on the actions.
struct outbox {
    std::vector<send_action> sends;
    std::vector<caller_reply> replies;
    std::vector<upstream_call> calls;
    std::vector<upstream_cancel> cancels;
    std::vector<packet_send> packets;

    /// Appends a message to the process at `to`.
    void send(const endpoint& to, message body) { sends.push_back({to, std::move(body)}); }
    /// Appends a payload to the caller of the flow `key`.
    void reply(const flow_key& key, caller_message body) { replies.push_back({key, std::move(body)}); }
    /// Removes all actions but keeps the allocated capacity of the lists.
    void clear() noexcept
    {
        sends.clear();
        replies.clear();
        calls.clear();
        cancels.clear();
        packets.clear();
    }
};

}  // namespace peridotcleat

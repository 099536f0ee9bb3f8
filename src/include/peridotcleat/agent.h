#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "peridotcleat/flow_owner.h"
#include "peridotcleat/node_link.h"
#include "peridotcleat/request_table.h"
#include "peridotcleat/route_table.h"

namespace peridotcleat {

/// Settings of an agent.
struct agent_settings {
    node_link_settings link;
    request_settings requests;
    /// Used unless the service sets its own.
    std::chrono::milliseconds idle_timeout{3600000};
    std::chrono::milliseconds handover_timeout{5000};
};

/// State of an agent, for status pages and logs.
struct agent_status {
    incarnation id;
    /// Flows that are held.
    std::size_t flows = 0;
    std::size_t directory_entries = 0;
    std::size_t requests_in_progress = 0;
    bool draining = false;
    /// The agent drains, and no flow and no request is left.
    bool empty = false;
};

/// The agent of one upstream: holds its flows, owns buckets of its service and admits requests. Not
/// thread-safe.
class agent {
public:
    /// Fails with `invalid_setting`.
    static result<agent> create(agent_settings settings, counters& counted);

    /// Handles an announcement of the upstream: the service and the limits that it offers.
    void on_upstream_offer(time_point now, const target_offer& offer, outbox& out);
    /// Starts draining because the upstream has asked for it.
    void on_upstream_draining(time_point now, outbox& out);
    /// Handles the result of an `upstream_call`.
    void on_upstream_result(time_point now, const upstream_result& r, outbox& out);
    /// Pushes bytes over an open flow. Fails with `flow_unknown` or `queue_full`.
    result<success> push(time_point now, flow_token token, std::string bytes, outbox& out);
    /// Handles all messages between processes.
    void on_message(time_point now, const endpoint& from, const message& m, outbox& out);
    /// Runs the timers of the link, the flows and the requests. Call at least every 50 ms.
    void on_tick(time_point now, outbox& out);
    /// Starts a graceful stop: drains, finishes requests, then announces that the node leaves.
    void begin_stop(time_point now, outbox& out);

    /// Returns true if the process may end without breaking a flow or a request: a graceful stop has begun,
    /// no flow and no request is left, and either the table does not contain this node, so that no new flows
    /// are routed to it, or control has not confirmed the removal within 10 s of the start of the stop.
    [[nodiscard]] bool may_stop(time_point now) const;
    [[nodiscard]] agent_status status() const;
    [[nodiscard]] const node_link& link() const noexcept { return link_; }

private:
    agent(agent_settings settings, counters& counted, node_link link, flow_owner flows,
          request_table requests);

    void start_draining(time_point now, outbox& out);
    void update_routes(time_point now, outbox& out);
    void apply_table(time_point now, outbox& out);
    void apply_service_settings(const wire::target& target);
    void dispatch_flow_events(time_point now, outbox& out);
    void announce_leaving_if_empty(time_point now);

    agent_settings settings_;
    node_link link_;
    flow_owner flows_;
    request_table requests_;
    std::shared_ptr<const route_table> routes_;
    service_id service_;
    /// Identity under which flows and requests are accepted at present.
    incarnation served_incarnation_;
    bool draining_ = false;
    bool empty_ = false;
    std::optional<time_point> stop_began_;
    /// Time from which requests are refused because the agent drains; unset once it has passed.
    std::optional<time_point> refuse_requests_at_;
};

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include "peridotcleat/node_link.h"
#include "peridotcleat/relay.h"
#include "peridotcleat/route_table.h"

namespace peridotcleat {

/// Where a balancer sends a packet.
struct route_decision {
    service_id service;
    /// Target that owns the bucket of the flow.
    incarnation owner;
    /// Agent of the owner.
    endpoint agent;
    /// Revision of the table that the decision follows.
    revision table_revision;
};

/// Sets `decision` to the route of a packet and returns `ok`, or returns the reason to drop the packet:
/// `wrong_service` (no service has the address) or `no_target` (the service has no target). Allocates
/// nothing; any number of threads may share `table`.
error_code route(const route_table& table, const flow_key& key, route_decision& decision) noexcept;

/// Settings of a balancer.
struct balancer_settings {
    node_link_settings link;
};

/// The part of a balancer that exchanges messages with control: keeps the table, registers the node and
/// relays the table to agents. Packets are forwarded by `forwarder`, to which the host passes `routes()`.
/// Not thread-safe.
class balancer {
public:
    /// Fails with `invalid_setting`.
    static result<balancer> create(balancer_settings settings, counters& counted);

    /// Handles all control messages and stale_notice.
    void on_message(time_point now, const endpoint& from, const message& m, outbox& out);
    /// Runs the timers of the link and the relay. Call at least every 50 ms.
    void on_tick(time_point now, outbox& out);
    /// Announces that the balancer leaves; packets are forwarded until the host stops the forwarder.
    void begin_stop(time_point now, outbox& out);

    /// Routes of the current table; null until the node is ready.
    [[nodiscard]] std::shared_ptr<const route_table> routes() const noexcept { return routes_; }
    [[nodiscard]] const node_link& link() const noexcept { return link_; }

private:
    balancer(const balancer_settings& settings, counters& counted, node_link link);

    void update_routes(time_point now, outbox& out);

    endpoint address_;
    node_link link_;
    relay relay_;
    std::shared_ptr<const route_table> routes_;
    /// Highest revision of which the nodes that pull from this balancer were notified.
    revision notified_revision_;
};

}  // namespace peridotcleat

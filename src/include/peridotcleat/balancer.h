#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include "peridotcleat/node_link.h"
#include "peridotcleat/relay.h"
#include "peridotcleat/route_table.h"

namespace peridotcleat {

/// Where a packet goes.
struct route_decision {
    service_id service;
    incarnation owner;
    endpoint agent;
    revision table_revision;
};

/// Returns the route of a packet, or the reason to drop it: `ok`, `wrong_service` (no service has the
/// address) or `no_target` (the service has none). Allocates nothing; any number of threads may share
/// `table`.
error_code route(const route_table& table, const flow_key& key, route_decision& decision) noexcept;

/// Settings of a balancer.
struct balancer_settings {
    node_link_settings link;
};

/// The control side of a balancer: table, registration, relay for agents. Not thread-safe; workers read
/// `routes()` through an atomic shared pointer that the host keeps.
class balancer {
public:
    /// Fails with `invalid_setting`.
    static result<balancer> create(balancer_settings settings, counters& counted);

    /// Handles all control messages and stale_notice.
    void on_message(time_point now, const endpoint& from, const message& m, outbox& out);
    void on_tick(time_point now, outbox& out);
    /// Announces that the balancer leaves; it goes on forwarding until the host stops it.
    void begin_stop(time_point now, outbox& out);

    /// Routes in force; null until the node is ready.
    [[nodiscard]] std::shared_ptr<const route_table> routes() const noexcept { return routes_; }
    [[nodiscard]] const node_link& link() const noexcept { return link_; }

private:
    balancer(const balancer_settings& settings, counters& counted, node_link link);

    void update_routes(time_point now, outbox& out);

    endpoint address_;
    node_link link_;
    relay relay_;
    std::shared_ptr<const route_table> routes_;
    /// Revision that children were last notified of.
    revision notified_revision_;
};

}  // namespace peridotcleat

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotcleat/hash.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat {

/// What a balancer knows of a target from the table when it places flows.
struct flow_target {
    endpoint agent;
    std::string zone;
    std::uint32_t slots = 1;
    bool draining = false;
    /// Silent for longer than its lease; it may still hold open flows.
    bool lost = false;
};

/// The targets of one service.
struct flow_service {
    /// Identity in messages about segments, see `service_key`.
    std::int64_t key = 0;
    std::string name;
    std::vector<flow_target> targets;
};

/// The services that share the new flows to one address, with their weights.
struct flow_route {
    struct backend {
        std::shared_ptr<const flow_service> service;
        std::uint32_t weight = 0;
    };
    std::vector<backend> backends;
    /// Services that the address was routed to until recently; they may still hold open flows.
    std::vector<std::shared_ptr<const flow_service>> former_services;
    std::uint64_t total_weight = 0;

    /// Returns all services that may hold flows to the address.
    [[nodiscard]] std::vector<const flow_service*> services_with_flows() const;
    /// Returns the service of a new flow: the same one on every balancer that holds the same routes.
    [[nodiscard]] const flow_service& choose(const flow_key& key) const noexcept;
};

/// Routes of flows whose two ends are transport stacks, derived from a table. Immutable once built.
class flow_routes {
public:
    /// Derives all routes.
    static std::shared_ptr<const flow_routes> build(const table_state& table);

    /// Returns the route of `address`, or null.
    [[nodiscard]] const flow_route* find(const endpoint& address) const noexcept;
    /// Revision of the table.
    [[nodiscard]] revision table_revision() const noexcept { return table_revision_; }
    /// Version of the description in force; 0 if there is none yet.
    [[nodiscard]] std::int64_t version() const noexcept { return version_; }

private:
    revision table_revision_;
    std::int64_t version_ = 0;
    std::unordered_map<std::int64_t, flow_route> by_address_;
};

}  // namespace peridotcleat

#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "peridotcleat/hash.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat {

/// The data of a target that routing needs.
struct route_target {
    incarnation id;
    endpoint agent;
    /// Number of slots of the target, at least 1.
    std::uint32_t weight = 1;
    bool draining = false;
};

/// Targets and bucket owners of one service. Immutable once it is part of a `route_table`.
struct service_routes {
    service_id service;
    /// All targets in order of incarnation, draining ones included.
    std::vector<route_target> targets;
    /// Index into `targets` of the owner of each bucket; valid if `has_owner`. Owners are active targets.
    /// Only while all targets drain are the owners draining targets, so that packets of open flows are still
    /// delivered; a draining owner refuses new flows.
    std::array<std::uint16_t, bucket_count> owners{};
    /// False if there is no target.
    bool has_owner = false;
    /// True if there are targets and all of them drain.
    bool all_draining = false;
    /// Addresses of the service.
    std::vector<endpoint> addresses;
    /// Digest over id, addresses, targets and owners.
    std::uint64_t digest = 0;

    /// Returns the index of target `id` in `targets`, if the service has this target.
    [[nodiscard]] std::optional<std::size_t> index_of(incarnation id) const noexcept;
    /// Returns the index of the second candidate of a flow, if any: an active target other than `owner`,
    /// chosen by rendezvous hashing weighted by slots. Takes time linear in the number of targets.
    [[nodiscard]] std::optional<std::size_t> second_candidate(std::uint64_t flow_hash,
                                                              incarnation owner) const noexcept;
};

/// Returns the rendezvous hashing score of a target for a bucket or flow, at most 2^46: an approximation of
/// -log2 of `hash | 1`, read as a fraction of 2^64, with 40 fractional bits and an error below 1e-6. The
/// target with the lowest quotient of score and weight is chosen, which gives each target a share in
/// proportion to its weight.
///
/// Computed in integers, because the floating-point logarithms of two C libraries may differ in the last bit;
/// nodes would then disagree on owners.
[[nodiscard]] std::uint64_t rendezvous_score(std::uint64_t hash) noexcept;

/// Routes of all services, from the service and its addresses to targets and bucket owners, derived from a
/// table. Does not use `table_state::routes`. Immutable once built. Lookups allocate no memory.
class route_table {
public:
    /// Derives all routes.
    static std::shared_ptr<const route_table> build(const table_state& table);
    /// Derives the routes of `changed_services` and shares the others with `previous`. `changed_services`
    /// must list every service that differs between the table of `previous` and `table`, removed ones
    /// included.
    static std::shared_ptr<const route_table> rebuild(const route_table& previous, const table_state& table,
                                                      const std::vector<service_id>& changed_services);

    /// Returns the routes of the service that owns `address`, or null.
    [[nodiscard]] const service_routes* find(const endpoint& address) const noexcept;
    /// Returns the routes of `service`, or null.
    [[nodiscard]] const service_routes* find(service_id service) const noexcept;
    /// Returns the revision of the table that the routes are derived from.
    [[nodiscard]] revision table_revision() const noexcept { return table_revision_; }
    /// Returns the digest over the routes of all services. It is equal on all nodes that hold the same table.
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

private:
    void add(const table_state& table, service_id id);
    void remove(service_id id);

    revision table_revision_;
    std::uint64_t digest_ = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<const service_routes>> routes_by_address_;
    std::unordered_map<service_id, std::shared_ptr<const service_routes>, id_hash> routes_by_service_;
};

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "peridotcleat/message.h"

namespace peridotcleat {

/// Outcome of a patch, of a replacement or of a drain request. Later changes never make a returned status
/// false.
enum class patch_status : std::uint8_t {
    /// The patch was accepted as version `version`.
    accepted,
    /// The same patch was accepted earlier, as version `version`. For a replacement: the description in force
    /// has the same or a higher version. For a drain request: the target already drains.
    already_accepted,
    /// Another patch was accepted on the same base; this patch will never be accepted.
    conflict,
    /// The patch is invalid in itself or for the table of its base; it will never be accepted.
    invalid,
    /// This attempt changed nothing and will change nothing later; the same patch may be sent again.
    not_accepted,
    /// The record that shows whether the patch was accepted is no longer kept, or no reply arrived.
    outcome_unknown
};

/// Returns the name of `s` for interfaces and logs; names never change.
const char* to_string(patch_status s) noexcept;

/// Answer to a patch, a replacement or a drain request.
struct patch_answer {
    patch_status status = patch_status::outcome_unknown;
    /// Version as which the patch was accepted, otherwise the current version, which counts accepted patches.
    /// For a replacement: the version of the description in force, which its author chose, or 0 if the
    /// replacement is invalid.
    config_version version;
    /// Revision of the log entry that carried the accepted patch; `check` sets the current revision for a
    /// patch that would be accepted. For a replacement or a drain request: revision of its log entry, also if
    /// it was refused, or for a target that already drains the revision of the target.
    revision entry_revision;
    /// Reason for `conflict`, `invalid`, `not_accepted` and `outcome_unknown`.
    error reason;
};

namespace pvt {

/// Kinds of objects in the table. The values are those used in messages.
enum class object_kind : std::int8_t { service = 1, target = 2, node = 3, route = 4 };

/// Position of an object or tombstone in the order of modification.
struct object_key {
    std::int64_t revision = 0;
    object_kind kind = object_kind::service;
    std::int64_t id = 0;

    auto operator<=>(const object_key&) const = default;
};

/// Returns the digest of one object. The digest of a table is the sum of the digests of its objects.
std::uint64_t digest_of(const wire::service_entry& value) noexcept;
std::uint64_t digest_of(const wire::target& value) noexcept;
std::uint64_t digest_of(const wire::node& value) noexcept;
std::uint64_t digest_of(const wire::route_entry& value) noexcept;

}  // namespace pvt

/// Returns the number that stands for the address of a route in messages and tables.
constexpr std::int64_t route_number(const endpoint& address) noexcept
{
    return (std::int64_t{address.address} << 16U) | std::int64_t{address.port};
}

/// Returns the address that `number` stands for.
constexpr endpoint route_address(std::int64_t number) noexcept
{
    return {static_cast<std::uint32_t>(number >> 16U), static_cast<std::uint16_t>(number & 0xffff)};
}

/// A description that replaced the previous one as a whole: its version and the compressed document that its
/// author sent.
struct stored_document {
    std::int64_t version = 0;
    std::string bytes;
};

/// Highest weight of a service at an address; the lowest is 0, with which the service gets no new flows.
inline constexpr std::int32_t max_route_weight = 1'000'000;

/// Checks a description that replaces the current one, except for its document. Fails with
/// `description_invalid_value`, `service_unknown`, `service_exists`, `address_overlap` or `table_full`.
[[nodiscard]] std::optional<error> check_replacement(const wire::replacement& replacement);

/// Effect of applying one change.
struct apply_outcome {
    /// Set for patches and replacements, unless the entry was refused with `message_malformed`.
    std::optional<patch_answer> patch;
    /// Set for accepted joins: the new incarnation, or the present one if the join is a repetition.
    std::optional<incarnation> joined;
    /// Services whose targets or settings changed.
    std::vector<service_id> changed_services;
    /// Set if the change was refused; it then changed nothing except for the revision.
    std::optional<error> refused;
};

/// The replicated table: services, targets, nodes (the balancers), routes and the document of the description
/// in force, accepted patches and quarantined addresses.
///
/// Deterministic: the same changes at the same revisions give the same state and digest in every process that
/// holds the table. Not thread-safe.
class table_state {
public:
    /// Highest number of tombstones that are kept for deltas.
    static constexpr std::size_t max_tombstones = 2000;
    /// Highest number of accepted patches whose records are kept.
    static constexpr std::size_t max_patch_records = 8192;
    /// How long an address stays reserved for its former service.
    static constexpr std::chrono::seconds quarantine_time{60};
    /// How long a route lists a service that it no longer sends new flows to, so that a search for open flows
    /// still includes this service. The service stays in the table for as long, also if the description no
    /// longer lists it. Longer than the minute after which callers discard flows, by more than the clocks of
    /// successive leaders may differ.
    static constexpr std::chrono::seconds former_service_timeout{120};
    /// Highest numbers of services, targets and nodes at a time; more are refused with `table_full`.
    static constexpr std::size_t max_services = 4096;
    static constexpr std::size_t max_targets = 20'000;
    static constexpr std::size_t max_nodes = 2000;
    /// Largest page, in bytes, that fits a message of `max_control_body` bytes with a `pull_reply` without
    /// optional fields. The 40 bytes hold the message header and the fields `nonce` and `age_ms`.
    static constexpr std::size_t max_page_size = max_control_body - 40;
    /// Highest number of routes of a replacement; more are refused with `table_full`.
    static constexpr std::size_t max_routes = 8192;
    /// Highest number of operations of a patch; more are refused with `patch_too_large`.
    static constexpr std::size_t max_operations = 256;

    /// Applies the change of log entry `entry_revision`. An entry that is not above `current_revision()` is
    /// refused with `message_malformed` and changes nothing, not even the revision.
    ///
    /// A join whose endpoint and nonce (and, for targets, service) are already in the table returns the
    /// present incarnation. Any other target or node at the endpoint of a join is removed by the same entry,
    /// as is the one named in `replaces`.
    apply_outcome apply(revision entry_revision, const wire::change& change);
    /// Raises the revision to `entry_revision` for log entries that do not change the table.
    void skip_to(revision entry_revision);

    /// Checks a patch without applying it and returns the answer that applying it at `now` would return. A
    /// `now` before the time of the last accepted patch counts as that time.
    [[nodiscard]] patch_answer check(const wire::patch& patch, wall_time now) const;

    [[nodiscard]] revision current_revision() const noexcept { return revision_; }
    [[nodiscard]] config_version version() const noexcept { return version_; }
    /// Returns the digest of services, targets, nodes and routes, without the records that only control
    /// processes keep. It is equal on all nodes that hold the same objects, and is maintained incrementally.
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

    [[nodiscard]] const std::map<service_id, wire::service_entry>& services() const noexcept
    {
        return services_;
    }
    [[nodiscard]] const std::map<incarnation, wire::target>& targets() const noexcept { return targets_; }
    [[nodiscard]] const std::map<incarnation, wire::node>& nodes() const noexcept { return nodes_; }
    /// Returns the records of accepted patches that are kept, oldest first.
    [[nodiscard]] const std::map<config_version, wire::patch_record>& patches() const noexcept
    {
        return patches_;
    }
    /// Returns the routes of the description in force by `route_number`: the weighted services of each
    /// address. A `route_table` holds other routes, from a service to its targets.
    [[nodiscard]] const std::map<std::int64_t, wire::route_entry>& routes() const noexcept { return routes_; }
    /// Returns the description that last replaced another as a whole; its version is 0 if there is none. The
    /// copy of a node holds the version only.
    [[nodiscard]] const stored_document& document() const noexcept { return document_; }
    /// Returns the service called `name`, if any.
    [[nodiscard]] std::optional<service_id> find_service(std::string_view name) const;
    /// Returns the targets of `service` in order of incarnation, draining ones included.
    [[nodiscard]] std::vector<incarnation> targets_of(service_id service) const;

    /// Returns the target whose agent has the endpoint `agent`, if any.
    [[nodiscard]] std::optional<incarnation> find_target(const endpoint& agent) const;
    /// Returns the node whose control endpoint is `control`, if any.
    [[nodiscard]] std::optional<incarnation> find_node(const endpoint& control) const;
    /// Returns the service that owns `address`, if any.
    [[nodiscard]] std::optional<service_id> find_address(const endpoint& address) const;
    /// Returns the revision at or below which tombstones may have been dropped. A node whose revision is
    /// below it needs a full table.
    [[nodiscard]] revision horizon() const noexcept { return horizon_; }

    /// Returns the objects and tombstones after `position` in order of modification: as many as fit an
    /// encoded page of `max_bytes`, but at least one if there are any. With a `position` before the horizon
    /// the page starts a full table; with `full` it starts or continues one. Takes time in proportion to the
    /// objects returned, not to the size of the table.
    [[nodiscard]] wire::table_page delta(const wire::cursor& position, bool full,
                                         std::size_t max_bytes) const;

    /// Returns the whole state, including the records that only control processes keep.
    [[nodiscard]] wire::table_snapshot snapshot() const;
    /// Builds the state from a snapshot. Fails with `snapshot_corrupt` if objects contradict each other or
    /// numbers are out of range.
    static result<table_state> from_snapshot(const wire::table_snapshot& snapshot);

    /// Replaces or removes a single object; a removal keeps the tombstone. Public only for the copy of a
    /// node, which applies pages.
    void put(const wire::service_entry& value);
    void put(const wire::target& value);
    void put(const wire::node& value);
    void put(const wire::route_entry& value);
    void remove(const wire::tombstone& value);
    /// Raises the revision, version and document version after pages were applied, drops old tombstones, and
    /// may raise the horizon.
    void finish_pages(revision page_revision, config_version version, std::int64_t document_version);

    /// Objects that pages replace or remove in a table. `table_copy`, which fills it, lets the later change
    /// of an object overwrite the earlier one.
    struct object_changes {
        std::map<service_id, wire::service_entry> services;
        std::map<incarnation, wire::target> targets;
        std::map<incarnation, wire::node> nodes;
        std::map<std::int64_t, wire::route_entry> routes;
        /// Removed objects by kind and id.
        std::map<std::pair<pvt::object_kind, std::int64_t>, wire::tombstone> removed;
    };
    /// Returns the digest that the table would have after `changes`, without making them.
    [[nodiscard]] std::uint64_t digest_with(const object_changes& changes) const;

private:
    class patch_check;

    [[nodiscard]] std::optional<patch_answer> check_history(const wire::patch& patch) const;
    patch_answer apply_patch(revision entry_revision, const wire::patch& patch, wall_time now,
                             std::vector<service_id>& changed_services);
    void apply_operation(revision entry_revision, const wire::patch_operation& op, wall_time now,
                         std::vector<service_id>& changed_services);
    void record_patch(revision entry_revision, const wire::patch& patch, wall_time now);
    void join_target(revision entry_revision, const wire::target_join& join, apply_outcome& out);
    void join_node(revision entry_revision, const wire::node_join& join, apply_outcome& out);
    void drain_target(revision entry_revision, incarnation id, apply_outcome& out);
    void lose_target(revision entry_revision, incarnation id, apply_outcome& out);
    void leave_target(revision entry_revision, incarnation id, apply_outcome& out);
    void leave_node(revision entry_revision, incarnation id, apply_outcome& out);
    void replace(revision entry_revision, const wire::replacement& replacement, wall_time now,
                 apply_outcome& out);
    void add_services(revision entry_revision, const wire::replacement& replacement, apply_outcome& out);
    void remove_services(revision entry_revision, const wire::replacement& replacement, wall_time now,
                         apply_outcome& out);
    void retire_service(revision entry_revision, service_id id, wall_time now, apply_outcome& out);
    void replace_routes(revision entry_revision, const wire::replacement& replacement, wall_time now);

    void remove_service(revision entry_revision, service_id id, wall_time now);
    void quarantine_address(const endpoint& address, service_id former_service, wall_time now);
    void erase_expired_quarantines(wall_time now);
    [[nodiscard]] wall_time patch_time(wall_time now) const noexcept;
    /// Removes an object and keeps a tombstone of revision `entry_revision`.
    void remove_object(revision entry_revision, pvt::object_kind kind, std::int64_t id);
    /// Removes a live object from the indexes, from the order of modification and from the digest.
    void erase_from_indexes(const wire::service_entry& value);
    void erase_from_indexes(const wire::target& value);
    void erase_from_indexes(const wire::node& value);
    void erase_from_indexes(const wire::route_entry& value);
    void drop_old_tombstones();
    [[nodiscard]] bool needs_full_table(const wire::cursor& position) const noexcept;
    [[nodiscard]] std::optional<error> load(const wire::table_snapshot& snapshot);
    [[nodiscard]] std::optional<error> load_objects(const wire::table_snapshot& snapshot);
    [[nodiscard]] std::optional<error> load_records(const wire::table_snapshot& snapshot);

    revision revision_;
    config_version version_;
    revision horizon_;
    std::int64_t next_service_ = 1;
    std::uint64_t digest_ = 0;
    std::map<service_id, wire::service_entry> services_;
    std::map<incarnation, wire::target> targets_;
    std::map<incarnation, wire::node> nodes_;
    std::map<std::int64_t, wire::route_entry> routes_;
    stored_document document_;
    std::map<config_version, wire::patch_record> patches_;
    std::map<endpoint, wire::quarantine> quarantined_;
    // Objects and tombstones in order of modification. Tombstones are kept only here.
    std::map<pvt::object_key, bool> modification_order_;  // true if the key is that of a tombstone
    std::set<pvt::object_key> tombstones_;
    // Indexes derived from the maps above.
    std::map<std::string, service_id, std::less<>> service_by_name_;
    std::map<endpoint, service_id> service_by_address_;
    std::map<service_id, std::set<incarnation>> targets_by_service_;
    std::map<endpoint, incarnation> target_by_agent_;
    std::map<endpoint, incarnation> node_by_control_;
    std::unordered_map<std::string, config_version> version_by_patch_id_;
};

}  // namespace peridotcleat

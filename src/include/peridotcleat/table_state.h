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

/// Outcome of a patch, true when given and ever after.
enum class patch_status : std::uint8_t {
    /// In the table as version `version`.
    accepted,
    /// The same patch was accepted before, as version `version`.
    already_accepted,
    /// Another patch was accepted on the same base; this one never will be.
    conflict,
    /// At fault in itself or against the table of its base; it never will be accepted.
    invalid,
    /// This attempt changed nothing and will not; the same patch may be sent again.
    not_accepted,
    /// The record that decides is no longer kept, or no reply came.
    outcome_unknown
};

/// Returns the stable name of `s`.
const char* to_string(patch_status s) noexcept;

/// Answer to a patch.
struct patch_answer {
    patch_status status = patch_status::outcome_unknown;
    /// Version as which the patch was accepted, else the current version.
    config_version version;
    /// Revision of the entry that carried the accepted patch.
    revision entry_revision;
    /// Reason for `invalid`, `not_accepted` and `outcome_unknown`.
    error reason;
};

namespace pvt {

/// Kinds of objects in the table, with their numbers in messages.
enum class object_kind : std::int8_t { service = 1, target = 2, node = 3, route = 4 };

/// Position of an object or tombstone in the order of modification.
struct object_key {
    std::int64_t revision = 0;
    object_kind kind = object_kind::service;
    std::int64_t id = 0;

    auto operator<=>(const object_key&) const = default;
};

/// Digest of one object; the digest of a table is the sum over its objects.
std::uint64_t digest_of(const wire::service_entry& value) noexcept;
std::uint64_t digest_of(const wire::target& value) noexcept;
std::uint64_t digest_of(const wire::node& value) noexcept;
std::uint64_t digest_of(const wire::route_entry& value) noexcept;

}  // namespace pvt

/// Number of a route's address in messages and tables.
constexpr std::int64_t route_number(const endpoint& address) noexcept
{
    return (std::int64_t{address.address} << 16U) | std::int64_t{address.port};
}

/// The address that `number` stands for.
constexpr endpoint route_address(std::int64_t number) noexcept
{
    return {static_cast<std::uint32_t>(number >> 16U), static_cast<std::uint16_t>(number & 0xffff)};
}

/// A description that was replaced as a whole: its version and the compressed document its author sent.
struct stored_document {
    std::int64_t version = 0;
    std::string bytes;
};

/// Permitted weight of a service at an address; 0 sends it no new flows.
inline constexpr std::int32_t max_route_weight = 1'000'000;

/// Checks a description that replaces the present one, apart from its document. Fails with
/// `description_invalid_value`, `service_unknown`, `service_exists`, `address_overlap` or `table_full`.
[[nodiscard]] std::optional<error> check_replacement(const wire::replacement& replacement);

/// What applying one change did.
struct apply_outcome {
    /// Set for patches.
    std::optional<patch_answer> patch;
    /// Set for joins: the new incarnation.
    std::optional<incarnation> joined;
    /// Services whose targets or settings changed.
    std::vector<service_id> changed_services;
    /// Set if the change was refused and changed nothing but the revision.
    std::optional<error> refused;
};

/// The replicated table: services, targets, balancers, accepted patches, quarantined addresses.
///
/// Deterministic: the same changes at the same revisions give the same state and digest on every node.
/// Not thread-safe.
class table_state {
public:
    /// Number of removals that are remembered for deltas.
    static constexpr std::size_t max_tombstones = 2000;
    /// Number of accepted patches whose ids are remembered.
    static constexpr std::size_t max_patch_records = 8192;
    /// How long an address stays reserved for its former service.
    static constexpr std::chrono::seconds quarantine_time{60};
    /// How long a service that an address no longer sends new flows to is searched for open ones; callers
    /// discard flows after a minute.
    static constexpr std::chrono::seconds former_service_timeout{120};
    /// Most services, targets and nodes at a time; more are refused with `table_full`.
    static constexpr std::size_t max_services = 4096;
    static constexpr std::size_t max_targets = 20'000;
    static constexpr std::size_t max_nodes = 2000;
    /// Size of a page that fits a pull_reply of `max_control_body`, its header included.
    static constexpr std::size_t max_page_size = max_control_body - 40;
    /// Most routes of a replaced description; more are refused with `table_full`.
    static constexpr std::size_t max_routes = 8192;
    /// Most operations of a patch; more are refused with `patch_too_large`.
    static constexpr std::size_t max_operations = 256;

    /// Applies the change of log entry `at`. An entry that is not above `current_revision()` is refused with
    /// `message_malformed` and changes nothing at all.
    ///
    /// A join of an endpoint and nonce that are in the table already returns the present incarnation. Any
    /// other target or node at the endpoint of a join leaves in the same entry, as does the one named in
    /// `replaces`.
    apply_outcome apply(revision entry_revision, const wire::change& change);
    /// Moves the revision forward for entries that change nothing.
    void skip_to(revision entry_revision);

    /// Checks a patch without applying it, and gives the answer that applying it at `now` would give. A `now`
    /// before the time of the last accepted patch counts as that time.
    [[nodiscard]] patch_answer check(const wire::patch& patch, wall_time now) const;

    [[nodiscard]] revision current_revision() const noexcept { return revision_; }
    [[nodiscard]] config_version version() const noexcept { return version_; }
    /// Digest of services, targets and nodes, without control's own records. Equal on all nodes that hold
    /// the same objects; maintained incrementally.
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

    [[nodiscard]] const std::map<service_id, wire::service_entry>& services() const noexcept
    {
        return services_;
    }
    [[nodiscard]] const std::map<incarnation, wire::target>& targets() const noexcept { return targets_; }
    [[nodiscard]] const std::map<incarnation, wire::node>& nodes() const noexcept { return nodes_; }
    /// Accepted patches that are remembered, oldest first.
    [[nodiscard]] const std::map<config_version, wire::patch_record>& patches() const noexcept
    {
        return patches_;
    }
    /// Routes of the description in force, by number.
    [[nodiscard]] const std::map<std::int64_t, wire::route_entry>& routes() const noexcept { return routes_; }
    /// The description that was last replaced as a whole; version 0 if there is none. A node's copy holds the
    /// version only.
    [[nodiscard]] const stored_document& document() const noexcept { return document_; }
    /// Returns the service of `name`, if any.
    [[nodiscard]] std::optional<service_id> find_service(std::string_view name) const;
    /// Returns the targets of `service` in order of incarnation, draining ones included.
    [[nodiscard]] std::vector<incarnation> targets_of(service_id service) const;

    /// Returns the target or node that serves at `agent`, if any.
    [[nodiscard]] std::optional<incarnation> find_target(const endpoint& agent) const;
    [[nodiscard]] std::optional<incarnation> find_node(const endpoint& control) const;
    /// Returns the service that owns `address`, if any.
    [[nodiscard]] std::optional<service_id> find_address(const endpoint& address) const;
    /// Tombstones at or below this revision may be gone; a node below it needs a full table.
    [[nodiscard]] revision horizon() const noexcept { return horizon_; }

    /// Returns the objects after `position` in order of modification, as many as fit an encoded page of
    /// `max_bytes`, but at least one. With a `position` before the horizon the page starts a full table; with
    /// `full` it starts or continues one. Costs what it returns, not what the table holds.
    [[nodiscard]] wire::table_page delta(const wire::cursor& position, bool full,
                                         std::size_t max_bytes) const;

    /// Returns the whole state, control's records included.
    [[nodiscard]] wire::table_snapshot snapshot() const;
    /// Builds the state from a snapshot. Fails with `snapshot_corrupt` if objects contradict each other.
    static result<table_state> from_snapshot(const wire::table_snapshot& snapshot);

    /// Replaces or removes single objects; only for a node's copy that applies pages.
    void put(const wire::service_entry& value);
    void put(const wire::target& value);
    void put(const wire::node& value);
    void put(const wire::route_entry& value);
    void remove(const wire::tombstone& value);
    /// Sets revision and version after pages were applied.
    void finish_pages(revision entry_revision, config_version version, std::int64_t document_version);

    /// Returns the digest that the table would have after these changes, without making them. Later ones win.
    struct object_changes {
        std::map<service_id, wire::service_entry> services;
        std::map<incarnation, wire::target> targets;
        std::map<incarnation, wire::node> nodes;
        std::map<std::int64_t, wire::route_entry> routes;
        /// Removed objects by kind and id.
        std::map<std::pair<pvt::object_kind, std::int64_t>, wire::tombstone> removed;
    };
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
    void leave_target(revision entry_revision, incarnation id, apply_outcome& out);
    void leave_node(revision entry_revision, incarnation id, apply_outcome& out);
    void replace(revision entry_revision, const wire::replacement& replacement, wall_time now,
                 apply_outcome& out);
    void replace_services(revision entry_revision, const wire::replacement& replacement, wall_time now,
                          apply_outcome& out);
    void replace_routes(revision entry_revision, const wire::replacement& replacement, wall_time now);

    void remove_service(revision entry_revision, service_id id, wall_time now);
    void quarantine_address(const endpoint& address, service_id former, wall_time now);
    void erase_expired_quarantines(wall_time now);
    [[nodiscard]] wall_time patch_time(wall_time now) const noexcept;
    void remove_object(revision entry_revision, pvt::object_kind kind, std::int64_t id);
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
    // Indexes, all derived from the maps above.
    std::map<pvt::object_key, bool> modification_order_;  // true: tombstone
    std::set<pvt::object_key> tombstones_;
    std::map<std::string, service_id, std::less<>> service_by_name_;
    std::map<endpoint, service_id> service_by_address_;
    std::map<service_id, std::set<incarnation>> targets_by_service_;
    std::map<endpoint, incarnation> target_by_agent_;
    std::map<endpoint, incarnation> node_by_control_;
    std::unordered_map<std::string, config_version> version_by_patch_id_;
};

}  // namespace peridotcleat

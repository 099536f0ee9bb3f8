#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotcleat/message.h"

namespace peridotcleat {

/// Outcome of a patch, true when given and ever after.
enum class patch_status : std::uint8_t {
    accepted,
    already_accepted,
    conflict,
    invalid,
    not_accepted,
    outcome_unknown
};

/// Returns the stable name of `s`.
const char* to_string(patch_status s) noexcept;

/// Answer to a patch.
struct patch_answer {
    patch_status status = patch_status::outcome_unknown;
    /// Version as which the patch was accepted, or the current version on a conflict.
    config_version version;
    /// Revision of the entry that carried the accepted patch.
    revision at;
    /// Reason for `invalid`, `not_accepted` and `outcome_unknown`.
    error reason;
};

/// What applying one change did.
struct apply_outcome {
    /// Set for patches.
    std::optional<patch_answer> patch;
    /// Set for joins: the new incarnation.
    std::optional<incarnation> joined;
    /// Services whose targets or settings changed.
    std::vector<service_id> touched;
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

    /// Applies the change of log entry `at`, which must be greater than `current_revision()`.
    apply_outcome apply(revision at, const wire::change& change);
    /// Moves the revision forward for entries that change nothing.
    void skip_to(revision at);

    /// Checks a patch without applying it, and gives the answer that applying it at `now` would give.
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
    /// Returns the service of `name`, if any.
    [[nodiscard]] std::optional<service_id> find_service(std::string_view name) const;
    /// Returns the targets of `service` in order of incarnation, draining ones included.
    [[nodiscard]] std::vector<incarnation> targets_of(service_id service) const;

    /// Returns the objects after `position` in order of modification, as many as fit `max_bytes`.
    /// With a `position` before the horizon, or with `full`, the page belongs to a full table.
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
    void remove(const wire::tombstone& value);
    /// Sets revision and version after pages were applied.
    void finish_pages(revision at, config_version version);

private:
    revision revision_;
    config_version version_;
    std::uint64_t digest_ = 0;
    std::map<service_id, wire::service_entry> services_;
    std::map<incarnation, wire::target> targets_;
    std::map<incarnation, wire::node> nodes_;
    std::map<config_version, wire::patch_record> patches_;
};

}  // namespace peridotcleat

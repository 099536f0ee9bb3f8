#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "peridotcleat/counters.h"
#include "peridotcleat/node_link.h"
#include "peridotcleat/relay.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat {

/// Progress of a patch on the nodes.
struct in_force_status {
    config_version version;
    /// Table revision that the nodes must confirm.
    revision table_revision;
    /// True only if `known` and each live registered node has confirmed `table_revision`.
    bool everywhere = false;
    /// False on a follower, for versions whose record is not kept, and on a leader until one lease has passed
    /// since the leases last started. Until then the leader may not have heard of all nodes.
    bool known = false;
    /// Names of live nodes that have not confirmed yet.
    std::vector<std::string> lagging;
    /// Names of registered nodes that cannot be reached.
    std::vector<std::string> unreachable;
};

/// One registered node, for the list that operators see.
struct node_report {
    std::string name;
    node_role role = node_role::target;
    std::string zone;
    incarnation id;
    /// Last revision that the node confirmed, 0 if the leader has not heard of the node since its election.
    revision confirmed;
    /// Time since the node was last heard; nothing if the leader has not heard of the node since its
    /// election.
    std::optional<std::chrono::milliseconds> silence;
    bool draining = false;
};

/// Durations that the leader uses for its decisions about nodes.
struct membership_timing {
    /// A node that no relay has heard for this long is removed from the table, or marked as lost.
    std::chrono::milliseconds lease{6000};
    /// Time for which a target that is marked as lost stays in the table, because the upstream beside the
    /// silent agent may still hold flows. 0: it is removed at once.
    std::chrono::milliseconds lost_target_retention{0};
    std::chrono::milliseconds min_backoff{1000};
    std::chrono::milliseconds max_backoff{60000};
    /// The back-off of a node is halved for each such period in which the node does not join.
    std::chrono::milliseconds backoff_half_life{60000};
};

/// Response to an announcement: propose `change`, send `reply`, or both. Neither is set for a join that is
/// already pending, or that must be announced again before it can replace an incarnation.
struct announce_decision {
    std::optional<wire::change> change;
    std::optional<wire::announce_reply> reply;
};

/// The leader's unreplicated state about nodes: leases, join back-off, replaced incarnations. Starts empty at
/// each election. Decides which changes to propose; a change takes effect only once it is applied to the
/// table.
class membership {
public:
    membership(membership_timing timing, counters& event_counters);

    /// Clears all state and starts the leases. Call when this process becomes leader.
    void start(time_point now);

    /// Restarts the leases of all nodes. Call while this leader has no valid lease of its own: it may be cut
    /// off, so the silence of a node does not show that the node has failed.
    void restart_leases(time_point now) noexcept { leases_start_ = now; }

    /// Decides how to respond to an announcement. `table` must reflect all entries of earlier terms.
    announce_decision on_announce(time_point now, const wire::announce& request, const table_state& table);
    /// Returns changes that remove nodes whose lease has expired, or mark them as lost. In each second at
    /// most a fifth of a service's targets, or one if that is more, may be removed; the balancers together
    /// count as one service. `own_relay` is the relay of this process, also in the functions below. Call at
    /// least every second: a longer pause of this process restarts the leases.
    std::vector<wire::change> expire_leases(time_point now, const table_state& table, const relay& own_relay);

    /// Records that a proposed change was applied, with its outcome. If the change is a join, returns the
    /// reply to the announcement that caused it.
    std::optional<wire::announce_reply> on_applied(time_point now, const wire::change& change,
                                                   const apply_outcome& outcome);
    /// Records that a change is no longer pending, for example because it could not be proposed, so that it
    /// can be proposed again.
    void forget_proposal(const wire::change& change);

    /// Returns which nodes have confirmed `table_revision`. `known` is false until one lease has passed since
    /// the leases last started.
    [[nodiscard]] in_force_status status(time_point now, revision table_revision, const table_state& table,
                                         const relay& own_relay) const;
    /// Lists all registered nodes.
    [[nodiscard]] std::vector<node_report> nodes(time_point now, const table_state& table,
                                                 const relay& own_relay) const;

private:
    // Join history of one endpoint, for the back-off and to reject delayed announcements of earlier starts.
    struct join_history {
        std::chrono::milliseconds backoff{0};
        time_point last_join;
        time_point next_join;
        /// Nonces of incarnations that have left; a delayed announcement with one of them must not join
        /// again.
        std::vector<std::int64_t> retired_nonces;
        /// A new nonce that is announced while the registered incarnation may still be alive, and the time of
        /// its first announcement.
        std::int64_t replacement_nonce = 0;
        time_point replacement_first_announced;
    };

    // Number of nodes of a service that have been expired in the window of one second that began at `start`.
    struct expiry_window {
        time_point start;
        std::size_t count = 0;
    };

    using node_key = std::pair<node_role, endpoint>;

    announce_decision decide_registered(time_point now, const wire::announce& request, incarnation id,
                                        bool draining);
    announce_decision decide_join(time_point now, const wire::announce& request, const table_state& table,
                                  std::optional<incarnation> registered);
    // Returns true if a proposal is pending under `id`, a key of `pending_proposals_`. Otherwise, or if that
    // proposal has timed out, records one that starts now and returns false.
    [[nodiscard]] bool test_and_set_pending(time_point now, std::int64_t id);
    // Returns true, and counts one expiry, if `group` may lose one more node in the current second.
    bool consume_expiry_quota(time_point now, service_id group, std::size_t node_count);
    void record_join(time_point now, const node_key& key);
    void retire_nonce(const node_key& key, std::int64_t nonce);
    // Returns true if a lost target has been in the table for so long that its flows have ended.
    bool retention_elapsed(time_point now, incarnation id);
    [[nodiscard]] bool full_lease_elapsed(time_point now) const;
    [[nodiscard]] bool lease_expired(time_point now, incarnation id, const relay& own_relay) const;

    membership_timing timing_;
    counters* counters_;
    time_point leases_start_;
    time_point last_expiry_check_;
    std::map<node_key, join_history> join_histories_;
    std::map<service_id, expiry_window> expiry_windows_;
    // Start times of proposals that are not applied yet. The key is the nonce of a join, the incarnation of a
    // drained target, or the negative incarnation of a node that leaves.
    std::map<std::int64_t, time_point> pending_proposals_;
    // Join times of the incarnations that joined under this leader; their leases start at these times.
    std::map<incarnation, time_point> joined_at_;
    // Since when this leader has seen each lost target in the table.
    std::map<incarnation, time_point> lost_since_;
    // Role, endpoint and nonce of incarnations at the time when their leave or replacement was proposed.
    std::map<incarnation, std::pair<node_key, std::int64_t>> leaving_;
};

}  // namespace peridotcleat

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

/// Where a patch stands on the nodes.
struct in_force_status {
    config_version version;
    revision table_revision;
    /// True only if `known` and each live registered node has confirmed `at`.
    bool everywhere = false;
    /// False on a leader that has not heard of all nodes for a whole lease yet, on a follower, and for
    /// versions whose record is not kept.
    bool known = false;
    /// Names of live nodes that have not confirmed yet.
    std::vector<std::string> lagging;
    /// Names of registered nodes that cannot be reached.
    std::vector<std::string> unreachable;
};

/// One registered node, for the operators' list.
struct node_report {
    std::string name;
    node_role role = node_role::target;
    std::string zone;
    incarnation id;
    /// Last revision that the node confirmed, 0 if it was not heard since this leader was elected.
    revision confirmed;
    /// Time since the node was last heard; nothing if it was not heard since this leader was elected.
    std::optional<std::chrono::milliseconds> silence;
    bool draining = false;
};

/// Durations of the leader's decisions.
struct membership_timing {
    /// A node that no relay has heard for this long leaves.
    std::chrono::milliseconds lease{6000};
    std::chrono::milliseconds min_backoff{1000};
    std::chrono::milliseconds max_backoff{60000};
    /// The back-off of a node is halved for each such period without a join.
    std::chrono::milliseconds backoff_half_life{60000};
};

/// What to do about an announcement: propose `change`, send `reply`, or both; neither if a proposal for the
/// same node is under way.
struct announce_decision {
    std::optional<wire::change> change;
    std::optional<wire::announce_reply> reply;
};

/// The leader's soft state about nodes: leases, join back-off, replaced incarnations. Starts empty at each
/// election. Decides which changes to propose; they take effect only once applied to the table.
class membership {
public:
    membership(membership_timing timing, counters& counted);

    /// Forgets everything and starts the first lease. Call when this process becomes leader.
    void start(time_point now);

    /// Starts the leases anew. Call while this leader has no valid lease of its own: what it heard of nodes
    /// meanwhile says nothing about them.
    void restart_leases(time_point now) noexcept { started_ = now; }

    /// Decides about an announcement. `table` reflects all entries of earlier terms.
    announce_decision on_announce(time_point now, const wire::announce& request, const table_state& table);
    /// Returns leave changes of nodes whose lease has ended. At most a fifth of a service's targets (at least
    /// one) leaves each second; balancers count as one service. Call at least every second: a longer pause
    /// of this process starts the leases anew.
    std::vector<wire::change> expire_leases(time_point now, const table_state& table, const relay& heard);

    /// Notes that a proposed change was applied, with its outcome. Returns the answer to the announcement
    /// that caused a join, if any.
    std::optional<wire::announce_reply> on_applied(time_point now, const wire::change& change,
                                                   const apply_outcome& outcome);
    /// Notes that a change could not be proposed, so that it is tried again.
    void forget_proposal(const wire::change& change);

    /// Where revision `at` stands. `known` is false before the first lease has passed.
    [[nodiscard]] in_force_status status(time_point now, revision at, const table_state& table,
                                         const relay& heard) const;
    /// Lists all registered nodes.
    [[nodiscard]] std::vector<node_report> nodes(time_point now, const table_state& table,
                                                 const relay& heard) const;

private:
    // Join history of one endpoint, for the back-off and against announcements of former starts.
    struct join_history {
        std::chrono::milliseconds backoff{0};
        time_point last_join;
        time_point next_join;
        /// Nonces that have left; a delayed announcement of one must not join again.
        std::vector<std::int64_t> retired;
        /// A new nonce while the present incarnation may be alive, and when it was first announced.
        std::int64_t contender = 0;
        time_point contender_since;
    };

    // How many targets of a service have been expired in the current second.
    struct expiry_window {
        time_point start;
        std::size_t count = 0;
    };

    using node_key = std::pair<node_role, endpoint>;

    announce_decision decide_present(time_point now, const wire::announce& request, incarnation id,
                                     bool draining);
    announce_decision decide_join(time_point now, const wire::announce& request, const table_state& table,
                                  std::optional<incarnation> present);
    [[nodiscard]] bool under_way(time_point now, std::int64_t id);
    bool may_expire(time_point now, service_id group, std::size_t size);
    void note_join(time_point now, const node_key& key);
    void retire(const node_key& key, std::int64_t nonce);
    [[nodiscard]] bool first_lease_over(time_point now) const;
    [[nodiscard]] bool expired(time_point now, incarnation id, const relay& heard) const;

    membership_timing timing_;
    counters* counted_;
    time_point started_;
    time_point last_expire_;
    std::map<node_key, join_history> history_;
    std::map<service_id, expiry_window> windows_;
    // Proposals that are not applied yet: nonces of joins and incarnations of other changes, with their time.
    std::map<std::int64_t, time_point> proposed_;
    // When incarnations that joined under this leader did so; their lease runs from then.
    std::map<incarnation, time_point> joined_;
    // Names and nonces of targets and nodes at the time a leave was proposed.
    std::map<incarnation, std::pair<node_key, std::int64_t>> leaving_;
};

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "peridotcleat/counters.h"
#include "peridotcleat/outbox.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat {

/// Limits of a relay's traffic. Zero means no limit.
struct relay_limits {
    /// Children beyond this number are asked to find another parent.
    std::size_t children = 0;
    /// Bytes sent and received in a second; objects and notices wait while this is exceeded. Pulls of nodes
    /// that have no table yet are not limited.
    std::size_t bytes_per_second = 0;

    /// Limits of a balancer, for 3,000 bytes of control traffic a second. There are 7.6 agents for a
    /// balancer.
    static constexpr relay_limits of_balancer() { return {9, 2600}; }
};

/// Digest of the addresses of parents, in ascending order, by which a node says which ones it knows.
std::int64_t parents_digest(const std::vector<endpoint>& parents);

/// A child of a relay or control process as last heard.
struct child_state {
    incarnation id;
    endpoint address;
    revision confirmed;
    time_point heard;
    /// Revision of the last change_notice that was sent to the child.
    revision notified;
    /// Since when it has pulled without a pause.
    time_point since;
    /// Number of replies in a row that held objects back.
    std::uint32_t held_back = 0;
};

/// A node somewhere below a relay, as far as the relay knows.
struct node_liveness {
    revision confirmed;
    time_point last_heard;
};

/// What a relay or control process knows of its table.
struct table_standing {
    /// Age of the table's information.
    std::chrono::milliseconds age{0};
    /// A quorum has confirmed the table after the pull arrived.
    bool confirmed = false;
    /// Control process that can confirm it, if this one cannot.
    std::optional<endpoint> leader = {};
};

/// Serves pulls from a table, remembers the children, notifies them of changes and reports them upwards.
/// Used by balancers (towards agents) and by control (towards balancers and other control processes).
///
/// A report names a node again only when its confirmed revision changes, when it falls silent and when it is
/// heard again. In between, a node that was reported alive counts as heard whenever the reporting relay is.
class relay {
public:
    /// A node that was silent for this long is reported as lost.
    static constexpr std::chrono::milliseconds silence_limit{4000};
    /// A node that was silent for this long is forgotten.
    static constexpr std::chrono::milliseconds forget_limit{12000};

    /// Creates a relay that knows no node yet and counts its events in `counted`.
    relay(relay_limits limits, counters& counted);

    /// Answers pull_request from `table`.
    void on_pull(time_point now, const endpoint& from, const wire::pull_request& request,
                 const table_state& table, const table_standing& standing, outbox& out);
    /// Sets the addresses that children are told to pull from, in ascending order. Without any, children keep
    /// to those of their settings.
    void set_parents(std::vector<endpoint> parents) { parents_ = std::move(parents); }
    /// Sends change_notice to children that lag behind `table`, after it has changed.
    void on_table_changed(time_point now, const table_state& table, outbox& out);
    /// Passes an announcement of a child to `parent`. The answer comes back to `own_address`.
    void on_announce(time_point now, const wire::announce& request, const endpoint& own_address,
                     const endpoint& parent, outbox& out);
    /// Remembers who asked, for a process that answers itself by `on_announce_reply`.
    void record_announce(time_point now, const wire::announce& request);
    /// Passes an answer on to the child that asked. Returns false if no child asked.
    bool on_announce_reply(time_point now, const wire::announce_reply& reply, outbox& out);
    /// Takes the report of a relay or control process below this one.
    void on_report(time_point now, const endpoint& from, const wire::relay_report& report, outbox& out);
    /// Sends the report that is due to `parent`, under the relay's own incarnation (0 for control), and
    /// forgets nodes that were silent for long. Without a valid `parent` nothing is sent.
    void on_tick(time_point now, incarnation own, std::int64_t nonce, const endpoint& parent, outbox& out);
    void on_report_reply(time_point now, const wire::relay_report_reply& reply);

    /// Children that pull from this relay, in order of incarnation.
    [[nodiscard]] const std::vector<child_state>& children() const noexcept { return children_; }
    /// What is known of `id`, directly or through reports; nothing if it was never heard.
    [[nodiscard]] std::optional<node_liveness> find(incarnation id) const;
    /// Number of nodes that are remembered, reported ones included.
    [[nodiscard]] std::size_t size() const noexcept { return nodes_.size(); }

private:
    // One relay's view of a node. `via` is 0 for a child of this relay.
    struct sighting {
        std::uint32_t via = 0;
        revision confirmed;
        time_point heard;
        bool live = true;
    };

    struct node_record {
        std::vector<sighting> sightings;
        // As last acknowledged by the parent.
        bool reported = false;
        bool reported_live = false;
        revision reported_revision;
    };

    // A relay below this one.
    struct lower_relay {
        std::uint32_t number = 0;
        std::int64_t nonce = 0;
        std::int64_t sequence = 0;
        bool complete = false;
        time_point heard;
    };

    struct pending_announce {
        endpoint reply_to;
        time_point asked;
    };

    child_state* note_child(time_point now, const endpoint& from, const wire::pull_request& request);
    [[nodiscard]] bool crowded_for(time_point now, const child_state& child) const;
    bool hold_back(time_point now, child_state* child, std::size_t bytes);
    /// Bytes of the last second.
    std::size_t recent_bytes(time_point now);
    void count_bytes(time_point now, std::size_t bytes);
    void take_children(time_point now, const wire::relay_report& report, const lower_relay& from);
    void forget_sightings(std::uint32_t via);
    void forget_silent(time_point now, bool has_parent);
    void send_report(time_point now, incarnation own, std::int64_t nonce, const endpoint& parent,
                     outbox& out);
    [[nodiscard]] time_point heard_at(const sighting& s) const;
    [[nodiscard]] node_liveness summary(const node_record& record) const;

    struct used_bytes {
        time_point when;
        std::size_t bytes = 0;
    };

    counters* counted_;
    relay_limits limits_;
    std::vector<endpoint> parents_;
    // Traffic of the last second, oldest first, and its sum.
    std::deque<used_bytes> used_;
    std::size_t used_sum_ = 0;
    std::vector<child_state> children_;
    std::map<incarnation, node_record> nodes_;
    std::map<endpoint, lower_relay> lower_;
    // Time at which each lower relay was last heard, by its number; number 0 is unused.
    std::map<std::uint32_t, time_point> lower_heard_;
    std::uint32_t next_lower_ = 1;
    std::map<std::int64_t, pending_announce> announces_;

    // Reports upwards.
    endpoint parent_;
    std::int64_t sequence_ = 0;
    bool full_due_ = true;
    bool urgent_ = false;
    std::optional<wire::relay_report> unacknowledged_;
    time_point last_report_;
    time_point last_scan_;
    time_point last_cleaned_;
};

}  // namespace peridotcleat

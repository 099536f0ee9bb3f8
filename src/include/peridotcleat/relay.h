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

/// Limits of a relay's children and traffic. Zero means no limit.
struct relay_limits {
    /// Maximum number of children. Further children are told in each reply to choose another parent.
    std::size_t children = 0;
    /// Maximum number of bytes sent and received in one second. Table objects and change notices are deferred
    /// while this limit is exceeded. Replies to nodes that have no table yet are not limited.
    std::size_t bytes_per_second = 0;

    /// Limits of a balancer, which keep its control traffic within 3,000 bytes per second. There are 7.6
    /// agents per balancer.
    static constexpr relay_limits of_balancer() { return {9, 2600}; }
};

/// Returns the digest of `parents`, which must be in ascending order. A node sends this digest to tell its
/// parent which other parents it knows.
std::int64_t parents_digest(const std::vector<endpoint>& parents);

/// State of a child of a relay or control process, as of the child's last pull.
struct child_state {
    incarnation id;
    endpoint address;
    /// Highest revision that the child is known to have in its table.
    revision confirmed;
    time_point last_heard;
    /// Revision in the last change_notice that was sent to the child.
    revision notified_revision;
    /// Start of the current period in which the child has pulled without a long gap.
    time_point pulling_since;
    /// Number of consecutive replies in which objects were deferred to a later pull.
    std::uint32_t consecutive_deferrals = 0;
};

/// Last contact with a node that is a direct or indirect child of a relay, as known to the relay.
struct node_liveness {
    /// Highest revision that the node is known to have in its table.
    revision confirmed;
    time_point last_heard;
};

/// How current the table of a relay or control process is.
struct table_freshness {
    /// Upper bound of the age of the table's content.
    std::chrono::milliseconds age{0};
    /// True if a quorum confirmed the table after the pull had arrived.
    bool confirmed = false;
    /// Control process that can confirm the table, if this process cannot.
    std::optional<endpoint> leader = {};
};

/// Answers pulls from a table, tracks the children that pull, notifies them of changes and reports their
/// state to a parent. Balancers use a relay to serve agents; control processes use one to serve balancers and
/// other control processes.
///
/// Reports are incremental: a report includes a node only if the node is new, its confirmed revision has
/// changed, it has fallen silent or it is heard again. Otherwise a node that was last reported alive counts
/// as heard each time the relay that reported it is heard.
class relay {
public:
    /// A node that has been silent for this long is reported as lost.
    static constexpr std::chrono::milliseconds silence_limit{4000};
    /// The state of a node that has been silent for this long is discarded once the parent knows of its loss.
    static constexpr std::chrono::milliseconds forget_limit{12000};

    /// Creates a relay without children that counts its events in `counted`, which must outlive the relay.
    relay(relay_limits limits, counters& counted);

    /// Answers a pull_request from `table` and records the sender as a child.
    void on_pull(time_point now, const endpoint& from, const wire::pull_request& request,
                 const table_state& table, const table_freshness& freshness, outbox& out);
    /// Sets the addresses from which children are told to pull; `parents` must be in ascending order. If it
    /// is empty, children use the parents in their settings.
    void set_parents(std::vector<endpoint> parents) { parents_ = std::move(parents); }
    /// Sends a change_notice to the children that lag behind `table`. Call after the table has changed.
    void on_table_changed(time_point now, const table_state& table, outbox& out);
    /// Forwards an announcement of a child to `parent` and sets its reply address to `own_address`, to which
    /// the parent sends the reply. Drops an announcement with too many hops, and one for which `parent` is
    /// invalid or which would loop back to this process.
    void on_announce(time_point now, const wire::announce& request, const endpoint& own_address,
                     const endpoint& parent, outbox& out);
    /// Records the reply address of an announcement without forwarding it, for a process that decides on the
    /// announcement itself and passes its reply to `on_announce_reply`.
    void record_announce(time_point now, const wire::announce& request);
    /// Forwards a reply to the sender of the announcement. Returns false if the announcement is unknown.
    bool on_announce_reply(time_point now, const wire::announce_reply& reply, outbox& out);
    /// Applies the report of a relay or control process whose parent is this process, and acknowledges it.
    void on_report(time_point now, const endpoint& from, const wire::relay_report& report, outbox& out);
    /// Sends a report to `parent` if one is due, and discards the state of nodes that were silent for long
    /// (`forget_limit`, and until the parent has acknowledged the loss of a node it regards as live). `own`
    /// is the incarnation of this relay, 0 for a control process. Nothing is sent if `parent` is invalid.
    void on_tick(time_point now, incarnation own, std::int64_t nonce, const endpoint& parent, outbox& out);
    /// Handles the acknowledgement of the last report; others are ignored.
    void on_report_reply(time_point now, const wire::relay_report_reply& reply);

    /// Children that pull from this relay, in ascending order of incarnation.
    [[nodiscard]] const std::vector<child_state>& children() const noexcept { return children_; }
    /// Returns the last contact with `id`, direct or through reports, or nothing if there is none.
    [[nodiscard]] std::optional<node_liveness> find(incarnation id) const;
    /// Number of nodes whose state is kept: direct children and nodes known only from reports.
    [[nodiscard]] std::size_t size() const noexcept { return nodes_.size(); }

private:
    // State of a node as seen by one relay: this relay (`relay_number` 0) or a child relay that reported it.
    struct observation {
        std::uint32_t relay_number = 0;
        revision confirmed;
        time_point last_heard;
        bool live = true;
    };

    struct node_record {
        std::vector<observation> observations;
        // State of the node in the last report that the parent acknowledged.
        bool reported = false;
        bool reported_live = false;
        revision reported_revision;
    };

    // A relay or control process that sends its reports to this one.
    struct child_relay {
        std::uint32_t number = 0;
        std::int64_t nonce = 0;
        std::int64_t sequence = 0;
        bool complete = false;
        time_point last_heard;
    };

    // An announcement that waits for its reply.
    struct pending_announce {
        endpoint reply_to;
        time_point received_at;
    };

    child_state* record_child(time_point now, const endpoint& from, const wire::pull_request& request);
    [[nodiscard]] bool exceeds_child_limit(time_point now, const child_state& child) const;
    bool defer_objects(time_point now, child_state* child, std::size_t bytes);
    /// Returns the number of bytes sent and received in the last second.
    std::size_t recent_bytes(time_point now);
    void count_bytes(time_point now, std::size_t bytes);
    void apply_child_reports(time_point now, const wire::relay_report& report, const child_relay& from);
    void forget_observations(std::uint32_t relay_number);
    void forget_silent(time_point now, bool has_parent);
    void send_report(time_point now, incarnation own, std::int64_t nonce, const endpoint& parent,
                     outbox& out);
    [[nodiscard]] time_point effective_last_heard(const observation& s) const;
    [[nodiscard]] node_liveness combined_liveness(const node_record& record) const;

    struct traffic_sample {
        time_point time;
        std::size_t bytes = 0;
    };

    counters* counted_;
    relay_limits limits_;
    std::vector<endpoint> parents_;
    // Traffic of the last second, oldest sample first, and the sum of its bytes.
    std::deque<traffic_sample> recent_traffic_;
    std::size_t recent_traffic_bytes_ = 0;
    std::vector<child_state> children_;
    std::map<incarnation, node_record> nodes_;
    std::map<endpoint, child_relay> child_relays_;
    // Time at which each child relay was last heard, by its number. Numbers start at 1.
    std::map<std::uint32_t, time_point> child_relays_last_heard_;
    std::uint32_t next_relay_number_ = 1;
    std::map<std::int64_t, pending_announce> pending_announces_;

    // State of the reports to the parent.
    endpoint parent_;
    std::int64_t last_sequence_ = 0;
    bool full_report_due_ = true;
    bool urgent_report_due_ = false;
    std::optional<wire::relay_report> unacknowledged_;
    time_point last_report_;
    time_point last_report_check_;
    time_point last_cleanup_;
};

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "peridotcleat/counters.h"
#include "peridotcleat/outbox.h"
#include "peridotcleat/table_copy.h"

namespace peridotcleat {

/// Role of a node. The values are written to the wire.
enum class node_role : std::uint8_t { target = 1, balancer = 2 };

/// State that a node announces. The values are written to the wire.
enum class node_state : std::uint8_t { active = 0, draining = 1, leaving = 2 };

/// Settings of a node's link to its parents.
struct node_link_settings {
    node_role role = node_role::balancer;
    std::string name;
    std::string zone;
    /// Address at which this process receives messages.
    endpoint address;
    /// Addresses of the relays or control processes to pull from.
    std::vector<endpoint> parents;
    /// True if the node also pulls from the further parents that its parents list in their replies.
    bool discover_parents = false;
    std::chrono::milliseconds pull_interval{1000};
    /// Time between two pulls, and between two announcements, of a node that is not in its table yet.
    std::chrono::milliseconds join_interval{1000};
    /// Delay from the start to the first pull, for nodes whose first table is not urgent.
    std::chrono::milliseconds first_pull_delay{0};
    /// The node changes to another parent if its parent has been silent for longer than this, or if the
    /// parent's table is older than this.
    std::chrono::milliseconds parent_timeout{3000};
    /// Seed of the random numbers. Must differ at each start of the process, because the nonce that
    /// identifies the start is derived from it.
    std::uint64_t seed = 0;
};

/// Service and capacity that a target offers, as announced by the upstream on the same VM as the agent.
struct target_offer {
    std::string service_name;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
};

/// Keeps a node's copy of the table current and keeps the node registered in the table: pulls deltas from one
/// parent at a time, changes to another parent if necessary, announces the node until it has joined, and
/// announces that it drains or leaves.
class node_link {
public:
    /// Creates a link that counts its events in `counted`, which must outlive the link. Fails with
    /// `invalid_setting` if `settings` has no parent or an empty name.
    static result<node_link> create(node_link_settings settings, counters& counted);

    /// Sets the service and capacity to announce. A target is not announced before this has been called.
    void set_offer(const target_offer& value);
    /// Changes the announced state. `leaving` means that the node holds no flow and may be removed.
    void set_state(node_state state);

    /// Adds parents to pull from, for example after the settings have changed. Known ones are ignored.
    void add_parents(const std::vector<endpoint>& addresses);

    /// Handles pull_reply, change_notice, announce_reply and stale_notice; ignores other messages.
    void on_message(time_point now, const endpoint& from, const message& m, outbox& out);
    /// Sends the pulls and announcements that are due. Call at least every 50 ms.
    void on_tick(time_point now, outbox& out);
    /// Pulls at once if the revision `seen` in a message or packet is newer than the table, unless the last
    /// pull was sent too recently.
    void on_newer_revision(time_point now, revision seen, outbox& out);

    /// Asks the leader of the control processes to confirm the table, unless the last request was sent too
    /// recently or may still be answered.
    void request_confirmation(time_point now, outbox& out);
    /// Time as of which the table is confirmed to hold all committed entries; nothing before the first
    /// confirmation.
    [[nodiscard]] std::optional<time_point> confirmed_as_of() const noexcept { return confirmed_as_of_; }

    [[nodiscard]] const table_state& table() const noexcept { return table_copy_.table(); }
    /// Incarnation of the node after it has joined; 0 before.
    [[nodiscard]] incarnation id() const noexcept { return id_; }
    /// Nonce that the node currently announces; each incarnation has a new one.
    [[nodiscard]] std::int64_t nonce() const noexcept { return nonce_; }
    /// Address of the current parent, from which the node pulls.
    [[nodiscard]] const endpoint& parent() const noexcept { return parents_[current_parent_].address; }
    /// Addresses of all known parents, the most preferred first.
    [[nodiscard]] std::vector<endpoint> parents() const;
    /// The announced state.
    [[nodiscard]] node_state state() const noexcept { return state_; }
    /// True from the time at which the table has reached the revision of the node's own join until it no
    /// longer holds the node.
    [[nodiscard]] bool ready() const noexcept;
    /// True from the time at which the table no longer holds this node, after it had joined, until it joins
    /// again.
    [[nodiscard]] bool removed() const noexcept { return removed_; }
    /// Upper bound of the age of the table: the age that the parent reported plus the time since the pull
    /// that the parent answered. One hour before the first complete table.
    [[nodiscard]] std::chrono::milliseconds age(time_point now) const;
    /// Returns and clears the services that were changed since the last call. Sets `changed` to whether a
    /// delta was applied since then.
    std::vector<service_id> take_touched(bool& changed);

private:
    // State of one parent as known to this node.
    struct parent_state {
        endpoint address;
        /// Latest time as of which the parent's table is known to have been current.
        time_point fresh_as_of;
        /// Time of the last reply whose age was within `parent_timeout` and whose revision was not behind
        /// this node's own table.
        time_point last_good_reply;
        /// Time of the earliest pull since the last reply; nothing if no pull is unanswered.
        std::optional<time_point> unanswered_since;
        /// The parent has too many children and told this node to choose another parent.
        bool crowded = false;
    };

    node_link(node_link_settings settings, counters& counted);

    void on_pull_reply(time_point now, const endpoint& from, const wire::pull_reply& reply, outbox& out);
    void update_discovered_parents(const std::vector<wire::endpoint>& addresses);
    void on_announce_reply(time_point now, const wire::announce_reply& reply);
    void switch_parent_if_better(time_point now, std::size_t index);
    void pull(time_point now, std::size_t index, outbox& out);
    [[nodiscard]] wire::pull_request make_request() const;
    void send_confirmation_request(time_point now, const endpoint& to, outbox& out);
    void on_confirmation_reply(time_point now, const endpoint& from, const wire::pull_reply& reply,
                               outbox& out);
    page_outcome apply_page(const wire::table_page& page, time_point as_of);
    void log_table_staleness(time_point now);
    void pull_first_table(time_point now, outbox& out);
    void refresh_table(time_point now, outbox& out);
    void probe_other_parents(time_point now, outbox& out);
    void announce(time_point now, outbox& out);
    void find_own_entry();
    void on_joined(incarnation id);
    [[nodiscard]] bool in_table(incarnation id) const;
    [[nodiscard]] bool announcement_due() const;
    [[nodiscard]] std::chrono::microseconds jittered(std::chrono::microseconds interval);

    node_link_settings settings_;
    counters* counted_;
    table_copy table_copy_;
    std::mt19937_64 random_;
    std::int64_t nonce_ = 0;
    incarnation id_;
    node_state state_ = node_state::active;
    std::optional<target_offer> offer_;
    bool removed_ = false;

    /// Parents listed in the last reply that listed any, in ascending order.
    std::vector<endpoint> discovered_parents_;
    /// Known parents in order of preference, the most preferred first.
    std::vector<parent_state> parents_;
    /// Index of the current parent in `parents_`.
    std::size_t current_parent_ = 0;
    std::size_t next_probe_ = 0;
    bool started_ = false;
    bool control_lost_ = false;
    time_point next_pull_;
    time_point last_pull_;
    time_point next_preferred_probe_;
    time_point next_crowded_probe_;
    time_point next_announce_;
    /// Latest time as of which the table is known to hold the parent's complete state.
    std::optional<time_point> complete_as_of_;
    std::optional<time_point> confirmed_as_of_;
    /// The process that confirmed the table last, or the leader that was named in the last answer.
    std::optional<endpoint> leader_;
    /// Number and time of the last request for a confirmation, and whether its answer is pending.
    std::int32_t last_confirm_number_ = 0;
    time_point confirmation_requested_at_;
    bool confirmation_pending_ = false;

    std::vector<service_id> touched_services_;
    bool table_changed_ = false;
};

}  // namespace peridotcleat

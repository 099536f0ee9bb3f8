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

/// Role of a node in the table.
enum class node_role : std::uint8_t { target = 1, balancer = 2 };

/// State that a node announces.
enum class node_state : std::uint8_t { active = 0, draining = 1, leaving = 2 };

/// Settings of a node's link to its parents.
struct node_link_settings {
    node_role role = node_role::balancer;
    std::string name;
    std::string zone;
    /// Where this process takes messages.
    endpoint address;
    /// Relays or control processes to pull from.
    std::vector<endpoint> parents;
    /// The parents name others in their replies, which are then pulled from too.
    bool discover_parents = false;
    std::chrono::milliseconds pull_interval{1000};
    /// Time between two pulls and two announcements of a node that has no place in its table yet.
    std::chrono::milliseconds join_interval{1000};
    /// Time from the start to the first pull, for nodes that can wait for their table.
    std::chrono::milliseconds first_pull_delay{0};
    /// A parent that is silent or whose state is older than this is left.
    std::chrono::milliseconds parent_timeout{3000};
    /// Must differ at each start of the process: the nonce of the start is derived from it.
    std::uint64_t seed = 0;
};

/// What a target serves; announced by the upstream beside the agent.
struct target_offer {
    std::string service_name;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
};

/// Keeps a node's table current and its place in the table: pulls deltas from one parent at a time, changes
/// parents, announces the node until it has joined, and announces draining and leaving.
class node_link {
public:
    /// Fails with `invalid_setting` if there is no parent or the name is empty.
    static result<node_link> create(node_link_settings settings, counters& counted);

    /// Announces the node; a target needs an offer first.
    void set_offer(const target_offer& value);
    /// Changes the state that is announced. `leaving` means: holds no flow, may be removed.
    void set_state(node_state state);

    /// Adds parents of changed settings.
    void add_parents(const std::vector<endpoint>& addresses);

    /// Handles pull_reply, change_notice, announce_reply and stale_notice; ignores others.
    void on_message(time_point now, const endpoint& from, const message& m, outbox& out);
    /// Sends pulls and announcements that are due. Call at least every 50 ms.
    void on_tick(time_point now, outbox& out);
    /// Pulls at once because a newer revision was seen.
    void on_newer_revision(time_point now, revision seen, outbox& out);

    /// Asks the leader of control to confirm the table, unless it has just been asked.
    void request_confirmation(time_point now, outbox& out);
    /// The table holds all that was committed at this time; nothing before the first confirmation.
    [[nodiscard]] std::optional<time_point> confirmed_as_of() const noexcept { return confirmed_as_of_; }

    [[nodiscard]] const table_state& table() const noexcept { return copy_.table(); }
    /// Identity after the join, 0 before.
    [[nodiscard]] incarnation id() const noexcept { return id_; }
    /// Nonce that the node announces at present; a new one for each incarnation.
    [[nodiscard]] std::int64_t nonce() const noexcept { return nonce_; }
    /// The parent that is pulled from at present.
    [[nodiscard]] const endpoint& parent() const noexcept { return parents_[current_].address; }
    /// The state that is announced.
    [[nodiscard]] node_state state() const noexcept { return state_; }
    /// True once the table has reached the node's own join revision, as long as it holds the node.
    [[nodiscard]] bool ready() const noexcept;
    /// True once the table no longer holds this node after it had joined, until it joins again.
    [[nodiscard]] bool removed() const noexcept { return removed_; }
    /// Age of the table's information, at most: parent's age plus the time since the pull it answered. An
    /// hour before the first complete table.
    [[nodiscard]] std::chrono::milliseconds age(time_point now) const;
    /// Returns and clears the services touched since the last call; true in `changed` if a delta was applied.
    std::vector<service_id> take_touched(bool& changed);

private:
    // What is known of one parent.
    struct parent_state {
        endpoint address;
        /// The parent's state was current at this time.
        time_point fresh_as_of;
        /// Last reply that was recent and not behind this node's own table.
        time_point good;
        /// Earliest pull that has not been answered.
        std::optional<time_point> unanswered;
        /// It asked this node to find another parent.
        bool crowded = false;
    };

    node_link(node_link_settings settings, counters& counted);

    void take_reply(time_point now, const endpoint& from, const wire::pull_reply& reply, outbox& out);
    void take_parents(const std::vector<wire::endpoint>& named);
    void take_announce_reply(time_point now, const wire::announce_reply& reply);
    void update_parent(time_point now, std::size_t index);
    void pull(time_point now, std::size_t index, outbox& out);
    [[nodiscard]] wire::pull_request make_request() const;
    void ask_to_confirm(time_point now, const endpoint& to, outbox& out);
    void take_confirmation(time_point now, const endpoint& from, const wire::pull_reply& reply, outbox& out);
    page_outcome take_page(const wire::table_page& page, time_point as_of);
    void watch_control(time_point now);
    void find_first_table(time_point now, outbox& out);
    void keep_current(time_point now, outbox& out);
    void probe(time_point now, outbox& out);
    void announce(time_point now, outbox& out);
    void find_own_entry();
    void joined(incarnation id);
    [[nodiscard]] bool listed(incarnation id) const;
    [[nodiscard]] bool announcement_due() const;
    [[nodiscard]] std::chrono::microseconds jittered(std::chrono::microseconds interval);

    node_link_settings settings_;
    counters* counted_;
    table_copy copy_;
    std::mt19937_64 random_;
    std::int64_t nonce_ = 0;
    incarnation id_;
    node_state state_ = node_state::active;
    std::optional<target_offer> offer_;
    bool removed_ = false;

    /// Addresses that parents named last, in ascending order.
    std::vector<endpoint> named_;
    /// In order of preference.
    std::vector<parent_state> parents_;
    std::size_t current_ = 0;
    std::size_t next_probe_ = 0;
    bool started_ = false;
    bool control_lost_ = false;
    time_point next_pull_;
    time_point last_pull_;
    time_point next_return_;
    time_point next_move_;
    time_point next_announce_;
    /// The table held the parent's whole state at this time.
    std::optional<time_point> complete_as_of_;
    std::optional<time_point> confirmed_as_of_;
    /// Who confirmed last or is said to lead.
    std::optional<endpoint> leader_;
    /// Last request to confirm, and whether its answer is waited for.
    std::int32_t confirm_number_ = 0;
    time_point confirm_asked_;
    bool confirm_open_ = false;

    std::vector<service_id> touched_;
    bool changed_ = false;
};

}  // namespace peridotcleat

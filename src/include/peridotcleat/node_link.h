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
    std::chrono::milliseconds pull_interval{1000};
    std::chrono::milliseconds parent_timeout{3000};
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
    void offer(const target_offer& value);
    /// Changes the state that is announced. `leaving` means: holds no flow, may be removed.
    void set_state(node_state state);

    /// Handles pull_reply, change_notice, announce_reply and stale_notice; ignores others.
    void on_message(time_point now, const endpoint& from, const message& m, outbox& out);
    /// Sends pulls and announcements that are due. Call at least every 50 ms.
    void on_tick(time_point now, outbox& out);
    /// Pulls at once because a newer revision was seen.
    void on_newer_revision(time_point now, revision seen, outbox& out);

    [[nodiscard]] const table_state& table() const noexcept { return copy_.table(); }
    /// Identity after the join, 0 before.
    [[nodiscard]] incarnation id() const noexcept { return id_; }
    /// True once the table has reached the node's own join revision.
    [[nodiscard]] bool ready() const noexcept;
    /// True once the table no longer holds this node after it had joined.
    [[nodiscard]] bool removed() const noexcept;
    /// Age of the table's information, at most: parent's age plus the time since its last reply.
    [[nodiscard]] std::chrono::milliseconds age(time_point now) const;
    /// Returns and clears the services touched since the last call; true in `changed` if a delta was applied.
    std::vector<service_id> take_touched(bool& changed);

private:
    table_copy copy_;
    incarnation id_;
};

}  // namespace peridotcleat

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "peridotcleat/control.h"
#include "testing/control_cluster.h"

namespace peridotcleat::testing {

/// Thrown when an invariant of the control plane is violated.
class control_violation : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Checks the invariants of control processes, relays and nodes while a cluster runs. It checks the tables
/// and answers themselves and relies on no counter or status of the processes. Each check throws
/// `control_violation` if it fails.
class control_checker {
public:
    /// Checks the table of a control process after each of its events.
    void on_control(time_point now, std::size_t process, const table_state& table)
    {
        observed_control& observed = observed_controls_[process];
        if (table.current_revision() == observed.table_revision) {
            return;
        }
        require(table.current_revision() > observed.table_revision,
                "the table revision of a running control process decreased", table.current_revision().value);
        observed.table_revision = table.current_revision();
        check_digest(table);
        for (auto it = table.patches().upper_bound(observed.version); it != table.patches().end(); ++it) {
            record_accepted_patch(now, it->second);
        }
        if (!table.patches().empty()) {
            observed.version = table.patches().rbegin()->first;
        }
        require(table.version().value == observed.version.value,
                "the table has a version without the record of its patch", table.version().value);
        count_joins(now, table);
    }
    /// Forgets the last observation of a control process that is started and rebuilds its table from its
    /// disk.
    void on_control_started(std::size_t process) { observed_controls_.erase(process); }

    /// Checks the table of a node after each of its events.
    void on_node(const node_process& node)
    {
        if (!node.link || !node.link->ready()) {
            return;
        }
        const table_state& table = node.link->table();
        observed_node& observed = observed_nodes_[node.address];
        if (table.current_revision() == observed.table_revision) {
            return;
        }
        require(table.current_revision() > observed.table_revision,
                node.name + ": the table revision of a ready node decreased", table.current_revision().value);
        require(table.version() >= observed.version, node.name + ": the version of a ready node decreased",
                table.version().value);
        observed = {table.current_revision(), table.version()};
        check_digest(table);
    }

    /// Counts an attempt of an operator to submit a patch.
    void on_attempt(const wire::patch& patch) { ++attempts_[patch.patch_id]; }

    /// Checks the answer to a patch for which the operator was still waiting.
    void on_answer(const wire::patch& patch, const patch_answer& answer)
    {
        const auto accepted = acceptance_by_patch_.find(patch.patch_id);
        const bool is_accepted = accepted != acceptance_by_patch_.end();
        switch (answer.status) {
        case patch_status::accepted:
        case patch_status::already_accepted:
            require(is_accepted, patch.patch_id + ": answered accepted but not in any table",
                    answer.version.value);
            require(answer.version.value == patch.base + 1 && accepted->second.version == answer.version,
                    patch.patch_id + ": accepted as another version", answer.version.value);
            require(answer.status == patch_status::already_accepted ||
                        answered_accepted_.insert(patch.patch_id).second,
                    patch.patch_id + ": two attempts answered accepted", answer.version.value);
            break;
        case patch_status::conflict:
        case patch_status::invalid:
            require(!is_accepted, patch.patch_id + ": answered conflict or invalid although accepted",
                    answer.version.value);
            refused_.insert(patch.patch_id);
            break;
        case patch_status::not_accepted:
            require(!is_accepted, patch.patch_id + ": answered not_accepted although accepted",
                    answer.version.value);
            attempts_at_not_accepted_[patch.patch_id] = attempts_[patch.patch_id];
            break;
        case patch_status::outcome_unknown: break;
        }
        require(answer.version.value <= highest_version(), "an answer names a version that does not exist",
                answer.version.value);
    }

    /// Checks a leader's report that a version is in force everywhere.
    void on_status(const in_force_status& status, const std::vector<std::unique_ptr<node_process>>& nodes,
                   const table_state& leader_table)
    {
        if (!status.everywhere) {
            return;
        }
        for (const auto& node : nodes) {
            const bool named = std::ranges::find(status.unreachable, node->name) != status.unreachable.end();
            if (named || !node->link || !node->link->ready() || !registered(leader_table, *node)) {
                continue;
            }
            require(node->link->table().current_revision() >= status.table_revision,
                    node->name + ": lacks a version that is reported to be in force everywhere",
                    status.version.value);
        }
    }

    /// Number of joins of `agent` since the start.
    [[nodiscard]] std::size_t joins_of(const endpoint& agent) const
    {
        const auto it = joins_.find(agent);
        return it == joins_.end() ? 0 : it->second.size();
    }
    /// Number of accepted versions.
    [[nodiscard]] std::size_t accepted() const noexcept { return patch_by_version_.size(); }
    [[nodiscard]] std::int64_t highest_version() const
    {
        return patch_by_version_.empty() ? 0 : patch_by_version_.rbegin()->first.value;
    }
    [[nodiscard]] bool is_accepted(const std::string& id) const { return acceptance_by_patch_.contains(id); }

    /// Checks that the leader's table, after all faults are repaired, holds all accepted versions.
    void check_accepted_versions(const table_state& table) const
    {
        for (const auto& [version, id] : patch_by_version_) {
            const auto record = table.patches().find(version);
            require(record != table.patches().end() && record->second.patch_id == id,
                    "an accepted version was lost or changed", version.value);
        }
    }

    static void require(bool condition, const std::string& violation, std::int64_t value)
    {
        if (!condition) {
            throw control_violation(violation + " (" + std::to_string(value) + ")");
        }
    }

private:
    struct observed_control {
        revision table_revision;
        config_version version;
    };
    struct observed_node {
        revision table_revision;
        config_version version;
    };
    struct acceptance {
        config_version version;
        time_point time;
    };

    static bool registered(const table_state& table, const node_process& node)
    {
        return node.kind == node_role::target ? table.targets().contains(node.link->id())
                                              : table.nodes().contains(node.link->id());
    }

    void record_accepted_patch(time_point now, const wire::patch_record& record)
    {
        const config_version version{record.config_version};
        const auto [it, added] = patch_by_version_.emplace(version, record.patch_id);
        require(it->second == record.patch_id, "two patches accepted as the same version", version.value);
        if (!added) {
            return;
        }
        require(acceptance_by_patch_.emplace(record.patch_id, acceptance{version, now}).second,
                record.patch_id + ": accepted twice", version.value);
        require(!refused_.contains(record.patch_id), record.patch_id + ": accepted after it was refused",
                version.value);
        const auto refusal = attempts_at_not_accepted_.find(record.patch_id);
        require(refusal == attempts_at_not_accepted_.end() || attempts_[record.patch_id] > refusal->second,
                record.patch_id + ": accepted after not_accepted was answered, without another attempt",
                version.value);
        require(record.time_ms >= last_time_ms_, "the time in log entries decreased", record.time_ms);
        last_time_ms_ = record.time_ms;
    }

    void check_digest(const table_state& table)
    {
        const auto [it, added] = digests_.emplace(table.current_revision(), table.digest());
        require(it->second == table.digest(), "two tables differ at the same revision",
                table.current_revision().value);
    }

    void count_joins(time_point now, const table_state& table)
    {
        for (auto it = table.targets().upper_bound(last_join_); it != table.targets().end(); ++it) {
            joins_[from_wire(it->second.agent)].insert({it->first, now});
        }
        if (!table.targets().empty()) {
            last_join_ = std::max(last_join_, table.targets().rbegin()->first);
        }
    }

    std::map<std::size_t, observed_control> observed_controls_;
    std::map<endpoint, observed_node> observed_nodes_;
    std::map<revision, std::uint64_t> digests_;
    std::map<config_version, std::string> patch_by_version_;
    std::map<std::string, acceptance> acceptance_by_patch_;
    std::map<std::string, std::size_t> attempts_;
    std::set<std::string> answered_accepted_;
    std::set<std::string> refused_;
    // Number of attempts that had been made when `not_accepted` was answered, by patch id.
    std::map<std::string, std::size_t> attempts_at_not_accepted_;
    std::map<endpoint, std::map<incarnation, time_point>> joins_;
    incarnation last_join_;
    std::int64_t last_time_ms_ = 0;
};

}  // namespace peridotcleat::testing

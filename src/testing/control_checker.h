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

/// A violated invariant of the control plane.
class control_violation : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Checks the invariants of control, relays and nodes while a cluster runs. It sees tables and answers from
/// outside and trusts no counter or status of the roles. Each check throws `control_violation`.
class control_checker {
public:
    /// A control process has applied entries.
    void on_control(time_point now, std::size_t process, const table_state& table)
    {
        seen_control& seen = controls_[process];
        if (table.current_revision() == seen.at) {
            return;
        }
        require(table.current_revision() > seen.at, "the table of a running control process went back",
                table.current_revision().value);
        seen.at = table.current_revision();
        check_digest(table);
        for (auto it = table.patches().upper_bound(seen.version); it != table.patches().end(); ++it) {
            note_accepted(now, it->second);
        }
        if (!table.patches().empty()) {
            seen.version = table.patches().rbegin()->first;
        }
        require(table.version().value == seen.version.value, "a version without the record of its patch",
                table.version().value);
        count_joins(now, table);
    }
    /// A control process was started; its table is built again from its disk.
    void on_control_started(std::size_t process) { controls_.erase(process); }

    /// A node was observed after an event.
    void on_node(const node_process& n)
    {
        if (!n.link || !n.link->ready()) {
            return;
        }
        const table_state& table = n.link->table();
        seen_node& seen = nodes_[n.address];
        if (table.current_revision() == seen.at) {
            return;
        }
        require(table.current_revision() > seen.at, n.name + ": the revision of a ready node fell",
                table.current_revision().value);
        require(table.version() >= seen.version, n.name + ": the version of a ready node fell",
                table.version().value);
        seen = {table.current_revision(), table.version()};
        check_digest(table);
    }

    /// An operator starts an attempt for a patch.
    void on_attempt(const wire::patch& p) { ++attempts_[p.patch_id]; }

    /// An operator got an answer for a patch that it was still waiting for.
    void on_answer(const wire::patch& p, const patch_answer& a)
    {
        const auto accepted = by_patch_.find(p.patch_id);
        const bool is_accepted = accepted != by_patch_.end();
        switch (a.status) {
        case patch_status::accepted:
        case patch_status::already_accepted:
            require(is_accepted, p.patch_id + ": answered accepted but in no table", a.version.value);
            require(a.version.value == p.base + 1 && accepted->second.version == a.version,
                    p.patch_id + ": accepted as another version", a.version.value);
            require(a.status == patch_status::already_accepted ||
                        answered_accepted_.insert(p.patch_id).second,
                    p.patch_id + ": two attempts answered accepted", a.version.value);
            break;
        case patch_status::conflict:
        case patch_status::invalid:
            require(!is_accepted, p.patch_id + ": refused although accepted", a.version.value);
            refused_.insert(p.patch_id);
            break;
        case patch_status::not_accepted:
            require(!is_accepted, p.patch_id + ": not accepted although accepted", a.version.value);
            not_accepted_[p.patch_id] = attempts_[p.patch_id];
            break;
        case patch_status::outcome_unknown: break;
        }
        require(a.version.value <= highest_version(), "an answer names a version that does not exist",
                a.version.value);
    }

    /// A leader reported the state of a version.
    void on_status(const in_force_status& s, const std::vector<std::unique_ptr<node_process>>& nodes,
                   const table_state& leaders_table)
    {
        if (!s.everywhere) {
            return;
        }
        for (const auto& n : nodes) {
            const bool named = std::ranges::find(s.unreachable, n->name) != s.unreachable.end();
            if (named || !n->link || !n->link->ready() || !registered(leaders_table, *n)) {
                continue;
            }
            require(n->link->table().current_revision() >= s.table_revision,
                    n->name + ": lacks a version that is reported in force everywhere", s.version.value);
        }
    }

    /// Joins of `at` since the start.
    [[nodiscard]] std::size_t joins_of(const endpoint& at) const
    {
        const auto it = joins_.find(at);
        return it == joins_.end() ? 0 : it->second.size();
    }
    [[nodiscard]] std::size_t accepted() const noexcept { return by_version_.size(); }
    [[nodiscard]] std::int64_t highest_version() const
    {
        return by_version_.empty() ? 0 : by_version_.rbegin()->first.value;
    }
    [[nodiscard]] bool is_accepted(const std::string& id) const { return by_patch_.contains(id); }

    /// After everything has healed: the leader's table must hold all accepted versions.
    void at_end(const table_state& table) const
    {
        for (const auto& [version, id] : by_version_) {
            const auto record = table.patches().find(version);
            require(record != table.patches().end() && record->second.patch_id == id,
                    "an accepted version was lost or changed", version.value);
        }
    }

    static void require(bool condition, const std::string& what, std::int64_t value)
    {
        if (!condition) {
            throw control_violation(what + " (" + std::to_string(value) + ")");
        }
    }

private:
    struct seen_control {
        revision at;
        config_version version;
    };
    struct seen_node {
        revision at;
        config_version version;
    };
    struct acceptance {
        config_version version;
        time_point when;
    };

    static bool registered(const table_state& table, const node_process& n)
    {
        return n.kind == node_role::target ? table.targets().contains(n.link->id())
                                           : table.nodes().contains(n.link->id());
    }

    void note_accepted(time_point now, const wire::patch_record& record)
    {
        const config_version version{record.config_version};
        const auto [it, added] = by_version_.emplace(version, record.patch_id);
        require(it->second == record.patch_id, "two patches accepted as one version", version.value);
        if (!added) {
            return;
        }
        require(by_patch_.emplace(record.patch_id, acceptance{version, now}).second,
                record.patch_id + ": accepted twice", version.value);
        require(!refused_.contains(record.patch_id), record.patch_id + ": accepted after it was refused",
                version.value);
        const auto no = not_accepted_.find(record.patch_id);
        require(no == not_accepted_.end() || attempts_[record.patch_id] > no->second,
                record.patch_id + ": accepted after it was not, without another attempt", version.value);
        require(record.time_ms >= last_time_ms_, "time in entries went back", record.time_ms);
        last_time_ms_ = record.time_ms;
    }

    void check_digest(const table_state& table)
    {
        const auto [it, added] = digests_.emplace(table.current_revision(), table.digest());
        require(it->second == table.digest(), "two tables differ at one revision",
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

    std::map<std::size_t, seen_control> controls_;
    std::map<endpoint, seen_node> nodes_;
    std::map<revision, std::uint64_t> digests_;
    std::map<config_version, std::string> by_version_;
    std::map<std::string, acceptance> by_patch_;
    std::map<std::string, std::size_t> attempts_;
    std::set<std::string> answered_accepted_;
    std::set<std::string> refused_;
    // Number of attempts that were made when "not accepted" was answered.
    std::map<std::string, std::size_t> not_accepted_;
    std::map<endpoint, std::map<incarnation, time_point>> joins_;
    incarnation last_join_;
    std::int64_t last_time_ms_ = 0;
};

}  // namespace peridotcleat::testing

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "peridotcleat/message.h"

namespace peridotcleat {

/// A snapshot of the replicated state.
struct stored_snapshot {
    std::int64_t index = 0;
    std::int64_t term = 0;
    wire::member_list members;
    std::string state;
};

namespace pvt {

/// The log of one replica in memory: a snapshot, the entries after it and the member lists in them.
class replica_log {
public:
    /// Takes over what a data folder holds. Fails with `log_corrupt` if an index is out of sequence or a
    /// member list cannot be decoded.
    result<success> load(std::optional<stored_snapshot> snapshot,
                         const std::vector<wire::log_entry>& entries);

    /// Index of the snapshot, 0 if there is none.
    [[nodiscard]] std::int64_t base_index() const noexcept { return snapshot_ ? snapshot_->index : 0; }
    [[nodiscard]] std::int64_t last_index() const noexcept
    {
        return base_index() + static_cast<std::int64_t>(entries_.size());
    }
    [[nodiscard]] std::int64_t last_term() const noexcept;
    /// Returns the term of the entry at `index`, or nothing if it is compacted or absent. Index 0 has term 0.
    [[nodiscard]] std::optional<std::int64_t> term_at(std::int64_t index) const noexcept;
    /// Returns the entry at `index`, which must lie after the snapshot.
    [[nodiscard]] const wire::log_entry& at(std::int64_t index) const;
    [[nodiscard]] bool empty() const noexcept { return last_index() == 0; }

    /// Appends the entry that follows the last one. Returns false if it holds an undecodable member list.
    bool append(const wire::log_entry& entry);
    /// Removes the entries from `index` on.
    void truncate_from(std::int64_t index);
    /// Replaces the prefix by `s`. Entries after it are kept only if the log holds the last entry of `s`.
    void compact(stored_snapshot s);

    [[nodiscard]] const std::optional<stored_snapshot>& snapshot() const noexcept { return snapshot_; }
    /// Last member list in the log, committed or not. Empty if there is none.
    [[nodiscard]] const wire::member_list& members() const;
    /// Index of the entry that holds `members()`.
    [[nodiscard]] std::int64_t members_index() const noexcept;
    /// Member list in force at `index`.
    [[nodiscard]] const wire::member_list& members_at(std::int64_t index) const;
    /// Returns true if any member list that is still held names `folder` as a voter.
    [[nodiscard]] bool was_voter(std::int64_t folder) const;

private:
    std::optional<stored_snapshot> snapshot_;
    std::deque<wire::log_entry> entries_;
    // By the index of the entry.
    std::map<std::int64_t, wire::member_list> members_;
};

/// Kinds of log entries.
inline constexpr std::int8_t kind_no_op = 0;
inline constexpr std::int8_t kind_change = 1;
inline constexpr std::int8_t kind_members = 2;

}  // namespace pvt
}  // namespace peridotcleat

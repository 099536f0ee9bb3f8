#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "peridotcleat/message.h"

namespace peridotcleat {

/// A snapshot of the replicated state: the state after entry `index`, which has `term`, and the member list
/// in effect there.
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
    /// Replaces the contents by those of a data folder. Fails with `log_corrupt` if an index is out of
    /// sequence, a term decreases or a member list cannot be decoded.
    result<success> load(std::optional<stored_snapshot> snapshot,
                         const std::vector<wire::log_entry>& entries);

    /// Index of the snapshot, 0 if there is none.
    [[nodiscard]] std::int64_t base_index() const noexcept { return snapshot_ ? snapshot_->index : 0; }
    [[nodiscard]] std::int64_t last_index() const noexcept
    {
        return base_index() + static_cast<std::int64_t>(entries_.size());
    }
    [[nodiscard]] std::int64_t last_term() const noexcept;
    /// Returns the term of the entry at `index`, or nothing if the entry is compacted or absent. Index 0 has
    /// term 0.
    [[nodiscard]] std::optional<std::int64_t> term_at(std::int64_t index) const noexcept;
    /// Returns the entry at `index`, which must lie after the snapshot.
    [[nodiscard]] const wire::log_entry& at(std::int64_t index) const;
    [[nodiscard]] bool empty() const noexcept { return last_index() == 0; }

    /// Appends the entry that follows the last one. Returns false if the entry holds a member list that
    /// cannot be decoded.
    bool append(const wire::log_entry& entry);
    /// Removes the entries at `index` and above.
    void truncate_from(std::int64_t index);
    /// Replaces the entries up to `s.index` by the snapshot `s`. Later entries are kept only if the log holds
    /// an entry with the index and term of `s`.
    void compact(stored_snapshot s);

    [[nodiscard]] const std::optional<stored_snapshot>& snapshot() const noexcept { return snapshot_; }
    /// Returns the last member list in the log, committed or not. Empty if there is none.
    [[nodiscard]] const wire::member_list& members() const;
    /// Returns the index of the entry that holds `members()`.
    [[nodiscard]] std::int64_t members_index() const noexcept;
    /// Returns the member list in effect at `index`.
    [[nodiscard]] const wire::member_list& members_at(std::int64_t index) const;
    /// Returns true if the snapshot or any entry still in the log lists `folder` as a voter.
    [[nodiscard]] bool was_voter(std::int64_t folder) const;

private:
    std::optional<stored_snapshot> snapshot_;
    std::deque<wire::log_entry> entries_;
    // Member lists by the index of their entry; the snapshot's list is at the snapshot's index.
    std::map<std::int64_t, wire::member_list> members_;
};

/// Kinds of log entries.
inline constexpr std::int8_t kind_no_op = 0;
inline constexpr std::int8_t kind_change = 1;
inline constexpr std::int8_t kind_members = 2;
inline constexpr std::int8_t kind_part = 3;

}  // namespace pvt
}  // namespace peridotcleat

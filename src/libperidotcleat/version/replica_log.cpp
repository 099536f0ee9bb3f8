#include "peridotcleat/replica_log.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <string>
#include <utility>

#include "peridotcleat/member_list.h"

namespace peridotcleat::pvt {

result<success> replica_log::load(std::optional<stored_snapshot> snapshot,
                                  const std::vector<wire::log_entry>& entries)
{
    snapshot_ = std::move(snapshot);
    entries_.clear();
    members_.clear();
    if (snapshot_) {
        members_[snapshot_->index] = snapshot_->members;
    }
    for (const wire::log_entry& e : entries) {
        if (e.index != last_index() + 1 || e.term < last_term() || !append(e)) {
            return error{error_code::log_corrupt, "invalid log entry " + std::to_string(e.index) +
                                                      " of term " + std::to_string(e.term) + " after entry " +
                                                      std::to_string(last_index())};
        }
    }
    return success{};
}

std::int64_t replica_log::last_term() const noexcept
{
    if (!entries_.empty()) {
        return entries_.back().term;
    }
    return snapshot_ ? snapshot_->term : 0;
}

std::optional<std::int64_t> replica_log::term_at(std::int64_t index) const noexcept
{
    if (index == base_index()) {
        return snapshot_ ? snapshot_->term : 0;
    }
    if (index < base_index() || index > last_index()) {
        return std::nullopt;
    }
    return at(index).term;
}

const wire::log_entry& replica_log::at(std::int64_t index) const
{
    assert(index > base_index() && index <= last_index());
    return entries_[static_cast<std::size_t>(index - base_index() - 1)];
}

bool replica_log::append(const wire::log_entry& entry)
{
    assert(entry.index == last_index() + 1);
    if (entry.kind == kind_members) {
        auto list = decode_struct<wire::member_list>(entry.data);
        if (!has_value(list)) {
            return false;
        }
        members_[entry.index] = value(std::move(list));
    }
    entries_.push_back(entry);
    return true;
}

void replica_log::truncate_from(std::int64_t index)
{
    while (last_index() >= index && !entries_.empty()) {
        entries_.pop_back();
    }
    members_.erase(members_.lower_bound(index), members_.end());
}

void replica_log::compact(stored_snapshot s)
{
    if (term_at(s.index) == s.term) {
        const auto covered = static_cast<std::ptrdiff_t>(s.index - base_index());
        entries_.erase(entries_.begin(), entries_.begin() + covered);
        members_.erase(members_.begin(), members_.upper_bound(s.index));
    } else {
        entries_.clear();
        members_.clear();
    }
    members_[s.index] = s.members;
    snapshot_ = std::move(s);
}

const wire::member_list& replica_log::members() const
{
    static const wire::member_list empty_list;
    return members_.empty() ? empty_list : members_.rbegin()->second;
}

std::int64_t replica_log::members_index() const noexcept
{
    return members_.empty() ? 0 : members_.rbegin()->first;
}

const wire::member_list& replica_log::members_at(std::int64_t index) const
{
    static const wire::member_list empty_list;
    const auto it = members_.upper_bound(index);
    return it == members_.begin() ? empty_list : std::prev(it)->second;
}

bool replica_log::was_voter(std::int64_t folder) const
{
    return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
        const auto& list = entry.second.members;
        return std::any_of(list.begin(), list.end(),
                           [&](const wire::member& m) { return has_vote(m) && m.folder_id == folder; });
    });
}

}  // namespace peridotcleat::pvt

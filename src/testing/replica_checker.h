#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "testing/fake_disk.h"

namespace peridotcleat::testing {

/// Thrown when an invariant is violated.
class invariant_violation : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Checks the invariants of a group of replicas while it runs. The host reports the events that it observes;
/// each check that fails throws `invariant_violation`. Recomputes quorums from votes and disks instead of
/// relying on the replicas' own counts.
class replica_checker {
public:
    /// Call when the host of `folder`, whose replica is in `term`, received the committed entry `e` after the
    /// entry at `previous`.
    void on_committed(std::int64_t folder, std::int64_t term, std::int64_t previous, const wire::log_entry& e)
    {
        require(e.index == previous + 1, "committed entry out of order", e.index);
        const auto [it, added] = committed_.emplace(e.index, e);
        commit_terms_.emplace(e.index, term);
        require(added || it->second == e, "two different entries committed at one index", e.index);
        std::int64_t& highest_commit = highest_commits_[folder];
        highest_commit = std::max(highest_commit, e.index);
    }

    /// Call when a process opens a folder that holds `s`.
    void on_open(const stored_state& s)
    {
        const std::int64_t folder = s.identity.folder.value;
        on_term(folder, s.hard.term);
        require(last_index(s) >= highest_commits_[folder],
                "a committed entry is missing from a reopened folder", folder);
    }

    void on_term(std::int64_t folder, std::int64_t term)
    {
        require(term >= highest_terms_[folder], "the term of a folder decreased", folder);
        highest_terms_[folder] = term;
    }

    /// Call when the vote `m` reached the process of its candidate.
    void on_vote(const wire::vote_reply& m)
    {
        if (m.granted && !m.pre_vote) {
            votes_[{m.term, m.candidate}].insert(m.voter);
        }
    }
    void on_wiped(std::int64_t folder) { wiped_folders_.insert(folder); }

    /// Call for a leader of `term`. `log` is the written state of its disk, synced or not, and `members` its
    /// member list.
    void on_leader(std::int64_t term, const stored_state& log, const std::vector<wire::member>& members)
    {
        const std::int64_t folder = log.identity.folder.value;
        const auto [it, added] = leaders_.emplace(term, folder);
        require(it->second == folder, "two leaders in one term", term);
        if (!added) {
            return;
        }
        std::set<std::int64_t>& votes = votes_[{term, folder}];
        votes.insert(folder);
        require(is_quorum(members, [&](std::int64_t f) { return votes.contains(f); }),
                "a leader has no votes from a quorum of its members", term);
        // Delayed votes may complete the election of a term after a later term has committed entries. Such a
        // leader need not hold those entries, and cannot commit anything itself.
        for (const auto& [index, entry] : committed_) {
            if (commit_terms_[index] > term) {
                continue;
            }
            require(holds(log, entry), "a leader lacks a committed entry", index);
        }
    }

    /// Call when a leader of `term` regards the entry at `index` as committed. `find_disk` returns the disk
    /// of a folder, or null.
    template <class Find>
    void on_leader_commit(std::int64_t index, std::int64_t term, const std::vector<wire::member>& members,
                          Find find_disk)
    {
        require(is_quorum(members,
                          [&](std::int64_t f) {
                              const fake_disk_content* disk = find_disk(f);
                              return wiped_folders_.contains(f) ||
                                     (disk != nullptr && holds_index(disk->durable(), index, term));
                          }),
                "a leader regards an entry as committed that no quorum holds", index);
    }

    /// Call when a process sends `m`; `durable` is the synced state of its disk.
    static void on_sent(const stored_state& durable, const message& m)
    {
        const std::int64_t term = durable.hard.term;
        if (const auto* vote = std::get_if<wire::vote_reply>(&m); vote != nullptr && !vote->pre_vote) {
            require(!vote->granted || term > vote->term ||
                        (term == vote->term && durable.hard.voted_for.value == vote->candidate),
                    "a vote was sent before it was durable", vote->term);
        } else if (const auto* request = std::get_if<wire::vote_request>(&m)) {
            require(request->term <= term + (request->pre_vote ? 1 : 0),
                    "a term was sent before it was durable", request->term);
        } else if (const auto* reply = std::get_if<wire::append_reply>(&m)) {
            require(reply->term <= term, "a term was sent before it was durable", reply->term);
            require(!reply->success || term > reply->term || last_index(durable) >= reply->match,
                    "an entry was acknowledged before it was durable", reply->match);
        }
    }

    /// Call for a leader with the commit index `commit` and the member list `members`. `find_disk` returns
    /// the disk of a folder, or null.
    template <class Find>
    void on_voters(std::int64_t commit, const std::vector<wire::member>& members, Find find_disk)
    {
        for (const wire::member& m : members) {
            // The initial members become voters with an empty log.
            if (m.voter && known_voters_.insert(m.folder_id).second && commit > 0) {
                const fake_disk_content* disk = find_disk(m.folder_id);
                require(disk == nullptr || last_index(disk->durable()) >= commit,
                        "a member that lacks committed entries became a voter", m.folder_id);
            }
        }
    }

    /// Call for a leader of `term` with the commit index `commit` and the written state `log` of its disk,
    /// synced or not. The leader may have inherited several member lists that it does not know to be
    /// committed, but may append one only if no uncommitted list is left.
    static void on_leader_log(std::int64_t term, std::int64_t commit, const stored_state& log)
    {
        const auto pending = std::count_if(log.entries.begin(), log.entries.end(), [&](const auto& e) {
            return e.kind == pvt::kind_members && e.index > commit;
        });
        const bool own_list_pending = std::any_of(log.entries.begin(), log.entries.end(), [&](const auto& e) {
            return e.kind == pvt::kind_members && e.index > commit && e.term == term;
        });
        require(!own_list_pending || pending == 1, "two membership changes are in progress at once", pending);
    }

    /// Call with the number of processes that accept changes at present.
    static void on_accepting_leaders(int leaders)
    {
        require(leaders <= 1, "several leaders accept changes at once", leaders);
    }

    /// Returns true if the members whose folders are counted are a majority of the voters in `members` and,
    /// in a joint list, also a majority of its former voters.
    template <class F>
    static bool is_quorum(const std::vector<wire::member>& members, F is_counted)
    {
        int voters = 0;
        int voters_counted = 0;
        int former_voters = 0;
        int former_voters_counted = 0;
        for (const wire::member& m : members) {
            const int counted = is_counted(m.folder_id) ? 1 : 0;
            voters += m.voter ? 1 : 0;
            voters_counted += m.voter ? counted : 0;
            former_voters += m.__isset.former_voter && m.former_voter ? 1 : 0;
            former_voters_counted += m.__isset.former_voter && m.former_voter ? counted : 0;
        }
        return voters_counted * 2 > voters &&
               (former_voters == 0 || former_voters_counted * 2 > former_voters);
    }

    [[nodiscard]] std::int64_t last_committed() const
    {
        return committed_.empty() ? 0 : committed_.rbegin()->first;
    }
    [[nodiscard]] const std::map<std::int64_t, wire::log_entry>& committed() const noexcept
    {
        return committed_;
    }

    static void require(bool condition, const std::string& violation, std::int64_t value)
    {
        if (!condition) {
            throw invariant_violation(violation + " (" + std::to_string(value) + ")");
        }
    }

private:
    static std::int64_t last_index(const stored_state& s)
    {
        if (!s.entries.empty()) {
            return s.entries.back().index;
        }
        return s.snapshot ? s.snapshot->index : 0;
    }
    // Returns the entry at `index`, or null if it is not in the log.
    static const wire::log_entry* find_entry(const stored_state& s, std::int64_t index)
    {
        const auto offset = s.entries.empty() ? -1 : index - s.entries.front().index;
        const bool in_range = offset >= 0 && offset < static_cast<std::int64_t>(s.entries.size());
        return in_range ? &s.entries[static_cast<std::size_t>(offset)] : nullptr;
    }
    static bool holds(const stored_state& s, const wire::log_entry& e)
    {
        const wire::log_entry* stored = find_entry(s, e.index);
        return stored != nullptr ? *stored == e : s.snapshot && e.index <= s.snapshot->index;
    }
    static bool holds_index(const stored_state& s, std::int64_t index, std::int64_t term)
    {
        const wire::log_entry* stored = find_entry(s, index);
        return stored != nullptr ? stored->term == term : s.snapshot && index <= s.snapshot->index;
    }
    std::map<std::int64_t, wire::log_entry> committed_;
    // By the index of a committed entry: the term of the first replica that returned it as committed.
    std::map<std::int64_t, std::int64_t> commit_terms_;
    std::map<std::int64_t, std::int64_t> highest_commits_;
    std::map<std::int64_t, std::int64_t> highest_terms_;
    std::map<std::int64_t, std::int64_t> leaders_;
    std::map<std::pair<std::int64_t, std::int64_t>, std::set<std::int64_t>> votes_;
    std::set<std::int64_t> wiped_folders_;
    std::set<std::int64_t> known_voters_;
};

}  // namespace peridotcleat::testing

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

/// A violated invariant.
class invariant_violation : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Checks the invariants of a group of replicas while it runs. The host reports what it sees; each check
/// throws `invariant_violation`. Counts nothing that the replicas themselves have counted.
class replica_checker {
public:
    /// An entry was handed to the host of `folder`, which is in `term`, after the one at `previous`.
    void on_committed(std::int64_t folder, std::int64_t term, std::int64_t previous, const wire::log_entry& e)
    {
        require(e.index == previous + 1, "entry out of order", e.index);
        const auto [it, added] = committed_.emplace(e.index, e);
        commit_terms_.emplace(e.index, term);
        require(added || it->second == e, "two entries committed at one index", e.index);
        std::int64_t& high = commit_[folder];
        high = std::max(high, e.index);
    }

    /// A process opens a folder.
    void on_open(const stored_state& s)
    {
        const std::int64_t folder = s.identity.folder.value;
        on_term(folder, s.hard.term);
        require(last_index(s) >= commit_[folder], "commit fell on a folder", folder);
    }

    void on_term(std::int64_t folder, std::int64_t term)
    {
        require(term >= terms_[folder], "term fell on a folder", folder);
        terms_[folder] = term;
    }

    /// A vote of `m` reached the process of its candidate.
    void on_vote(const wire::vote_reply& m)
    {
        if (m.granted && !m.pre_vote) {
            votes_[{m.term, m.candidate}].insert(m.voter);
        }
    }
    void on_emptied(std::int64_t folder) { emptied_.insert(folder); }

    /// `folder` leads `term`. `log` is its log and `members` its member list.
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
                "a leader without the votes of a quorum of its members", term);
        // Late votes may complete the election of a term after a later one has committed entries. Such a
        // leader need not hold them, and cannot commit anything itself.
        for (const auto& [index, entry] : committed_) {
            if (commit_terms_[index] > term) {
                continue;
            }
            require(holds(log, entry), "a leader lacks a committed entry", index);
        }
    }

    /// A leader counts the entry at `index` as committed. `find` gives the disk of a folder, or null.
    template <class Find>
    void on_leader_commit(std::int64_t index, std::int64_t term, const std::vector<wire::member>& members,
                          Find find)
    {
        require(is_quorum(members,
                          [&](std::int64_t f) {
                              const fake_disk_content* disk = find(f);
                              return emptied_.contains(f) ||
                                     (disk != nullptr && holds_index(disk->durable(), index, term));
                          }),
                "an entry counts as committed that no quorum holds", index);
    }

    /// A process sends `m`; `durable` is what its disk holds for certain.
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

    /// A leader that knows of commits up to `commit` counts on `members`. `find` gives the disk of a folder.
    template <class Find>
    void on_voters(std::int64_t commit, const std::vector<wire::member>& members, Find find)
    {
        for (const wire::member& m : members) {
            // The founders become voters with an empty log.
            if (m.voter && voters_.insert(m.folder_id).second && commit > 0) {
                const fake_disk_content* disk = find(m.folder_id);
                require(disk == nullptr || last_index(disk->durable()) >= commit,
                        "a voter was made that does not hold the log", m.folder_id);
            }
        }
    }

    /// A leader of `term` that knows of commits up to `commit` holds `log`. It may have inherited several
    /// member lists that it does not know to be committed, but adds one only if none is left.
    static void on_leader_log(std::int64_t term, std::int64_t commit, const stored_state& log)
    {
        const auto pending = std::count_if(log.entries.begin(), log.entries.end(), [&](const auto& e) {
            return e.kind == pvt::kind_members && e.index > commit;
        });
        const bool own = std::any_of(log.entries.begin(), log.entries.end(), [&](const auto& e) {
            return e.kind == pvt::kind_members && e.index > commit && e.term == term;
        });
        require(!own || pending == 1, "two membership changes at once", pending);
    }

    /// Number of processes that accept changes at this moment.
    static void on_accepting(int leaders)
    {
        require(leaders <= 1, "several leaders accept at once", leaders);
    }

    [[nodiscard]] std::int64_t last_committed() const
    {
        return committed_.empty() ? 0 : committed_.rbegin()->first;
    }
    [[nodiscard]] const std::map<std::int64_t, wire::log_entry>& committed() const noexcept
    {
        return committed_;
    }

    static void require(bool condition, const std::string& what, std::int64_t value)
    {
        if (!condition) {
            throw invariant_violation(what + " (" + std::to_string(value) + ")");
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
    static const wire::log_entry* find_entry(const stored_state& s, std::int64_t index)
    {
        const auto offset = s.entries.empty() ? -1 : index - s.entries.front().index;
        const bool inside = offset >= 0 && offset < static_cast<std::int64_t>(s.entries.size());
        return inside ? &s.entries[static_cast<std::size_t>(offset)] : nullptr;
    }
    static bool holds(const stored_state& s, const wire::log_entry& e)
    {
        const wire::log_entry* own = find_entry(s, e.index);
        return own != nullptr ? *own == e : s.snapshot && e.index <= s.snapshot->index;
    }
    static bool holds_index(const stored_state& s, std::int64_t index, std::int64_t term)
    {
        const wire::log_entry* own = find_entry(s, index);
        return own != nullptr ? own->term == term : s.snapshot && index <= s.snapshot->index;
    }
    template <class F>
    static bool is_quorum(const std::vector<wire::member>& members, F counts)
    {
        int voters = 0;
        int present = 0;
        for (const wire::member& m : members) {
            voters += m.voter ? 1 : 0;
            present += m.voter && counts(m.folder_id) ? 1 : 0;
        }
        return present * 2 > voters;
    }

    std::map<std::int64_t, wire::log_entry> committed_;
    // Term of the first replica that knew of the commit.
    std::map<std::int64_t, std::int64_t> commit_terms_;
    std::map<std::int64_t, std::int64_t> commit_;
    std::map<std::int64_t, std::int64_t> terms_;
    std::map<std::int64_t, std::int64_t> leaders_;
    std::map<std::pair<std::int64_t, std::int64_t>, std::set<std::int64_t>> votes_;
    std::set<std::int64_t> emptied_;
    std::set<std::int64_t> voters_;
};

}  // namespace peridotcleat::testing

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

#include "peridotcleat/log.h"
#include "peridotcleat/member_list.h"
#include "peridotcleat/replica_core.h"

namespace peridotcleat::pvt {

namespace {

constexpr std::chrono::milliseconds join_request_interval{500};
// A member whose folder has answered within this time is not replaced by another folder that uses its name.
constexpr std::chrono::milliseconds silence_before_replace{2000};
constexpr std::size_t max_joiners = 16;
// A learner that is silent for this long is removed; if it is still running, it asks to join again.
constexpr std::chrono::milliseconds silence_before_learner_removal{10000};

const wire::member* find_by_name(const std::vector<wire::member>& members, const std::string& name)
{
    const auto it =
        std::find_if(members.begin(), members.end(), [&](const auto& m) { return m.name == name; });
    return it == members.end() ? nullptr : &*it;
}

template <class F>
std::string names_of(const wire::member_list& list, F is_listed)
{
    std::string names;
    for (const wire::member& m : list.members) {
        if (std::invoke(is_listed, m)) {
            names += (names.empty() ? "" : ",") + m.name;
        }
    }
    return names;
}

bool contains_folder(const wire::member_list& list, std::int64_t folder)
{
    return std::any_of(list.members.begin(), list.members.end(),
                       [&](const auto& m) { return m.folder_id == folder; });
}

}  // namespace

void replica_core::send_join_request(time_point now, outbox& out)
{
    // An uncommitted list may be one that the current leader does not have.
    const bool listed = contains_folder(log_.members_at(commit_index_), self());
    const bool silent = now - leader_heard_at_.value_or(opened_at_) >= settings_.timing.silence_before_rejoin;
    if (now < join_due_ || (listed && !silent)) {
        return;
    }
    join_due_ = now + join_request_interval + std::chrono::milliseconds(random_() % 100);
    wire::join_request r;
    r.candidate.folder_id = self();
    r.candidate.name = settings_.name;
    r.candidate.address = to_wire(settings_.address);
    r.candidate.voter = false;
    // Marks a folder that is listed as a member, or is a voter in a list that is still held. The leader lets
    // it replace a member of the same name; if there is none and `voter_count` is 0, it refuses the folder,
    // which was removed.
    r.replaces = listed || log_.was_voter(self()) ? self() : 0;
    std::set<endpoint> peers(settings_.peers.begin(), settings_.peers.end());
    for (const wire::member& m : members()) {
        peers.insert(from_wire(m.address));
    }
    if (leader_address_) {
        // The heartbeats for the former folder at this address name the leader, although the peers in the
        // settings may all be gone.
        peers.insert(*leader_address_);
    }
    peers.erase(settings_.address);
    for (const endpoint& peer : peers) {
        send(peer, r, out);
    }
}

void replica_core::handle(time_point now, const endpoint& from, const wire::join_request& m, outbox& out)
{
    const std::int64_t folder = m.candidate.folder_id;
    if (folder == self()) {
        return;
    }
    if (role_ != role::leader) {
        if (log_.empty() && m.replaces == 0) {
            initial_member_folders_[m.candidate.name] = {folder, now};
        }
        const bool leader_known = leader_address_ && leader_heard_at_ &&
                                  now - *leader_heard_at_ < settings_.timing.min_election_timeout;
        if (leader_known && *leader_address_ != from && *leader_address_ != from_wire(m.candidate.address)) {
            send(*leader_address_, m, out);
        }
        return;
    }
    const wire::member* same_name_member = find_by_name(members(), m.candidate.name);
    // With `voter_count` 0 only an operator removes members, so a removed folder is refused. Otherwise it may
    // rejoin, because the leader may have removed it for its silence.
    const bool rejoin_refused = same_name_member == nullptr && m.replaces != 0 && settings_.voter_count == 0;
    if (find_member(folder) != nullptr || rejoin_refused) {
        return;
    }
    if (same_name_member != nullptr) {
        const auto it = progress_.find(same_name_member->folder_id);
        if (it == progress_.end() || now - it->second.heard_at < silence_before_replace) {
            return;
        }
    }
    // Several peers forward the same request, so repetitions within a short time are ignored.
    const auto joiner_entry = joiners_.find(folder);
    if (joiner_entry != joiners_.end() && now - joiner_entry->second.asked_at < join_request_interval / 2) {
        return;
    }
    if (joiner_entry != joiners_.end() || joiners_.size() < max_joiners) {
        joiners_[folder] = {m.candidate, now, 0};
        round_requested_ = true;
    }
}

// Until an entry of the current term is committed, a change by an earlier leader may still be in progress.
bool replica_core::member_list_settled(time_point now) const
{
    return lease_valid(now) && commit_index_ >= term_start_index_ && log_.members_index() <= commit_index_;
}

// A joint list must be followed by its final list.
bool replica_core::member_change_allowed(time_point now) const
{
    return member_list_settled(now) && !is_joint(members());
}

void replica_core::add_learner(time_point now, const joiner& j)
{
    const wire::member candidate = j.candidate;
    if (!member_change_allowed(now)) {
        return;
    }
    joiners_.erase(candidate.folder_id);
    const wire::member* same_name_member = find_by_name(members(), candidate.name);
    if (contains_folder(log_.members(), candidate.folder_id) ||
        (same_name_member != nullptr && same_name_member->folder_id == self())) {
        return;
    }
    wire::member_list list = log_.members();
    std::erase_if(list.members, [&](const wire::member& m) { return m.name == candidate.name; });
    list.members.push_back(candidate);
    list.members.back().voter = false;
    append_member_list(now, list, same_name_member == nullptr ? "joined" : "folder_replaced", candidate.name);
}

// A learner counts towards no majority, so its removal needs no confirmation.
void replica_core::remove_silent_learner(time_point now)
{
    if (settings_.voter_count == 0 || !member_change_allowed(now)) {
        return;
    }
    const auto learners = find_silent_members(now, false, silence_before_learner_removal);
    if (learners.empty()) {
        return;
    }
    const wire::member silent = *learners.front();
    wire::member_list list = log_.members();
    std::erase_if(list.members, [&](const wire::member& m) { return m.folder_id == silent.folder_id; });
    append_member_list(now, list, "silent", silent.name);
}

void replica_core::append_member_list(time_point now, const wire::member_list& list, const char* reason,
                                      const std::string& subject)
{
    log_event(log_level::info, "members_changed",
              {{"reason", reason},
               {"subject", subject},
               {"index", log_.last_index() + 1},
               {"term", hard_state_.term},
               {"voters", names_of(list, &wire::member::voter)},
               {"former_voters", names_of(list, is_former_voter)},
               {"standby", names_of(list, [](const wire::member& m) { return !has_vote(m); })}});
    append_entry(kind_members, encode_struct(list));
    update_progress_map(now);
}

void replica_core::update_progress_map(time_point now)
{
    std::erase_if(progress_, [&](const auto& p) { return find_member(p.first) == nullptr; });
    for (const wire::member& m : members()) {
        if (m.folder_id != self() && !progress_.contains(m.folder_id)) {
            progress& p = progress_[m.folder_id];
            p.next_index = std::max<std::int64_t>(log_.last_index(), 1);
            p.heard_at = now;
            p.progressed_at = now;
        }
    }
}

result<log_position> replica_core::remove_member(time_point now, const std::string& name)
{
    if (const auto refused = refusal(now)) {
        return *refused;
    }
    const wire::member* m = find_by_name(members(), name);
    if (m == nullptr) {
        return error{error_code::member_unknown, name};
    }
    if (!member_change_allowed(now)) {
        return error{error_code::member_change_pending, name};
    }
    wire::member_list list = log_.members();
    std::erase_if(list.members, [&](const wire::member& other) { return other.name == name; });
    const bool voters_left =
        std::any_of(list.members.begin(), list.members.end(), [](const auto& other) { return other.voter; });
    if (!voters_left) {
        return error{error_code::invalid_setting, name + " is the last voter and cannot be removed"};
    }
    append_member_list(now, list, "removed_by_operator", name);
    return log_position{log_.last_index(), hard_state_.term};
}

}  // namespace peridotcleat::pvt

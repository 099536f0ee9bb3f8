#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "peridotcleat/replica_core.h"

namespace peridotcleat::pvt {

namespace {

constexpr std::chrono::milliseconds join_period{500};
// A folder that is heard of is not replaced, whatever claims its name.
constexpr std::chrono::milliseconds silence_before_replace{2000};
constexpr std::chrono::milliseconds learner_heard_within{1000};
// How far a learner may be behind when it is made a voter.
constexpr std::int64_t learner_lag = 64;
constexpr std::size_t max_joiners = 16;
// A voter that is silent for so long gives its vote to a member that stands by: the time of a restart.
constexpr std::chrono::milliseconds silence_before_succession{3000};
// A member without a vote that is silent for so long is gone for good, or will ask again.
constexpr std::chrono::milliseconds silence_before_removal{10000};

const wire::member* find_name(const std::vector<wire::member>& members, const std::string& name)
{
    const auto it =
        std::find_if(members.begin(), members.end(), [&](const auto& m) { return m.name == name; });
    return it == members.end() ? nullptr : &*it;
}

bool holds(const wire::member_list& list, std::int64_t folder)
{
    return std::any_of(list.members.begin(), list.members.end(),
                       [&](const auto& m) { return m.folder_id == folder; });
}

}  // namespace

void replica_core::ask_to_join(time_point now, outbox& out)
{
    // A list that is not committed may be one that the present leader does not have.
    const bool listed = holds(log_.members_at(commit_), self());
    const bool silent = now - leader_heard_.value_or(opened_at_) >= settings_.timing.silence_before_rejoin;
    if (now < join_due_ || (listed && !silent)) {
        return;
    }
    join_due_ = now + join_period + std::chrono::milliseconds(random_() % 100);
    wire::join_request r;
    r.candidate.folder_id = self();
    r.candidate.name = settings_.name;
    r.candidate.address = to_wire(settings_.address);
    r.candidate.voter = false;
    // A folder that was a member once is taken back only in place of another one of its name; it stays away
    // if its name was removed.
    r.replaces = listed || log_.was_voter(self()) ? self() : 0;
    std::set<endpoint> peers(settings_.peers.begin(), settings_.peers.end());
    for (const wire::member& m : members()) {
        peers.insert(from_wire(m.address));
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
            founders_[m.candidate.name] = {folder, now};
        }
        const bool known =
            leader_address_ && leader_heard_ && now - *leader_heard_ < settings_.timing.min_election_timeout;
        if (known && *leader_address_ != from && *leader_address_ != from_wire(m.candidate.address)) {
            send(*leader_address_, m, out);
        }
        return;
    }
    const wire::member* former = find_name(members(), m.candidate.name);
    // What an operator has removed stays away; a member that gave way while it was silent may come back.
    const bool removed = former == nullptr && m.replaces != 0 && settings_.voter_count == 0;
    if (member(folder) != nullptr || removed) {
        return;
    }
    if (former != nullptr) {
        const auto it = progress_.find(former->folder_id);
        if (it == progress_.end() || now - it->second.heard_at < silence_before_replace) {
            return;
        }
    }
    // Several peers forward the same request.
    const auto known = joiners_.find(folder);
    if (known != joiners_.end() && now - known->second.asked_at < join_period / 2) {
        return;
    }
    if (known != joiners_.end() || joiners_.size() < max_joiners) {
        joiners_[folder] = {m.candidate, now, 0};
        round_wanted_ = true;
    }
}

bool replica_core::member_change_allowed(time_point now) const
{
    // Without an entry of the current term, a change of an earlier leader could still be in progress.
    return lease_valid(now) && commit_ >= term_start_ && log_.members_index() <= commit_;
}

void replica_core::admit(time_point now, const joiner& j)
{
    const wire::member candidate = j.candidate;
    if (!member_change_allowed(now)) {
        return;
    }
    joiners_.erase(candidate.folder_id);
    const wire::member* former = find_name(members(), candidate.name);
    if (holds(log_.members(), candidate.folder_id) || (former != nullptr && former->folder_id == self())) {
        return;
    }
    wire::member_list list = log_.members();
    std::erase_if(list.members, [&](const wire::member& m) { return m.name == candidate.name; });
    list.members.push_back(candidate);
    list.members.back().voter = false;
    change_members(now, list);
}

const wire::member* replica_core::find_ready_learner(time_point now) const
{
    const auto ready = [&](const wire::member& m) {
        const auto it = progress_.find(m.folder_id);
        // `match` counts synced entries only.
        return !m.voter && it != progress_.end() && it->second.match >= commit_ &&
               it->second.match + learner_lag >= log_.last_index() &&
               now - it->second.heard_at < learner_heard_within;
    };
    const auto& all = members();
    const auto it = std::ranges::find_if(all, ready);
    return it == all.end() ? nullptr : &*it;
}

const wire::member* replica_core::find_silent(time_point now, bool voter,
                                              std::chrono::milliseconds limit) const
{
    const auto& all = members();
    const auto it = std::ranges::find_if(all, [&](const wire::member& m) {
        const auto p = progress_.find(m.folder_id);
        return m.voter == voter && p != progress_.end() && now - p->second.heard_at >= limit;
    });
    return it == all.end() ? nullptr : &*it;
}

void replica_core::promote_learner(time_point now)
{
    if (!member_change_allowed(now)) {
        return;
    }
    const wire::member* ready = find_ready_learner(now);
    const auto voters = std::ranges::count_if(members(), [](const wire::member& m) { return m.voter; });
    if (ready != nullptr &&
        (settings_.voter_count == 0 || voters < static_cast<std::ptrdiff_t>(settings_.voter_count))) {
        wire::member_list list = log_.members();
        for (wire::member& m : list.members) {
            m.voter = m.voter || m.folder_id == ready->folder_id;
        }
        change_members(now, list);
    } else if (settings_.voter_count != 0) {
        remove_silent_members(now);
    }
}

// True if every voter but `gone` has answered lately. The list without `gone` needs most of them, and if one
// of two has just lost its disk, nobody can be elected any more.
bool replica_core::others_answer(time_point now, const wire::member& gone) const
{
    return std::ranges::all_of(members(), [&](const wire::member& m) {
        if (!m.voter || m.folder_id == gone.folder_id || m.folder_id == self()) {
            return true;
        }
        const auto p = progress_.find(m.folder_id);
        return p != progress_.end() && now - p->second.heard_at < 2 * settings_.timing.heartbeat_interval;
    });
}

// One change at a time: a silent voter leaves only while a member stands by that is made a voter next.
void replica_core::remove_silent_members(time_point now)
{
    const wire::member* gone =
        find_ready_learner(now) != nullptr ? find_silent(now, true, silence_before_succession) : nullptr;
    if (gone != nullptr && !others_answer(now, *gone)) {
        gone = nullptr;
    }
    if (gone == nullptr) {
        gone = find_silent(now, false, silence_before_removal);
    }
    if (gone == nullptr) {
        return;
    }
    wire::member_list list = log_.members();
    std::erase_if(list.members, [gone](const wire::member& m) { return m.folder_id == gone->folder_id; });
    change_members(now, list);
}

void replica_core::change_members(time_point now, const wire::member_list& list)
{
    append_entry(kind_members, encode_struct(list));
    sync_progress(now);
}

void replica_core::sync_progress(time_point now)
{
    std::erase_if(progress_, [&](const auto& p) { return member(p.first) == nullptr; });
    for (const wire::member& m : members()) {
        if (m.folder_id != self() && !progress_.contains(m.folder_id)) {
            progress& p = progress_[m.folder_id];
            p.next = std::max<std::int64_t>(log_.last_index(), 1);
            p.heard_at = now;
            p.moved_at = now;
        }
    }
}

result<log_position> replica_core::remove_member(time_point now, const std::string& name)
{
    if (const auto refused = refusal(now)) {
        return *refused;
    }
    const wire::member* m = find_name(members(), name);
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
        return error{error_code::invalid_setting, name + " is the last voter"};
    }
    change_members(now, list);
    return log_position{log_.last_index(), hard_.term};
}

}  // namespace peridotcleat::pvt

#include <algorithm>
#include <string>
#include <utility>

#include "peridotcleat/member_list.h"
#include "peridotcleat/replica_core.h"

namespace peridotcleat::pvt {

namespace {

// A member that has not acknowledged a heartbeat for this many intervals counts as silent.
constexpr int max_unanswered_heartbeats = 3;
// Number of entries by which a learner may lag when it is promoted to voter.
constexpr std::int64_t max_learner_lag = 64;
// A process that is about to stop repeats its notice, because the notice or the leader may be lost.
constexpr std::chrono::milliseconds leave_notice_interval{100};
// Several notices may be lost.
constexpr std::chrono::milliseconds leave_notice_max_age{500};
// Several round trips between zones and a slow sync. Confirmations that are older no longer count.
constexpr std::chrono::milliseconds confirmation_max_age{500};

std::ptrdiff_t count_voters(const std::vector<wire::member>& members)
{
    return std::ranges::count_if(members, &wire::member::voter);
}

wire::member& member_of(wire::member_list& list, const wire::member& m)
{
    return *std::ranges::find(list.members, m.folder_id, &wire::member::folder_id);
}

}  // namespace

// A new list takes effect when it is appended and cannot be withdrawn. If a member that it counts on is lost
// already, the list may have no quorum, and the group then stands still for good. Therefore the members
// confirm that they are alive after the decision and before the list is appended.
void replica_core::maintain_members(time_point now)
{
    if (!member_list_settled(now)) {
        pending_change_.reset();
        return;
    }
    if (is_joint(members())) {
        append_member_list(now, final_list(log_.members()), "replacement_completed", {});
        return;
    }
    if (pending_change_ && !is_valid(*pending_change_, now)) {
        pending_change_.reset();
    }
    if (pending_change_) {
        if (is_confirmed(*pending_change_)) {
            const member_change confirmed = std::move(*pending_change_);
            pending_change_.reset();
            append_member_list(now, confirmed.list, confirmed.reason, confirmed.subject);
        }
        return;
    }
    pending_change_ = find_voter_change(now);
    if (pending_change_) {
        pending_change_->list_index = log_.members_index();
        pending_change_->decided_at = now;
        pending_change_->round = round_ + 1;
        round_requested_ = true;
    } else {
        remove_silent_learner(now);
    }
}

void replica_core::send_leave_notice(time_point now, outbox& out)
{
    if (!leaving_since_ || !leader_address_ || now < leave_notice_due_) {
        return;
    }
    leave_notice_due_ = now + leave_notice_interval;
    wire::leave_notice notice;
    notice.folder_id = self();
    send(*leader_address_, notice, out);
}

void replica_core::handle(time_point now, const endpoint& /*from*/, const wire::leave_notice& m,
                          outbox& /*out*/)
{
    if (const auto p = progress_.find(m.folder_id); p != progress_.end()) {
        p->second.leaving_until = now + leave_notice_max_age;
    }
}

// The list without this replica's vote must be committed. Otherwise the others may have to elect a leader by
// the list before it.
bool replica_core::may_stop(time_point now) const
{
    const auto is_own_vote = [&](const wire::member& m) { return m.folder_id == self() && has_vote(m); };
    const bool has_own_vote = std::ranges::any_of(members(), is_own_vote) ||
                              std::ranges::any_of(log_.members_at(commit_index_).members, is_own_vote);
    // A joint list needs a majority of the former voters until its final list is committed.
    const bool can_be_replaced =
        settings_.voter_count != 0 &&
        (is_joint(members()) ||
         std::ranges::any_of(members(), [](const wire::member& m) { return !has_vote(m); }));
    const bool limit_reached = leaving_since_ && now - *leaving_since_ >= settings_.leave_limit;
    return stopped() || !has_own_vote || !can_be_replaced || limit_reached;
}

bool replica_core::is_leaving(const wire::member& m, time_point now) const
{
    if (m.folder_id == self()) {
        return leaving_since_.has_value();
    }
    const auto p = progress_.find(m.folder_id);
    return p != progress_.end() && now < p->second.leaving_until;
}

// Returns the replacement of voters by learners, the promotion of a learner, or the removal of the
// vote of a silent voter that is not needed.
std::optional<replica_core::member_change> replica_core::find_voter_change(time_point now) const
{
    const auto voters = count_voters(members());
    const auto required = static_cast<std::ptrdiff_t>(settings_.voter_count);
    const auto ready = find_ready_learners(now);
    member_change change;
    change.list = log_.members();
    if (required != 0) {
        const auto replaceable = find_replaceable_voters(now);
        if (voters > required && !replaceable.empty()) {
            member_of(change.list, *replaceable.front()).voter = false;
            change.reason = "vote_removed";
            change.subject = replaceable.front()->name;
            return change;
        }
        if (!replaceable.empty() && !ready.empty()) {
            replace_voters(change, replaceable, ready);
            return change;
        }
    }
    if (!ready.empty() && (required == 0 || voters < required)) {
        member_of(change.list, *ready.front()).voter = true;
        change.reason = "promoted";
        change.subject = ready.front()->name;
        return change;
    }
    return std::nullopt;
}

// Turns the list of `change` into a joint list in which learners have the votes of replaced voters. With one
// change after the other, the list would have one voter more or less in between, and would then tolerate the
// loss of either a silent voter that was only cut off or its replacement, but not of both.
void replica_core::replace_voters(member_change& change, const std::vector<const wire::member*>& replaced,
                                  const std::vector<const wire::member*>& ready)
{
    for (wire::member& m : change.list.members) {
        if (m.voter) {
            m.__set_former_voter(true);
        }
    }
    for (std::size_t i = 0; i < std::min(replaced.size(), ready.size()); ++i) {
        member_of(change.list, *replaced[i]).voter = false;
        member_of(change.list, *ready[i]).voter = true;
        change.subject += (i == 0 ? "" : ",") + replaced[i]->name;
    }
    change.reason = "replaced";
}

// A change is no longer valid if it is too old, if the list has changed, or if a silent voter has answered.
bool replica_core::is_valid(const member_change& change, time_point now) const
{
    return now - change.decided_at < confirmation_max_age && change.list_index == log_.members_index() &&
           std::ranges::none_of(change.list.members, [&](const wire::member& m) {
               return !m.voter && is_voter(m.folder_id) && !is_leaving(m, now) && has_confirmed(m, change);
           });
}

// A change needs a quorum of the new list, and that the members that get a vote hold all committed entries.
bool replica_core::is_confirmed(const member_change& change) const
{
    const auto confirmed = [&](const wire::member& m) { return has_confirmed(m, change); };
    return pvt::is_quorum(change.list.members, confirmed) &&
           std::ranges::all_of(change.list.members, [&](const wire::member& m) {
               return !m.voter || is_voter(m.folder_id) || (confirmed(m) && holds_committed_entries(m));
           });
}

bool replica_core::has_confirmed(const wire::member& m, const member_change& change) const
{
    const auto p = progress_.find(m.folder_id);
    return m.folder_id == self() || (p != progress_.end() && p->second.acked_round >= change.round);
}

bool replica_core::holds_committed_entries(const wire::member& m) const
{
    const auto p = progress_.find(m.folder_id);
    // `match_index` counts synced entries only.
    return p != progress_.end() && p->second.match_index >= commit_index_;
}

// Returns the learners that may get a vote, those that have been members for longest first: the loss of a
// member that has just joined is likely to go with that of the voter which it is to replace.
std::vector<const wire::member*> replica_core::find_ready_learners(time_point now) const
{
    std::vector<const wire::member*> ready;
    for (const wire::member& m : members()) {
        const auto p = progress_.find(m.folder_id);
        if (!m.voter && !is_leaving(m, now) && holds_committed_entries(m) &&
            p->second.match_index + max_learner_lag >= log_.last_index() &&
            now - p->second.heard_at < reported_silence()) {
            ready.push_back(&m);
        }
    }
    return ready;
}

// Returns the voters that are silent, then those that are about to stop, which can wait for a learner.
std::vector<const wire::member*> replica_core::find_replaceable_voters(time_point now) const
{
    auto replaceable = find_silent_members(now, true, voter_silence_limit());
    for (const wire::member& m : members()) {
        if (m.voter && is_leaving(m, now) && std::ranges::count(replaceable, &m) == 0) {
            replaceable.push_back(&m);
        }
    }
    return replaceable;
}

// Returns the voters or learners that are silent for at least `limit`, the one that is silent for longest
// first.
std::vector<const wire::member*> replica_core::find_silent_members(time_point now, bool voters,
                                                                   std::chrono::milliseconds limit) const
{
    std::vector<const wire::member*> silent;
    if (now - leader_since_ < reported_silence()) {
        // The members have not had the time to answer the new leader.
        return silent;
    }
    for (const wire::member& m : members()) {
        const auto p = progress_.find(m.folder_id);
        if (m.voter == voters && p != progress_.end() && now - p->second.heard_at >= limit) {
            silent.push_back(&m);
        }
    }
    std::ranges::stable_sort(silent, {},
                             [&](const wire::member* m) { return progress_.at(m->folder_id).heard_at; });
    return silent;
}

// A leader that is paused for longer than the limit hears from nobody either, but is no longer the leader
// when it resumes.
std::chrono::milliseconds replica_core::voter_silence_limit() const
{
    return settings_.timing.max_election_timeout;
}

std::chrono::milliseconds replica_core::reported_silence() const
{
    return max_unanswered_heartbeats * settings_.timing.heartbeat_interval;
}

std::vector<wire::silent_member> replica_core::report_silent_members(time_point now) const
{
    std::vector<wire::silent_member> reported;
    for (const auto& [folder, p] : progress_) {
        if (now - p.heard_at >= reported_silence()) {
            wire::silent_member m;
            m.folder_id = folder;
            m.silent_ms = to_wire_ms(now - p.heard_at);
            reported.push_back(m);
        }
    }
    return reported;
}

// A new leader knows since when members are silent from its predecessor, and since when the predecessor is
// from its last message. If it counted anew, each loss of a leader would delay the replacement of all members
// that were lost before.
void replica_core::adopt_known_silence(time_point now)
{
    for (const auto& [folder, heard_at] : silent_since_) {
        if (const auto p = progress_.find(folder); p != progress_.end()) {
            p->second.heard_at = std::min(now, heard_at);
        }
    }
    if (const auto p = progress_.find(leader_folder_); p != progress_.end() && leader_heard_at_) {
        p->second.heard_at = *leader_heard_at_;
    }
    for (const std::int64_t voter : votes_) {
        if (const auto p = progress_.find(voter); p != progress_.end()) {
            p->second.heard_at = now;
        }
    }
}

}  // namespace peridotcleat::pvt

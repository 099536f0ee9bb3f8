#include <algorithm>
#include <tuple>

#include "peridotcleat/log.h"
#include "peridotcleat/member_list.h"
#include "peridotcleat/replica_core.h"

namespace peridotcleat::pvt {

namespace {

// An initial member repeats its join request every half second. If none arrives for this long, its folder may
// have been emptied.
constexpr std::chrono::milliseconds initial_member_max_age{3000};
// About ten round trips between zones.
constexpr std::chrono::milliseconds vote_resend_interval{200};

}  // namespace

bool replica_core::vote_withheld(time_point now) const
{
    const auto hold_time = settings_.timing.min_election_timeout;
    if (role_ == role::leader) {
        return now - quorum_round_start_time(now) < hold_time;
    }
    return leader_heard_at_ && now - *leader_heard_at_ < hold_time;
}

bool replica_core::is_quorum(const std::set<std::int64_t>& folders) const
{
    return pvt::is_quorum(members(), [&](const wire::member& m) { return folders.contains(m.folder_id); });
}

void replica_core::handle(time_point now, const endpoint& from, const wire::vote_request& m, outbox& out)
{
    if (m.candidate == self()) {
        return;
    }
    const bool withheld = vote_withheld(now);
    const bool up_to_date =
        std::tuple(m.last_term, m.last_index) >= std::tuple(log_.last_term(), log_.last_index());
    wire::vote_reply reply;
    reply.pre_vote = m.pre_vote;
    reply.voter = self();
    reply.candidate = m.candidate;
    const auto log_refusal = [&] {
        const char* reason = withheld ? "leader_heard" : (!up_to_date ? "log_behind" : "term_or_vote_taken");
        log_event(log_level::info, "vote_refused",
                  {{"candidate", to_string(from)},
                   {"reason", reason},
                   {"term", m.term},
                   {"pre_vote", m.pre_vote ? "true" : "false"},
                   {"candidate_last", m.last_index},
                   {"last", log_.last_index()}});
    };
    if (m.pre_vote) {
        reply.granted = !withheld && up_to_date && m.term > hard_state_.term;
        reply.term = reply.granted ? m.term : hard_state_.term;
        if (!reply.granted) {
            log_refusal();
        }
        send(from, reply, out);
        return;
    }
    // A withheld vote must not change the term either: a higher term would depose the leader before its lease
    // ends.
    if (!withheld && m.term > hard_state_.term) {
        become_follower(m.term, now);
    }
    const bool vote_available = !hard_state_.voted_for.valid() || hard_state_.voted_for.value == m.candidate;
    reply.granted =
        !withheld && m.term == hard_state_.term && vote_available && up_to_date && role_ != role::leader;
    if (reply.granted) {
        become_follower(hard_state_.term, now);
        if (!hard_state_.voted_for.valid()) {
            hard_state_.voted_for = folder_id{m.candidate};
            write_hard_state();
        }
        restart_election_timer(now);
    } else {
        log_refusal();
    }
    reply.term = hard_state_.term;
    if (reply.granted && now < former_lease_end_) {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(former_lease_end_ - now);
        reply.__set_lease_ms(static_cast<std::int32_t>(remaining.count()));
    }
    send(from, reply, out);
}

void replica_core::handle(time_point now, const endpoint& /*from*/, const wire::vote_reply& m, outbox& out)
{
    if (m.candidate != self()) {
        return;
    }
    const bool answers_pre_vote =
        m.pre_vote && m.granted && role_ == role::pre_candidate && m.term == hard_state_.term + 1;
    const bool answers_vote =
        !m.pre_vote && m.granted && role_ == role::candidate && m.term == hard_state_.term;
    if (answers_pre_vote || answers_vote) {
        votes_.insert(m.voter);
        if (m.__isset.lease_ms) {
            voters_lease_end_ = std::max(voters_lease_end_, now + std::chrono::milliseconds(m.lease_ms));
        }
        count_votes(now, out);
    } else if (!m.granted && m.term > hard_state_.term) {
        become_follower(m.term, now);
    }
}

void replica_core::start_pre_vote(time_point now, outbox& out)
{
    if (role_ == role::pre_candidate || role_ == role::candidate) {
        log_event(
            log_level::warning, "election_failed",
            {{"term", hard_state_.term},
             {"pre_vote", role_ == role::pre_candidate ? "true" : "false"},
             {"votes", static_cast<std::int64_t>(votes_.size())},
             {"voters", static_cast<std::int64_t>(std::ranges::count_if(members(), &wire::member::voter))},
             {"last", log_.last_index()},
             {"commit", commit_index_}});
        counters_->add(event::elections_failed);
    }
    become_follower(hard_state_.term, now);
    role_ = role::pre_candidate;
    leader_address_.reset();
    votes_ = {self()};
    restart_election_timer(now);
    request_votes(now, true, out);
    count_votes(now, out);
}

void replica_core::start_election(time_point now, outbox& out)
{
    role_ = role::candidate;
    votes_.clear();
    self_vote_durable_ = false;
    voters_lease_end_ = former_lease_end_;
    ++hard_state_.term;
    hard_state_.voted_for = identity_.folder;
    write_hard_state();
    counters_->add(event::elections_started);
    if (proposed_initial_members_) {
        restart_election_timer(now);
    } else {
        // After a split vote, the candidates retry at random times that lie several round trips and syncs
        // apart.
        const std::chrono::microseconds min_timeout = settings_.timing.min_election_timeout;
        election_due_ = now + min_timeout / 3 + random_duration(min_timeout * 2 / 3);
    }
    request_votes(now, false, out);
}

// Sends a request to the voters that have not granted their vote yet. Requests are repeated within an
// election because the bootstrap candidate needs every vote, and one lost datagram must not cost it a whole
// election timeout.
void replica_core::request_votes(time_point now, bool pre_vote, outbox& out)
{
    vote_resend_due_ = now + vote_resend_interval;
    wire::vote_request r;
    r.pre_vote = pre_vote;
    r.term = pre_vote ? hard_state_.term + 1 : hard_state_.term;
    r.candidate = self();
    r.last_index = log_.last_index();
    r.last_term = log_.last_term();
    for (const wire::member& m : proposed_initial_members_ ? proposed_initial_members_->members : members()) {
        if (has_vote(m) && m.folder_id != self() && !votes_.contains(m.folder_id)) {
            send(from_wire(m.address), r, out);
        }
    }
}

void replica_core::count_votes(time_point now, outbox& out)
{
    if (proposed_initial_members_) {
        const bool all_granted =
            std::all_of(proposed_initial_members_->members.begin(), proposed_initial_members_->members.end(),
                        [&](const wire::member& m) { return votes_.contains(m.folder_id); });
        if (all_granted && role_ == role::candidate) {
            become_leader(now);
        }
        return;
    }
    if (!is_quorum(votes_)) {
        return;
    }
    if (role_ == role::pre_candidate) {
        start_election(now, out);
    } else if (role_ == role::candidate && self_vote_durable_) {
        become_leader(now);
    }
}

void replica_core::become_leader(time_point now)
{
    counters_->add(event::elections_won);
    role_ = role::leader;
    leader_address_ = settings_.address;
    leader_since_ = now;
    lease_start_ = voters_lease_end_;
    progress_.clear();
    joiners_.clear();
    pending_change_.reset();
    term_start_index_ = log_.last_index() + 1;
    if (proposed_initial_members_) {
        append_entry(kind_members, encode_struct(*proposed_initial_members_));
        proposed_initial_members_.reset();
    } else {
        append_entry(kind_no_op, {});
    }
    update_progress_map(now);
    adopt_known_silence(now);
    round_requested_ = true;
}

bool replica_core::is_bootstrap_candidate() const
{
    const auto lowest_name =
        std::min_element(settings_.initial_members.begin(), settings_.initial_members.end(),
                         [](const auto& a, const auto& b) { return a.name < b.name; });
    return lowest_name != settings_.initial_members.end() && lowest_name->name == settings_.name;
}

// Only one initial member, the one with the lowest name, proposes the first member list, and only if all
// initial members vote for it in one term while their folders are still empty. A candidate whose folder is
// emptied later cannot form a second cluster: a member that holds the first list refuses to vote for a
// candidate with an empty folder, and replies name the candidate's folder, so delayed replies to the former
// folder do not count.
void replica_core::try_bootstrap(time_point now, outbox& out)
{
    if (!settings_.bootstrap || !is_bootstrap_candidate() || leader_heard_at_ ||
        (role_ == role::candidate && now < election_due_)) {
        return;
    }
    wire::member_list list;
    for (wire::member m : settings_.initial_members) {
        if (m.name == settings_.name) {
            m.folder_id = self();
        } else if (const auto it = initial_member_folders_.find(m.name);
                   it != initial_member_folders_.end() &&
                   now - it->second.heard_at < initial_member_max_age) {
            m.folder_id = it->second.folder;
        } else {
            return;
        }
        m.voter = true;
        list.members.push_back(m);
    }
    become_follower(hard_state_.term, now);
    proposed_initial_members_ = std::move(list);
    start_election(now, out);
}

}  // namespace peridotcleat::pvt

#include <algorithm>
#include <tuple>

#include "peridotcleat/replica_core.h"

namespace peridotcleat::pvt {

namespace {

// A founder repeats its join request every half second; after this time it may have been emptied.
constexpr std::chrono::milliseconds founder_fresh{3000};
// Ten round trips between zones.
constexpr std::chrono::milliseconds vote_resend_interval{200};

}  // namespace

bool replica_core::vote_withheld(time_point now) const
{
    const auto hold = settings_.timing.min_election_timeout;
    if (role_ == role::leader) {
        return now - quorum_heard(now) < hold;
    }
    return leader_heard_ && now - *leader_heard_ < hold;
}

bool replica_core::quorum(const std::set<std::int64_t>& folders) const
{
    std::size_t voters = 0;
    std::size_t present = 0;
    for (const wire::member& m : members()) {
        voters += m.voter ? 1 : 0;
        present += m.voter && folders.contains(m.folder_id) ? 1 : 0;
    }
    return present * 2 > voters;
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
    if (m.pre_vote) {
        reply.granted = !withheld && up_to_date && m.term > hard_.term;
        reply.term = reply.granted ? m.term : hard_.term;
        send(from, reply, out);
        return;
    }
    // A withheld vote leaves the term alone too, else a new term would end the lease early.
    if (!withheld && m.term > hard_.term) {
        become_follower(m.term, now);
    }
    const bool free = !hard_.voted_for.valid() || hard_.voted_for.value == m.candidate;
    reply.granted = !withheld && m.term == hard_.term && free && up_to_date && role_ != role::leader;
    if (reply.granted) {
        become_follower(hard_.term, now);
        if (!hard_.voted_for.valid()) {
            hard_.voted_for = folder_id{m.candidate};
            write_hard_state();
        }
        restart_election_timer(now);
    }
    reply.term = hard_.term;
    if (reply.granted && now < former_lease_end_) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(former_lease_end_ - now);
        reply.__set_lease_ms(static_cast<std::int32_t>(left.count()));
    }
    send(from, reply, out);
}

void replica_core::handle(time_point now, const endpoint& /*from*/, const wire::vote_reply& m, outbox& out)
{
    if (m.candidate != self()) {
        return;
    }
    const bool answers_pre_vote =
        m.pre_vote && m.granted && role_ == role::pre_candidate && m.term == hard_.term + 1;
    const bool answers_vote = !m.pre_vote && m.granted && role_ == role::candidate && m.term == hard_.term;
    if (answers_pre_vote || answers_vote) {
        votes_.insert(m.voter);
        if (m.__isset.lease_ms) {
            voters_lease_end_ = std::max(voters_lease_end_, now + std::chrono::milliseconds(m.lease_ms));
        }
        count_votes(now, out);
    } else if (!m.granted && m.term > hard_.term) {
        become_follower(m.term, now);
    }
}

void replica_core::start_pre_vote(time_point now, outbox& out)
{
    become_follower(hard_.term, now);
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
    ++hard_.term;
    hard_.voted_for = identity_.folder;
    write_hard_state();
    counters_->add(event::elections_started);
    if (founding_) {
        restart_election_timer(now);
    } else {
        // Candidates that split the votes try again after different times, several round trips and syncs
        // apart.
        const std::chrono::microseconds low = settings_.timing.min_election_timeout;
        election_due_ = now + low / 3 + draw(low * 2 / 3);
    }
    request_votes(now, false, out);
}

// Asks the voters that have not granted their vote yet. Requests are repeated within an election: a founder
// needs every vote, and one lost datagram must not cost it a whole election timeout.
void replica_core::request_votes(time_point now, bool pre_vote, outbox& out)
{
    vote_resend_due_ = now + vote_resend_interval;
    wire::vote_request r;
    r.pre_vote = pre_vote;
    r.term = pre_vote ? hard_.term + 1 : hard_.term;
    r.candidate = self();
    r.last_index = log_.last_index();
    r.last_term = log_.last_term();
    for (const wire::member& m : founding_ ? founding_->members : members()) {
        if (m.voter && m.folder_id != self() && !votes_.contains(m.folder_id)) {
            send(from_wire(m.address), r, out);
        }
    }
}

void replica_core::count_votes(time_point now, outbox& out)
{
    if (founding_) {
        const bool all = std::all_of(founding_->members.begin(), founding_->members.end(),
                                     [&](const wire::member& m) { return votes_.contains(m.folder_id); });
        if (all && role_ == role::candidate) {
            become_leader(now);
        }
        return;
    }
    if (!quorum(votes_)) {
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
    led_since_ = now;
    lease_from_ = voters_lease_end_;
    progress_.clear();
    joiners_.clear();
    term_start_ = log_.last_index() + 1;
    if (founding_) {
        append_entry(kind_members, encode_struct(*founding_));
        founding_.reset();
    } else {
        append_entry(kind_no_op, {});
    }
    sync_progress(now);
    round_wanted_ = true;
}

bool replica_core::is_first_founder() const
{
    const auto first = std::min_element(settings_.initial_members.begin(), settings_.initial_members.end(),
                                        [](const auto& a, const auto& b) { return a.name < b.name; });
    return first != settings_.initial_members.end() && first->name == settings_.name;
}

// Only one founder forms the first member list, and only if every founder, with its folder still empty, votes
// for it in one term. A founder that was emptied later cannot form a second cluster, because a founder that
// holds the first list refuses, and replies name the candidate's folder, so that late ones do not count.
void replica_core::try_bootstrap(time_point now, outbox& out)
{
    if (!settings_.bootstrap || !is_first_founder() || leader_heard_ ||
        (role_ == role::candidate && now < election_due_)) {
        return;
    }
    wire::member_list list;
    for (wire::member m : settings_.initial_members) {
        if (m.name == settings_.name) {
            m.folder_id = self();
        } else if (const auto it = founders_.find(m.name);
                   it != founders_.end() && now - it->second.heard_at < founder_fresh) {
            m.folder_id = it->second.folder;
        } else {
            return;
        }
        m.voter = true;
        list.members.push_back(m);
    }
    become_follower(hard_.term, now);
    founding_ = std::move(list);
    start_election(now, out);
}

}  // namespace peridotcleat::pvt

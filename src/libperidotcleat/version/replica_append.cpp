#include <algorithm>
#include <string>
#include <utility>

#include "peridotcleat/member_list.h"
#include "peridotcleat/replica_core.h"

namespace peridotcleat::pvt {

namespace {

constexpr time_point never{-std::chrono::hours(24 * 365)};
// Covers several round trips between zones plus a slow sync.
constexpr std::chrono::milliseconds retransmit_after{200};
// Reordered datagrams cause several rejections in a row; the leader rewinds for only one of them.
constexpr std::chrono::milliseconds min_rewind_interval{30};
// A joiner repeats its request twice a second, so one that is silent for this long has stopped asking.
constexpr std::chrono::milliseconds joiner_max_age{2000};
constexpr std::size_t max_in_flight = 64;
// Large entries would otherwise overflow the receive buffer of a socket (208 KB by default on Linux).
constexpr std::size_t max_bytes_in_flight = 98304;
// Upper bounds, within `max_control_body`, for the encoded size of the request and of each entry apart from
// the entry's data.
constexpr std::size_t append_overhead = 80;
constexpr std::size_t entry_overhead = 32;
constexpr std::size_t silent_member_size = 20;
// Covers several lease durations at one round per heartbeat interval plus many rounds for reads.
constexpr std::size_t max_round_starts = 4096;

}  // namespace

// Returns the highest value that a quorum has reached. `own_value` is the value of this replica, `value_of`
// gives that of another member.
template <class T, class F>
T replica_core::quorum_value(T own_value, F value_of) const
{
    static const progress no_progress;
    if (members().empty()) {
        return value_of(no_progress);
    }
    return pvt::quorum_value<T>(members(), [&](const wire::member& m) {
        const auto it = progress_.find(m.folder_id);
        return m.folder_id == self() ? own_value : value_of(it == progress_.end() ? no_progress : it->second);
    });
}

std::int32_t replica_core::to_wire_ms(std::chrono::microseconds duration)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::int32_t>(std::min<std::int64_t>(ms, 1 << 30));
}

time_point replica_core::round_start_time(std::int64_t round) const
{
    const std::int64_t rounds_ago = round_ - round;
    if (round <= 0 || rounds_ago < 0 || rounds_ago >= static_cast<std::int64_t>(round_starts_.size())) {
        return never;
    }
    return round_starts_[round_starts_.size() - 1 - static_cast<std::size_t>(rounds_ago)];
}

time_point replica_core::quorum_round_start_time(time_point now) const
{
    return quorum_value<time_point>(now, [&](const progress& p) { return round_start_time(p.acked_round); });
}

std::int64_t replica_core::quorum_round() const
{
    return quorum_value<std::int64_t>(round_, [](const progress& p) { return p.acked_round; });
}

void replica_core::handle(time_point now, const endpoint& from, const wire::append_request& m, outbox& out)
{
    wire::append_reply reply;
    reply.follower = self();
    reply.round = m.round;
    if (m.term < hard_state_.term || (m.term == hard_state_.term && role_ == role::leader)) {
        // The round belongs to the sender's term. A later leader at the same address must not count it as a
        // reply to a round of its own.
        reply.round = 0;
        reply.term = hard_state_.term;
        send(from, reply, out);
        return;
    }
    adopt_leader(m.term, m.leader, from, now);
    silent_since_.clear();
    for (const wire::silent_member& silent : m.silent_members) {
        silent_since_[silent.folder_id] = now - std::chrono::milliseconds(std::max(0, silent.silent_ms));
    }
    reply.term = hard_state_.term;
    const std::int64_t previous_index = m.previous_index;
    if (previous_index > log_.last_index()) {
        reply.match = log_.last_index();
    } else if (previous_index >= log_.base_index() && log_.term_at(previous_index) != m.previous_term) {
        // Skips all entries of the conflicting term, so that the leader rewinds by a term at a time.
        const auto term = log_.term_at(previous_index);
        reply.match = previous_index;
        while (reply.match > std::max(commit_index_, log_.base_index()) &&
               log_.term_at(reply.match) == term) {
            --reply.match;
        }
    } else if (append_entries(m.entries)) {
        reply.success = true;
        reply.match = previous_index + static_cast<std::int64_t>(m.entries.size());
        commit_index_ = std::max(commit_index_, std::min(m.commit, reply.match));
        if (commit_index_ >= m.commit) {
            // Only a replica with all entries that the leader had committed may use the leader's quorum age.
            leader_quorum_at_ =
                std::max(leader_quorum_at_, now - std::chrono::milliseconds(std::max(0, m.quorum_age_ms)));
        }
    } else {
        return;
    }
    send(from, reply, out);
}

bool replica_core::append_entries(const std::vector<wire::log_entry>& entries)
{
    for (const wire::log_entry& e : entries) {
        if (e.index <= log_.base_index() || log_.term_at(e.index) == e.term) {
            continue;
        }
        if (e.index <= log_.last_index()) {
            if (e.index <= commit_index_) {
                stop({error_code::log_corrupt, "committed entry " + std::to_string(e.index) +
                                                   " differs from that of the leader of term " +
                                                   std::to_string(hard_state_.term)});
                return false;
            }
            log_.truncate_from(e.index);
            durable_index_ = std::min(durable_index_, e.index - 1);
            staged_writes_.emplace_back(truncation{e.index});
        }
        if (e.index != log_.last_index() + 1 || !log_.append(e)) {
            return false;
        }
        if (staged_writes_.empty() ||
            !std::holds_alternative<std::vector<wire::log_entry>>(staged_writes_.back())) {
            staged_writes_.emplace_back(std::vector<wire::log_entry>{});
        }
        std::get<std::vector<wire::log_entry>>(staged_writes_.back()).push_back(e);
        counters_->add(event::entries_appended);
    }
    if (!staged_writes_.empty() && commit_index_ > hard_state_.committed) {
        // Written only along with other writes, so it costs no additional sync.
        hard_state_.committed = commit_index_;
        write_hard_state();
    }
    return true;
}

void replica_core::handle(time_point now, const endpoint& /*from*/, const wire::append_reply& m,
                          outbox& /*out*/)
{
    if (m.term > hard_state_.term) {
        become_follower(m.term, now);
        return;
    }
    if (role_ != role::leader || m.term != hard_state_.term) {
        return;
    }
    if (const auto j = joiners_.find(m.follower);
        j != joiners_.end() && j->second.probe_round > 0 && m.round >= j->second.probe_round) {
        add_learner(now, j->second);
        return;
    }
    const auto it = progress_.find(m.follower);
    if (it == progress_.end()) {
        return;
    }
    progress& p = it->second;
    record_reply(now, p, m.round);
    if (!m.success) {
        if (p.probing || now - p.rewound_at >= min_rewind_interval) {
            rewind(now, p, std::min(m.match + 1, p.next_index));
        }
        return;
    }
    p.probing = false;
    if (m.match > p.match_index && m.match <= log_.last_index()) {
        p.match_index = m.match;
        p.progressed_at = now;
        p.next_index = std::max(p.next_index, p.match_index + 1);
        while (!p.in_flight.empty() && p.in_flight.front().last_index <= p.match_index) {
            p.bytes_in_flight -= p.in_flight.front().size;
            p.in_flight.pop_front();
        }
        advance_commit(now);
        if (role_ == role::leader) {
            maintain_members(now);
        }
    }
}

void replica_core::record_reply(time_point now, progress& p, std::int64_t round)
{
    p.acked_round = std::max(p.acked_round, std::min(round, round_));
    p.heard_at = std::max(p.heard_at, std::min(now, round_start_time(p.acked_round)));
}

bool replica_core::window_open(const progress& p)
{
    return p.in_flight.size() < (p.probing ? 1 : max_in_flight) &&
           (p.in_flight.empty() || p.bytes_in_flight < max_bytes_in_flight);
}

void replica_core::clear_in_flight(progress& p)
{
    p.in_flight.clear();
    p.bytes_in_flight = 0;
}

void replica_core::rewind(time_point now, progress& p, std::int64_t next)
{
    p.next_index = std::clamp(next, p.match_index + 1, std::max(p.match_index, log_.last_index()) + 1);
    clear_in_flight(p);
    p.probing = true;
    p.rewound_at = now;
}

void replica_core::advance_commit(time_point now)
{
    const auto quorum_match =
        quorum_value<std::int64_t>(durable_index_, [](const progress& p) { return p.match_index; });
    // An entry of an earlier term may still be overwritten, even if a quorum holds it (Raft's commit rule).
    if (quorum_match <= commit_index_ || log_.term_at(quorum_match) != hard_state_.term) {
        return;
    }
    commit_index_ = quorum_match;
    if (log_.members_index() <= commit_index_ && !is_voter(self())) {
        become_follower(hard_state_.term, now);
    }
}

void replica_core::start_round(time_point now, outbox& out)
{
    ++round_;
    round_requested_ = false;
    round_starts_.push_back(now);
    if (round_starts_.size() > max_round_starts) {
        round_starts_.pop_front();
    }
    for (const wire::member& m : members()) {
        if (m.folder_id == self()) {
            continue;
        }
        progress& p = progress_[m.folder_id];
        if (p.next_index <= log_.base_index()) {
            send_chunk(m, p, p.acked_offset, out);
        } else {
            send_append(now, m, p, out);
        }
    }
    std::erase_if(joiners_, [&](const auto& j) { return now - j.second.asked_at > joiner_max_age; });
    // An answer to the probe shows that the joiner is alive; its request may be a delayed one of a folder
    // that is lost.
    for (auto& [folder, j] : joiners_) {
        wire::append_request probe;
        probe.term = hard_state_.term;
        probe.leader = self();
        probe.round = round_;
        probe.quorum_age_ms = to_wire_ms(quorum_age(now));
        if (j.probe_round == 0) {
            j.probe_round = round_;
        }
        send(from_wire(j.candidate.address), probe, out);
    }
}

void replica_core::replicate_all(time_point now, outbox& out)
{
    if (round_requested_ || round_starts_.empty() ||
        now - round_starts_.back() >= settings_.timing.heartbeat_interval) {
        start_round(now, out);
    }
    for (const wire::member& m : members()) {
        if (m.folder_id != self()) {
            replicate(now, m, progress_[m.folder_id], out);
        }
    }
}

void replica_core::replicate(time_point now, const wire::member& to, progress& p, outbox& out)
{
    if (p.next_index <= log_.base_index()) {
        send_chunks(now, to, p, out);
        return;
    }
    if (!p.in_flight.empty() && now - p.progressed_at > retransmit_after) {
        rewind(now, p, p.match_index + 1);
        if (p.next_index <= log_.base_index()) {
            return;
        }
    }
    while (window_open(p) && p.next_index <= log_.last_index()) {
        send_append(now, to, p, out);
    }
    if (!p.probing && commit_index_ > p.commit_sent) {
        send_append(now, to, p, out);
    }
}

void replica_core::send_append(time_point now, const wire::member& to, progress& p, outbox& out)
{
    wire::append_request r;
    r.term = hard_state_.term;
    r.leader = self();
    r.previous_index = p.next_index - 1;
    r.previous_term = log_.term_at(r.previous_index).value_or(0);
    r.commit = commit_index_;
    r.round = round_;
    r.quorum_age_ms = to_wire_ms(quorum_age(now));
    if (const auto silent = report_silent_members(now); !silent.empty()) {
        r.__set_silent_members(silent);
    }
    std::size_t size = append_overhead + silent_member_size * r.silent_members.size();
    while (p.next_index <= log_.last_index() && window_open(p)) {
        const wire::log_entry& e = log_.at(p.next_index);
        const std::size_t added = entry_overhead + e.data.size();
        if (size + added > max_control_body && !r.entries.empty()) {
            break;
        }
        size += added;
        r.entries.push_back(e);
        ++p.next_index;
    }
    if (!r.entries.empty()) {
        if (p.in_flight.empty()) {
            p.progressed_at = now;
        }
        p.in_flight.push_back({p.next_index - 1, size});
        p.bytes_in_flight += size;
    }
    p.commit_sent = commit_index_;
    send(from_wire(to.address), std::move(r), out);
}

}  // namespace peridotcleat::pvt

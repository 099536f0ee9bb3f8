#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "peridotcleat/replica_core.h"

namespace peridotcleat::pvt {

namespace {

constexpr time_point never{-std::chrono::hours(24 * 365)};
// Several round trips between zones plus a slow sync.
constexpr std::chrono::milliseconds retransmit_after{200};
// Reordered datagrams cause several rejections in a row; one of them is enough to go back.
constexpr std::chrono::milliseconds rewind_pause{30};
// A joiner repeats its request twice a second.
constexpr std::chrono::milliseconds joiner_kept{2000};
constexpr std::size_t max_in_flight = 64;
// Large entries would otherwise overflow the receive buffer of a socket (208 KB by default on Linux).
constexpr std::size_t max_bytes_in_flight = 98304;
// Of `max_control_body`, what the fields other than the entries' data take at most.
constexpr std::size_t append_overhead = 80;
constexpr std::size_t entry_overhead = 32;
// Covers the lease several times over at one round per heartbeat and many reads in between.
constexpr std::size_t rounds_kept = 4096;

}  // namespace

template <class T, class F>
T replica_core::quorum_value(T own, F of) const
{
    static const progress none;
    std::vector<T> values;
    values.reserve(members().size());
    for (const wire::member& m : members()) {
        if (!m.voter) {
            continue;
        }
        if (m.folder_id == self()) {
            values.push_back(own);
        } else {
            const auto it = progress_.find(m.folder_id);
            values.push_back(it == progress_.end() ? of(none) : of(it->second));
        }
    }
    if (values.empty()) {
        return of(none);
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

time_point replica_core::round_started(std::int64_t round) const
{
    const std::int64_t back = round_ - round;
    if (round <= 0 || back < 0 || back >= static_cast<std::int64_t>(round_starts_.size())) {
        return never;
    }
    return round_starts_[round_starts_.size() - 1 - static_cast<std::size_t>(back)];
}

time_point replica_core::quorum_heard(time_point now) const
{
    return quorum_value<time_point>(now, [&](const progress& p) { return round_started(p.acked_round); });
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
    if (m.term < hard_.term || (m.term == hard_.term && role_ == role::leader)) {
        // The round belongs to another term. A later leader at the same address must not count it as its own.
        reply.round = 0;
        reply.term = hard_.term;
        send(from, reply, out);
        return;
    }
    adopt_leader(m.term, from, now);
    reply.term = hard_.term;
    const std::int64_t previous = m.previous_index;
    if (previous > log_.last_index()) {
        reply.match = log_.last_index();
    } else if (previous >= log_.base_index() && log_.term_at(previous) != m.previous_term) {
        // Skips the whole term that disagrees.
        const auto term = log_.term_at(previous);
        reply.match = previous;
        while (reply.match > std::max(commit_, log_.base_index()) && log_.term_at(reply.match) == term) {
            --reply.match;
        }
    } else if (take_entries(m.entries)) {
        reply.success = true;
        reply.match = previous + static_cast<std::int64_t>(m.entries.size());
        commit_ = std::max(commit_, std::min(m.commit, reply.match));
        if (commit_ >= m.commit) {
            // A member that lacks entries does not hold what the leader held then.
            quorum_heard_ =
                std::max(quorum_heard_, now - std::chrono::milliseconds(std::max(0, m.quorum_age_ms)));
        }
    } else {
        return;
    }
    send(from, reply, out);
}

bool replica_core::take_entries(const std::vector<wire::log_entry>& entries)
{
    for (const wire::log_entry& e : entries) {
        if (e.index <= log_.base_index() || log_.term_at(e.index) == e.term) {
            continue;
        }
        if (e.index <= log_.last_index()) {
            if (e.index <= commit_) {
                stop({error_code::log_corrupt, "committed entry " + std::to_string(e.index) +
                                                   " differs from the leader's of term " +
                                                   std::to_string(hard_.term)});
                return false;
            }
            log_.truncate_from(e.index);
            durable_ = std::min(durable_, e.index - 1);
            writes_.emplace_back(truncation{e.index});
        }
        if (e.index != log_.last_index() + 1 || !log_.append(e)) {
            return false;
        }
        if (writes_.empty() || !std::holds_alternative<std::vector<wire::log_entry>>(writes_.back())) {
            writes_.emplace_back(std::vector<wire::log_entry>{});
        }
        std::get<std::vector<wire::log_entry>>(writes_.back()).push_back(e);
        counters_->add(event::entries_appended);
    }
    if (!writes_.empty() && commit_ > hard_.committed) {
        // Costs no sync of its own.
        hard_.committed = commit_;
        write_hard_state();
    }
    return true;
}

void replica_core::handle(time_point now, const endpoint& /*from*/, const wire::append_reply& m,
                          outbox& /*out*/)
{
    if (m.term > hard_.term) {
        become_follower(m.term, now);
        return;
    }
    if (role_ != role::leader || m.term != hard_.term) {
        return;
    }
    if (const auto j = joiners_.find(m.follower);
        j != joiners_.end() && j->second.probe_round > 0 && m.round >= j->second.probe_round) {
        admit(now, j->second);
        return;
    }
    const auto it = progress_.find(m.follower);
    if (it == progress_.end()) {
        return;
    }
    progress& p = it->second;
    note_reply(now, p, m.round);
    if (!m.success) {
        if (p.probing || now - p.rewound_at >= rewind_pause) {
            rewind(now, p, std::min(m.match + 1, p.next));
        }
        return;
    }
    p.probing = false;
    if (m.match > p.match && m.match <= log_.last_index()) {
        p.match = m.match;
        p.moved_at = now;
        p.next = std::max(p.next, p.match + 1);
        while (!p.in_flight.empty() && p.in_flight.front().last_index <= p.match) {
            p.bytes_in_flight -= p.in_flight.front().size;
            p.in_flight.pop_front();
        }
        advance_commit(now);
        if (role_ == role::leader) {
            promote_learner(now);
        }
    }
}

void replica_core::note_reply(time_point now, progress& p, std::int64_t round)
{
    p.heard_at = now;
    p.acked_round = std::max(p.acked_round, std::min(round, round_));
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
    p.next = std::clamp(next, p.match + 1, std::max(p.match, log_.last_index()) + 1);
    clear_in_flight(p);
    p.probing = true;
    p.rewound_at = now;
}

void replica_core::advance_commit(time_point now)
{
    const auto agreed = quorum_value<std::int64_t>(durable_, [](const progress& p) { return p.match; });
    // An entry of an earlier term may still be overwritten, even if a quorum holds it.
    if (agreed <= commit_ || log_.term_at(agreed) != hard_.term) {
        return;
    }
    commit_ = agreed;
    if (log_.members_index() <= commit_ && member(self()) == nullptr) {
        become_follower(hard_.term, now);
    }
}

void replica_core::start_round(time_point now, outbox& out)
{
    ++round_;
    round_wanted_ = false;
    round_starts_.push_back(now);
    if (round_starts_.size() > rounds_kept) {
        round_starts_.pop_front();
    }
    for (const wire::member& m : members()) {
        if (m.folder_id == self()) {
            continue;
        }
        progress& p = progress_[m.folder_id];
        if (p.next <= log_.base_index()) {
            send_chunk(m, p, p.acked_offset, out);
        } else {
            send_append(now, m, p, out);
        }
    }
    // Shows that the joiner is alive, since its request may be a late one of a lost folder.
    std::erase_if(joiners_, [&](const auto& j) { return now - j.second.asked_at > joiner_kept; });
    for (auto& [folder, j] : joiners_) {
        wire::append_request probe;
        probe.term = hard_.term;
        probe.leader = self();
        probe.round = round_;
        probe.quorum_age_ms =
            static_cast<std::int32_t>(std::min<std::int64_t>(quorum_age(now).count(), 1 << 30));
        if (j.probe_round == 0) {
            j.probe_round = round_;
        }
        send(from_wire(j.candidate.address), probe, out);
    }
}

void replica_core::pump(time_point now, outbox& out)
{
    if (round_wanted_ || round_starts_.empty() ||
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
    if (p.next <= log_.base_index()) {
        send_chunks(now, to, p, out);
        return;
    }
    if (!p.in_flight.empty() && now - p.moved_at > retransmit_after) {
        rewind(now, p, p.match + 1);
        if (p.next <= log_.base_index()) {
            return;
        }
    }
    while (window_open(p) && p.next <= log_.last_index()) {
        send_append(now, to, p, out);
    }
    if (!p.probing && commit_ > p.commit_sent) {
        send_append(now, to, p, out);
    }
}

void replica_core::send_append(time_point now, const wire::member& to, progress& p, outbox& out)
{
    wire::append_request r;
    r.term = hard_.term;
    r.leader = self();
    r.previous_index = p.next - 1;
    r.previous_term = log_.term_at(r.previous_index).value_or(0);
    r.commit = commit_;
    r.round = round_;
    r.quorum_age_ms = static_cast<std::int32_t>(std::min<std::int64_t>(quorum_age(now).count(), 1 << 30));
    std::size_t size = append_overhead;
    while (p.next <= log_.last_index() && window_open(p)) {
        const wire::log_entry& e = log_.at(p.next);
        const std::size_t added = entry_overhead + e.data.size();
        if (size + added > max_control_body && !r.entries.empty()) {
            break;
        }
        size += added;
        r.entries.push_back(e);
        ++p.next;
    }
    if (!r.entries.empty()) {
        if (p.in_flight.empty()) {
            p.moved_at = now;
        }
        p.in_flight.push_back({p.next - 1, size});
        p.bytes_in_flight += size;
    }
    p.commit_sent = commit_;
    send(from_wire(to.address), std::move(r), out);
}

}  // namespace peridotcleat::pvt

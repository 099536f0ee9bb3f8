#include <algorithm>
#include <utility>

#include "peridotcleat/replica_core.h"

namespace peridotcleat::pvt {

namespace {

constexpr std::chrono::milliseconds retransmit_after{200};
constexpr std::int64_t chunk_size = 1000;
constexpr std::int64_t chunk_window = 32 * chunk_size;
// The size limit of `decode_struct`; a larger snapshot could not be read back.
constexpr std::int64_t max_snapshot_size = 64 << 20;

}  // namespace

void replica_core::send_chunk(const wire::member& to, progress& p, std::int64_t offset, outbox& out)
{
    const stored_snapshot& s = *log_.snapshot();
    if (p.snapshot_index != s.index) {
        p.snapshot_index = s.index;
        p.acked_offset = p.sent_offset = p.reported_offset = offset = 0;
    }
    wire::snapshot_chunk c;
    c.term = hard_state_.term;
    c.leader = self();
    c.last_index = s.index;
    c.last_term = s.term;
    c.offset = offset;
    c.total = static_cast<std::int64_t>(s.state.size());
    c.round = round_;
    std::int64_t data_limit = chunk_size;
    if (offset == 0) {
        // Only the first chunk carries the member list, which reduces the space for data.
        c.members = s.members;
        data_limit = std::max<std::int64_t>(
            chunk_size - static_cast<std::int64_t>(encode_struct(s.members).size()), 100);
    }
    c.data = s.state.substr(static_cast<std::size_t>(offset), static_cast<std::size_t>(data_limit));
    p.sent_offset = std::max(p.sent_offset, offset + static_cast<std::int64_t>(c.data.size()));
    send(from_wire(to.address), std::move(c), out);
}

void replica_core::send_chunks(time_point now, const wire::member& to, progress& p, outbox& out)
{
    const stored_snapshot& s = *log_.snapshot();
    if (p.snapshot_index != s.index) {
        p.progressed_at = now;
        send_chunk(to, p, 0, out);
    }
    if (now - p.progressed_at > retransmit_after) {
        p.progressed_at = now;
        // The follower may have restarted the transfer, after a process restart or a delayed chunk of another
        // snapshot.
        p.acked_offset = p.sent_offset = p.reported_offset;
    }
    while (p.sent_offset < static_cast<std::int64_t>(s.state.size()) &&
           p.sent_offset - p.acked_offset < chunk_window) {
        send_chunk(to, p, p.sent_offset, out);
    }
}

void replica_core::handle(time_point now, const endpoint& from, const wire::snapshot_chunk& m, outbox& out)
{
    wire::snapshot_reply reply;
    reply.follower = self();
    reply.last_index = m.last_index;
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
    reply.term = hard_state_.term;
    if (m.last_index <= commit_index_) {
        reply.next_offset = m.total;
    } else {
        reply.next_offset = receive_chunk(m);
        if (incoming_snapshot_ && reply.next_offset == incoming_snapshot_->total) {
            install_snapshot();
        }
    }
    send(from, reply, out);
}

std::int64_t replica_core::receive_chunk(const wire::snapshot_chunk& m)
{
    const bool same_transfer = incoming_snapshot_ && incoming_snapshot_->snapshot.index == m.last_index &&
                               incoming_snapshot_->snapshot.term == m.last_term &&
                               incoming_snapshot_->total == m.total && incoming_snapshot_->leader == m.leader;
    if (!same_transfer) {
        if (m.offset != 0 || m.total < 0 || m.total > max_snapshot_size) {
            // Must not return the offset of another snapshot, which the leader would take for that of its
            // own.
            return 0;
        }
        incoming_snapshot_ = incoming_snapshot{{m.last_index, m.last_term, m.members, {}}, m.total, m.leader};
    }
    std::string& state = incoming_snapshot_->snapshot.state;
    if (m.offset == static_cast<std::int64_t>(state.size()) &&
        m.offset + static_cast<std::int64_t>(m.data.size()) <= m.total) {
        state += m.data;
    }
    return static_cast<std::int64_t>(state.size());
}

void replica_core::install_snapshot()
{
    stored_snapshot s = std::move(incoming_snapshot_->snapshot);
    incoming_snapshot_.reset();
    commit_index_ = delivered_index_ = s.index;
    installed_snapshot_ = s;
    staged_writes_.emplace_back(s);
    log_.compact(std::move(s));
    durable_index_ = std::min(std::max(durable_index_, log_.base_index()), log_.last_index());
    counters_->add(event::snapshots_installed);
}

void replica_core::handle(time_point now, const endpoint& /*from*/, const wire::snapshot_reply& m,
                          outbox& /*out*/)
{
    if (m.term > hard_state_.term) {
        become_follower(m.term, now);
        return;
    }
    const auto it = progress_.find(m.follower);
    if (role_ != role::leader || m.term != hard_state_.term || it == progress_.end()) {
        return;
    }
    progress& p = it->second;
    record_reply(now, p, m.round);
    if (m.last_index != p.snapshot_index || !log_.snapshot() || log_.base_index() != p.snapshot_index) {
        return;
    }
    const auto total = static_cast<std::int64_t>(log_.snapshot()->state.size());
    if (m.next_offset >= total) {
        p.match_index = std::max(p.match_index, m.last_index);
        p.next_index = std::max(p.next_index, p.match_index + 1);
        p.snapshot_index = p.acked_offset = p.sent_offset = 0;
        clear_in_flight(p);
        p.progressed_at = now;
        advance_commit(now);
        return;
    }
    p.reported_offset = std::max<std::int64_t>(m.next_offset, 0);
    if (m.next_offset > p.acked_offset) {
        p.acked_offset = m.next_offset;
        p.sent_offset = std::max(p.sent_offset, m.next_offset);
        p.progressed_at = now;
    }
}

}  // namespace peridotcleat::pvt

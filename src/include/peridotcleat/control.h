#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peridotcleat/change_assembler.h"
#include "peridotcleat/hash.h"
#include "peridotcleat/membership.h"
#include "peridotcleat/operator_request_tracker.h"
#include "peridotcleat/relay.h"
#include "peridotcleat/replica.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat {

/// Settings of a control process.
struct control_settings {
    replica_settings replica;
    membership_timing membership;
    /// Number of log entries after which a snapshot is written and the log is compacted.
    std::int64_t snapshot_after = 4096;
    /// Time within which an operator's request is answered, with `outcome_unknown` if its outcome is not
    /// known by then.
    std::chrono::milliseconds answer_timeout{10000};
};

/// The logic of a control process: replicates the table, serves it to balancers, decides on membership and
/// answers operators. Has no socket, thread or clock, and is not thread-safe.
///
/// The host passes in messages, ticks and operators' requests and then calls `flush`. After `flush` it sends
/// the messages in the outbox and collects the answers with `take_answers`.
template <log_storage Storage>
class control {
public:
    /// Restores the process from the log and snapshot in `storage`. Fails as `replica::open` does, or with
    /// `snapshot_corrupt`.
    static result<control> open(control_settings settings, Storage storage, time_point now, counters& counted)
    {
        settings.replica.counted = &counted;
        auto opened = replica<Storage>::open(settings.replica, std::move(storage), now);
        if (!has_value(opened)) {
            return failure(opened);
        }
        control c(std::move(settings), value(std::move(opened)), counted);
        if (!c.restore_snapshot()) {
            return *c.fault_;
        }
        return c;
    }

    /// Handles a message of a control process, balancer or agent.
    void on_message(time_point now, const endpoint& from, const message& m, outbox& out)
    {
        if (const auto* pull = std::get_if<wire::pull_request>(&m)) {
            on_pull(now, from, *pull, out);
        } else if (const auto* request = std::get_if<wire::announce>(&m)) {
            on_announce(now, *request, out);
        } else if (const auto* answer = std::get_if<wire::announce_reply>(&m)) {
            relay_.on_announce_reply(now, *answer, out);
        } else if (const auto* report = std::get_if<wire::relay_report>(&m)) {
            relay_.on_report(now, from, *report, out);
        } else if (const auto* reply = std::get_if<wire::relay_report_reply>(&m)) {
            relay_.on_report_reply(now, *reply);
        } else {
            replica_.on_message(now, from, m, out);
        }
    }

    /// Performs the work that is due at `now`. Call at least every 50 ms. `wall` is used only for the times
    /// in log entries, which never decrease.
    void on_tick(time_point now, wall_time wall, outbox& out)
    {
        wall_now_ = wall;
        replica_.on_tick(now, out);
        const auto parent = leading() ? std::nullopt : replica_.leader();
        relay_.set_parents(control_addresses());
        relay_.on_tick(now, {}, relay_nonce_, parent.value_or(endpoint{}), out);
        if (!replica_.lease_valid(now)) {
            membership_.restart_leases(now);
        }
        if (leading() && now - last_lease_check_ >= lease_check_interval) {
            last_lease_check_ = now;
            for (wire::change& change : membership_.expire_leases(now, table_, relay_)) {
                propose_membership_change(now, std::move(change));
            }
        }
    }

    /// Persists staged log entries, applies committed ones, answers operators and notifies children. Fails as
    /// `replica::flush` does, or with `snapshot_corrupt`; after a failure the process must stop.
    result<success> flush(time_point now, outbox& out)
    {
        // Applying entries may propose further entries, which are persisted in the same call.
        do {
            flush_needed_ = false;
            if (const auto flushed = replica_.flush(now, out); !has_value(flushed)) {
                fault_ = failure(flushed);
            }
            advance(now, out);
        } while (flush_needed_ && !fault_);
        if (fault_) {
            operator_requests_.fail_all(*fault_);
            return *fault_;
        }
        return success{};
    }

    /// Submits a patch. `take_answers` returns the answer. Set `first_attempt` only if this patch id was
    /// never submitted to any process before. A refusal before the proposal is then answered `not_accepted`,
    /// while the refusal of a resent patch is answered `outcome_unknown`.
    ticket submit_patch(time_point now, wall_time wall, const wire::patch& patch, bool first_attempt = false)
    {
        wall_now_ = wall;
        return submit({{}, patch, {}, {}, first_attempt, now + settings_.answer_timeout});
    }

    /// Submits a replacement of the whole description, with the version that its author chose. The status of
    /// the answer is `accepted` once the replacement is committed to the log, `already_accepted` if a version
    /// at least as high is in force, `invalid`, or one of those that a patch gets.
    ticket submit_replacement(time_point now, wall_time wall, wire::replacement replacement)
    {
        wall_now_ = wall;
        return submit({{}, {}, std::move(replacement), {}, false, now + settings_.answer_timeout});
    }

    /// Submits the draining of the target called `name`, or of the newest one if several targets have this
    /// name. The status of the answer is `accepted`, `already_accepted`, `invalid` with the code
    /// `target_unknown`, or one of those that a patch gets.
    ticket submit_drain(time_point now, wall_time wall, const std::string& name)
    {
        wall_now_ = wall;
        return submit({{}, {}, {}, name, true, now + settings_.answer_timeout});
    }

    /// Returns and removes the answers that were given since the last call.
    std::vector<operator_answer> take_answers() { return operator_requests_.take_answers(); }

    /// Returns how far an accepted version has spread to the nodes. `known` is true only on a leader with a
    /// valid lease.
    [[nodiscard]] in_force_status status(time_point now, config_version version) const
    {
        const auto record = table_.patches().find(version);
        in_force_status s;
        // Version 0 is the empty table and has no patch record.
        if (version == config_version{}) {
            s = membership_.status(now, revision{}, table_, relay_);
        } else if (record != table_.patches().end()) {
            s = membership_.status(now, revision{record->second.revision}, table_, relay_);
        }
        s.known = s.known && leading() && replica_.lease_valid(now);
        s.everywhere = s.everywhere && s.known;
        s.version = version;
        return s;
    }

    /// Lists the registered nodes. Their silence and confirmed revisions are meaningful only on the leader.
    [[nodiscard]] std::vector<node_report> nodes(time_point now) const
    {
        return membership_.nodes(now, table_, relay_);
    }

    /// Starts a quorum read of the table. Fails as `replica::begin_read` does.
    result<read_ticket> begin_read(time_point now) { return replica_.begin_read(now); }
    /// Returns true once `table()` reflects all changes that were accepted before `begin_read`. Fails with
    /// `not_leader` if the leadership was lost in the meantime.
    [[nodiscard]] result<bool> read_ready(const read_ticket& read) const
    {
        auto ready = replica_.read_ready(read);
        if (!has_value(ready)) {
            return ready;
        }
        return value(ready) && leading() && table_.current_revision().value >= read.index;
    }

    /// The table with the entries that this process has applied. It may be out of date: an answer to an
    /// operator needs a quorum read.
    [[nodiscard]] const table_state& table() const noexcept { return table_; }
    /// True if this process is the leader, has applied all entries of earlier terms and may propose.
    [[nodiscard]] bool leading() const noexcept { return leader_term_ != 0 && caught_up_; }
    /// Address of the leader, to which operators' requests should be sent, if a leader is known.
    [[nodiscard]] std::optional<endpoint> leader() const { return replica_.leader(); }
    /// The replica of the log.
    [[nodiscard]] const replica<Storage>& log() const noexcept { return replica_; }
    /// Proposes to remove the control process called `name`. Fails as `replica::remove_member` does.
    result<log_position> remove_member(time_point now, const std::string& name)
    {
        return replica_.remove_member(now, name);
    }
    /// Prepares a planned stop of the process, as `replica::begin_leave` and `may_stop` do.
    void begin_leave(time_point now) { replica_.begin_leave(now); }
    [[nodiscard]] bool may_stop(time_point now) const { return replica_.may_stop(now); }
    /// The relay that serves the processes that pull from this one.
    [[nodiscard]] const relay& children() const noexcept { return relay_; }

private:
    static constexpr std::chrono::milliseconds lease_check_interval{200};
    // A pull that waits for a quorum read is discarded after this time, because the node then asks again.
    static constexpr std::chrono::milliseconds confirmation_timeout{200};
    // One for each node that may pull directly from a control process.
    static constexpr std::size_t max_waiting_pulls = 1024;

    // A pull whose reply waits for a quorum read.
    struct waiting_pull {
        endpoint from;
        wire::pull_request request;
        read_ticket read;
        time_point arrived;
    };

    control(control_settings settings, replica<Storage> opened, counters& counted)
        : settings_(std::move(settings)), counted_(&counted), replica_(std::move(opened)),
          relay_({}, counted), membership_(settings_.membership, counted),
          relay_nonce_(static_cast<std::int64_t>(combine(settings_.replica.seed, 1) >> 24U))
    {
    }

    // Returns the addresses from which nodes may pull: those of all control processes, in ascending order.
    [[nodiscard]] std::vector<endpoint> control_addresses() const
    {
        std::vector<endpoint> all;
        for (const wire::member& m : replica_.members()) {
            all.push_back(from_wire(m.address));
        }
        std::ranges::sort(all);
        return all;
    }

    // Replaces the table by a newly installed snapshot, if there is one. Returns false if it is corrupt.
    bool restore_snapshot()
    {
        auto snapshot = replica_.take_installed_snapshot();
        if (!snapshot) {
            return true;
        }
        const auto decoded = decode_struct<wire::table_snapshot>(snapshot->state);
        if (!has_value(decoded)) {
            fault_ = error{error_code::snapshot_corrupt, failure(decoded).message};
            return false;
        }
        auto restored = table_state::from_snapshot(value(decoded));
        if (!has_value(restored)) {
            fault_ = failure(restored);
            return false;
        }
        table_ = value(std::move(restored));
        table_.skip_to(revision{snapshot->index});
        change_parts_ = {};
        last_snapshot_index_ = snapshot->index;
        last_entry_time_ms_ = std::max(last_entry_time_ms_, pvt::latest_entry_time_ms(value(decoded)));
        operator_requests_.on_snapshot(table_, wall_now_);
        return true;
    }

    void advance(time_point now, outbox& out)
    {
        const revision before = table_.current_revision();
        if (fault_ || !restore_snapshot()) {
            return;
        }
        update_leadership(now);
        for (const wire::log_entry& entry : replica_.take_committed()) {
            apply(now, entry, out);
        }
        decide_operator_requests(now);
        operator_requests_.expire(now);
        answer_confirmed_pulls(now, out);
        if (table_.current_revision() > before) {
            relay_.on_table_changed(now, table_, out);
        }
        if (table_.current_revision().value - last_snapshot_index_ >= settings_.snapshot_after &&
            !change_parts_.inside_change()) {
            const std::int64_t index = table_.current_revision().value;
            if (has_value(replica_.compact(index, encode_struct(table_.snapshot())))) {
                last_snapshot_index_ = index;
                flush_needed_ = true;
            }
        }
    }

    void update_leadership(time_point now)
    {
        const std::int64_t term = replica_.is_leader() ? replica_.term() : 0;
        if (term == leader_term_) {
            return;
        }
        leader_term_ = term;
        caught_up_ = false;
        if (term == 0) {
            operator_requests_.on_leadership_lost();
        } else {
            membership_.start(now);
            last_lease_check_ = now;
        }
    }

    void apply(time_point now, const wire::log_entry& entry, outbox& out)
    {
        const revision entry_revision{entry.index};
        caught_up_ = caught_up_ || (leader_term_ != 0 && entry.term == leader_term_);
        const auto data = change_parts_.add(entry);
        auto change = data ? decode_struct<wire::change>(*data)
                           : result<wire::change>(error{error_code::message_malformed,
                                                        "the log entry holds no change of the table"});
        if (!has_value(change)) {
            table_.skip_to(entry_revision);
            operator_requests_.on_applied(entry, {}, table_, wall_now_);
            return;
        }
        last_entry_time_ms_ = std::max(last_entry_time_ms_, value(change).time_ms);
        const apply_outcome outcome = table_.apply(entry_revision, value(change));
        counted_->add(event::changes_applied);
        operator_requests_.on_applied(entry, outcome, table_, wall_now_);
        if (leader_term_ != 0) {
            if (const auto reply = membership_.on_applied(now, value(change), outcome)) {
                relay_.on_announce_reply(now, *reply, out);
            }
        }
    }

    void on_announce(time_point now, const wire::announce& request, outbox& out)
    {
        if (!leading()) {
            const endpoint parent = replica_.leader().value_or(endpoint{});
            relay_.on_announce(now, request, settings_.replica.address, parent, out);
            return;
        }
        relay_.record_announce(now, request);
        announce_decision decision = membership_.on_announce(now, request, table_);
        if (decision.reply) {
            relay_.on_announce_reply(now, *decision.reply, out);
        }
        if (decision.change) {
            propose_membership_change(now, std::move(*decision.change));
        }
    }

    void propose_membership_change(time_point now, wire::change change)
    {
        if (!has_value(propose(now, change))) {
            membership_.forget_proposal(change);
        }
    }

    // The time of an entry is the wall time of the proposing leader, but never before that of an earlier
    // entry.
    result<log_position> propose(time_point now, wire::change& change)
    {
        change.time_ms = std::max<std::int64_t>(last_entry_time_ms_, wall_now_.time_since_epoch().count());
        auto position = replica_.propose(now, encode_struct(change));
        if (has_value(position)) {
            last_entry_time_ms_ = change.time_ms;
            flush_needed_ = true;
        }
        return position;
    }

    ticket submit(pvt::operator_request request)
    {
        const ticket id = operator_requests_.add(std::move(request));
        if (!replica_.is_leader()) {
            operator_requests_.refuse(id, {error_code::not_leader, "this process is not the leader"});
        }
        return id;
    }

    // A leader that is asked to confirm its table replies after a quorum read. Otherwise the reply is sent at
    // once.
    void on_pull(time_point now, const endpoint& from, const wire::pull_request& request, outbox& out)
    {
        if (request.__isset.confirm && leading() && waiting_pulls_.size() < max_waiting_pulls) {
            if (const auto read = replica_.begin_read(now); has_value(read)) {
                waiting_pulls_.push_back({from, request, value(read), now});
                return;
            }
        }
        relay_.on_pull(now, from, request, table_,
                       {replica_.quorum_age(now), false, leading() ? std::nullopt : replica_.leader()}, out);
    }

    void answer_confirmed_pulls(time_point now, outbox& out)
    {
        std::erase_if(waiting_pulls_, [&](const waiting_pull& pending) {
            const auto ready = read_ready(pending.read);
            if (has_value(ready) && value(ready)) {
                relay_.on_pull(now, pending.from, pending.request, table_,
                               {std::chrono::milliseconds(0), true, {}}, out);
                return true;
            }
            return !has_value(ready) || now - pending.arrived > confirmation_timeout;
        });
    }

    // Decides on the requests whose quorum read has completed: answers them from the table, or proposes them.
    void decide_operator_requests(time_point now)
    {
        if (!leading()) {
            return;
        }
        for (pvt::waiting_request& pending : operator_requests_.waiting()) {
            if (!pending.read) {
                const auto read = replica_.begin_read(now);
                if (has_value(read)) {
                    pending.read = value(read);
                }
            }
            if (!pending.read) {
                continue;
            }
            const auto ready = read_ready(*pending.read);
            if (!has_value(ready)) {
                pending.read.reset();
            } else if (value(ready)) {
                decide_operator_request(now, pending);
            }
        }
        operator_requests_.remove_decided();
    }

    void decide_operator_request(time_point now, pvt::waiting_request& pending)
    {
        const wall_time entry_time{std::chrono::milliseconds(
            std::max<std::int64_t>(last_entry_time_ms_, wall_now_.time_since_epoch().count()))};
        auto change = operator_requests_.decide(pending, table_, entry_time);
        if (!change) {
            return;
        }
        const auto position = propose(now, *change);
        if (has_value(position)) {
            operator_requests_.on_proposed(pending, value(position).index, value(position).term);
        } else {
            operator_requests_.on_proposal_failed(pending, failure(position));
        }
    }

    control_settings settings_;
    counters* counted_;
    replica<Storage> replica_;
    table_state table_;
    pvt::change_assembler change_parts_;
    relay relay_;
    membership membership_;
    pvt::operator_request_tracker operator_requests_;
    std::int64_t relay_nonce_;
    // Error because of which the process must stop.
    std::optional<error> fault_;
    // Wall time of the last tick or request.
    wall_time wall_now_;
    // Latest time in any entry that this process has applied or proposed, in milliseconds since the Unix
    // epoch.
    std::int64_t last_entry_time_ms_ = 0;
    std::int64_t last_snapshot_index_ = 0;
    // Term in which this process is the leader, 0 if it is not the leader.
    std::int64_t leader_term_ = 0;
    // True once an entry of `leader_term_` is applied, and with it all entries of earlier terms.
    bool caught_up_ = false;
    // True if entries were proposed, or the log was compacted, since the last flush of the replica.
    bool flush_needed_ = false;
    time_point last_lease_check_;
    std::vector<waiting_pull> waiting_pulls_;
};

}  // namespace peridotcleat

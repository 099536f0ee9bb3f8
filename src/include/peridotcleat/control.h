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
    /// An operator's request is answered within this time; `outcome_unknown` if nothing better is known.
    std::chrono::milliseconds answer_timeout{10000};
};

/// One control process: replicates the table, serves it to balancers, decides on membership and answers
/// operators. Has no socket, thread or clock; not thread-safe.
///
/// The host hands over messages, ticks and operators' requests, calls `flush` after them, and then sends the
/// actions in the outbox and collects answers with `take_answers`.
template <log_storage Storage>
class control {
public:
    /// Opens the process on what `storage` holds. Fails as `replica::open` does, or with `snapshot_corrupt`.
    static result<control> open(control_settings settings, Storage storage, time_point now, counters& counted)
    {
        auto opened = replica<Storage>::open(settings.replica, std::move(storage), now);
        if (!has_value(opened)) {
            return failure(opened);
        }
        control c(std::move(settings), value(std::move(opened)), counted);
        if (!c.restore()) {
            return *c.fault_;
        }
        return c;
    }

    /// Handles messages of control processes, balancers and agents.
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

    /// Lets time pass. `wall` only sets the times in entries, which never go backwards. Call at least every
    /// 50 ms.
    void on_tick(time_point now, wall_time wall, outbox& out)
    {
        wall_ = wall;
        replica_.on_tick(now, out);
        const auto parent = leading() ? std::nullopt : replica_.leader();
        relay_.set_parents(control_addresses());
        relay_.on_tick(now, {}, relay_nonce_, parent.value_or(endpoint{}), out);
        if (!replica_.lease_valid(now)) {
            membership_.restart_leases(now);
        }
        if (leading() && now - last_expiry_ >= expiry_interval) {
            last_expiry_ = now;
            for (wire::change& change : membership_.expire_leases(now, table_, relay_)) {
                propose_membership(now, std::move(change));
            }
        }
    }

    /// Persists what is staged, applies what is committed, answers operators and notifies children. Fails as
    /// `replica::flush` does, or with `snapshot_corrupt`; the process must stop then.
    result<success> flush(time_point now, outbox& out)
    {
        // Entries that are proposed while others are applied are persisted in the same call.
        do {
            staged_ = false;
            if (const auto flushed = replica_.flush(now, out); !has_value(flushed)) {
                fault_ = failure(flushed);
            }
            advance(now, out);
        } while (staged_ && !fault_);
        if (fault_) {
            operator_requests_.fail_all(*fault_);
            return *fault_;
        }
        return success{};
    }

    /// Submits a patch. The answer comes through `take_answers`. Set `first_attempt` only if this patch id
    /// was never submitted before, to any process: a refusal before the proposal is then known to be
    /// `not_accepted`, while for a resend it is `outcome_unknown`.
    ticket submit_patch(time_point now, wall_time wall, const wire::patch& patch, bool first_attempt = false)
    {
        wall_ = wall;
        return submit({{}, patch, {}, {}, first_attempt, now + settings_.answer_timeout});
    }

    /// Submits a whole description under the version that its author chose. The answer's status is `accepted`
    /// once it is in the log, `already_accepted` if a version at least as high is in force, `invalid`, or as
    /// for patches.
    ticket submit_replacement(time_point now, wall_time wall, wire::replacement wanted)
    {
        wall_ = wall;
        return submit({{}, {}, std::move(wanted), {}, false, now + settings_.answer_timeout});
    }

    /// Submits the draining of the target called `name`; the newest one if several have the name. The
    /// answer's status is `accepted`, `already_accepted`, `invalid` with `target_unknown`, or as for patches.
    ticket submit_drain(time_point now, wall_time wall, const std::string& name)
    {
        wall_ = wall;
        return submit({{}, {}, {}, name, true, now + settings_.answer_timeout});
    }

    /// Returns the answers that were found since the last call.
    std::vector<operator_answer> take_answers() { return operator_requests_.take_answers(); }

    /// Returns where an accepted version stands; `known` is true only on a leader.
    [[nodiscard]] in_force_status status(time_point now, config_version version) const
    {
        const auto record = table_.patches().find(version);
        in_force_status s;
        // Version 0 is the empty table, which nobody had to accept.
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

    /// Lists the registered nodes; silence and revisions are meaningful on the leader only.
    [[nodiscard]] std::vector<node_report> nodes(time_point now) const
    {
        return membership_.nodes(now, table_, relay_);
    }

    /// Starts a read of the table that a quorum confirms. Fails as `replica::begin_read` does.
    result<read_ticket> begin_read(time_point now) { return replica_.begin_read(now); }
    /// Returns true once `table()` reflects everything that was accepted before `begin_read`. Fails with
    /// `not_leader` if the leadership was lost meanwhile.
    [[nodiscard]] result<bool> read_ready(const read_ticket& read) const
    {
        auto ready = replica_.read_ready(read);
        if (!has_value(ready)) {
            return ready;
        }
        return value(ready) && leading() && table_.current_revision().value >= read.index;
    }

    /// The table as applied here; an answer to an operator needs a confirmed read.
    [[nodiscard]] const table_state& table() const noexcept { return table_; }
    /// True if this leader has applied all entries of earlier terms and may propose.
    [[nodiscard]] bool leading() const noexcept { return led_term_ != 0 && caught_up_; }
    /// Where operators' requests should go, if a leader is known.
    [[nodiscard]] std::optional<endpoint> leader() const { return replica_.leader(); }
    [[nodiscard]] const replica<Storage>& log() const noexcept { return replica_; }
    /// Proposes to remove a control process. Fails as `replica::remove_member` does.
    result<log_position> remove_member(time_point now, const std::string& name)
    {
        return replica_.remove_member(now, name);
    }
    [[nodiscard]] const relay& children() const noexcept { return relay_; }

private:
    static constexpr std::chrono::milliseconds expiry_interval{200};
    // A node asks again after this time.
    static constexpr std::chrono::milliseconds confirm_limit{200};
    // One for each node that may pull from control itself.
    static constexpr std::size_t max_waiting_pulls = 1024;

    // A pull whose answer waits for a quorum.
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

    // Where nodes may pull from: the members of control.
    [[nodiscard]] std::vector<endpoint> control_addresses() const
    {
        std::vector<endpoint> all;
        for (const wire::member& m : replica_.members()) {
            all.push_back(from_wire(m.address));
        }
        std::ranges::sort(all);
        return all;
    }

    // Takes over a snapshot, if there is one. Returns false if it is corrupt.
    bool restore()
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
        last_snapshot_ = snapshot->index;
        last_time_ = std::max(last_time_, pvt::latest_time(value(decoded)));
        operator_requests_.on_snapshot(table_, wall_);
        return true;
    }

    void advance(time_point now, outbox& out)
    {
        const revision before = table_.current_revision();
        if (fault_ || !restore()) {
            return;
        }
        update_leadership(now);
        for (const wire::log_entry& entry : replica_.take_committed()) {
            apply(now, entry, out);
        }
        decide_waiting(now);
        operator_requests_.on_time(now);
        confirm_pulls(now, out);
        if (table_.current_revision() > before) {
            relay_.on_table_changed(now, table_, out);
        }
        if (table_.current_revision().value - last_snapshot_ >= settings_.snapshot_after) {
            const std::int64_t index = table_.current_revision().value;
            if (has_value(replica_.compact(index, encode_struct(table_.snapshot())))) {
                last_snapshot_ = index;
                staged_ = true;
            }
        }
    }

    void update_leadership(time_point now)
    {
        const std::int64_t term = replica_.is_leader() ? replica_.term() : 0;
        if (term == led_term_) {
            return;
        }
        led_term_ = term;
        caught_up_ = false;
        if (term == 0) {
            operator_requests_.on_leadership_lost();
        } else {
            membership_.start(now);
            last_expiry_ = now;
        }
    }

    void apply(time_point now, const wire::log_entry& entry, outbox& out)
    {
        const revision at{entry.index};
        caught_up_ = caught_up_ || (led_term_ != 0 && entry.term == led_term_);
        auto change = entry.kind == pvt::kind_change
                          ? decode_struct<wire::change>(entry.data)
                          : result<wire::change>(error{error_code::message_malformed, "no change"});
        if (!has_value(change)) {
            table_.skip_to(at);
            operator_requests_.on_applied(entry, {}, table_, wall_);
            return;
        }
        last_time_ = std::max(last_time_, value(change).time_ms);
        const apply_outcome outcome = table_.apply(at, value(change));
        counted_->add(event::changes_applied);
        operator_requests_.on_applied(entry, outcome, table_, wall_);
        if (led_term_ != 0) {
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
            propose_membership(now, std::move(*decision.change));
        }
    }

    void propose_membership(time_point now, wire::change change)
    {
        if (!has_value(propose(now, change))) {
            membership_.forget_proposal(change);
        }
    }

    // Wall time of entries is that of the proposing leader, but never before that of an earlier entry.
    result<log_position> propose(time_point now, wire::change& change)
    {
        change.time_ms = std::max<std::int64_t>(last_time_, wall_.time_since_epoch().count());
        auto position = replica_.propose(now, encode_struct(change));
        if (has_value(position)) {
            last_time_ = change.time_ms;
            staged_ = true;
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

    // A leader that is asked to confirm its table answers after a quorum round; anyone else answers at once.
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

    void confirm_pulls(time_point now, outbox& out)
    {
        std::erase_if(waiting_pulls_, [&](const waiting_pull& w) {
            const auto ready = read_ready(w.read);
            if (has_value(ready) && value(ready)) {
                relay_.on_pull(now, w.from, w.request, table_, {std::chrono::milliseconds(0), true, {}}, out);
                return true;
            }
            return !has_value(ready) || now - w.arrived > confirm_limit;
        });
    }

    // Decides on requests whose read is confirmed: answers them from the table, or proposes them.
    void decide_waiting(time_point now)
    {
        if (!leading()) {
            return;
        }
        for (pvt::waiting_request& w : operator_requests_.waiting()) {
            if (!w.read) {
                const auto read = replica_.begin_read(now);
                if (has_value(read)) {
                    w.read = value(read);
                }
            }
            if (!w.read) {
                continue;
            }
            const auto ready = read_ready(*w.read);
            if (!has_value(ready)) {
                w.read.reset();
            } else if (value(ready)) {
                decide(now, w);
            }
        }
        operator_requests_.remove_decided();
    }

    void decide(time_point now, pvt::waiting_request& w)
    {
        const wall_time at{
            std::chrono::milliseconds(std::max<std::int64_t>(last_time_, wall_.time_since_epoch().count()))};
        auto change = operator_requests_.decide(w, table_, at);
        if (!change) {
            return;
        }
        const auto position = propose(now, *change);
        if (has_value(position)) {
            operator_requests_.proposed(w, value(position).index, value(position).term);
        } else {
            operator_requests_.refuse_confirmed(w, failure(position));
        }
    }

    control_settings settings_;
    counters* counted_;
    replica<Storage> replica_;
    table_state table_;
    relay relay_;
    membership membership_;
    pvt::operator_request_tracker operator_requests_;
    std::int64_t relay_nonce_;
    std::optional<error> fault_;
    wall_time wall_;
    // Latest time in any entry that is applied or proposed here, in milliseconds.
    std::int64_t last_time_ = 0;
    std::int64_t last_snapshot_ = 0;
    // Term in which this process is leader, 0 if it is not.
    std::int64_t led_term_ = 0;
    // An entry of the led term is applied, and with it all entries of earlier terms.
    bool caught_up_ = false;
    bool staged_ = false;
    time_point last_expiry_;
    std::vector<waiting_pull> waiting_pulls_;
};

}  // namespace peridotcleat

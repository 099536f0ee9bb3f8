#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "peridotcleat/replica_core.h"

namespace peridotcleat {

/// Durable storage of one replica. A write is durable only after `sync` has succeeded. After the first failed
/// write or sync all later ones fail too, because the state of the disk is then unknown.
///
/// After a crash, some prefix of the writes since the last sync has taken effect. `write_snapshot` removes
/// the entries up to the snapshot's index; later entries are kept only if the entry at that index has the
/// snapshot's term.
template <class S>
concept log_storage = requires(S s, const hard_state& hard, const std::vector<wire::log_entry>& entries,
                               std::int64_t index, const stored_snapshot& snapshot)
{
    {
        s.load()
        } -> std::same_as<result<stored_state>>;
    {
        s.write_hard_state(hard)
        } -> std::same_as<result<success>>;
    {
        s.append(entries)
        } -> std::same_as<result<success>>;
    {
        s.truncate_from(index)
        } -> std::same_as<result<success>>;
    {
        s.write_snapshot(snapshot)
        } -> std::same_as<result<success>>;
    {
        s.sync()
        } -> std::same_as<result<success>>;
};

/// One member of the group that replicates the log by the Raft protocol. Has no socket, thread or clock; not
/// thread-safe.
///
/// The host, which is the program that embeds the replica, passes in messages and ticks and then calls
/// `flush`, which may cover several events. No message that depends on an unsynced write is sent before
/// `flush` has synced the write. The replica stops permanently after a failed write or sync, or with
/// `log_corrupt` if one of its committed entries differs from the leader's: `flush` then returns that error
/// and all other calls do nothing or fail with `stopped`.
template <log_storage Storage>
class replica {
public:
    /// Opens the replica with the contents of `storage`. A stored snapshot is returned by
    /// `take_installed_snapshot`. Fails as `Storage::load` does, with `log_corrupt`, or with
    /// `invalid_setting` if the durations in `settings` contradict each other.
    static result<replica> open(const replica_settings& settings, Storage storage, time_point now)
    {
        auto stored = storage.load();
        if (!has_value(stored)) {
            return failure(stored);
        }
        auto core = pvt::replica_core::open(settings, value(std::move(stored)), now);
        if (!has_value(core)) {
            return failure(core);
        }
        return replica(value(std::move(core)), std::move(storage));
    }

    /// Handles one message from another replica. Kinds that are not part of the replication protocol are
    /// ignored.
    void on_message(time_point now, const endpoint& from, const message& m, outbox& out)
    {
        core_.on_message(now, from, m, out);
    }

    /// Handles timeouts. Call at least every 50 ms.
    void on_tick(time_point now, outbox& out) { core_.on_tick(now, out); }

    /// Persists all staged writes with a single sync, then sends the messages that waited for it. Fails with
    /// the error that stopped the replica, which is the storage's error or `log_corrupt`, and with the same
    /// error on each later call.
    result<success> flush(time_point now, outbox& out)
    {
        if (core_.stopped()) {
            return core_.stop_reason();
        }
        const std::vector<pvt::staged_write> writes = core_.take_writes();
        if (!writes.empty()) {
            for (const pvt::staged_write& w : writes) {
                if (const auto written = store(w); !has_value(written)) {
                    return core_.stop(failure(written));
                }
            }
            if (const auto synced = storage_.sync(); !has_value(synced)) {
                return core_.stop(failure(synced));
            }
            core_.count_sync();
        }
        core_.on_synced(now, out);
        return success{};
    }

    /// Stages a change and returns its log position. A change larger than `max_entry_data` takes several
    /// consecutive entries, of kind 3 and the last one of kind 1, and the position is that of the last one;
    /// `pvt::change_assembler` joins them. Fails with `not_leader`, `no_quorum` (the lease is not valid),
    /// `message_too_large` (the change exceeds `max_change_data`) or `stopped`; then the log is unchanged.
    result<log_position> propose(time_point now, const std::string& data) { return core_.propose(now, data); }

    /// Returns the entries that became both committed and durable on this replica since the last call, in
    /// order, each index once. Includes kinds that carry no change, so that `index` has no gaps after a
    /// snapshot.
    std::vector<wire::log_entry> take_committed() { return core_.take_committed(); }

    /// Returns a snapshot that replaces the host's state; each snapshot is returned once. Call before
    /// `take_committed`, which returns nothing while a snapshot waits to be taken.
    std::optional<stored_snapshot> take_installed_snapshot() { return core_.take_installed_snapshot(); }

    /// Stages a snapshot of the host's state after entry `index` and removes the entries up to it. `index`
    /// must have been returned by `take_committed`, lie after the last snapshot and not be a part of a change
    /// (kind 3), otherwise fails with `invalid_setting`. Fails with `stopped` once the replica has stopped.
    result<success> compact(std::int64_t index, std::string state)
    {
        return core_.compact(index, std::move(state));
    }

    /// Starts a linearizable read. Fails with `not_leader` or `stopped`.
    result<read_ticket> begin_read(time_point now) { return core_.begin_read(now); }

    /// Returns true once a quorum has confirmed the leadership in a round of heartbeats that started after
    /// `begin_read` and `take_committed` has returned the entries up to `ticket.index`; the host answers from
    /// a state that reflects at least that index. Fails with `not_leader` if the leadership was lost
    /// meanwhile, or with `stopped`.
    [[nodiscard]] result<bool> read_ready(const read_ticket& ticket) const
    {
        return core_.read_ready(ticket);
    }

    /// Returns true if this replica is the leader, the leases of earlier leaders have ended, and a quorum has
    /// acknowledged a round of heartbeats that started less than `leader_lease` ago.
    [[nodiscard]] bool lease_valid(time_point now) const { return core_.lease_valid(now); }
    [[nodiscard]] bool is_leader() const noexcept { return core_.is_leader(); }
    [[nodiscard]] std::int64_t term() const noexcept { return core_.term(); }
    /// Returns the index up to which entries are known to be committed.
    [[nodiscard]] std::int64_t commit_index() const noexcept { return core_.commit_index(); }
    /// Returns the address of the leader of this term, if it is known.
    [[nodiscard]] std::optional<endpoint> leader() const { return core_.leader(); }
    /// Returns the time since a leader last had a quorum, as far as this replica knows: less than a second in
    /// normal operation. The network delay of the last message from the leader is not included.
    [[nodiscard]] std::chrono::milliseconds quorum_age(time_point now) const { return core_.quorum_age(now); }
    /// Returns the last member list in the log; empty on a replica that has not joined.
    [[nodiscard]] const std::vector<wire::member>& members() const { return core_.members(); }
    [[nodiscard]] const folder_identity& identity() const noexcept { return core_.identity(); }
    [[nodiscard]] const counters& counts() const noexcept { return core_.counts(); }
    [[nodiscard]] bool stopped() const noexcept { return core_.stopped(); }

    /// Proposes to remove the member called `name`. Its process should be stopped. Fails with `not_leader`,
    /// `no_quorum`, `member_unknown`, `member_change_pending`, `stopped`, or `invalid_setting` if no voter
    /// would be left.
    result<log_position> remove_member(time_point now, const std::string& name)
    {
        return core_.remove_member(now, name);
    }

    /// Call before the process stops as planned. If a standby member can take the vote of this replica, it
    /// does so while `on_message`, `on_tick` and `flush` are called as before.
    void begin_leave(time_point now) { core_.begin_leave(now); }
    /// Returns true once the process may stop: no other member is to take its vote, or none has done so
    /// within `leave_limit`.
    [[nodiscard]] bool may_stop(time_point now) const { return core_.may_stop(now); }

private:
    replica(pvt::replica_core core, Storage storage) : core_(std::move(core)), storage_(std::move(storage)) {}

    result<success> store(const pvt::staged_write& w)
    {
        if (const auto* hard = std::get_if<hard_state>(&w)) {
            return storage_.write_hard_state(*hard);
        }
        if (const auto* entries = std::get_if<std::vector<wire::log_entry>>(&w)) {
            return storage_.append(*entries);
        }
        if (const auto* cut = std::get_if<pvt::truncation>(&w)) {
            return storage_.truncate_from(cut->from);
        }
        return storage_.write_snapshot(std::get<stored_snapshot>(w));
    }

    pvt::replica_core core_;
    Storage storage_;
};

}  // namespace peridotcleat

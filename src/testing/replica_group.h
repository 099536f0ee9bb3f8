#pragma once

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peridotcleat/hash.h"
#include "testing/fake_network.h"
#include "testing/replica_checker.h"

namespace peridotcleat::testing {

/// A group of replicas on a fake network and fake disks. The state machine of each host is a digest of the
/// entries that it applied. The invariants are checked after every event of a replica.
class replica_group {
public:
    struct host {
        std::string name;
        endpoint address;
        std::shared_ptr<fake_disk_content> disk;
        std::optional<replica<fake_disk>> process;
        std::uint64_t starts = 0;
        // Control processes that the settings name; all initial members if empty.
        std::vector<endpoint> seeds;
        bool initial = true;
        // True once the host is removed permanently.
        bool removed = false;
        // State machine: index of the last applied entry and digest of all applied entries.
        std::int64_t applied = 0;
        std::uint64_t digest = 0;
        std::int64_t checked_commit = 0;
        std::optional<read_ticket> ticket;
        std::int64_t committed_at_read = 0;
    };

    /// Number of replicas, and their settings.
    struct composition {
        std::size_t size = 3;
        /// Replicas that form the group. The others join it and know the initial ones only.
        std::size_t initial = 3;
        std::size_t voter_count = 0;
    };

    /// Creates and starts a group of `size` replicas, all of which form it.
    replica_group(std::uint64_t seed, std::size_t size, std::size_t voter_count = 0)
        : replica_group(seed, composition{size, size, voter_count}, {})
    {
    }

    /// Creates and starts a group; `timing` goes into the settings of its replicas.
    replica_group(std::uint64_t seed, const composition& parts, const replica_timing& timing)
        : net(seed), voter_count_(parts.voter_count), timing_(timing)
    {
        net.set_tick_period(std::chrono::milliseconds(50));
        for (std::size_t i = 0; i < parts.size; ++i) {
            host& h = add_host(net.random()());
            h.initial = i < parts.initial;
            if (h.initial) {
                wire::member m;
                m.name = h.name;
                m.address = to_wire(h.address);
                initial_members.push_back(m);
            }
        }
        for (host& h : hosts) {
            start(h);
        }
    }
    replica_group(const replica_group&) = delete;
    replica_group& operator=(const replica_group&) = delete;

    host& add_host(std::uint64_t seed)
    {
        const auto i = static_cast<std::uint16_t>(hosts.size());
        const std::string name = "control-" + std::to_string(i);
        const endpoint address{0x7f000001U, static_cast<std::uint16_t>(9000 + i)};
        host& h = hosts.emplace_back();
        h.name = name;
        h.address = address;
        h.disk = std::make_shared<fake_disk_content>(cluster_id{1}, name, seed);
        return h;
    }

    /// Adds a host with an empty disk at a new address, which knows the control processes at `seeds`. It runs
    /// once `start` is called.
    host& add_successor(std::vector<endpoint> seeds)
    {
        host& h = add_host(net.random()());
        h.initial = false;
        h.seeds = std::move(seeds);
        return h;
    }

    /// Stops the process of `h` for good. Its disk does not come back.
    void remove_permanently(host& h)
    {
        kill(h, true);
        h.removed = true;
    }

    /// Starts the process of `h`. A corrupt disk is wiped first.
    void start(host& h)
    {
        if (h.process) {
            return;
        }
        if (h.disk->corrupt()) {
            wipe_disk(h);
        }
        checker.on_open(h.disk->durable());
        replica_settings s;
        s.name = h.name;
        s.address = h.address;
        s.peers = h.seeds;
        if (h.seeds.empty()) {
            for (const auto& m : initial_members) {
                s.peers.push_back(from_wire(m.address));
            }
        }
        s.bootstrap = h.initial;
        s.initial_members = initial_members;
        s.voter_count = voter_count_;
        s.timing = timing_;
        s.leave_limit = leave_limit;
        s.seed = net.random()();
        ++h.starts;
        auto opened = replica<fake_disk>::open(s, fake_disk(h.disk), net.now());
        replica_checker::require(has_value(opened), "an intact data folder failed to open", h.disk->folder());
        h.process.emplace(value(std::move(opened)));
        h.applied = h.checked_commit = 0;
        h.digest = 0;
        h.ticket.reset();
        net.add(
            h.address,
            [this, &h](time_point now, const endpoint& from, const message& m, outbox& out) {
                if (const auto* vote = std::get_if<wire::vote_reply>(&m);
                    vote != nullptr && vote->candidate == h.disk->folder()) {
                    checker.on_vote(*vote);
                }
                h.process->on_message(now, from, m, out);
                // Half of the messages are not flushed at once, so that one flush covers several events.
                after_event(h, now, out, (net.random()() & 1U) != 0);
            },
            [this, &h](time_point now, outbox& out) {
                h.process->on_tick(now, out);
                after_event(h, now, out, true);
            });
    }

    /// Kills the process of `h`. With `keep_some_writes`, some of the unsynced writes may survive.
    void kill(host& h, bool keep_some_writes)
    {
        net.remove(h.address);
        h.process.reset();
        keep_some_writes ? h.disk->crash() : h.disk->lose_unsynced();
    }

    void wipe_disk(host& h)
    {
        checker.on_wiped(h.disk->folder());
        h.disk->wipe();
    }

    /// Returns the leader that holds a valid lease, or null.
    host* leader()
    {
        for (host& h : hosts) {
            if (h.process && h.process->lease_valid(net.now())) {
                return &h;
            }
        }
        return nullptr;
    }

    /// Proposes `data` at `h` and returns the log position if the proposal was accepted.
    std::optional<log_position> propose(host& h, const std::string& data)
    {
        const auto position = h.process->propose(net.now(), data);
        if (!has_value(position)) {
            return std::nullopt;
        }
        replica_checker::require(h.process->lease_valid(net.now()), "proposal accepted without a valid lease",
                                 0);
        return value(position);
    }

    /// Returns true if the group can recover from the loss of the disk of `h`: the leader's member list is
    /// committed, and without `h` its voters with intact disks are a majority. Also returns true once while
    /// the group has not formed yet.
    bool may_wipe_disk(const host& h)
    {
        host* l = leader();
        if (l == nullptr && !formed_ && !wiped_while_forming_) {
            // While the group forms, one initial member may lose its disk.
            wiped_while_forming_ = true;
            return true;
        }
        if (l == nullptr || l->process->commit_index() == 0) {
            return false;
        }
        const bool recoverable = replica_checker::is_quorum(l->process->members(), [&](std::int64_t folder) {
            const fake_disk_content* disk = find_disk(folder);
            return disk != nullptr && !disk->corrupt() && disk != h.disk.get();
        });
        return recoverable && list_is_committed(*l);
    }

    /// Returns true if the member list of `h` contains the current folder of each host and at least as many
    /// voters as the settings require. There may be more voters, because the initial members keep their
    /// votes.
    [[nodiscard]] bool membership_restored(const host& h) const
    {
        if (!h.process || h.process->members().size() != hosts.size()) {
            return false;
        }
        const auto& all = h.process->members();
        const auto voter_total = std::ranges::count_if(all, [](const wire::member& m) { return m.voter; });
        const auto required_voters = voter_count_ == 0 ? hosts.size() : std::min(voter_count_, hosts.size());
        return static_cast<std::size_t>(voter_total) >= required_voters &&
               std::ranges::all_of(all,
                                   [&](const wire::member& m) { return find_disk(m.folder_id) != nullptr; });
    }

    /// Returns the host whose disk is the folder `folder`, or null.
    [[nodiscard]] const host* find_host(std::int64_t folder) const
    {
        const auto it =
            std::ranges::find_if(hosts, [&](const host& h) { return h.disk->folder() == folder; });
        return it == hosts.end() ? nullptr : &*it;
    }

    /// Returns a host whose process runs, or null.
    [[nodiscard]] const host* find_running() const
    {
        const auto it = std::ranges::find_if(hosts, [](const host& h) { return h.process.has_value(); });
        return it == hosts.end() ? nullptr : &*it;
    }

    [[nodiscard]] const fake_disk_content* find_disk(std::int64_t folder) const
    {
        const host* h = find_host(folder);
        return h == nullptr ? nullptr : h->disk.get();
    }

    /// Describes the log, term and member list of each replica, for the report of a failure. In a member
    /// list, `v` marks voters, `s` standby members and `!` folders that are lost or removed.
    [[nodiscard]] std::string describe() const
    {
        std::string text;
        for (const host& h : hosts) {
            text += "\n  " + h.name;
            if (!h.process) {
                text += " not running";
                continue;
            }
            const stored_state& disk = h.disk->durable();
            text += " term=" + std::to_string(h.process->term()) + (h.process->is_leader() ? " leader" : "") +
                    (h.process->stopped() ? " stopped" : "") +
                    " commit=" + std::to_string(h.process->commit_index()) + " last=" +
                    std::to_string(!disk.entries.empty() ? disk.entries.back().index
                                                         : (disk.snapshot ? disk.snapshot->index : 0)) +
                    " members=";
            for (const wire::member& m : h.process->members()) {
                const host* member = find_host(m.folder_id);
                text +=
                    m.name + (m.voter ? ":v" : ":s") + (member == nullptr || member->removed ? "! " : " ");
            }
        }
        return text;
    }

    fake_network net;
    replica_checker checker;
    // A deque, because references to hosts stay valid when one is added.
    std::deque<host> hosts;
    std::vector<wire::member> initial_members;
    // Nine tenths of the time after which the platform kills a process that it stops.
    std::chrono::milliseconds leave_limit{5400};
    std::size_t snapshot_every = 40;
    std::size_t snapshot_padding = 3000;
    bool reads_enabled = true;
    std::uint64_t reads_confirmed = 0;

private:
    static std::uint64_t next_digest(std::uint64_t digest, const wire::log_entry& e)
    {
        return combine(digest, combine(static_cast<std::uint64_t>(e.index), hash_bytes(e.data)));
    }

    // Compares with the process's member list, because the process may have staged a list that is not on its
    // disk yet.
    [[nodiscard]] static bool list_is_committed(const host& l)
    {
        const stored_state& disk = l.disk->current();
        wire::member_list last = disk.snapshot ? disk.snapshot->members : wire::member_list{};
        for (const wire::log_entry& e : disk.entries) {
            if (e.kind == pvt::kind_members && e.index > l.process->commit_index()) {
                return false;
            }
            if (e.kind == pvt::kind_members) {
                last = value(decode_struct<wire::member_list>(e.data));
            }
        }
        return last.members == l.process->members();
    }

    void after_event(host& h, time_point now, outbox& out, bool flush)
    {
        replica<fake_disk>& r = *h.process;
        if (flush) {
            flush_and_wait(h, now, out);
        } else {
            check_sent(h, out);
        }
        checker.on_term(h.disk->folder(), h.disk->durable().hard.term);
        if (r.is_leader()) {
            formed_ = formed_ || membership_restored(h);
            replica_checker::on_leader_log(r.term(), r.commit_index(), h.disk->current());
            checker.on_leader(r.term(), h.disk->current(), r.members());
            checker.on_voters(r.commit_index(), r.members(),
                              [&](std::int64_t folder) { return find_disk(folder); });
            if (r.commit_index() > h.checked_commit && h.checked_commit > 0) {
                checker.on_leader_commit(r.commit_index(), r.term(), r.members(),
                                         [&](std::int64_t folder) { return find_disk(folder); });
            }
        }
        h.checked_commit = std::max(h.checked_commit, r.commit_index());
        apply_committed(h);
        check_reads(h, now);
        int accepting_leaders = 0;
        for (const host& other : hosts) {
            accepting_leaders += other.process && other.process->lease_valid(now) ? 1 : 0;
        }
        replica_checker::on_accepting_leaders(accepting_leaders);
    }

    // Checks each message in `out`, and that append requests with several entries and snapshot chunks stay
    // within the size limit of control messages. An append request with a single entry may exceed it.
    static void check_sent(const host& h, const outbox& out)
    {
        for (const send_action& s : out.sends) {
            replica_checker::on_sent(h.disk->durable(), s.body);
            const auto* append = std::get_if<wire::append_request>(&s.body);
            const bool size_limited = append != nullptr
                                          ? append->entries.size() > 1
                                          : std::holds_alternative<wire::snapshot_chunk>(s.body);
            if (size_limited) {
                const std::size_t header = encode(cluster_id{1}, wire::change_notice{}).size();
                const std::size_t size = encode(cluster_id{1}, s.body).size();
                replica_checker::require(size <= max_control_body + header,
                                         "a message exceeds the size limit", static_cast<std::int64_t>(size));
            }
        }
    }

    void flush_and_wait(host& h, time_point now, outbox& out)
    {
        (void)h.process->flush(now, out);
        check_sent(h, out);
        const auto delay = h.disk->take_delay();
        if (delay.count() == 0) {
            return;
        }
        net.freeze(h.address, now + delay);
        net.schedule(now + delay, [this, from = h.address, sends = std::move(out.sends)] {
            for (const send_action& s : sends) {
                net.send(from, s.to, s.body);
            }
        });
        out.sends.clear();
    }

    void apply_committed(host& h)
    {
        if (const auto s = h.process->take_installed_snapshot()) {
            const auto separator = s->state.find(':');
            h.applied = s->index;
            h.digest = std::stoull(s->state.substr(0, separator));
            replica_checker::require(h.digest == digest_at(s->index),
                                     "a snapshot does not match the committed entries", s->index);
        }
        for (const wire::log_entry& e : h.process->take_committed()) {
            checker.on_committed(h.disk->folder(), h.process->term(), h.applied, e);
            h.applied = e.index;
            h.digest = next_digest(h.digest, e);
        }
        const auto& s = h.disk->current().snapshot;
        if (h.applied - (s ? s->index : 0) >= static_cast<std::int64_t>(snapshot_every)) {
            (void)h.process->compact(h.applied,
                                     std::to_string(h.digest) + ":" + std::string(snapshot_padding, 'x'));
        }
    }

    std::uint64_t digest_at(std::int64_t index)
    {
        while (static_cast<std::int64_t>(digests_.size()) <= index) {
            const auto it = checker.committed().find(static_cast<std::int64_t>(digests_.size()));
            replica_checker::require(it != checker.committed().end(), "a snapshot covers uncommitted entries",
                                     index);
            digests_.push_back(next_digest(digests_.back(), it->second));
        }
        return digests_[static_cast<std::size_t>(index)];
    }

    // Keeps one linearizable read in progress at each leader.
    void check_reads(host& h, time_point now)
    {
        if (!h.ticket) {
            if (!reads_enabled || net.random()() % 16 != 0) {
                return;
            }
            const auto ticket = h.process->begin_read(now);
            if (has_value(ticket)) {
                h.ticket = value(ticket);
                h.committed_at_read = checker.last_committed();
            }
            return;
        }
        const auto ready = h.process->read_ready(*h.ticket);
        if (!has_value(ready)) {
            h.ticket.reset();
        } else if (value(ready)) {
            replica_checker::require(h.applied >= h.committed_at_read,
                                     "a linearizable read misses a committed entry", h.committed_at_read);
            ++reads_confirmed;
            h.ticket.reset();
        }
    }

    std::size_t voter_count_ = 0;
    replica_timing timing_;
    std::vector<std::uint64_t> digests_{0};
    bool formed_ = false;
    bool wiped_while_forming_ = false;
};

}  // namespace peridotcleat::testing

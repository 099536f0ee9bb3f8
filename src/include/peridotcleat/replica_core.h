#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "peridotcleat/counters.h"
#include "peridotcleat/outbox.h"
#include "peridotcleat/replica_log.h"

namespace peridotcleat {

/// Who a data folder belongs to.
struct folder_identity {
    cluster_id cluster;
    std::string node;
    folder_id folder;
};

/// Term and vote, durable before any message that depends on them is sent.
struct hard_state {
    std::int64_t term = 0;
    folder_id voted_for;
    /// Entries up to here are committed. Lags behind what the process knew, because it is stored only with
    /// entries.
    std::int64_t committed = 0;
};

/// What a data folder holds when it is opened.
struct stored_state {
    folder_identity identity;
    hard_state hard;
    std::optional<stored_snapshot> snapshot;
    std::vector<wire::log_entry> entries;
};

/// Durations of the replication protocol.
struct replica_timing {
    std::chrono::milliseconds heartbeat_interval{400};
    /// Also the time for which a follower that heard from a leader grants no vote.
    std::chrono::milliseconds min_election_timeout{2000};
    std::chrono::milliseconds max_election_timeout{4000};
    /// Must be below `min_election_timeout`; the difference covers clocks that run at different rates.
    std::chrono::milliseconds leader_lease{1600};
    /// A member that no leader serves for so long asks to be taken in again.
    std::chrono::milliseconds silence_before_rejoin{10000};
};

/// Settings of a replica.
struct replica_settings {
    std::string name;
    endpoint address;
    /// Control processes to contact, this one included.
    std::vector<endpoint> peers;
    /// True on the first start of a new cluster only.
    bool bootstrap = false;
    /// Names and addresses of the first members; used with `bootstrap` only. Their folder ids are exchanged
    /// before the first election.
    std::vector<wire::member> initial_members;
    /// Number of voters that is kept without an operator: further members stand by without a vote, and one
    /// that holds the log takes the place of a voter that falls silent. 0: every member votes until it is
    /// removed.
    std::size_t voter_count = 0;
    replica_timing timing;
    std::uint64_t seed = 0;
};

/// Place of a proposed entry; it is committed only if the entry at `index` has this `term`.
struct log_position {
    std::int64_t index = 0;
    std::int64_t term = 0;
};

/// Names a read that waits for the confirmation of the leadership.
struct read_ticket {
    std::int64_t term = 0;
    std::int64_t round = 0;
    /// The answer must reflect the entries up to here.
    std::int64_t index = 0;
};

/// Largest data of one log entry, in bytes.
inline constexpr std::size_t max_entry_data = 60000;

namespace pvt {

/// Removal of the entries from `from` on.
struct truncation {
    std::int64_t from = 0;
};

/// One write that waits for the next flush.
using staged_write = std::variant<hard_state, std::vector<wire::log_entry>, truncation, stored_snapshot>;

/// All decisions of a replica; `replica` adds the storage.
class replica_core {
public:
    static result<replica_core> open(const replica_settings& settings, stored_state stored, time_point now);

    void on_message(time_point now, const endpoint& from, const message& m, outbox& out);
    void on_tick(time_point now, outbox& out);
    /// Returns the staged writes, in order; they count once `on_synced` is called.
    std::vector<staged_write> take_writes();
    void on_synced(time_point now, outbox& out);
    void count_sync() { counters_->add(event::syncs); }
    /// Stops the replica for ever and returns `reason`.
    error stop(error reason);

    result<log_position> propose(time_point now, std::string data);
    std::vector<wire::log_entry> take_committed();
    std::optional<stored_snapshot> take_installed_snapshot();
    result<success> compact(std::int64_t index, std::string state);
    result<read_ticket> begin_read(time_point now);
    [[nodiscard]] result<bool> read_ready(const read_ticket& ticket) const;
    result<log_position> remove_member(time_point now, const std::string& name);

    [[nodiscard]] bool lease_valid(time_point now) const;
    [[nodiscard]] bool is_leader() const noexcept { return role_ == role::leader && !stopped(); }
    [[nodiscard]] std::int64_t term() const noexcept { return hard_.term; }
    [[nodiscard]] std::int64_t commit_index() const noexcept { return commit_; }
    [[nodiscard]] std::optional<endpoint> leader() const { return leader_address_; }
    [[nodiscard]] std::chrono::milliseconds quorum_age(time_point now) const;
    [[nodiscard]] const std::vector<wire::member>& members() const { return log_.members().members; }
    [[nodiscard]] const folder_identity& identity() const noexcept { return identity_; }
    [[nodiscard]] const counters& counts() const noexcept { return *counters_; }
    [[nodiscard]] bool stopped() const noexcept { return stop_reason_.has_value(); }
    [[nodiscard]] error stop_reason() const { return stop_reason_.value_or(error{}); }

private:
    enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };

    struct datagram {
        std::int64_t last_index = 0;
        std::size_t size = 0;
    };

    // What the leader knows about another member, by folder id.
    struct progress {
        std::int64_t match = 0;
        std::int64_t next = 1;
        std::int64_t acked_round = 0;
        std::int64_t commit_sent = 0;
        // Datagrams with entries that were sent and not acknowledged.
        std::deque<datagram> in_flight;
        std::size_t bytes_in_flight = 0;
        // One datagram at a time until the follower's log is known to agree.
        bool probing = true;
        time_point moved_at;
        time_point rewound_at;
        time_point heard_at;
        // Snapshot transfer: index of the snapshot (0: none), acknowledged and sent bytes.
        std::int64_t snapshot = 0;
        std::int64_t acked_offset = 0;
        std::int64_t sent_offset = 0;
        // What the last reply said; falls below `acked_offset` if the follower started over.
        std::int64_t reported_offset = 0;
    };

    // A folder that asks to become a member and has yet to show that it is alive.
    struct joiner {
        wire::member candidate;
        time_point asked_at;
        std::int64_t probe_round = 0;
    };

    // A founder whose folder was empty when last heard of.
    struct founder {
        std::int64_t folder = 0;
        time_point heard_at;
    };

    // A snapshot that is being received.
    struct incoming {
        stored_snapshot snapshot;
        std::int64_t total = 0;
        // Two hosts may encode one state differently, so chunks of two leaders are not mixed.
        std::int64_t leader = 0;
    };

    replica_core(replica_settings settings, stored_state stored, time_point now);

    // replica_core.cpp
    void send(const endpoint& to, message m, outbox& out);
    void write_hard_state();
    bool append_entry(std::int8_t kind, std::string data);
    void become_follower(std::int64_t term, time_point now);
    void adopt_leader(std::int64_t term, const endpoint& from, time_point now);
    void restart_election_timer(time_point now);
    // Returns a random time from 0 to `below`, exclusive.
    [[nodiscard]] std::chrono::microseconds draw(std::chrono::microseconds below);
    [[nodiscard]] std::int64_t self() const noexcept { return identity_.folder.value; }
    [[nodiscard]] const wire::member* member(std::int64_t folder) const;
    [[nodiscard]] bool is_voter(std::int64_t folder) const;
    [[nodiscard]] std::optional<error> refusal(time_point now) const;

    // replica_election.cpp
    void handle(time_point now, const endpoint& from, const wire::vote_request& m, outbox& out);
    void handle(time_point now, const endpoint& from, const wire::vote_reply& m, outbox& out);
    void start_pre_vote(time_point now, outbox& out);
    void start_election(time_point now, outbox& out);
    void request_votes(time_point now, bool pre_vote, outbox& out);
    void count_votes(time_point now, outbox& out);
    void become_leader(time_point now);
    void try_bootstrap(time_point now, outbox& out);
    [[nodiscard]] bool is_first_founder() const;
    [[nodiscard]] bool vote_withheld(time_point now) const;
    [[nodiscard]] bool quorum(const std::set<std::int64_t>& folders) const;

    // replica_append.cpp
    void handle(time_point now, const endpoint& from, const wire::append_request& m, outbox& out);
    void handle(time_point now, const endpoint& from, const wire::append_reply& m, outbox& out);
    bool take_entries(const std::vector<wire::log_entry>& entries);
    void start_round(time_point now, outbox& out);
    void pump(time_point now, outbox& out);
    void replicate(time_point now, const wire::member& to, progress& p, outbox& out);
    void send_append(time_point now, const wire::member& to, progress& p, outbox& out);
    [[nodiscard]] static bool window_open(const progress& p);
    static void clear_in_flight(progress& p);
    void rewind(time_point now, progress& p, std::int64_t next);
    void note_reply(time_point now, progress& p, std::int64_t round);
    void advance_commit(time_point now);
    [[nodiscard]] time_point round_started(std::int64_t round) const;
    [[nodiscard]] time_point quorum_heard(time_point now) const;
    [[nodiscard]] std::int64_t quorum_round() const;
    template <class T, class F>
    [[nodiscard]] T quorum_value(T own, F of) const;

    // replica_snapshot.cpp
    void handle(time_point now, const endpoint& from, const wire::snapshot_chunk& m, outbox& out);
    void handle(time_point now, const endpoint& from, const wire::snapshot_reply& m, outbox& out);
    // Returns how many bytes of the chunk's snapshot are held.
    std::int64_t take_chunk(const wire::snapshot_chunk& m);
    void install();
    void send_chunks(time_point now, const wire::member& to, progress& p, outbox& out);
    void send_chunk(const wire::member& to, progress& p, std::int64_t offset, outbox& out);

    // replica_members.cpp
    void handle(time_point now, const endpoint& from, const wire::join_request& m, outbox& out);
    void ask_to_join(time_point now, outbox& out);
    void admit(time_point now, const joiner& j);
    void promote_learner(time_point now);
    void remove_silent_members(time_point now);
    [[nodiscard]] bool others_answer(time_point now, const wire::member& gone) const;
    [[nodiscard]] const wire::member* find_ready_learner(time_point now) const;
    [[nodiscard]] const wire::member* find_silent(time_point now, bool voter,
                                                  std::chrono::milliseconds limit) const;
    void sync_progress(time_point now);
    [[nodiscard]] bool member_change_allowed(time_point now) const;
    void change_members(time_point now, const wire::member_list& list);

    replica_settings settings_;
    folder_identity identity_;
    hard_state hard_;
    replica_log log_;
    std::mt19937_64 random_;
    std::unique_ptr<counters> counters_ = std::make_unique<counters>();
    std::optional<error> stop_reason_;

    std::vector<staged_write> writes_;
    // Messages that wait for the staged writes.
    outbox held_;
    std::int64_t durable_ = 0;
    std::int64_t commit_ = 0;
    std::int64_t delivered_ = 0;
    std::optional<stored_snapshot> installed_;
    std::optional<incoming> incoming_;

    role role_ = role::follower;
    std::optional<endpoint> leader_address_;
    // When a leader was last heard, by the clock of this process.
    std::optional<time_point> leader_heard_;
    time_point quorum_heard_;
    time_point election_due_;
    // Until this time the lease of a leader may hold whose heartbeat was acknowledged just before the
    // restart.
    time_point former_lease_end_;
    time_point join_due_;
    time_point opened_at_;

    // Candidates.
    std::set<std::int64_t> votes_;
    bool self_vote_durable_ = false;
    // The latest `former_lease_end_` of the voters, this one included.
    time_point voters_lease_end_;
    time_point vote_resend_due_;
    // Member list that the first founder asks all founders to agree to.
    std::optional<wire::member_list> founding_;
    std::map<std::string, founder> founders_;

    // Leader.
    std::map<std::int64_t, progress> progress_;
    std::map<std::int64_t, joiner> joiners_;
    std::int64_t round_ = 0;
    // Start times of the last rounds; the last one belongs to `round_`.
    std::deque<time_point> round_starts_;
    time_point led_since_;
    // The own lease starts when no former one can hold any more.
    time_point lease_from_;
    std::int64_t term_start_ = 0;
    bool round_wanted_ = false;
};

}  // namespace pvt
}  // namespace peridotcleat

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

/// Cluster and process that own a data folder, and the random id of the folder.
struct folder_identity {
    cluster_id cluster;
    std::string node;
    folder_id folder;
};

/// Raft term, vote and commit index. The term and the vote are durable before any message that depends on
/// them is sent.
struct hard_state {
    std::int64_t term = 0;
    folder_id voted_for;
    /// Entries up to this index are committed. May lag behind the commit index that the process knew, because
    /// it is written only along with other writes.
    std::int64_t committed = 0;
};

/// Contents of a data folder when it is opened.
struct stored_state {
    folder_identity identity;
    hard_state hard;
    std::optional<stored_snapshot> snapshot;
    std::vector<wire::log_entry> entries;
};

/// Durations of the replication protocol.
struct replica_timing {
    std::chrono::milliseconds heartbeat_interval{400};
    /// Also the time after a message from a leader during which a follower grants no vote.
    std::chrono::milliseconds min_election_timeout{2000};
    std::chrono::milliseconds max_election_timeout{4000};
    /// Must be below `min_election_timeout`; the difference allows for clocks that run at different rates.
    std::chrono::milliseconds leader_lease{1600};
    /// A member that has not heard from a leader for this long asks to join again.
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
    /// Names and addresses of the initial members; used with `bootstrap` only. The members exchange their
    /// folder ids before the first election.
    std::vector<wire::member> initial_members;
    /// Number of voters that the leader maintains without an operator. Further members are standby members
    /// (learners) without a vote; one with an up-to-date log replaces a voter that falls silent. 0: every
    /// member votes until it is removed.
    std::size_t voter_count = 0;
    replica_timing timing;
    /// Longest time for which a process that is about to stop waits until another member has its vote.
    std::chrono::milliseconds leave_limit{1000};
    std::uint64_t seed = 0;
    /// Counters of the process, which must outlive the replica. Null: the replica has counters of its own.
    counters* counted = nullptr;
};

/// Log position of a proposed entry. The proposal is committed only if the committed entry at `index` has
/// this `term`.
struct log_position {
    std::int64_t index = 0;
    std::int64_t term = 0;
};

/// Identifies a linearizable read that waits until a quorum confirms the leadership.
struct read_ticket {
    std::int64_t term = 0;
    /// Heartbeat round of the leader that a quorum must acknowledge.
    std::int64_t round = 0;
    /// The answer must reflect the entries up to this index.
    std::int64_t index = 0;
};

/// Maximum size of the data of one log entry, in bytes; an entry must fit a datagram.
inline constexpr std::size_t max_entry_data = 60000;
/// Maximum size of a change, in bytes; larger changes than `max_entry_data` take several entries. As large as
/// the largest request of an operator.
inline constexpr std::size_t max_change_data = 4 << 20;

namespace pvt {

/// Removal of the entries at index `from` and above.
struct truncation {
    std::int64_t from = 0;
};

/// One write that waits for the next flush.
using staged_write = std::variant<hard_state, std::vector<wire::log_entry>, truncation, stored_snapshot>;

/// Protocol logic of a replica without storage, which `replica` adds.
class replica_core {
public:
    static result<replica_core> open(const replica_settings& settings, stored_state stored, time_point now);

    void on_message(time_point now, const endpoint& from, const message& m, outbox& out);
    void on_tick(time_point now, outbox& out);
    /// Returns the staged writes in order and clears them. `replica::flush` calls `on_synced` once they are
    /// durable.
    std::vector<staged_write> take_writes();
    void on_synced(time_point now, outbox& out);
    void count_sync() { counters_->add(event::syncs); }
    /// Stops the replica permanently and returns the reason of the first stop.
    error stop(error reason);

    result<log_position> propose(time_point now, const std::string& data);
    std::vector<wire::log_entry> take_committed();
    std::optional<stored_snapshot> take_installed_snapshot();
    result<success> compact(std::int64_t index, std::string state);
    result<read_ticket> begin_read(time_point now);
    [[nodiscard]] result<bool> read_ready(const read_ticket& ticket) const;
    result<log_position> remove_member(time_point now, const std::string& name);

    void begin_leave(time_point now) { leaving_since_ = now; }
    [[nodiscard]] bool may_stop(time_point now) const;

    [[nodiscard]] bool lease_valid(time_point now) const;
    [[nodiscard]] bool is_leader() const noexcept { return role_ == role::leader && !stopped(); }
    [[nodiscard]] std::int64_t term() const noexcept { return hard_state_.term; }
    [[nodiscard]] std::int64_t commit_index() const noexcept { return commit_index_; }
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

    // Replication state that the leader keeps for another member.
    struct progress {
        std::int64_t match_index = 0;
        std::int64_t next_index = 1;
        std::int64_t acked_round = 0;
        std::int64_t commit_sent = 0;
        // Datagrams with entries that were sent and are not acknowledged.
        std::deque<datagram> in_flight;
        std::size_t bytes_in_flight = 0;
        // While true, the leader sends one datagram at a time. False once the follower's log is known to
        // match the leader's.
        bool probing = true;
        time_point progressed_at;
        time_point rewound_at;
        // Start of the latest round that the member has acknowledged. A reply that was delayed shows that the
        // member was alive when it sent the reply, not that it still is.
        time_point heard_at;
        // Until this time, the member counts as one that is about to stop.
        time_point leaving_until;
        // Snapshot transfer: index of the snapshot (0: none), acknowledged and sent bytes.
        std::int64_t snapshot_index = 0;
        std::int64_t acked_offset = 0;
        std::int64_t sent_offset = 0;
        // Offset in the last reply; below `acked_offset` if the follower restarted the transfer.
        std::int64_t reported_offset = 0;
    };

    // A folder that asks to become a member and has not yet answered a probe that shows it is alive.
    struct joiner {
        wire::member candidate;
        time_point asked_at;
        std::int64_t probe_round = 0;
    };

    // A change of the member list that the leader has decided on. Members whose replies count towards it have
    // to confirm first that they are alive.
    struct member_change {
        wire::member_list list;
        const char* reason = "";
        std::string subject;
        // Index of the entry with the list that `list` replaces.
        std::int64_t list_index = 0;
        time_point decided_at;
        // Round of heartbeats that starts after the decision.
        std::int64_t round = 0;
    };

    // Folder of an initial member, which was empty when it was last heard from.
    struct initial_member_folder {
        std::int64_t folder = 0;
        time_point heard_at;
    };

    // A snapshot that is being received.
    struct incoming_snapshot {
        stored_snapshot snapshot;
        std::int64_t total = 0;
        // Two leaders may encode the same state differently, so their chunks are not combined.
        std::int64_t leader = 0;
    };

    replica_core(replica_settings settings, stored_state stored, time_point now);

    // replica_core.cpp
    void send(const endpoint& to, message m, outbox& out);
    void write_hard_state();
    bool append_entry(std::int8_t kind, std::string data);
    void become_follower(std::int64_t term, time_point now);
    void adopt_leader(std::int64_t term, std::int64_t folder, const endpoint& from, time_point now);
    void restart_election_timer(time_point now);
    // Returns a random duration of at least 0 and less than `limit`.
    [[nodiscard]] std::chrono::microseconds random_duration(std::chrono::microseconds limit);
    [[nodiscard]] std::int64_t self() const noexcept { return identity_.folder.value; }
    [[nodiscard]] const wire::member* find_member(std::int64_t folder) const;
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
    [[nodiscard]] bool is_bootstrap_candidate() const;
    [[nodiscard]] bool vote_withheld(time_point now) const;
    [[nodiscard]] bool is_quorum(const std::set<std::int64_t>& folders) const;

    // replica_append.cpp
    void handle(time_point now, const endpoint& from, const wire::append_request& m, outbox& out);
    void handle(time_point now, const endpoint& from, const wire::append_reply& m, outbox& out);
    bool append_entries(const std::vector<wire::log_entry>& entries);
    void start_round(time_point now, outbox& out);
    void replicate_all(time_point now, outbox& out);
    void replicate(time_point now, const wire::member& to, progress& p, outbox& out);
    void send_append(time_point now, const wire::member& to, progress& p, outbox& out);
    [[nodiscard]] static bool window_open(const progress& p);
    [[nodiscard]] static std::int32_t to_wire_ms(std::chrono::microseconds duration);
    static void clear_in_flight(progress& p);
    void rewind(time_point now, progress& p, std::int64_t next);
    void record_reply(time_point now, progress& p, std::int64_t round);
    void advance_commit(time_point now);
    [[nodiscard]] time_point round_start_time(std::int64_t round) const;
    [[nodiscard]] time_point quorum_round_start_time(time_point now) const;
    [[nodiscard]] std::int64_t quorum_round() const;
    template <class T, class F>
    [[nodiscard]] T quorum_value(T own_value, F value_of) const;

    // replica_snapshot.cpp
    void handle(time_point now, const endpoint& from, const wire::snapshot_chunk& m, outbox& out);
    void handle(time_point now, const endpoint& from, const wire::snapshot_reply& m, outbox& out);
    // Returns the number of bytes received of the snapshot that the chunk belongs to.
    std::int64_t receive_chunk(const wire::snapshot_chunk& m);
    void install_snapshot();
    void send_chunks(time_point now, const wire::member& to, progress& p, outbox& out);
    void send_chunk(const wire::member& to, progress& p, std::int64_t offset, outbox& out);

    // replica_members.cpp
    void handle(time_point now, const endpoint& from, const wire::join_request& m, outbox& out);
    void send_join_request(time_point now, outbox& out);
    void add_learner(time_point now, const joiner& j);
    void remove_silent_learner(time_point now);
    void update_progress_map(time_point now);
    [[nodiscard]] bool member_list_settled(time_point now) const;
    [[nodiscard]] bool member_change_allowed(time_point now) const;
    // `reason` and `subject`, the name of the member that the change is about, are logged.
    void append_member_list(time_point now, const wire::member_list& list, const char* reason,
                            const std::string& subject);

    // replica_voters.cpp
    void handle(time_point now, const endpoint& from, const wire::leave_notice& m, outbox& out);
    void send_leave_notice(time_point now, outbox& out);
    [[nodiscard]] bool is_leaving(const wire::member& m, time_point now) const;
    [[nodiscard]] std::vector<const wire::member*> find_replaceable_voters(time_point now) const;
    void maintain_members(time_point now);
    [[nodiscard]] std::optional<member_change> find_voter_change(time_point now) const;
    static void replace_voters(member_change& change, const std::vector<const wire::member*>& replaced,
                               const std::vector<const wire::member*>& ready);
    [[nodiscard]] bool is_valid(const member_change& change, time_point now) const;
    [[nodiscard]] bool is_confirmed(const member_change& change) const;
    [[nodiscard]] bool has_confirmed(const wire::member& m, const member_change& change) const;
    [[nodiscard]] bool holds_committed_entries(const wire::member& m) const;
    [[nodiscard]] std::vector<const wire::member*> find_ready_learners(time_point now) const;
    [[nodiscard]] std::vector<const wire::member*> find_silent_members(time_point now, bool voters,
                                                                       std::chrono::milliseconds limit) const;
    [[nodiscard]] std::chrono::milliseconds voter_silence_limit() const;
    [[nodiscard]] std::chrono::milliseconds reported_silence() const;
    [[nodiscard]] std::vector<wire::silent_member> report_silent_members(time_point now) const;
    void adopt_known_silence(time_point now);

    replica_settings settings_;
    folder_identity identity_;
    hard_state hard_state_;
    replica_log log_;
    std::mt19937_64 random_;
    // Null if the process has given its own counters.
    std::unique_ptr<counters> own_counters_;
    counters* counters_;
    std::optional<error> stop_reason_;

    std::vector<staged_write> staged_writes_;
    // Messages that are sent once the staged writes are durable.
    outbox deferred_messages_;
    std::int64_t durable_index_ = 0;
    std::int64_t commit_index_ = 0;
    std::int64_t delivered_index_ = 0;
    std::optional<stored_snapshot> installed_snapshot_;
    std::optional<incoming_snapshot> incoming_snapshot_;

    role role_ = role::follower;
    std::optional<endpoint> leader_address_;
    // Folder of the last leader that this process has heard from, 0 if there was none.
    std::int64_t leader_folder_ = 0;
    // Time of the last message from a leader, by the clock of this process.
    std::optional<time_point> leader_heard_at_;
    // By folder: the time since when a member is silent, according to the last message from a leader.
    std::map<std::int64_t, time_point> silent_since_;
    // Latest time at which a leader had a quorum, according to the messages of leaders.
    time_point leader_quorum_at_;
    time_point election_due_;
    // Until this time, a leader may still hold a lease because of a heartbeat that this process acknowledged
    // just before this process restarted.
    time_point former_lease_end_;
    time_point join_due_;
    std::optional<time_point> leaving_since_;
    time_point leave_notice_due_;
    time_point opened_at_;

    // State of a candidate.
    std::set<std::int64_t> votes_;
    bool self_vote_durable_ = false;
    // The latest `former_lease_end_` of all voters that granted their vote, including this process.
    time_point voters_lease_end_;
    time_point vote_resend_due_;
    // Initial member list that the bootstrap candidate, which is the initial member with the lowest name,
    // asks all initial members to vote for.
    std::optional<wire::member_list> proposed_initial_members_;
    // By member name.
    std::map<std::string, initial_member_folder> initial_member_folders_;

    // State of a leader.
    // By folder id.
    std::map<std::int64_t, progress> progress_;
    std::map<std::int64_t, joiner> joiners_;
    std::optional<member_change> pending_change_;
    // Number of the last round: one numbered heartbeat to all other members, which repeat the number in their
    // replies. A round that a quorum has acknowledged confirms the leadership as of the start of the round.
    std::int64_t round_ = 0;
    // Start times of the latest rounds; the last element belongs to `round_`.
    std::deque<time_point> round_starts_;
    time_point leader_since_;
    // Start of the lease of this leader: the time after which no lease of an earlier leader can be valid.
    time_point lease_start_;
    std::int64_t term_start_index_ = 0;
    bool round_requested_ = false;
};

}  // namespace pvt
}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "peridotcleat/counters.h"
#include "peridotcleat/outbox.h"

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
};

/// A snapshot of the replicated state.
struct stored_snapshot {
    std::int64_t index = 0;
    std::int64_t term = 0;
    wire::member_list members;
    std::string state;
};

/// What a data folder holds when it is opened.
struct stored_state {
    folder_identity identity;
    hard_state hard;
    std::optional<stored_snapshot> snapshot;
    std::vector<wire::log_entry> entries;
};

/// Durable storage of one replica. Writes count only after `sync` has succeeded; a write or sync that has
/// failed once fails for ever, because the state of the disk is then unknown.
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

/// Durations of the replication protocol.
struct replica_timing {
    std::chrono::milliseconds heartbeat{400};
    std::chrono::milliseconds election_low{2000};
    std::chrono::milliseconds election_high{4000};
    std::chrono::milliseconds leader_lease{1600};
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
    std::vector<wire::member> first_members;
    replica_timing timing;
    std::uint64_t seed = 0;
};

/// Place of a proposed entry; it is committed only if the entry at `index` has this `term`.
struct log_position {
    std::int64_t index = 0;
    std::int64_t term = 0;
};

}  // namespace peridotcleat

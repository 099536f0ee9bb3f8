#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "peridotcleat/hash.h"
#include "peridotcleat/types.h"

namespace peridotcleat::pvt {

/// A set of buckets, as a `bucket_query` message carries it.
using bucket_set = std::bitset<bucket_count>;

/// Converts to and from the 32 bytes on the wire. If there are fewer bytes, the buckets of the missing ones
/// are not in the set.
std::string to_wire(const bucket_set& buckets);
bucket_set buckets_from_wire(const std::string& bytes);

/// Which other target holds a flow of an owned bucket.
struct directory_entry {
    incarnation holder;
    /// The holder may have ended the flow; the holder is asked before the flow is placed on a target again.
    bool in_doubt = false;
};

/// State of one bucket at an agent.
struct bucket_state {
    /// This agent's target owns the bucket.
    bool owned = false;
    /// New flows may be placed: the handover is complete or timed out.
    bool ready = false;
    /// All targets have reported the flows that they hold.
    bool complete = false;
    /// The agent that owns the bucket in a newer table than this agent's has queried it. Once this agent has
    /// that table and still owns the bucket, a new handover is needed.
    bool fenced = false;
    /// Start of the latest handover to this agent.
    time_point handover_start;
    /// This agent places no new flow of the bucket, and accepts no offer of one, under a table of a lower
    /// revision.
    revision fence;
    std::unordered_map<flow_key, directory_entry, flow_key_hash> entries;
};

/// Buckets of one service at one agent, and for the owned ones the directory of flows that other targets
/// hold. The number of entries is bounded.
class bucket_directory {
public:
    explicit bucket_directory(std::size_t max_entries) : max_entries_(max_entries) {}

    [[nodiscard]] bucket_state& at(std::size_t bucket) { return buckets_.at(bucket); }
    [[nodiscard]] const bucket_state& at(std::size_t bucket) const { return buckets_.at(bucket); }

    /// Returns the entry of a flow, or null.
    [[nodiscard]] directory_entry* find(const flow_key& key);
    /// Adds or replaces an entry of an owned bucket. Returns false if the directory is full.
    bool set(const flow_key& key, incarnation holder);
    /// Removes an entry.
    void erase(const flow_key& key);
    /// Marks an entry that names `holder` as in doubt; it is removed after `datagram_lifetime`.
    void mark_in_doubt(time_point now, const flow_key& key, incarnation holder);
    /// Removes entries that have been in doubt for `datagram_lifetime`.
    void purge(time_point now);
    /// Marks a bucket as no longer owned and removes its entries.
    void release(std::size_t bucket);
    /// Removes all entries whose holder is not in `targets`.
    void keep_holders(const std::unordered_set<incarnation, id_hash>& targets);
    void clear();

    /// Entries in all owned buckets.
    [[nodiscard]] std::size_t size() const noexcept { return size_; }

private:
    struct in_doubt_record {
        time_point marked_at;
        flow_key key;
    };

    std::size_t max_entries_;
    std::size_t size_ = 0;
    std::array<bucket_state, bucket_count> buckets_;
    std::deque<in_doubt_record> in_doubt_records_;
};

/// Progress of one query of buckets that goes to all targets of a service, each of which answers with a
/// report in one or more pages.
class query_round {
public:
    /// Counts query ids from `first` on, so that reports to an earlier start of the process never match.
    void set_first_query_id(std::int64_t first) { next_query_id_ = first; }
    /// Starts a new round; reports to earlier rounds are ignored from now on.
    void start(time_point now, const bucket_set& buckets, const std::vector<incarnation>& targets);
    void stop() { awaited_reports_.clear(); }
    /// Records page `page` of the `pages` pages by which `holder` answers query `query_id`. Returns true if
    /// that page completes the last outstanding report of the round.
    bool add_page(incarnation holder, std::int64_t query_id, std::size_t page, std::size_t pages);
    /// A query that is to be sent now.
    struct due_query {
        incarnation target;
        std::int64_t query_id = 0;
    };
    /// Returns the queries that are due, each with a new id, and schedules their repetitions.
    std::vector<due_query> take_due_queries(time_point now);

    [[nodiscard]] const bucket_set& buckets() const noexcept { return buckets_; }
    [[nodiscard]] bool active() const noexcept { return !awaited_reports_.empty(); }

private:
    struct awaited_report {
        std::int64_t query_id = 0;
        std::vector<bool> pages;
        std::size_t missing_pages = 0;
        time_point next_query;
        int attempts = 0;
    };

    bucket_set buckets_;
    std::int64_t next_query_id_ = 1;
    std::unordered_map<incarnation, awaited_report, id_hash> awaited_reports_;
};

}  // namespace peridotcleat::pvt

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "peridotcleat/hash.h"
#include "peridotcleat/types.h"

namespace peridotcleat {

/// Names a flow at the target that holds it. The token contains the holder's incarnation, so that each agent
/// can tell from a packet alone which target the caller means.
[[nodiscard]] constexpr flow_token make_token(incarnation holder, std::int64_t counter) noexcept
{
    // 35 bits for the incarnation, a log index, last 9,000 years at 10,000 changes a day.
    constexpr int counter_bits = 28;
    return {(holder.value << counter_bits) | (counter & ((std::int64_t{1} << counter_bits) - 1))};
}

/// Returns the holder that `token` names.
[[nodiscard]] constexpr incarnation holder_of(flow_token token) noexcept { return {token.value >> 28}; }

namespace pvt {

/// A datagram is not expected to arrive later than this after it was sent.
inline constexpr std::chrono::seconds datagram_lifetime{30};

/// One flow at its holder.
struct held_flow {
    flow_token token;
    std::int64_t nonce = 0;
    time_point opened;
    time_point last_use;
};

/// The flows that one target holds, and the openings of flows that ended lately.
class held_flows {
public:
    /// Adds a flow under a new token.
    const held_flow& open(time_point now, const flow_key& key, std::int64_t nonce, incarnation own);
    /// Removes a flow and remembers its nonce for `datagram_lifetime`.
    void close(time_point now, const flow_key& key);
    /// Returns the flow, or null.
    [[nodiscard]] held_flow* find(const flow_key& key);
    /// Returns true if the flow that `nonce` opened ended lately, so that the opening is a duplicate.
    [[nodiscard]] bool ended(const flow_key& key, std::int64_t nonce) const;
    /// Records that the flow ended at another target.
    void remember_end(time_point now, const flow_key& key, std::int64_t nonce);
    /// Forgets ends that are older than `datagram_lifetime`.
    void forget_ends(time_point now);
    /// Returns the flows that were last used before `limit`.
    [[nodiscard]] std::vector<flow_key> unused_since(time_point limit) const;
    void clear();

    [[nodiscard]] std::size_t size() const noexcept { return flows_.size(); }
    [[nodiscard]] const std::unordered_map<flow_key, held_flow, flow_key_hash>& all() const noexcept
    {
        return flows_;
    }

private:
    struct end_record {
        time_point when;
        flow_key key;
    };

    std::unordered_map<flow_key, held_flow, flow_key_hash> flows_;
    std::unordered_map<flow_key, std::int64_t, flow_key_hash> ends_;
    std::deque<end_record> end_order_;
    std::int64_t next_counter_ = 1;
};

}  // namespace pvt

}  // namespace peridotcleat

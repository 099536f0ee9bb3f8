#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peridotcleat/hash.h"
#include "peridotcleat/types.h"

namespace peridotcleat {

/// Builds the token that identifies a flow at the target that holds it. The token contains the holder's
/// incarnation, so that any agent can tell from a packet alone which target holds the flow.
[[nodiscard]] constexpr flow_token make_token(incarnation holder, std::int64_t counter) noexcept
{
    // The incarnation is a log index and gets 35 bits, which last 9,000 years at 10,000 changes a day.
    constexpr int counter_bits = 28;
    return {(holder.value << counter_bits) | (counter & ((std::int64_t{1} << counter_bits) - 1))};
}

/// Returns the holder that `token` names.
[[nodiscard]] constexpr incarnation holder_of(flow_token token) noexcept { return {token.value >> 28}; }

namespace pvt {

/// Longest time from sending a datagram to its arrival that the protocol allows for.
inline constexpr std::chrono::seconds datagram_lifetime{30};

/// Decisions of the last `datagram_lifetime` about flow keys, kept so that a delayed duplicate gets the same
/// answer. The number of records is bounded; beyond it the oldest one is removed early.
template <class Value>
class recent_records {
public:
    void set(time_point now, const flow_key& key, const Value& value)
    {
        records_.insert_or_assign(key, record{now, value});
        order_.emplace_back(now, key);
        if (order_.size() > max_records) {
            forget_first();
        }
    }
    /// Returns the last value that was set for `key`, or null.
    [[nodiscard]] const Value* find(const flow_key& key) const
    {
        const auto it = records_.find(key);
        return it == records_.end() ? nullptr : &it->second.value;
    }
    /// Removes records that are older than `datagram_lifetime`.
    void forget(time_point now)
    {
        while (!order_.empty() && order_.front().first + datagram_lifetime < now) {
            forget_first();
        }
    }
    void clear()
    {
        records_.clear();
        order_.clear();
    }

private:
    // Enough for 136 records a second over 30 s, about 20 times the expected rate of new flows at one target.
    static constexpr std::size_t max_records = 4096;

    struct record {
        time_point when;
        Value value;
    };

    void forget_first()
    {
        const auto it = records_.find(order_.front().second);
        // A later record of the same key is kept.
        if (it != records_.end() && it->second.when == order_.front().first) {
            records_.erase(it);
        }
        order_.pop_front();
    }

    std::unordered_map<flow_key, record, flow_key_hash> records_;
    std::deque<std::pair<time_point, flow_key>> order_;
};

/// A flow at the target that holds it.
struct held_flow {
    flow_token token;
    /// Nonce of the opening packet.
    std::int64_t nonce = 0;
    time_point opened;
    time_point last_used;
};

/// The flows that one target holds, and the nonces of flows that ended recently.
class held_flows {
public:
    /// Adds a flow under a new token.
    const held_flow& open(time_point now, const flow_key& key, std::int64_t nonce, incarnation holder);
    /// Removes a flow and remembers its nonce for `datagram_lifetime`.
    void close(time_point now, const flow_key& key);
    /// Returns the flow, or null.
    [[nodiscard]] held_flow* find(const flow_key& key);
    /// Returns true if the flow that was opened with `nonce` has ended recently, which makes an opening
    /// packet with that nonce a delayed duplicate.
    [[nodiscard]] bool ended(const flow_key& key, std::int64_t nonce) const;
    /// Records that a flow has ended, here or at another target.
    void remember_end(time_point now, const flow_key& key, std::int64_t nonce) { ends_.set(now, key, nonce); }
    /// Removes records of ended flows that are older than `datagram_lifetime`.
    void forget_ends(time_point now) { ends_.forget(now); }
    /// Returns the flows that were last used before `limit`.
    [[nodiscard]] std::vector<flow_key> unused_since(time_point limit) const;
    void clear();

    [[nodiscard]] std::size_t size() const noexcept { return flows_.size(); }
    [[nodiscard]] const std::unordered_map<flow_key, held_flow, flow_key_hash>& all() const noexcept
    {
        return flows_;
    }

private:
    std::unordered_map<flow_key, held_flow, flow_key_hash> flows_;
    /// Nonces of flows that ended.
    recent_records<std::int64_t> ends_;
    std::int64_t next_counter_ = 1;
};

}  // namespace pvt

}  // namespace peridotcleat

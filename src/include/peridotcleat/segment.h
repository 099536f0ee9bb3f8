#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "peridotcleat/types.h"

namespace peridotcleat {

/// The header fields that the system reads of one packet of a flow whose two ends are transport stacks.
struct segment {
    /// From the sender of the packet to its receiver.
    flow_key key;
    /// Asks for a new flow; together with `acknowledges`, offers to accept one. Like the SYN flag of TCP.
    bool opens = false;
    /// The sender acknowledges data or an opening packet. Like the ACK flag of TCP.
    bool acknowledges = false;
    /// The sender has no more data. Like the FIN flag of TCP.
    bool finishes = false;
    /// The flow is aborted. Like the RST flag of TCP.
    bool resets = false;
    /// A target has returned the packet, because it does not hold the flow or cannot accept it.
    bool returned = false;
    std::uint32_t sequence = 0;
    /// Sequence number up to which the sender has received data.
    std::uint32_t ack_number = 0;
    /// Length of the data in bytes.
    std::uint16_t length = 0;
};

/// Format of the packets that callers and targets exchange. The system forwards them unchanged; the only
/// packets that it writes itself are resets.
struct segment_format {
    /// Reads the header. Returns nothing if `packet` is too short or its length is wrong.
    std::optional<segment> (*decode)(std::string_view packet) = nullptr;
    /// Undoes the changes that a target made to a packet in order to return it.
    void (*restore)(std::string& packet) = nullptr;
    /// Builds a packet that resets the flow `key` at its caller, which is the source of `key`.
    std::string (*make_reset)(const flow_key& key, std::uint32_t sequence) = nullptr;
};

/// Why a balancer forwards a segment to an agent.
enum class segment_purpose : std::int8_t {
    /// The balancer assumes that the agent's target holds the flow.
    held = 1,
    /// The segment opens a new flow, which is placed on the agent's target.
    place = 2,
    /// The balancer searches for the holder of the flow and keeps a copy of the segment. Unlike for `held`, a
    /// report `absent` contains no segment, and delivery to a holder is answered by a report `held`.
    search = 3
};

/// What an agent reports of a segment, or answers to a query for its flow.
enum class segment_outcome : std::int8_t {
    /// The target offers to accept the flow.
    offered = 1,
    /// The target holds the flow.
    held = 2,
    /// The new flow was not accepted; the report contains the segment.
    declined = 3,
    /// The target certainly does not hold the flow.
    absent = 4,
    /// The agent cannot tell whether the target holds the flow; the target's reaction to a segment shows it.
    unsure = 5,
    /// As `unsure`, but the target most likely does not hold the flow. This is no proof.
    unlikely = 6
};

/// Returns the key with source and destination swapped: the caller's key for a packet to the caller, and the
/// other way round.
[[nodiscard]] constexpr flow_key reversed(const flow_key& k) noexcept
{
    return {k.destination, k.source, k.protocol};
}

/// Returns the identity of a service in messages about segments: a hash of the service's name, which an
/// agent knows without a table.
[[nodiscard]] std::int64_t service_key(std::string_view name) noexcept;

/// Returns true if `ack_number` can belong to a flow whose target's first sequence number was `first`.
[[nodiscard]] constexpr bool acknowledges_flow(std::uint32_t ack_number, std::uint32_t first) noexcept
{
    // The largest answer is far smaller than the window. The first sequence number of another target falls
    // into the window only by chance.
    constexpr std::uint32_t window = 1U << 22U;
    return ack_number - first < window;
}

}  // namespace peridotcleat

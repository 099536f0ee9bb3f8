#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "peridotcleat/types.h"

namespace peridotcleat {

/// One packet of a flow whose ends are transport stacks, as far as the system reads it.
struct segment {
    /// From the sender of the packet to its receiver.
    flow_key key;
    /// Asks for a new flow, or offers to take one if it also acknowledges.
    bool opens = false;
    bool acknowledges = false;
    /// The sender has nothing more to send.
    bool finishes = false;
    bool resets = false;
    /// A target gave the packet back, because it does not hold the flow or cannot accept it.
    bool returned = false;
    std::uint32_t sequence = 0;
    std::uint32_t ack_number = 0;
    /// Bytes of data.
    std::uint16_t length = 0;
};

/// How the packets of the two ends look. Only the ends write packets; the system passes them on unchanged.
struct segment_format {
    /// Reads the header. Returns nothing if `packet` is too short or its length is wrong.
    std::optional<segment> (*decode)(std::string_view packet) = nullptr;
    /// Turns a packet that a target gave back into what its sender wrote.
    void (*restore)(std::string& packet) = nullptr;
    /// Builds a reset of the flow `key`, which names the caller as its source, to the caller.
    std::string (*make_reset)(const flow_key& key, std::uint32_t sequence) = nullptr;
};

/// What a balancer asks of an agent with a segment.
enum class segment_purpose : std::int8_t {
    /// The receiver is believed to hold the flow.
    held = 1,
    /// A new flow is placed.
    place = 2,
    /// Deliver the segment only if the flow is held.
    search = 3
};

/// What became of a segment at an agent.
enum class segment_outcome : std::int8_t {
    /// The target offers to take the flow.
    offered = 1,
    /// The flow is held here.
    held = 2,
    /// The flow was not accepted; the segment comes back.
    declined = 3,
    /// The flow is certainly not held here.
    absent = 4,
    /// Only the target knows whether it holds the flow; it says so when it gets a segment.
    unsure = 5
};

/// Returns the flow as its caller names it, for a packet to the caller.
[[nodiscard]] constexpr flow_key reversed(const flow_key& k) noexcept
{
    return {k.destination, k.source, k.protocol};
}

/// Identity of a service in segments: a hash of its name, which an agent knows without a table.
[[nodiscard]] std::int64_t service_key(std::string_view name) noexcept;

/// Returns true if `ack_number` can belong to a flow whose target began with `first`.
[[nodiscard]] constexpr bool acknowledges_flow(std::uint32_t ack_number, std::uint32_t first) noexcept
{
    // The largest answer is far below this; another target's first number is nearer only by chance.
    constexpr std::uint32_t window = 1U << 22U;
    return ack_number - first < window;
}

}  // namespace peridotcleat

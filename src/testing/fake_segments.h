#pragma once

#include <cstring>
#include <optional>
#include <string>
#include <string_view>

#include "peridotcleat/segment.h"

namespace peridotcleat::testing {

/// Builds a packet in the format of the tests: the bytes of the segment struct as they are in memory,
/// followed by the data.
inline std::string fake_packet(const segment& s, std::string_view data = {})
{
    segment with_length = s;
    with_length.length = static_cast<std::uint16_t>(data.size());
    std::string packet(sizeof(segment), '\0');
    std::memcpy(packet.data(), &with_length, sizeof(segment));
    return packet + std::string(data);
}

inline std::optional<segment> decode_fake(std::string_view packet)
{
    if (packet.size() < sizeof(segment)) {
        return std::nullopt;
    }
    segment s;
    std::memcpy(&s, packet.data(), sizeof(segment));
    return packet.size() == sizeof(segment) + s.length ? std::optional(s) : std::nullopt;
}

inline void restore_fake(std::string& packet)
{
    auto s = *decode_fake(packet);
    s.returned = false;
    std::memcpy(packet.data(), &s, sizeof(segment));
}

inline std::string fake_reset(const flow_key& key, std::uint32_t sequence)
{
    segment s;
    s.key = reversed(key);
    s.resets = true;
    s.sequence = sequence;
    return fake_packet(s);
}

inline constexpr segment_format fake_format{decode_fake, restore_fake, fake_reset};

}  // namespace peridotcleat::testing

#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "peridotcleat/types.h"

namespace peridotcleat {

/// Mixes a 64-bit value so that each input bit affects each output bit.
constexpr std::uint64_t mix(std::uint64_t x) noexcept
{
    x ^= x >> 30U;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27U;
    x *= 0x94d049bb133111ebULL;
    x ^= x >> 31U;
    return x;
}

/// Combines two hashes; the result depends on their order.
constexpr std::uint64_t combine(std::uint64_t a, std::uint64_t b) noexcept
{
    return mix(a + 0x9e3779b97f4a7c15ULL + mix(b + 0x632be59bd9b4e019ULL));
}

/// Hashes a flow key. All nodes get the same value for the same key.
constexpr std::uint64_t hash_of(const flow_key& k) noexcept
{
    const std::uint64_t a = (std::uint64_t{k.source.address} << 16U) | k.source.port;
    const std::uint64_t b = (std::uint64_t{k.destination.address} << 24U) |
                            (std::uint64_t{k.destination.port} << 8U) | k.protocol;
    return combine(a, b);
}

/// Hashes bytes. All nodes get the same value for the same bytes.
std::uint64_t hash_bytes(std::string_view bytes) noexcept;

/// Number of buckets of each service.
inline constexpr std::size_t bucket_count = 256;

/// Returns the bucket of a flow, 0 to `bucket_count` - 1.
constexpr std::size_t bucket_of(const flow_key& k) noexcept { return hash_of(k) % bucket_count; }

/// Hash functor for the standard containers.
struct flow_key_hash {
    std::size_t operator()(const flow_key& k) const noexcept { return hash_of(k); }
};

/// Hash functor for the standard containers.
struct id_hash {
    template <class Tag>
    std::size_t operator()(const pvt::strong_id<Tag>& id) const noexcept
    {
        return mix(static_cast<std::uint64_t>(id.value));
    }
};

}  // namespace peridotcleat

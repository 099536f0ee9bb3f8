#include "peridotcleat/types.h"

#include <array>
#include <charconv>
#include <optional>

#include "peridotcleat/hash.h"

namespace peridotcleat {

namespace {

// Reads one decimal number of at most `limit` that ends at `terminator`, or at the end of `text` if
// `terminator` is '\0', and removes both from `text`.
std::optional<std::uint32_t> take_number(std::string_view& text, char terminator, std::uint32_t limit)
{
    const std::size_t end = terminator == '\0' ? text.size() : text.find(terminator);
    if (end == std::string_view::npos || end == 0) {
        return std::nullopt;
    }
    std::uint32_t number = 0;
    const auto [ptr, ec] = std::from_chars(text.data(), text.data() + end, number);
    if (ec != std::errc{} || ptr != text.data() + end || number > limit) {
        return std::nullopt;
    }
    text.remove_prefix(terminator == '\0' ? end : end + 1);
    return number;
}

}  // namespace

result<endpoint> parse_endpoint(std::string_view text)
{
    const std::string_view whole = text;
    std::uint32_t address = 0;
    for (const char terminator : {'.', '.', '.', ':'}) {
        const auto byte = take_number(text, terminator, 255);
        if (!byte) {
            return error{error_code::invalid_setting,
                         "\"" + std::string(whole) + "\" is not an endpoint a.b.c.d:port"};
        }
        address = (address << 8U) | *byte;
    }
    const auto port = take_number(text, '\0', 65535);
    if (!port || *port == 0) {
        return error{error_code::invalid_setting,
                     "\"" + std::string(whole) + "\" has no port from 1 to 65535"};
    }
    return endpoint{address, static_cast<std::uint16_t>(*port)};
}

std::string to_string(const endpoint& e)
{
    std::string text;
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        text += std::to_string((e.address >> shift) & 0xffU);
        text += shift == 0 ? ':' : '.';
    }
    return text + std::to_string(e.port);
}

std::string to_string(const flow_key& k)
{
    return to_string(k.source) + '>' + to_string(k.destination) + '/' + std::to_string(k.protocol);
}

wire::endpoint to_wire(const endpoint& e) noexcept
{
    wire::endpoint w;
    w.address = static_cast<std::int32_t>(e.address);
    w.port = static_cast<std::int16_t>(e.port);
    return w;
}

endpoint from_wire(const wire::endpoint& e) noexcept
{
    return {static_cast<std::uint32_t>(e.address), static_cast<std::uint16_t>(e.port)};
}

wire::flow_key to_wire(const flow_key& k) noexcept
{
    wire::flow_key w;
    w.source_address = static_cast<std::int32_t>(k.source.address);
    w.source_port = static_cast<std::int16_t>(k.source.port);
    w.destination_address = static_cast<std::int32_t>(k.destination.address);
    w.destination_port = static_cast<std::int16_t>(k.destination.port);
    w.protocol = static_cast<std::int8_t>(k.protocol);
    return w;
}

flow_key from_wire(const wire::flow_key& k) noexcept
{
    return {
        {static_cast<std::uint32_t>(k.source_address), static_cast<std::uint16_t>(k.source_port)},
        {static_cast<std::uint32_t>(k.destination_address), static_cast<std::uint16_t>(k.destination_port)},
        static_cast<std::uint8_t>(k.protocol)};
}

std::uint64_t hash_bytes(std::string_view bytes) noexcept
{
    std::uint64_t h = 0xcbf29ce484222325ULL;
    for (const char c : bytes) {
        h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return mix(h ^ bytes.size());
}

}  // namespace peridotcleat

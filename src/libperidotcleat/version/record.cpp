#include "libperidotcleat/version/record.h"

#include <algorithm>
#include <boost/crc.hpp>

namespace peridotcleat::pvt {

namespace {

constexpr std::size_t header_size = 13;
constexpr std::size_t unprotected_size = header_size - 4;
constexpr std::size_t sector_size = 512;

std::uint32_t checksum(std::string_view bytes)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

void write_word(std::string& out, std::uint32_t value)
{
    for (int shift = 0; shift < 32; shift += 8) {
        out += static_cast<char>(static_cast<std::uint8_t>(value >> shift));
    }
}

std::uint32_t read_word(std::string_view in)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        value |= static_cast<std::uint32_t>(static_cast<std::uint8_t>(in[i])) << (8 * i);
    }
    return value;
}

// After a crash, a file system may return zeros for sectors that were never written. A flipped bit does not
// cause zeros up to the end of the file.
bool ends_in_zero_sectors(std::string_view file, std::size_t position)
{
    const auto last = file.find_last_not_of('\0');
    const std::size_t zeros_from = last == std::string_view::npos ? 0 : last + 1;
    const std::size_t boundary = (zeros_from + sector_size - 1) / sector_size * sector_size;
    return zeros_from <= position || boundary < file.size();
}

}  // namespace

void write_record(std::string& out, record_kind kind, std::string_view payload)
{
    std::string header;
    header += static_cast<char>(kind);
    write_word(header, static_cast<std::uint32_t>(payload.size()));
    write_word(header, checksum(payload));
    write_word(header, checksum(header));
    out += header;
    out += payload;
}

record_state read_record(std::string_view file, std::size_t& position, record& out)
{
    const std::string_view rest = file.substr(position);
    if (rest.empty()) {
        return record_state::end;
    }
    if (rest.size() < header_size) {
        return record_state::torn;
    }
    const record_state damaged =
        ends_in_zero_sectors(file, position) ? record_state::torn : record_state::corrupt;
    // The header has its own checksum, so that a corrupted length is not mistaken for an incomplete record.
    if (read_word(rest.substr(unprotected_size)) != checksum(rest.substr(0, unprotected_size))) {
        return damaged;
    }
    const std::size_t length = read_word(rest.substr(1));
    if (rest.size() - header_size < length) {
        return record_state::torn;
    }
    out.kind = static_cast<record_kind>(rest[0]);
    out.payload = rest.substr(header_size, length);
    if (read_word(rest.substr(5)) != checksum(out.payload)) {
        return damaged;
    }
    position += header_size + length;
    return record_state::whole;
}

void write_integer(std::string& out, std::int64_t value)
{
    const auto bits = static_cast<std::uint64_t>(value);
    write_word(out, static_cast<std::uint32_t>(bits));
    write_word(out, static_cast<std::uint32_t>(bits >> 32U));
}

std::optional<std::int64_t> read_integer(std::string_view& in)
{
    if (in.size() < 8) {
        return std::nullopt;
    }
    const std::uint64_t low = read_word(in);
    const std::uint64_t high = read_word(in.substr(4));
    in.remove_prefix(8);
    return static_cast<std::int64_t>(low | (high << 32U));
}

}  // namespace peridotcleat::pvt

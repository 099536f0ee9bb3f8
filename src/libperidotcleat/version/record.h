#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotcleat::pvt {

/// Kinds of records in the files of a data folder.
enum class record_kind : std::uint8_t {
    hard_state = 1,
    entry = 2,
    truncation = 3,
    snapshot = 4,
    identity = 5
};

/// One record: a header of 13 bytes (kind, payload length, payload checksum, checksum of these three fields),
/// followed by the payload.
struct record {
    record_kind kind = record_kind::entry;
    std::string_view payload;
};

/// Appends a record to `out`.
void write_record(std::string& out, record_kind kind, std::string_view payload);

/// Result of reading a record at a position of a file.
enum class record_state : std::uint8_t {
    whole,
    /// The position is the end of the file.
    end,
    /// Partly written before a crash: the record is incomplete, or the file contains only zeros from a sector
    /// boundary to its end.
    torn,
    corrupt,
};

/// Reads the record at `position` of `file`. If it is whole, moves `position` to the byte after it.
record_state read_record(std::string_view file, std::size_t& position, record& out);

/// Appends a 64-bit integer, least significant byte first.
void write_integer(std::string& out, std::int64_t value);
/// Removes and returns a 64-bit integer from the front of `in`. Returns nothing if `in` is too short.
std::optional<std::int64_t> read_integer(std::string_view& in);

}  // namespace peridotcleat::pvt

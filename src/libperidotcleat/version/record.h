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

/// One record: a header of 13 bytes (kind, length, checksum of the payload, checksum of these) and the
/// payload.
struct record {
    record_kind kind = record_kind::entry;
    std::string_view payload;
};

/// Appends a record to `out`.
void write_record(std::string& out, record_kind kind, std::string_view payload);

/// What stands at one place of a file.
enum class record_state : std::uint8_t {
    whole,
    /// The file ends here.
    end,
    /// Cut short by a crash: incomplete, or zeros up to the end from a sector boundary on.
    torn,
    corrupt,
};

/// Reads the record at `position` of `file` and moves `position` behind it, if it is whole.
record_state read_record(std::string_view file, std::size_t& position, record& out);

/// Appends a 64-bit integer, least significant byte first.
void write_integer(std::string& out, std::int64_t value);
/// Takes a 64-bit integer from the front of `in`, or nothing if `in` is too short.
std::optional<std::int64_t> read_integer(std::string_view& in);

}  // namespace peridotcleat::pvt

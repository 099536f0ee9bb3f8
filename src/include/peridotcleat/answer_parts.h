#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "peridotcleat/message.h"
#include "peridotcleat/outbox.h"

namespace peridotcleat {

/// Parts that one round sends; the caller asks for the next ones. A larger burst overflows socket buffers.
inline constexpr std::int32_t parts_per_round = 64;

/// Largest answer in bytes that is sent or assembled.
inline constexpr std::int64_t max_answer_bytes = 16 << 20;

/// Largest number of parts of one answer.
inline constexpr std::int32_t max_parts = 1 << 16;

/// Checksum of the answer `body` to the request `name`.
std::int64_t answer_checksum(const request_name& name, std::string_view body) noexcept;

/// Number of parts of `part_bytes` bytes that an answer of `length` bytes takes; at least 1.
std::int32_t part_count(std::size_t length, std::uint32_t part_bytes) noexcept;

/// Returns part `index` of an answer.
wire::response_part make_part(const request_name& name, std::string_view body, std::int64_t checksum,
                              std::int32_t index, std::uint32_t part_bytes);

/// Collects the parts of one answer. Parts may arrive late, repeated and in any order.
class answer_assembly {
public:
    /// Takes a part of the answer to `name`. Returns true once the answer is whole and its checksum matches.
    /// Parts that contradict the first one are ignored; a whole answer with a wrong checksum is discarded.
    bool add(const request_name& name, const wire::response_part& part);
    /// Returns true if at least one part has arrived.
    [[nodiscard]] bool started() const noexcept { return !parts_.empty(); }
    /// Returns the indices of up to `parts_per_round` missing parts.
    [[nodiscard]] std::vector<std::int32_t> missing() const;
    /// Returns true if each part that was asked for, or sent at first, has arrived.
    [[nodiscard]] bool round_complete() const noexcept;
    /// Returns the answer and leaves the object empty.
    std::string take();

private:
    [[nodiscard]] bool acceptable(const wire::response_part& part) const noexcept;
    bool finish(const request_name& name);

    std::vector<std::string> parts_;
    std::vector<bool> present_;
    std::int32_t received_ = 0;
    std::int64_t total_length_ = 0;
    std::int64_t checksum_ = 0;
    std::string body_;
};

}  // namespace peridotcleat

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "peridotcleat/message.h"
#include "peridotcleat/outbox.h"

namespace peridotcleat {

/// Largest number of parts that are sent in one round; the caller requests the next round. A larger burst
/// overflows socket buffers.
inline constexpr std::int32_t parts_per_round = 64;

/// Largest answer in bytes that is sent or assembled.
inline constexpr std::int64_t max_answer_bytes = 16 << 20;

/// Largest number of parts of one answer.
inline constexpr std::int32_t max_parts = 1 << 16;

/// Returns the checksum of the answer `body` to the request `id`.
std::int64_t answer_checksum(const request_id& id, std::string_view body) noexcept;

/// Returns the number of parts of up to `part_bytes` bytes for an answer of `length` bytes; at least 1.
std::int32_t part_count(std::size_t length, std::uint32_t part_bytes) noexcept;

/// Returns part `index` of the answer `body` to the request `id`.
wire::response_part make_part(const request_id& id, std::string_view body, std::int64_t checksum,
                              std::int32_t index, std::uint32_t part_bytes);

/// Reassembles one answer from its parts. Parts may arrive late, repeatedly and in any order.
class answer_assembly {
public:
    /// Adds a part of the answer to `id`. Returns true once the answer is complete and its checksum
    /// matches. Parts that are inconsistent with the first one, have an invalid index, or exceed
    /// `max_parts` or `max_answer_bytes` are ignored; a complete answer with a wrong checksum is discarded.
    bool add(const request_id& id, const wire::response_part& part);
    /// Returns true if at least one part of an incomplete answer has arrived.
    [[nodiscard]] bool started() const noexcept { return !parts_.empty(); }
    /// Returns the indices of the first missing parts, at most `parts_per_round`.
    [[nodiscard]] std::vector<std::int32_t> missing() const;
    /// Returns true if the number of received parts is a multiple of `parts_per_round`. Without loss this
    /// means that all parts of the current round, which were sent at first or requested last, have arrived.
    [[nodiscard]] bool round_complete() const noexcept;
    /// Returns the complete answer and leaves the object empty.
    std::string take();

private:
    [[nodiscard]] bool is_valid_part(const wire::response_part& part) const noexcept;
    bool assemble(const request_id& id);

    std::vector<std::string> parts_;
    std::vector<bool> present_;
    std::int32_t received_ = 0;
    std::int64_t total_length_ = 0;
    std::int64_t checksum_ = 0;
    std::string body_;
};

}  // namespace peridotcleat

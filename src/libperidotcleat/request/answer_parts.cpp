#include "peridotcleat/answer_parts.h"

#include <utility>

#include "peridotcleat/hash.h"

namespace peridotcleat {

std::int64_t answer_checksum(const request_id& id, std::string_view body) noexcept
{
    // The checksum includes the id of the request, so that parts of the answer to another request are not
    // accepted.
    const std::uint64_t id_hash_value =
        combine(static_cast<std::uint64_t>(id.token.value), static_cast<std::uint64_t>(id.sequence));
    return static_cast<std::int64_t>(combine(id_hash_value, hash_bytes(body)));
}

std::int32_t part_count(std::size_t length, std::uint32_t part_bytes) noexcept
{
    return length == 0 ? 1 : static_cast<std::int32_t>((length + part_bytes - 1) / part_bytes);
}

wire::response_part make_part(const request_id& id, std::string_view body, std::int64_t checksum,
                              std::int32_t index, std::uint32_t part_bytes)
{
    wire::response_part part;
    part.token = id.token.value;
    part.sequence = id.sequence;
    part.index = index;
    part.count = part_count(body.size(), part_bytes);
    part.total_length = static_cast<std::int64_t>(body.size());
    part.checksum = checksum;
    part.bytes = body.substr(static_cast<std::size_t>(index) * part_bytes, part_bytes);
    return part;
}

bool answer_assembly::is_valid_part(const wire::response_part& part) const noexcept
{
    if (part.index < 0 || part.index >= part.count || part.count > max_parts || part.total_length < 0 ||
        part.total_length > max_answer_bytes) {
        return false;
    }
    return parts_.empty() || (static_cast<std::size_t>(part.count) == parts_.size() &&
                              part.total_length == total_length_ && part.checksum == checksum_);
}

bool answer_assembly::add(const request_id& id, const wire::response_part& part)
{
    if (!is_valid_part(part)) {
        return false;
    }
    if (parts_.empty()) {
        parts_.resize(static_cast<std::size_t>(part.count));
        present_.assign(parts_.size(), false);
        total_length_ = part.total_length;
        checksum_ = part.checksum;
    }
    const auto index = static_cast<std::size_t>(part.index);
    if (!present_[index]) {
        present_[index] = true;
        parts_[index] = part.bytes;
        ++received_;
    }
    return static_cast<std::size_t>(received_) == parts_.size() && assemble(id);
}

bool answer_assembly::assemble(const request_id& id)
{
    body_.clear();
    body_.reserve(static_cast<std::size_t>(total_length_));
    for (const std::string& part : parts_) {
        body_ += part;
    }
    parts_.clear();
    present_.clear();
    received_ = 0;
    if (static_cast<std::int64_t>(body_.size()) == total_length_ && answer_checksum(id, body_) == checksum_) {
        return true;
    }
    body_.clear();
    return false;
}

std::vector<std::int32_t> answer_assembly::missing() const
{
    std::vector<std::int32_t> indices;
    for (std::size_t i = 0; i < present_.size() && std::cmp_less(indices.size(), parts_per_round); ++i) {
        if (!present_[i]) {
            indices.push_back(static_cast<std::int32_t>(i));
        }
    }
    return indices;
}

bool answer_assembly::round_complete() const noexcept { return received_ % parts_per_round == 0; }

std::string answer_assembly::take() { return std::exchange(body_, {}); }

}  // namespace peridotcleat

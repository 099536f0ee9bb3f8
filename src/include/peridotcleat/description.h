#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotcleat/table_state.h"

namespace peridotcleat {

/// A range of permitted values, both ends included.
struct value_range {
    std::int64_t lowest = 0;
    std::int64_t highest = 0;

    [[nodiscard]] constexpr bool contains(std::int64_t v) const noexcept
    {
        return lowest <= v && v <= highest;
    }
};

/// How the owner of a bucket places new flows.
enum class placement_rule : std::uint8_t {
    /// On itself or on a second candidate, whichever has the lower load.
    two_candidates = 0,
    /// Always on itself.
    owner_only = 1
};

/// Permitted `idle_timeout_ms`: one second to one week.
inline constexpr value_range idle_timeout_range{1000, 604'800'000};
/// Permitted `queue_per_slot`: number of requests that may wait for each slot.
inline constexpr value_range queue_per_slot_range{0, 1024};
/// Permitted `ramp_ms`: 0, which means no slow start, to one hour.
inline constexpr value_range ramp_range{0, 3'600'000};
/// Permitted `retry_percent`: number of retries for each 100 new requests.
inline constexpr value_range retry_percent_range{0, 100};
/// Permitted slots of a target. `route_table` multiplies the slots by a score of at most 2^46; the product
/// stays below 2^62.
inline constexpr value_range slots_range{1, 65'535};
/// Permitted connections of a target.
inline constexpr value_range connections_range{1, 1'000'000};
/// Longest name of a service, target, node or zone, in bytes.
inline constexpr std::size_t max_name_length = 63;
/// Longest patch id, in bytes.
inline constexpr std::size_t max_patch_id_length = 64;
/// Highest number of addresses of one service; the lowest is 1. 64 addresses fit one control message of
/// 1,200 bytes.
inline constexpr std::size_t max_addresses = 64;
/// Largest description or patch file, in bytes.
inline constexpr std::size_t max_description_size = 1U << 20U;

/// Settings of a service in force: the values of its entry, or the defaults for those that the entry omits.
struct service_options {
    std::chrono::milliseconds idle_timeout{3'600'000};
    std::uint32_t queue_per_slot = 4;
    std::chrono::milliseconds ramp{10'000};
    std::uint32_t retry_percent = 10;
    placement_rule placement = placement_rule::two_candidates;

    bool operator==(const service_options&) const = default;
};

/// Returns the settings of `entry` with the defaults filled in.
[[nodiscard]] service_options options_of(const wire::service_entry& entry) noexcept;

/// Checks the name, addresses and options of one service, without regard to other services. Returns the first
/// error, whose message starts with `path` and the field, for example `services[2].addresses[0]`.
[[nodiscard]] std::optional<error> check_service(const wire::service_entry& entry, std::string_view path);

/// Returns true if `name` is 1 to `max_name_length` letters, digits, dots, dashes and underscores.
[[nodiscard]] bool is_service_name(std::string_view name) noexcept;

/// Returns true if `id` is 1 to `max_patch_id_length` printable ASCII characters without spaces.
[[nodiscard]] bool is_patch_id(std::string_view id) noexcept;

/// Parses a description file: `{"services":[{"name":...,"addresses":["a.b.c.d:port"],...}]}`.
///
/// The ids and revisions of the returned entries are 0. Fails with `description_malformed` (not JSON, nested
/// too deeply, wrong type, repeated field), `description_unknown_field`, `description_invalid_value`,
/// `service_exists` (a name appears twice), `address_overlap`, `patch_too_large` (more than
/// `max_description_size` bytes) or `table_full` (too many services). The message of an error in a field
/// starts with the path of the field.
result<std::vector<wire::service_entry>> parse_description(std::string_view json);

/// Parses a patch file: `{"patch_id":...,"base":n,"operations":[{"add":{...}},{"change":{...}},
/// {"remove":"name"}]}`. Fails like `parse_description` apart from `service_exists` and `table_full`, but
/// with `address_overlap` only for an address that appears twice in one service. Also fails with
/// `patch_empty` if there are no operations and with `patch_too_large` above `table_state::max_operations`
/// operations.
result<wire::patch> parse_patch(std::string_view json);

/// Computes the patch that changes the table in force into `desired`. Services that are missing from
/// `desired` are removed. Fails with `patch_empty` if there is no difference and with `patch_too_large` above
/// `table_state::max_operations` operations.
result<wire::patch> plan_patch(const table_state& table, const std::vector<wire::service_entry>& desired,
                               std::string_view patch_id);

/// Prints the services of `table` as a description file that `parse_description` accepts.
std::string print_description(const table_state& table);

/// Prints a patch as a patch file that `parse_patch` accepts.
std::string print_patch(const wire::patch& patch);

/// Prints the whole table as one JSON object: `version`, `revision`, `digest`, `services`, `targets` and
/// `nodes`.
std::string print_table(const table_state& table);

}  // namespace peridotcleat

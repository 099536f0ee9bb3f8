#include <algorithm>
#include <set>

#include "peridotcleat/description.h"

namespace peridotcleat {

namespace {

constexpr std::uint32_t first_multicast = 0xe0000000U;

std::string field_path(std::string_view path, std::string_view field)
{
    return path.empty() ? std::string(field) : std::string(path) + '.' + std::string(field);
}

error invalid(const std::string& field, const std::string& message)
{
    return {error_code::description_invalid_value, field + ": " + message};
}

std::optional<error> check_addresses(const wire::service_entry& entry, const std::string& field)
{
    if (entry.addresses.empty() || entry.addresses.size() > max_addresses) {
        return invalid(field, "must have 1 to " + std::to_string(max_addresses) + " addresses");
    }
    std::set<endpoint> seen;
    for (std::size_t i = 0; i < entry.addresses.size(); ++i) {
        const endpoint address = from_wire(entry.addresses[i]);
        const std::string address_path = field + '[' + std::to_string(i) + ']';
        if (!address.valid() || (address.address >> 24U) == 0 || address.address >= first_multicast) {
            return invalid(address_path, to_string(address) + " is not a unicast address with a port");
        }
        if (!seen.insert(address).second) {
            return error{error_code::address_overlap,
                         address_path + ": " + to_string(address) + " appears twice"};
        }
    }
    return std::nullopt;
}

std::optional<error> check_range(bool is_set, std::int64_t v, value_range range, const std::string& field)
{
    if (!is_set || range.contains(v)) {
        return std::nullopt;
    }
    return invalid(field,
                   "must be from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest));
}

}  // namespace

bool is_service_name(std::string_view name) noexcept
{
    return !name.empty() && name.size() <= max_name_length && std::ranges::all_of(name, [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '_' || c == '.';
    });
}

bool is_patch_id(std::string_view id) noexcept
{
    return !id.empty() && id.size() <= max_patch_id_length &&
           std::ranges::all_of(id, [](char c) { return c > 0x20 && c < 0x7f; });
}

std::optional<error> check_service(const wire::service_entry& entry, std::string_view path)
{
    if (!is_service_name(entry.name)) {
        return invalid(field_path(path, "name"),
                       "must be 1 to 63 letters, digits, dots, dashes and underscores");
    }
    if (auto e = check_addresses(entry, field_path(path, "addresses"))) {
        return e;
    }
    const auto& s = entry.__isset;
    auto e = check_range(s.idle_timeout_ms, entry.idle_timeout_ms, idle_timeout_range,
                         field_path(path, "idle_timeout_ms"));
    if (!e) {
        e = check_range(s.queue_per_slot, entry.queue_per_slot, queue_per_slot_range,
                        field_path(path, "queue_per_slot"));
    }
    if (!e) {
        e = check_range(s.ramp_ms, entry.ramp_ms, ramp_range, field_path(path, "ramp_ms"));
    }
    if (!e) {
        e = check_range(s.retry_percent, entry.retry_percent, retry_percent_range,
                        field_path(path, "retry_percent"));
    }
    if (!e) {
        e = check_range(s.placement, entry.placement, {0, 1}, field_path(path, "placement"));
    }
    return e;
}

service_options options_of(const wire::service_entry& entry) noexcept
{
    service_options options;
    const auto& s = entry.__isset;
    if (s.idle_timeout_ms) {
        options.idle_timeout = std::chrono::milliseconds(entry.idle_timeout_ms);
    }
    if (s.queue_per_slot) {
        options.queue_per_slot = static_cast<std::uint32_t>(entry.queue_per_slot);
    }
    if (s.ramp_ms) {
        options.ramp = std::chrono::milliseconds(entry.ramp_ms);
    }
    if (s.retry_percent) {
        options.retry_percent = static_cast<std::uint32_t>(entry.retry_percent);
    }
    if (s.placement && entry.placement == 1) {
        options.placement = placement_rule::owner_only;
    }
    return options;
}

}  // namespace peridotcleat

#include "peridotcleat/table_state.h"

#include <algorithm>
#include <utility>

#include "peridotcleat/description.h"
#include "peridotcleat/hash.h"

namespace peridotcleat {

namespace {

using pvt::object_key;
using pvt::object_kind;

// Combines the fields of one object into a digest. Each `digest_of` adds the fields in a fixed order, so that
// all nodes compute the same digest.
class field_digest {
public:
    explicit field_digest(object_kind kind) : value_(static_cast<std::uint64_t>(kind)) {}

    field_digest& add(std::int64_t v) noexcept
    {
        value_ = combine(value_, static_cast<std::uint64_t>(v));
        return *this;
    }
    field_digest& add(std::string_view v) noexcept
    {
        value_ = combine(value_, hash_bytes(v));
        return *this;
    }
    field_digest& add(const wire::endpoint& v) noexcept
    {
        return add((std::int64_t{v.address} << 16U) ^ std::int64_t{v.port});
    }
    field_digest& add_optional(bool is_set, std::int64_t v) noexcept
    {
        return add(is_set ? 1 : 0).add(is_set ? v : 0);
    }
    [[nodiscard]] std::uint64_t value() const noexcept { return value_; }

private:
    std::uint64_t value_;
};

constexpr object_key key_of(const wire::service_entry& v) noexcept
{
    return {v.revision, object_kind::service, v.id};
}
constexpr object_key key_of(const wire::target& v) noexcept
{
    return {v.revision, object_kind::target, v.incarnation};
}
constexpr object_key key_of(const wire::node& v) noexcept
{
    return {v.revision, object_kind::node, v.incarnation};
}

constexpr object_key key_of(const wire::route_entry& v) noexcept
{
    return {v.revision, object_kind::route, v.id};
}

// Erases `key` only if it still maps to `id`: in the copy of a node, another object may take over a name or
// address before the object that had it is updated.
template <class Map, class Key, class Id>
void erase_if_maps_to(Map& map, const Key& key, Id id)
{
    if (const auto it = map.find(key); it != map.end() && it->second == id) {
        map.erase(it);
    }
}

template <class Map, class Key>
auto lookup(const Map& map, const Key& key) -> std::optional<typename Map::mapped_type>
{
    const auto it = map.find(key);
    return it == map.end() ? std::nullopt : std::optional(it->second);
}

bool is_printable_name(std::string_view text, bool may_be_empty) noexcept
{
    return (may_be_empty || !text.empty()) && text.size() <= max_name_length &&
           std::ranges::all_of(text, [](char c) { return c >= 0x20 && c < 0x7f; });
}

error invalid_join(std::string_view field, std::string_view permitted)
{
    return {error_code::description_invalid_value,
            std::string(field) + ": must be " + std::string(permitted)};
}

std::optional<error> check_target(const wire::target& t)
{
    if (!from_wire(t.agent).valid()) {
        return invalid_join("agent", "an address and port");
    }
    if (!is_printable_name(t.name, false)) {
        return invalid_join("name", "1 to 63 printable ASCII characters");
    }
    if (!is_printable_name(t.zone, true)) {
        return invalid_join("zone", "up to 63 printable ASCII characters");
    }
    if (!slots_range.contains(t.slots)) {
        return invalid_join("slots", "from 1 to 65535");
    }
    if (!connections_range.contains(t.connections)) {
        return invalid_join("connections", "from 1 to 1000000");
    }
    return std::nullopt;
}

std::optional<error> check_node(const wire::node& n)
{
    if (!from_wire(n.control).valid()) {
        return invalid_join("control", "an address and port");
    }
    if (!is_printable_name(n.name, false)) {
        return invalid_join("name", "1 to 63 printable ASCII characters");
    }
    if (!is_printable_name(n.zone, true)) {
        return invalid_join("zone", "up to 63 printable ASCII characters");
    }
    return std::nullopt;
}

int fields_set(const wire::change& c) noexcept
{
    const auto& s = c.__isset;
    return int{s.new_patch} + int{s.join_target} + int{s.drain_target} + int{s.leave_target} +
           int{s.join_node} + int{s.leave_node} + int{s.replace} + int{s.lose_target};
}

error unknown_id(const char* kind, incarnation id)
{
    return {error_code::target_unknown,
            std::string(kind) + " " + std::to_string(id.value) + " is not in the table"};
}

}  // namespace

std::uint64_t pvt::digest_of(const wire::service_entry& v) noexcept
{
    field_digest d(object_kind::service);
    d.add(v.id).add(v.name).add(v.revision).add(std::int64_t(v.addresses.size()));
    for (const wire::endpoint& a : v.addresses) {
        d.add(a);
    }
    return d.add_optional(v.__isset.idle_timeout_ms, v.idle_timeout_ms)
        .add_optional(v.__isset.queue_per_slot, v.queue_per_slot)
        .add_optional(v.__isset.ramp_ms, v.ramp_ms)
        .add_optional(v.__isset.retry_percent, v.retry_percent)
        .add_optional(v.__isset.placement, v.placement)
        .value();
}

std::uint64_t pvt::digest_of(const wire::target& v) noexcept
{
    return field_digest(object_kind::target)
        .add(v.incarnation)
        .add(v.service_id)
        .add(v.agent)
        .add(v.zone)
        .add(v.slots)
        .add(v.connections)
        .add(v.draining ? 1 : 0)
        .add(v.nonce)
        .add(v.name)
        .add(v.revision)
        .value();
}

std::uint64_t pvt::digest_of(const wire::node& v) noexcept
{
    return field_digest(object_kind::node)
        .add(v.incarnation)
        .add(v.name)
        .add(v.zone)
        .add(v.control)
        .add(v.nonce)
        .add(v.revision)
        .value();
}

std::uint64_t pvt::digest_of(const wire::route_entry& v) noexcept
{
    field_digest d(object_kind::route);
    d.add(v.id).add(v.revision);
    for (const wire::route_backend& b : v.backends) {
        d.add(b.service_id).add(b.weight);
    }
    for (const wire::route_former& former : v.formers) {
        d.add(former.service_id).add(former.until_ms);
    }
    return d.value();
}

const char* to_string(patch_status s) noexcept
{
    switch (s) {
    case patch_status::accepted: return "accepted";
    case patch_status::already_accepted: return "already_accepted";
    case patch_status::conflict: return "conflict";
    case patch_status::invalid: return "invalid";
    case patch_status::not_accepted: return "not_accepted";
    case patch_status::outcome_unknown: return "outcome_unknown";
    }
    return "unknown";
}

apply_outcome table_state::apply(revision entry_revision, const wire::change& change)
{
    apply_outcome out;
    if (entry_revision <= revision_) {
        out.refused = error{error_code::message_malformed, "entry " + std::to_string(entry_revision.value) +
                                                               " is not above revision " +
                                                               std::to_string(revision_.value)};
        return out;
    }
    revision_ = entry_revision;
    const wall_time now{std::chrono::milliseconds(change.time_ms)};
    if (fields_set(change) != 1) {
        out.refused = error{error_code::message_malformed, "a change must have exactly one field"};
    } else if (change.__isset.new_patch) {
        out.patch = apply_patch(entry_revision, change.new_patch, now, out.changed_services);
        if (out.patch->status != patch_status::accepted &&
            out.patch->status != patch_status::already_accepted) {
            out.refused = out.patch->reason;
        }
    } else if (change.__isset.join_target) {
        join_target(entry_revision, change.join_target, out);
    } else if (change.__isset.drain_target) {
        drain_target(entry_revision, incarnation{change.drain_target}, out);
    } else if (change.__isset.leave_target) {
        leave_target(entry_revision, incarnation{change.leave_target}, out);
    } else if (change.__isset.lose_target) {
        lose_target(entry_revision, incarnation{change.lose_target}, out);
    } else if (change.__isset.join_node) {
        join_node(entry_revision, change.join_node, out);
    } else if (change.__isset.replace) {
        replace(entry_revision, change.replace, now, out);
    } else {
        leave_node(entry_revision, incarnation{change.leave_node}, out);
    }
    drop_old_tombstones();
    return out;
}

void table_state::skip_to(revision entry_revision) { revision_ = std::max(revision_, entry_revision); }

void table_state::join_target(revision entry_revision, const wire::target_join& join, apply_outcome& out)
{
    const wire::target& requested = join.value;
    const endpoint agent = from_wire(requested.agent);
    const auto present = find_target(agent);
    if (present) {
        const wire::target& t = targets_.at(*present);
        if (t.nonce == requested.nonce && t.service_id == requested.service_id) {
            out.joined = present;
            return;
        }
    }
    out.refused = check_target(requested);
    if (!out.refused && !services_.contains(service_id{requested.service_id})) {
        out.refused = error{error_code::service_unknown,
                            "service " + std::to_string(requested.service_id) + " is not in the table"};
    }
    const bool replaces = join.__isset.replaces && targets_.contains(incarnation{join.replaces});
    if (!out.refused && targets_.size() >= max_targets && !present && !replaces) {
        out.refused =
            error{error_code::table_full, "the table holds " + std::to_string(max_targets) + " targets"};
    }
    if (out.refused) {
        return;
    }
    if (replaces) {
        leave_target(entry_revision, incarnation{join.replaces}, out);
    }
    if (const auto former = find_target(agent)) {
        leave_target(entry_revision, *former, out);
    }
    wire::target t = requested;
    t.incarnation = entry_revision.value;
    t.revision = entry_revision.value;
    put(t);
    out.joined = incarnation{entry_revision.value};
    if (std::ranges::find(out.changed_services, service_id{t.service_id}) == out.changed_services.end()) {
        out.changed_services.push_back(service_id{t.service_id});
    }
}

void table_state::drain_target(revision entry_revision, incarnation id, apply_outcome& out)
{
    const auto it = targets_.find(id);
    if (it == targets_.end()) {
        out.refused = unknown_id("target", id);
        return;
    }
    if (it->second.draining) {
        return;
    }
    wire::target t = it->second;
    t.draining = true;
    t.revision = entry_revision.value;
    put(t);
    out.changed_services.push_back(service_id{t.service_id});
}

void table_state::lose_target(revision entry_revision, incarnation id, apply_outcome& out)
{
    const auto it = targets_.find(id);
    if (it == targets_.end()) {
        out.refused = unknown_id("target", id);
        return;
    }
    if (it->second.lost) {
        return;
    }
    wire::target t = it->second;
    t.draining = true;
    t.__set_lost(true);
    t.revision = entry_revision.value;
    put(t);
    out.changed_services.push_back(service_id{t.service_id});
}

void table_state::leave_target(revision entry_revision, incarnation id, apply_outcome& out)
{
    const auto it = targets_.find(id);
    if (it == targets_.end()) {
        out.refused = unknown_id("target", id);
        return;
    }
    const service_id service{it->second.service_id};
    remove_object(entry_revision, object_kind::target, id.value);
    if (std::ranges::find(out.changed_services, service) == out.changed_services.end()) {
        out.changed_services.push_back(service);
    }
}

void table_state::join_node(revision entry_revision, const wire::node_join& join, apply_outcome& out)
{
    const endpoint control = from_wire(join.value.control);
    const auto present = find_node(control);
    if (present && nodes_.at(*present).nonce == join.value.nonce) {
        out.joined = present;
        return;
    }
    out.refused = check_node(join.value);
    const bool replaces = join.__isset.replaces && nodes_.contains(incarnation{join.replaces});
    if (!out.refused && nodes_.size() >= max_nodes && !present && !replaces) {
        out.refused =
            error{error_code::table_full, "the table holds " + std::to_string(max_nodes) + " nodes"};
    }
    if (out.refused) {
        return;
    }
    if (replaces) {
        remove_object(entry_revision, object_kind::node, join.replaces);
    }
    if (const auto former = find_node(control)) {
        remove_object(entry_revision, object_kind::node, former->value);
    }
    wire::node n = join.value;
    n.incarnation = entry_revision.value;
    n.revision = entry_revision.value;
    put(n);
    out.joined = incarnation{entry_revision.value};
}

void table_state::leave_node(revision entry_revision, incarnation id, apply_outcome& out)
{
    if (nodes_.contains(id)) {
        remove_object(entry_revision, object_kind::node, id.value);
    } else {
        out.refused = unknown_id("node", id);
    }
}

void table_state::remove_object(revision entry_revision, object_kind kind, std::int64_t id)
{
    wire::tombstone t;
    t.kind = static_cast<std::int8_t>(kind);
    t.id = id;
    t.revision = entry_revision.value;
    remove(t);
}

void table_state::erase_from_indexes(const wire::service_entry& value)
{
    digest_ -= pvt::digest_of(value);
    modification_order_.erase(key_of(value));
    const service_id id{value.id};
    erase_if_maps_to(service_by_name_, value.name, id);
    for (const wire::endpoint& a : value.addresses) {
        erase_if_maps_to(service_by_address_, from_wire(a), id);
    }
}

void table_state::erase_from_indexes(const wire::target& value)
{
    digest_ -= pvt::digest_of(value);
    modification_order_.erase(key_of(value));
    const incarnation id{value.incarnation};
    erase_if_maps_to(target_by_agent_, from_wire(value.agent), id);
    if (const auto it = targets_by_service_.find(service_id{value.service_id});
        it != targets_by_service_.end()) {
        it->second.erase(id);
        if (it->second.empty()) {
            targets_by_service_.erase(it);
        }
    }
}

void table_state::erase_from_indexes(const wire::node& value)
{
    digest_ -= pvt::digest_of(value);
    modification_order_.erase(key_of(value));
    erase_if_maps_to(node_by_control_, from_wire(value.control), incarnation{value.incarnation});
}

void table_state::erase_from_indexes(const wire::route_entry& value)
{
    digest_ -= pvt::digest_of(value);
    modification_order_.erase(key_of(value));
}

void table_state::put(const wire::service_entry& value)
{
    const service_id id{value.id};
    if (const auto it = services_.find(id); it != services_.end()) {
        erase_from_indexes(it->second);
    }
    services_.insert_or_assign(id, value);
    digest_ += pvt::digest_of(value);
    modification_order_[key_of(value)] = false;
    service_by_name_[value.name] = id;
    for (const wire::endpoint& a : value.addresses) {
        service_by_address_[from_wire(a)] = id;
    }
}

void table_state::put(const wire::target& value)
{
    const incarnation id{value.incarnation};
    if (const auto it = targets_.find(id); it != targets_.end()) {
        erase_from_indexes(it->second);
    }
    targets_.insert_or_assign(id, value);
    digest_ += pvt::digest_of(value);
    modification_order_[key_of(value)] = false;
    target_by_agent_[from_wire(value.agent)] = id;
    targets_by_service_[service_id{value.service_id}].insert(id);
}

void table_state::put(const wire::node& value)
{
    const incarnation id{value.incarnation};
    if (const auto it = nodes_.find(id); it != nodes_.end()) {
        erase_from_indexes(it->second);
    }
    nodes_.insert_or_assign(id, value);
    digest_ += pvt::digest_of(value);
    modification_order_[key_of(value)] = false;
    node_by_control_[from_wire(value.control)] = id;
}

void table_state::put(const wire::route_entry& value)
{
    if (const auto it = routes_.find(value.id); it != routes_.end()) {
        erase_from_indexes(it->second);
    }
    routes_.insert_or_assign(value.id, value);
    digest_ += pvt::digest_of(value);
    modification_order_[key_of(value)] = false;
}

void table_state::remove(const wire::tombstone& value)
{
    const auto erase_from = [this](auto& map, auto id) {
        if (const auto it = map.find(id); it != map.end()) {
            erase_from_indexes(it->second);
            map.erase(it);
        }
    };
    const auto kind = static_cast<object_kind>(value.kind);
    switch (kind) {
    case object_kind::service: erase_from(services_, service_id{value.id}); break;
    case object_kind::target: erase_from(targets_, incarnation{value.id}); break;
    case object_kind::node: erase_from(nodes_, incarnation{value.id}); break;
    case object_kind::route:
        // The id of a route is the number of its address and is used again when a route for the address is
        // added after a removal. A route that was added after the removal takes precedence over the tombstone
        // and stays.
        if (const auto it = routes_.find(value.id);
            it != routes_.end() && it->second.revision < value.revision) {
            erase_from_indexes(it->second);
            routes_.erase(it);
        }
        break;
    default: return;
    }
    const object_key key{value.revision, kind, value.id};
    modification_order_[key] = true;
    tombstones_.insert(key);
}

void table_state::finish_pages(revision page_revision, config_version version, std::int64_t document_version)
{
    revision_ = std::max(revision_, page_revision);
    document_.version = std::max(document_.version, document_version);
    version_ = std::max(version_, version);
    drop_old_tombstones();
    if (tombstones_.size() == max_tombstones) {
        // With the maximum number of tombstones, the sender may have dropped older ones. Pages do not carry
        // the horizon of the sender, but it is at most the revision of its oldest tombstone, so the
        // revision of the oldest tombstone in this table is used.
        horizon_ = std::max(horizon_, revision{tombstones_.begin()->revision});
    }
}

void table_state::drop_old_tombstones()
{
    while (tombstones_.size() > max_tombstones) {
        const object_key oldest = *tombstones_.begin();
        horizon_ = std::max(horizon_, revision{oldest.revision});
        modification_order_.erase(oldest);
        tombstones_.erase(tombstones_.begin());
    }
}

std::optional<service_id> table_state::find_service(std::string_view name) const
{
    return lookup(service_by_name_, name);
}

std::optional<incarnation> table_state::find_target(const endpoint& agent) const
{
    return lookup(target_by_agent_, agent);
}

std::optional<incarnation> table_state::find_node(const endpoint& control) const
{
    return lookup(node_by_control_, control);
}

std::optional<service_id> table_state::find_address(const endpoint& address) const
{
    return lookup(service_by_address_, address);
}

std::vector<incarnation> table_state::targets_of(service_id service) const
{
    const auto it = targets_by_service_.find(service);
    return it == targets_by_service_.end() ? std::vector<incarnation>{}
                                           : std::vector<incarnation>(it->second.begin(), it->second.end());
}

}  // namespace peridotcleat

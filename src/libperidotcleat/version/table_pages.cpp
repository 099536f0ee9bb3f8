#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "peridotcleat/table_state.h"

namespace peridotcleat {

namespace {

using pvt::object_key;
using pvt::object_kind;

// Bytes of an encoded page without objects, `routes` and `document_version`, at most: nine fields, two
// cursors and four list headers.
constexpr std::size_t empty_page_size = 104;

// A cursor of kind 0 covers all objects of its revision. Therefore it sorts after all kinds.
object_key key_of(const wire::cursor& c) noexcept
{
    const auto kind = c.kind == 0 ? std::numeric_limits<std::int8_t>::max() : c.kind;
    return {c.revision, static_cast<object_kind>(kind), c.id};
}

wire::cursor cursor_of(const object_key& k)
{
    wire::cursor c;
    c.revision = k.revision;
    c.kind = static_cast<std::int8_t>(k.kind);
    c.id = k.id;
    return c;
}

wire::cursor cursor_after(revision r)
{
    wire::cursor c;
    c.revision = r.value;
    c.kind = 0;
    c.id = 0;
    return c;
}

wire::tombstone tombstone_of(const object_key& k)
{
    wire::tombstone t;
    t.kind = static_cast<std::int8_t>(k.kind);
    t.id = k.id;
    t.revision = k.revision;
    return t;
}

// Appends `object` to `list` if it fits the remaining bytes, or if the page is empty. Returns false if it
// was not appended.
template <class T>
bool append(std::vector<T>& list, const T& object, std::size_t& remaining_bytes, bool page_is_empty)
{
    const std::size_t size = encode_struct(object).size();
    if (size > remaining_bytes && !page_is_empty) {
        return false;
    }
    remaining_bytes -= std::min(remaining_bytes, size);
    list.push_back(object);
    return true;
}

error corrupt_snapshot(const std::string& message) { return {error_code::snapshot_corrupt, message}; }

template <class Map>
auto values_of(const Map& map)
{
    std::vector<typename Map::mapped_type> list;
    list.reserve(map.size());
    for (const auto& item : map) {
        list.push_back(item.second);
    }
    return list;
}

}  // namespace

bool table_state::needs_full_table(const wire::cursor& position) const noexcept
{
    return position.revision < horizon_.value || (position.revision == horizon_.value && position.kind != 0);
}

wire::table_page table_state::delta(const wire::cursor& position, bool full, std::size_t max_bytes) const
{
    wire::table_page page;
    page.revision = revision_.value;
    page.config_version = version_.value;
    page.full = full;
    page.start = position;
    page.digest = static_cast<std::int64_t>(digest_);
    if (document_.version != 0) {
        page.__set_document_version(document_.version);
    }
    if (!full && needs_full_table(position)) {
        page.full = true;
        page.start = cursor_after(revision{0});
    }
    std::size_t remaining_bytes = max_bytes - std::min(max_bytes, empty_page_size);
    bool page_is_empty = true;
    page.position = page.start;
    for (auto it = modification_order_.upper_bound(key_of(page.start)); it != modification_order_.end();
         ++it, page_is_empty = false) {
        const object_key& k = it->first;
        bool fits = false;
        if (it->second) {
            fits = append(page.tombstones, tombstone_of(k), remaining_bytes, page_is_empty);
        } else if (k.kind == object_kind::service) {
            fits = append(page.services, services_.at(service_id{k.id}), remaining_bytes, page_is_empty);
        } else if (k.kind == object_kind::target) {
            fits = append(page.targets, targets_.at(incarnation{k.id}), remaining_bytes, page_is_empty);
        } else if (k.kind == object_kind::route) {
            fits = append(page.routes, routes_.at(k.id), remaining_bytes, page_is_empty);
            page.__isset.routes = true;
        } else {
            fits = append(page.nodes, nodes_.at(incarnation{k.id}), remaining_bytes, page_is_empty);
        }
        if (!fits) {
            page.complete = false;
            return page;
        }
        page.position = cursor_of(k);
    }
    page.complete = true;
    page.position = cursor_after(revision_);
    return page;
}

std::uint64_t table_state::digest_with(const object_changes& changes) const
{
    std::uint64_t digest = digest_;
    const auto replace = [&digest](const auto& present, const auto& changed) {
        for (const auto& [id, value] : changed) {
            if (const auto it = present.find(id); it != present.end()) {
                digest -= pvt::digest_of(it->second);
            }
            digest += pvt::digest_of(value);
        }
    };
    const auto subtract = [&digest](const auto& present, auto id) {
        if (const auto it = present.find(id); it != present.end()) {
            digest -= pvt::digest_of(it->second);
        }
    };
    replace(services_, changes.services);
    replace(targets_, changes.targets);
    replace(nodes_, changes.nodes);
    replace(routes_, changes.routes);
    for (const auto& [key, tombstone] : changes.removed) {
        switch (key.first) {
        case object_kind::service: subtract(services_, service_id{tombstone.id}); break;
        case object_kind::target: subtract(targets_, incarnation{tombstone.id}); break;
        case object_kind::node: subtract(nodes_, incarnation{tombstone.id}); break;
        case object_kind::route: subtract(routes_, tombstone.id); break;
        }
    }
    return digest;
}

wire::table_snapshot table_state::snapshot() const
{
    wire::table_snapshot s;
    s.revision = revision_.value;
    s.config_version = version_.value;
    s.horizon = horizon_.value;
    s.next_service = next_service_;
    s.services = values_of(services_);
    s.targets = values_of(targets_);
    s.nodes = values_of(nodes_);
    s.patches = values_of(patches_);
    s.quarantined = values_of(quarantined_);
    if (document_.version != 0) {
        s.__set_routes(values_of(routes_));
        s.__set_document_version(document_.version);
        s.__set_document(document_.bytes);
    }
    s.tombstones.reserve(tombstones_.size());
    for (const object_key& k : tombstones_) {
        s.tombstones.push_back(tombstone_of(k));
    }
    return s;
}

result<table_state> table_state::from_snapshot(const wire::table_snapshot& snapshot)
{
    table_state table;
    if (auto e = table.load(snapshot)) {
        return *e;
    }
    return table;
}

std::optional<error> table_state::load(const wire::table_snapshot& snapshot)
{
    if (snapshot.revision < 0 || snapshot.config_version < 0 || snapshot.next_service < 1 ||
        snapshot.horizon < 0 || snapshot.horizon > snapshot.revision) {
        return corrupt_snapshot("revision, version, horizon or next service out of range");
    }
    if (snapshot.services.size() > max_services || snapshot.targets.size() > max_targets ||
        snapshot.nodes.size() > max_nodes || snapshot.tombstones.size() > max_tombstones ||
        snapshot.patches.size() > max_patch_records ||
        static_cast<std::int64_t>(snapshot.patches.size()) > snapshot.config_version) {
        return corrupt_snapshot("more objects than a table may hold, or more patch records than versions");
    }
    revision_ = revision{snapshot.revision};
    version_ = config_version{snapshot.config_version};
    horizon_ = revision{snapshot.horizon};
    next_service_ = snapshot.next_service;
    document_ = {snapshot.document_version, snapshot.document};
    if (auto e = load_objects(snapshot)) {
        return e;
    }
    return load_records(snapshot);
}

std::optional<error> table_state::load_objects(const wire::table_snapshot& snapshot)
{
    const auto in_range = [&snapshot](std::int64_t id, std::int64_t changed, std::int64_t limit) {
        return id > 0 && id <= limit && changed > 0 && changed <= snapshot.revision;
    };
    for (const wire::service_entry& v : snapshot.services) {
        const std::string object_label = "service " + std::to_string(v.id);
        const bool taken = services_.contains(service_id{v.id}) || service_by_name_.contains(v.name) ||
                           std::ranges::any_of(v.addresses, [this](const wire::endpoint& a) {
                               return service_by_address_.contains(from_wire(a));
                           });
        if (taken || !in_range(v.id, v.revision, snapshot.next_service - 1)) {
            return corrupt_snapshot(object_label +
                                    ": id, name or address is repeated or a number is out of range");
        }
        put(v);
    }
    for (const wire::target& v : snapshot.targets) {
        if (targets_.contains(incarnation{v.incarnation}) || target_by_agent_.contains(from_wire(v.agent)) ||
            !services_.contains(service_id{v.service_id}) ||
            !in_range(v.incarnation, v.revision, snapshot.revision)) {
            return corrupt_snapshot(
                "target " + std::to_string(v.incarnation) +
                ": incarnation or agent is repeated, service is unknown or a number is out of range");
        }
        put(v);
    }
    for (const wire::node& v : snapshot.nodes) {
        if (nodes_.contains(incarnation{v.incarnation}) || node_by_control_.contains(from_wire(v.control)) ||
            !in_range(v.incarnation, v.revision, snapshot.revision)) {
            return corrupt_snapshot(
                "node " + std::to_string(v.incarnation) +
                ": incarnation or control endpoint is repeated or a number is out of range");
        }
        put(v);
    }
    for (const wire::route_entry& v : snapshot.routes) {
        const bool unknown = std::ranges::any_of(v.backends, [this](const wire::route_backend& b) {
            return !services_.contains(service_id{b.service_id});
        });
        if (unknown || routes_.contains(v.id) || v.revision <= 0 || v.revision > snapshot.revision) {
            return corrupt_snapshot("route " + to_string(route_address(v.id)) +
                                    ": address is repeated, service is unknown or revision is out of range");
        }
        put(v);
    }
    return std::nullopt;
}

std::optional<error> table_state::load_records(const wire::table_snapshot& snapshot)
{
    const std::size_t object_count = services_.size() + targets_.size() + nodes_.size() + routes_.size();
    for (const wire::tombstone& v : snapshot.tombstones) {
        if (v.kind < 1 || v.kind > 4 || v.revision <= 0 || v.revision > snapshot.revision) {
            return corrupt_snapshot("tombstone of object " + std::to_string(v.id) +
                                    ": kind or revision is out of range");
        }
        remove(v);
    }
    if (services_.size() + targets_.size() + nodes_.size() + routes_.size() != object_count ||
        tombstones_.size() != snapshot.tombstones.size()) {
        return corrupt_snapshot("a tombstone is repeated or its object is in the table");
    }
    std::int64_t version = snapshot.config_version - static_cast<std::int64_t>(snapshot.patches.size());
    for (const wire::patch_record& v : snapshot.patches) {
        if (v.config_version != ++version || v.revision <= 0 || v.revision > snapshot.revision ||
            !version_by_patch_id_.emplace(v.patch_id, config_version{version}).second) {
            return corrupt_snapshot(
                "record of patch version " + std::to_string(v.config_version) +
                ": version is not consecutive, patch id is repeated or revision is out of range");
        }
        patches_.emplace(config_version{version}, v);
    }
    for (const wire::quarantine& v : snapshot.quarantined) {
        if (service_by_address_.contains(from_wire(v.address)) ||
            !quarantined_.emplace(from_wire(v.address), v).second) {
            return corrupt_snapshot("quarantined address " + to_string(from_wire(v.address)) +
                                    " is repeated or belongs to a service");
        }
    }
    return std::nullopt;
}

}  // namespace peridotcleat

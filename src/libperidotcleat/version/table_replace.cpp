#include <algorithm>
#include <set>

#include "peridotcleat/description.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat {

namespace {

error invalid(std::string message) { return {error_code::description_invalid_value, std::move(message)}; }

std::optional<error> check_route(const wire::replacement_route& route, std::size_t service_count)
{
    const std::string name = "route " + to_string(from_wire(route.address));
    if (!from_wire(route.address).valid()) {
        return invalid(name + ": must be an address and port");
    }
    std::int64_t sum = 0;
    for (const wire::route_backend& b : route.backends) {
        if (b.service_id < 0 || b.service_id >= static_cast<std::int64_t>(service_count)) {
            return error{error_code::service_unknown,
                         name + ": refers to a service that the description does not list"};
        }
        if (b.weight < 0 || b.weight > max_route_weight) {
            return invalid(name + ": weight " + std::to_string(b.weight) + " is out of range");
        }
        sum += b.weight;
    }
    return sum > 0 ? std::nullopt
                   : std::optional(invalid(name + ": at least one service must have a weight above 0"));
}

// Records in `next` the services that the route `present` sent flows to and `next` does not, and carries over
// the former services of `present` whose time has not expired.
void keep_former_services(const wire::route_entry& present, wire::route_entry& next, wall_time now)
{
    const auto contains_service = [](const auto& list, std::int64_t id) {
        return std::ranges::any_of(list, [id](const auto& b) { return b.service_id == id; });
    };
    std::vector<wire::route_former> formers;
    for (const wire::route_backend& b : present.backends) {
        if (!contains_service(next.backends, b.service_id)) {
            wire::route_former former;
            former.service_id = b.service_id;
            former.until_ms = (now + table_state::former_service_timeout).time_since_epoch().count();
            formers.push_back(former);
        }
    }
    for (const wire::route_former& former : present.formers) {
        if (former.until_ms > now.time_since_epoch().count() &&
            !contains_service(next.backends, former.service_id) &&
            !contains_service(formers, former.service_id)) {
            formers.push_back(former);
        }
    }
    if (!formers.empty()) {
        next.__set_formers(formers);
    }
}

}  // namespace

std::optional<error> check_replacement(const wire::replacement& replacement)
{
    if (replacement.version < 1) {
        return invalid("version: must be 1 or more");
    }
    if (replacement.services.size() > table_state::max_services ||
        replacement.routes.size() > table_state::max_routes) {
        return error{error_code::table_full, "more services or routes than a table may hold"};
    }
    std::set<std::string> names;
    for (const std::string& name : replacement.services) {
        if (!is_service_name(name)) {
            return invalid("service name: must be 1 to 63 letters, digits, dots, dashes and underscores");
        }
        if (!names.insert(name).second) {
            return error{error_code::service_exists, "service \"" + name + "\" is described twice"};
        }
    }
    std::set<endpoint> addresses;
    for (const wire::replacement_route& route : replacement.routes) {
        if (auto e = check_route(route, replacement.services.size())) {
            return e;
        }
        if (!addresses.insert(from_wire(route.address)).second) {
            return error{error_code::address_overlap,
                         "route " + to_string(from_wire(route.address)) + " is described twice"};
        }
    }
    return std::nullopt;
}

void table_state::replace(revision entry_revision, const wire::replacement& replacement, wall_time now,
                          apply_outcome& out)
{
    patch_answer& answer = out.patch.emplace();
    answer.entry_revision = entry_revision;
    if (replacement.version <= document_.version) {
        // A description with the same or a higher version is in force, so this one will not be applied. The
        // answer carries the version in force.
        answer.status = patch_status::already_accepted;
        answer.version = config_version{document_.version};
        return;
    }
    if (auto e = check_replacement(replacement)) {
        answer.status = patch_status::invalid;
        answer.reason = *e;
        out.refused = std::move(e);
        return;
    }
    add_services(entry_revision, replacement, out);
    replace_routes(entry_revision, replacement, now);
    remove_services(entry_revision, replacement, now, out);
    document_ = {replacement.version, replacement.document};
    answer.status = patch_status::accepted;
    answer.version = config_version{replacement.version};
}

void table_state::add_services(revision entry_revision, const wire::replacement& replacement,
                               apply_outcome& out)
{
    for (const std::string& name : replacement.services) {
        const auto present = find_service(name);
        if (present && !services_.at(*present).retired) {
            continue;
        }
        wire::service_entry entry;
        if (present) {
            entry = services_.at(*present);
            entry.retired = false;
            entry.__isset.retired = false;
        } else {
            entry.id = next_service_++;
            entry.name = name;
        }
        entry.revision = entry_revision.value;
        put(entry);
        out.changed_services.push_back(service_id{entry.id});
    }
}

// Removes the services that the description does not list. One that a route lists as a former service is kept
// with its targets, which may hold open flows of the route, and counts as retired.
void table_state::remove_services(revision entry_revision, const wire::replacement& replacement,
                                  wall_time now, apply_outcome& out)
{
    std::set<std::int64_t> former_services;
    for (const auto& [number, route] : routes_) {
        for (const wire::route_former& former : route.formers) {
            former_services.insert(former.service_id);
        }
    }
    const std::set<std::string_view> listed(replacement.services.begin(), replacement.services.end());
    std::vector<service_id> unlisted;
    for (const auto& [id, entry] : services_) {
        if (!listed.contains(entry.name)) {
            unlisted.push_back(id);
        }
    }
    for (const service_id id : unlisted) {
        if (former_services.contains(id.value) && services_.size() <= max_services) {
            retire_service(entry_revision, id, now, out);
        } else {
            remove_service(entry_revision, id, now);
            out.changed_services.push_back(id);
        }
    }
}

void table_state::retire_service(revision entry_revision, service_id id, wall_time now, apply_outcome& out)
{
    if (services_.at(id).retired) {
        return;
    }
    wire::service_entry entry = services_.at(id);
    for (const wire::endpoint& a : entry.addresses) {
        quarantine_address(from_wire(a), id, now);
    }
    entry.addresses.clear();
    entry.__set_retired(true);
    entry.revision = entry_revision.value;
    put(entry);
    out.changed_services.push_back(id);
}

void table_state::replace_routes(revision entry_revision, const wire::replacement& replacement, wall_time now)
{
    std::map<std::int64_t, wire::route_entry> next;
    for (const wire::replacement_route& route : replacement.routes) {
        wire::route_entry entry;
        entry.id = route_number(from_wire(route.address));
        entry.revision = entry_revision.value;
        for (wire::route_backend backend : route.backends) {
            backend.service_id =
                find_service(replacement.services[static_cast<std::size_t>(backend.service_id)])->value;
            entry.backends.push_back(backend);
        }
        next.emplace(entry.id, std::move(entry));
    }
    std::vector<std::int64_t> removed;
    for (const auto& [id, entry] : routes_) {
        if (!next.contains(id)) {
            removed.push_back(id);
        }
    }
    for (const std::int64_t id : removed) {
        remove_object(entry_revision, pvt::object_kind::route, id);
    }
    for (auto& [id, entry] : next) {
        const auto present = routes_.find(id);
        if (present == routes_.end()) {
            put(entry);
        } else {
            keep_former_services(present->second, entry, now);
            if (present->second.backends != entry.backends || present->second.formers != entry.formers) {
                put(entry);
            }
        }
    }
}

}  // namespace peridotcleat

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <map>
#include <sstream>
#include <utility>

#include "peridotcleat/description.h"

namespace peridotcleat {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr unsigned indent = 2;

Object::Ptr new_object() { return new Object(Poco::JSON_PRESERVE_KEY_ORDER); }

std::string hex(std::uint64_t v)
{
    std::array<char, 16> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), v, 16).ptr;
    return {text.data(), end};
}

Object::Ptr json_of(const wire::service_entry& s)
{
    Object::Ptr object = new_object();
    object->set("name", s.name);
    Array::Ptr addresses = new Array;
    for (const wire::endpoint& a : s.addresses) {
        addresses->add(to_string(from_wire(a)));
    }
    object->set("addresses", addresses);
    if (s.__isset.idle_timeout_ms) {
        object->set("idle_timeout_ms", s.idle_timeout_ms);
    }
    if (s.__isset.queue_per_slot) {
        object->set("queue_per_slot", s.queue_per_slot);
    }
    if (s.__isset.ramp_ms) {
        object->set("ramp_ms", s.ramp_ms);
    }
    if (s.__isset.retry_percent) {
        object->set("retry_percent", s.retry_percent);
    }
    if (s.__isset.placement) {
        object->set("placement", s.placement == 1 ? "owner_only" : "two_candidates");
    }
    return object;
}

Object::Ptr json_of(const wire::target& t, const table_state& table)
{
    Object::Ptr object = new_object();
    object->set("incarnation", t.incarnation);
    const auto service = table.services().find(service_id{t.service_id});
    object->set("service", service == table.services().end() ? std::string() : service->second.name);
    object->set("name", t.name);
    object->set("agent", to_string(from_wire(t.agent)));
    object->set("zone", t.zone);
    object->set("slots", t.slots);
    object->set("connections", t.connections);
    object->set("draining", t.draining);
    return object;
}

Object::Ptr json_of(const wire::node& n)
{
    Object::Ptr object = new_object();
    object->set("incarnation", n.incarnation);
    object->set("name", n.name);
    object->set("control", to_string(from_wire(n.control)));
    object->set("zone", n.zone);
    return object;
}

Object::Ptr json_of(const wire::patch_operation& op)
{
    Object::Ptr object = new_object();
    if (op.kind == 3) {
        object->set("remove", op.name);
    } else {
        object->set(op.kind == 1 ? "add" : "change", json_of(op.value));
    }
    return object;
}

Array::Ptr services_of(const table_state& table)
{
    Array::Ptr list = new Array;
    for (const auto& item : table.services()) {
        if (!item.second.retired) {
            list->add(json_of(item.second));
        }
    }
    return list;
}

std::string print(const Object::Ptr& object)
{
    std::ostringstream out;
    object->stringify(out, indent);
    out << '\n';
    return std::move(out).str();
}

// Compares the settings of two entries of one service. Returns true if a node would act alike on both: the
// order of addresses does not matter, and an omitted option equals its default.
bool same_service(const wire::service_entry& a, const wire::service_entry& b)
{
    const auto sorted = [](const wire::service_entry& e) {
        std::vector<endpoint> list;
        std::ranges::transform(e.addresses, std::back_inserter(list),
                               [](const wire::endpoint& w) { return from_wire(w); });
        std::ranges::sort(list);
        return list;
    };
    return options_of(a) == options_of(b) && sorted(a) == sorted(b);
}

wire::patch_operation operation(std::int8_t kind, const std::string& name)
{
    wire::patch_operation op;
    op.kind = kind;
    op.name = name;
    return op;
}

}  // namespace

result<wire::patch> plan_patch(const table_state& table, const std::vector<wire::service_entry>& desired,
                               std::string_view patch_id)
{
    wire::patch patch;
    patch.patch_id = patch_id;
    patch.base = table.version().value;
    std::map<std::string_view, const wire::service_entry*> by_name;
    for (const wire::service_entry& s : desired) {
        by_name.emplace(s.name, &s);
    }
    std::vector<wire::patch_operation> changes_and_additions;
    for (const auto& item : table.services()) {
        const wire::service_entry& present = item.second;
        const auto it = by_name.find(present.name);
        if (it == by_name.end()) {
            patch.operations.push_back(operation(3, present.name));
        } else if (!same_service(present, *it->second)) {
            changes_and_additions.push_back(operation(2, present.name));
            changes_and_additions.back().__set_value(*it->second);
        }
    }
    for (const wire::service_entry& s : desired) {
        if (!table.find_service(s.name)) {
            changes_and_additions.push_back(operation(1, s.name));
            changes_and_additions.back().__set_value(s);
        }
    }
    std::ranges::move(changes_and_additions, std::back_inserter(patch.operations));
    if (patch.operations.empty()) {
        return error{error_code::patch_empty,
                     "services: the description does not differ from the services in force"};
    }
    if (patch.operations.size() > table_state::max_operations) {
        return error{error_code::patch_too_large,
                     "operations: " + std::to_string(patch.operations.size()) + " are needed, at most " +
                         std::to_string(table_state::max_operations) + " are permitted"};
    }
    return patch;
}

std::string print_description(const table_state& table)
{
    Object::Ptr object = new_object();
    object->set("services", services_of(table));
    return print(object);
}

std::string print_patch(const wire::patch& patch)
{
    Object::Ptr object = new_object();
    object->set("patch_id", patch.patch_id);
    object->set("base", patch.base);
    Array::Ptr list = new Array;
    for (const wire::patch_operation& op : patch.operations) {
        list->add(json_of(op));
    }
    object->set("operations", list);
    return print(object);
}

std::string print_table(const table_state& table)
{
    Object::Ptr object = new_object();
    object->set("version", table.version().value);
    object->set("revision", table.current_revision().value);
    object->set("digest", hex(table.digest()));
    object->set("services", services_of(table));
    Array::Ptr targets = new Array;
    for (const auto& item : table.targets()) {
        targets->add(json_of(item.second, table));
    }
    object->set("targets", targets);
    Array::Ptr nodes = new Array;
    for (const auto& item : table.nodes()) {
        nodes->add(json_of(item.second));
    }
    object->set("nodes", nodes);
    return print(object);
}

}  // namespace peridotcleat

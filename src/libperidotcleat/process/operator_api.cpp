#include "peridotcleat/operator_api.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace peridotcleat {

namespace {

std::string to_text(const Poco::JSON::Object& object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

Poco::JSON::Object ordered_object() { return Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER); }

Poco::JSON::Array to_array(const std::vector<std::string>& names)
{
    Poco::JSON::Array a;
    for (const std::string& n : names) {
        a.add(n);
    }
    return a;
}

int http_status_of(patch_status s)
{
    switch (s) {
    case patch_status::accepted:
    case patch_status::already_accepted: return 200;
    case patch_status::conflict: return 409;
    case patch_status::invalid: return 400;
    // Not 421 or 503: after these, the operators' command sends the request to another control process, as
    // nothing has been started.
    case patch_status::not_accepted:
    case patch_status::outcome_unknown: return 200;
    }
    return 500;
}

}  // namespace

void pending_answer::set(admin_response answer)
{
    const std::scoped_lock lock(mutex_);
    if (!answer_) {
        answer_ = std::move(answer);
        done_.notify_all();
    }
}

admin_response pending_answer::wait(std::chrono::milliseconds limit)
{
    std::unique_lock lock(mutex_);
    if (!done_.wait_for(lock, limit, [this] { return answer_.has_value(); })) {
        return admin_error(504, {error_code::outcome_unknown, "the control process did not answer in time"});
    }
    return *answer_;
}

admin_response render(const patch_answer& answer)
{
    auto object = ordered_object();
    object.set("status", std::string(to_string(answer.status)));
    if (answer.version.valid()) {
        object.set("version", answer.version.value);
    }
    if (answer.entry_revision.valid()) {
        object.set("revision", answer.entry_revision.value);
    }
    if (answer.reason.code != error_code::ok) {
        object.set("code", static_cast<int>(answer.reason.code));
        object.set("name", std::string(to_string(answer.reason.code)));
        object.set("message", answer.reason.message);
    }
    return {http_status_of(answer.status), to_text(object)};
}

admin_response render(const in_force_status& status)
{
    auto object = ordered_object();
    object.set("version", status.version.value);
    object.set("revision", status.table_revision.value);
    object.set("known", status.known);
    object.set("everywhere", status.everywhere);
    object.set("lagging", to_array(status.lagging));
    object.set("unreachable", to_array(status.unreachable));
    return {200, to_text(object)};
}

admin_response render_history(const table_state& table)
{
    Poco::JSON::Array rows;
    for (const auto& [version, record] : table.patches()) {
        auto row = ordered_object();
        row.set("version", version.value);
        row.set("patch_id", record.patch_id);
        row.set("revision", record.revision);
        row.set("time_ms", record.time_ms);
        row.set("summary", record.summary);
        rows.add(row);
    }
    auto object = ordered_object();
    object.set("version", table.version().value);
    object.set("patches", rows);
    return {200, to_text(object)};
}

admin_response render_upstreams(const table_state& table)
{
    Poco::JSON::Array rows;
    for (const auto& [id, target] : table.targets()) {
        const auto service = table.services().find(service_id{target.service_id});
        auto row = ordered_object();
        row.set("name", target.name);
        row.set("service", service == table.services().end() ? std::string("-") : service->second.name);
        row.set("zone", target.zone);
        row.set("agent", to_string(from_wire(target.agent)));
        row.set("slots", target.slots);
        row.set("connections", target.connections);
        row.set("draining", target.draining);
        row.set("incarnation", id.value);
        rows.add(row);
    }
    auto object = ordered_object();
    object.set("upstreams", rows);
    return {200, to_text(object)};
}

admin_response render_nodes(const std::vector<node_report>& nodes)
{
    Poco::JSON::Array rows;
    for (const node_report& n : nodes) {
        auto row = ordered_object();
        row.set("name", n.name);
        row.set("role", std::string(n.role == node_role::target ? "agent" : "balancer"));
        row.set("zone", n.zone);
        row.set("incarnation", n.id.value);
        row.set("revision", n.confirmed.value);
        row.set("silent_ms", n.silence ? n.silence->count() : -1);
        row.set("draining", n.draining);
        rows.add(row);
    }
    auto object = ordered_object();
    object.set("nodes", rows);
    return {200, to_text(object)};
}

admin_response render_members(const std::vector<wire::member>& members, bool leading, std::int64_t term)
{
    Poco::JSON::Array rows;
    for (const wire::member& m : members) {
        auto row = ordered_object();
        row.set("name", m.name);
        row.set("address", to_string(from_wire(m.address)));
        row.set("voter", m.voter);
        row.set("folder_id", m.folder_id);
        rows.add(row);
    }
    auto object = ordered_object();
    object.set("leading", leading);
    object.set("term", term);
    object.set("members", rows);
    return {200, to_text(object)};
}

result<std::string> parse_single_field(const std::string& body, const std::string& key)
{
    try {
        const auto object = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
        if (object->size() == 1 && object->has(key)) {
            return object->getValue<std::string>(key);
        }
        return error{error_code::description_unknown_field, "the only field must be \"" + key + "\""};
    } catch (const std::exception& e) {
        return error{error_code::description_malformed, std::string("body: ") + e.what()};
    }
}

}  // namespace peridotcleat

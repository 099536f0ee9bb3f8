#include "peridotcleat/operator_api.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace peridotcleat {

namespace {

std::string text_of(const Poco::JSON::Object& o)
{
    std::ostringstream text;
    o.stringify(text);
    return text.str();
}

Poco::JSON::Object ordered() { return Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER); }

Poco::JSON::Array array_of(const std::vector<std::string>& names)
{
    Poco::JSON::Array a;
    for (const std::string& n : names) {
        a.add(n);
    }
    return a;
}

int status_of(patch_status s)
{
    switch (s) {
    case patch_status::accepted:
    case patch_status::already_accepted: return 200;
    case patch_status::conflict: return 409;
    case patch_status::invalid: return 400;
    // The command must not send these to another process as if nothing had been started.
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
        return admin_error(504, {error_code::outcome_unknown, "no answer in time"});
    }
    return *answer_;
}

admin_response render(const patch_answer& answer)
{
    auto o = ordered();
    o.set("status", std::string(to_string(answer.status)));
    if (answer.version.valid()) {
        o.set("version", answer.version.value);
    }
    if (answer.entry_revision.valid()) {
        o.set("revision", answer.entry_revision.value);
    }
    if (answer.reason.code != error_code::ok) {
        o.set("code", static_cast<int>(answer.reason.code));
        o.set("name", std::string(to_string(answer.reason.code)));
        o.set("message", answer.reason.message);
    }
    return {status_of(answer.status), text_of(o)};
}

admin_response render(const in_force_status& status)
{
    auto o = ordered();
    o.set("version", status.version.value);
    o.set("revision", status.table_revision.value);
    o.set("known", status.known);
    o.set("everywhere", status.everywhere);
    o.set("lagging", array_of(status.lagging));
    o.set("unreachable", array_of(status.unreachable));
    return {200, text_of(o)};
}

admin_response render_history(const table_state& table)
{
    Poco::JSON::Array rows;
    for (const auto& [version, record] : table.patches()) {
        auto row = ordered();
        row.set("version", version.value);
        row.set("patch_id", record.patch_id);
        row.set("revision", record.revision);
        row.set("time_ms", record.time_ms);
        row.set("summary", record.summary);
        rows.add(row);
    }
    auto o = ordered();
    o.set("version", table.version().value);
    o.set("patches", rows);
    return {200, text_of(o)};
}

admin_response render_upstreams(const table_state& table)
{
    Poco::JSON::Array rows;
    for (const auto& [id, target] : table.targets()) {
        const auto service = table.services().find(service_id{target.service_id});
        auto row = ordered();
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
    auto o = ordered();
    o.set("upstreams", rows);
    return {200, text_of(o)};
}

admin_response render_nodes(const std::vector<node_report>& nodes)
{
    Poco::JSON::Array rows;
    for (const node_report& n : nodes) {
        auto row = ordered();
        row.set("name", n.name);
        row.set("role", std::string(n.role == node_role::target ? "agent" : "balancer"));
        row.set("zone", n.zone);
        row.set("incarnation", n.id.value);
        row.set("revision", n.confirmed.value);
        row.set("silent_ms", n.silence ? n.silence->count() : -1);
        row.set("draining", n.draining);
        rows.add(row);
    }
    auto o = ordered();
    o.set("nodes", rows);
    return {200, text_of(o)};
}

admin_response render_members(const std::vector<wire::member>& members, bool leading, std::int64_t term)
{
    Poco::JSON::Array rows;
    for (const wire::member& m : members) {
        auto row = ordered();
        row.set("name", m.name);
        row.set("address", to_string(from_wire(m.address)));
        row.set("voter", m.voter);
        row.set("folder_id", m.folder_id);
        rows.add(row);
    }
    auto o = ordered();
    o.set("leading", leading);
    o.set("term", term);
    o.set("members", rows);
    return {200, text_of(o)};
}

result<std::string> parse_single(const std::string& body, const std::string& key)
{
    try {
        const auto o = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
        if (o->size() == 1 && o->has(key)) {
            return o->getValue<std::string>(key);
        }
        return error{error_code::description_unknown_field, "the only field must be \"" + key + "\""};
    } catch (const std::exception& e) {
        return error{error_code::description_malformed, std::string("body: ") + e.what()};
    }
}

}  // namespace peridotcleat

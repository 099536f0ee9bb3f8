#include "peridotcleat/description.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <array>
#include <exception>
#include <initializer_list>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace peridotcleat {

namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

// A patch nests five levels: object, operations, operation, service, addresses. The limit leaves a margin of
// three.
constexpr std::size_t max_depth = 8;

std::string join_path(const std::string& path, std::string_view field)
{
    return path.empty() ? std::string(field) : path + '.' + std::string(field);
}

std::string item_path(const std::string& path, std::size_t index)
{
    return path + '[' + std::to_string(index) + ']';
}

// Finds the first field that appears twice in an object. POCO alone keeps the last value without an error.
class duplicate_field_detector : public Poco::JSON::ParseHandler {
public:
    // The names of these functions are POCO's.
    // NOLINTBEGIN(readability-identifier-naming)
    void reset() override
    {
        levels_.clear();
        ParseHandler::reset();
    }
    void startObject() override
    {
        count_nested_value();
        levels_.emplace_back();
        ParseHandler::startObject();
    }
    void endObject() override
    {
        levels_.pop_back();
        ParseHandler::endObject();
    }
    void startArray() override
    {
        count_nested_value();
        levels_.emplace_back().is_array = true;
        ParseHandler::startArray();
    }
    void endArray() override
    {
        levels_.pop_back();
        ParseHandler::endArray();
    }
    void key(const std::string& k) override
    {
        levels_.back().key = k;
        if (!levels_.back().keys.insert(k).second && repeated_field_.empty()) {
            repeated_field_ = path();
        }
        ParseHandler::key(k);
    }
    // NOLINTEND(readability-identifier-naming)

    [[nodiscard]] const std::string& repeated_field() const noexcept { return repeated_field_; }

private:
    struct level {
        bool is_array = false;
        std::size_t nested_values = 0;
        std::string key;
        std::set<std::string> keys;
    };

    // Counts only nested objects and arrays, so that an index in `path` skips scalar items.
    void count_nested_value()
    {
        if (!levels_.empty()) {
            ++levels_.back().nested_values;
        }
    }

    [[nodiscard]] std::string path() const
    {
        std::string text;
        for (const level& l : levels_) {
            text = l.is_array ? item_path(text, l.nested_values - 1) : join_path(text, l.key);
        }
        return text;
    }

    std::vector<level> levels_;
    std::string repeated_field_;
};

// Reads typed fields of JSON objects and keeps the first error.
class field_reader {
public:
    // Parses the whole text as one JSON object.
    Object::Ptr parse(std::string_view json)
    {
        if (json.size() > max_description_size) {
            fail(error_code::patch_too_large, "",
                 "the text has " + std::to_string(json.size()) + " bytes, limit " +
                     std::to_string(max_description_size));
            return {};
        }
        const Poco::SharedPtr<duplicate_field_detector> handler = new duplicate_field_detector;
        try {
            Poco::JSON::Parser parser(handler);
            parser.setDepth(max_depth);
            const Var root = parser.parse(std::string(json));
            if (!handler->repeated_field().empty()) {
                fail(error_code::description_malformed, handler->repeated_field(), "appears twice");
                return {};
            }
            return as_object(root, "");
        } catch (const Poco::Exception& e) {
            fail(error_code::description_malformed, "", "not JSON: " + e.displayText());
        } catch (const std::exception& e) {
            fail(error_code::description_malformed, "", std::string("not JSON: ") + e.what());
        }
        return {};
    }

    Object::Ptr as_object(const Var& v, const std::string& path)
    {
        if (!v.isEmpty() && v.type() == typeid(Object::Ptr)) {
            return v.extract<Object::Ptr>();
        }
        fail(error_code::description_malformed, path, "must be an object");
        return {};
    }

    Array::Ptr array(const Object& object, const std::string& path, const char* field)
    {
        const Var v = object.get(field);
        if (!v.isEmpty() && v.type() == typeid(Array::Ptr)) {
            return v.extract<Array::Ptr>();
        }
        fail(error_code::description_malformed, join_path(path, field), "must be a list");
        return {};
    }

    std::string text(const Var& v, const std::string& path)
    {
        if (!v.isEmpty() && v.isString()) {
            return v.extract<std::string>();
        }
        fail(error_code::description_malformed, path, "must be a string");
        return {};
    }

    std::string text(const Object& object, const std::string& path, const char* field)
    {
        return text(object.get(field), join_path(path, field));
    }

    std::int64_t number(const Object& object, const std::string& path, const char* field, value_range range)
    {
        const Var v = object.get(field);
        if (v.isEmpty() || v.isBoolean() || v.isString() || !v.isInteger()) {
            fail(error_code::description_malformed, join_path(path, field), "must be a whole number");
            return range.lowest;
        }
        const bool too_large =
            !v.isSigned() && v.convert<std::uint64_t>() > static_cast<std::uint64_t>(range.highest);
        const std::int64_t n = too_large ? range.highest : v.convert<std::int64_t>();
        if (too_large || !range.contains(n)) {
            fail(error_code::description_invalid_value, join_path(path, field),
                 "must be from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest));
        }
        return n;
    }

    void reject_unknown_fields(const Object& object, const std::string& path,
                               std::initializer_list<std::string_view> known)
    {
        for (const std::string& name : object.getNames()) {
            if (std::ranges::find(known, name) == known.end()) {
                fail(error_code::description_unknown_field, join_path(path, name), "unknown field");
            }
        }
    }

    void fail(error_code code, const std::string& path, const std::string& message)
    {
        if (!first_error_) {
            first_error_ = error{code, path.empty() ? message : path + ": " + message};
        }
    }
    void fail(std::optional<error> e)
    {
        if (!first_error_) {
            first_error_ = std::move(e);
        }
    }
    [[nodiscard]] const std::optional<error>& first_error() const noexcept { return first_error_; }

private:
    std::optional<error> first_error_;
};

std::int32_t read_placement(field_reader& reader, const Object& object, const std::string& path)
{
    const std::string text = reader.text(object, path, "placement");
    if (text == "owner_only") {
        return static_cast<std::int32_t>(placement_rule::owner_only);
    }
    if (text != "two_candidates") {
        reader.fail(error_code::description_invalid_value, join_path(path, "placement"),
                    R"(must be "two_candidates" or "owner_only")");
    }
    return static_cast<std::int32_t>(placement_rule::two_candidates);
}

void read_options(field_reader& reader, const Object& object, const std::string& path,
                  wire::service_entry& out)
{
    const auto read = [&](const char* field, value_range range, auto setter) {
        if (object.has(field)) {
            (out.*setter)(static_cast<std::int32_t>(reader.number(object, path, field, range)));
        }
    };
    read("idle_timeout_ms", idle_timeout_range, &wire::service_entry::__set_idle_timeout_ms);
    read("queue_per_slot", queue_per_slot_range, &wire::service_entry::__set_queue_per_slot);
    read("ramp_ms", ramp_range, &wire::service_entry::__set_ramp_ms);
    read("retry_percent", retry_percent_range, &wire::service_entry::__set_retry_percent);
    if (object.has("placement")) {
        out.__set_placement(read_placement(reader, object, path));
    }
}

wire::service_entry read_service(field_reader& reader, const Var& v, const std::string& path)
{
    wire::service_entry out;
    const Object::Ptr object = reader.as_object(v, path);
    if (!object) {
        return out;
    }
    reader.reject_unknown_fields(
        *object, path,
        {"name", "addresses", "idle_timeout_ms", "queue_per_slot", "ramp_ms", "retry_percent", "placement"});
    out.name = reader.text(*object, path, "name");
    if (const Array::Ptr list = reader.array(*object, path, "addresses")) {
        for (std::size_t i = 0; i < list->size() && !reader.first_error(); ++i) {
            const std::string address_path = item_path(join_path(path, "addresses"), i);
            const auto parsed =
                parse_endpoint(reader.text(list->get(static_cast<unsigned>(i)), address_path));
            if (has_value(parsed)) {
                out.addresses.push_back(to_wire(value(parsed)));
            } else {
                reader.fail(error_code::description_invalid_value, address_path, failure(parsed).message);
            }
        }
    }
    read_options(reader, *object, path, out);
    if (!reader.first_error()) {
        reader.fail(check_service(out, path));
    }
    return out;
}

wire::patch_operation read_operation(field_reader& reader, const Var& v, const std::string& path)
{
    wire::patch_operation op;
    const Object::Ptr object = reader.as_object(v, path);
    if (!object) {
        return op;
    }
    reader.reject_unknown_fields(*object, path, {"add", "change", "remove"});
    if (object->size() != 1) {
        reader.fail(error_code::description_malformed, path,
                    R"(must have one of "add", "change" and "remove")");
        return op;
    }
    if (object->has("remove")) {
        op.kind = 3;
        op.name = reader.text(*object, path, "remove");
        if (!is_service_name(op.name)) {
            reader.fail(error_code::description_invalid_value, join_path(path, "remove"),
                        "not a service name");
        }
        return op;
    }
    const char* field = object->has("add") ? "add" : "change";
    op.kind = object->has("add") ? 1 : 2;
    op.__set_value(read_service(reader, object->get(field), join_path(path, field)));
    op.name = op.value.name;
    return op;
}

// Checks that names and addresses are unique in the whole description.
void check_unique(field_reader& reader, const std::vector<wire::service_entry>& services)
{
    std::set<std::string_view> names;
    std::map<endpoint, std::size_t> owners;
    for (std::size_t i = 0; i < services.size(); ++i) {
        const std::string path = item_path("services", i);
        if (!names.insert(services[i].name).second) {
            reader.fail(error_code::service_exists, path + ".name",
                        "\"" + services[i].name + "\" appears twice");
        }
        for (std::size_t j = 0; j < services[i].addresses.size(); ++j) {
            const endpoint address = from_wire(services[i].addresses[j]);
            const auto [it, added] = owners.emplace(address, i);
            if (!added) {
                reader.fail(error_code::address_overlap, item_path(path + ".addresses", j),
                            to_string(address) + " belongs to services[" + std::to_string(it->second) + "]");
            }
        }
    }
}

}  // namespace

result<std::vector<wire::service_entry>> parse_description(std::string_view json)
{
    field_reader reader;
    std::vector<wire::service_entry> services;
    if (const Object::Ptr root = reader.parse(json)) {
        reader.reject_unknown_fields(*root, "", {"services"});
        const Array::Ptr list = reader.array(*root, "", "services");
        if (list && list->size() > table_state::max_services) {
            reader.fail(error_code::table_full, "services",
                        "at most " + std::to_string(table_state::max_services) + " are permitted");
        }
        for (std::size_t i = 0; list && i < list->size() && !reader.first_error(); ++i) {
            services.push_back(
                read_service(reader, list->get(static_cast<unsigned>(i)), item_path("services", i)));
        }
        check_unique(reader, services);
    }
    if (reader.first_error()) {
        return *reader.first_error();
    }
    return services;
}

result<wire::patch> parse_patch(std::string_view json)
{
    field_reader reader;
    wire::patch patch;
    if (const Object::Ptr root = reader.parse(json)) {
        reader.reject_unknown_fields(*root, "", {"patch_id", "base", "operations"});
        patch.patch_id = reader.text(*root, "", "patch_id");
        if (!is_patch_id(patch.patch_id)) {
            reader.fail(error_code::description_invalid_value, "patch_id",
                        "must be 1 to 64 printable characters without spaces");
        }
        patch.base = reader.number(*root, "", "base", {0, std::numeric_limits<std::int64_t>::max()});
        const Array::Ptr list = reader.array(*root, "", "operations");
        if (list && list->empty()) {
            reader.fail(error_code::patch_empty, "operations", "must not be empty");
        }
        if (list && list->size() > table_state::max_operations) {
            reader.fail(error_code::patch_too_large, "operations",
                        "at most " + std::to_string(table_state::max_operations) + " are permitted");
        }
        for (std::size_t i = 0; list && i < list->size() && !reader.first_error(); ++i) {
            patch.operations.push_back(
                read_operation(reader, list->get(static_cast<unsigned>(i)), item_path("operations", i)));
        }
    }
    if (reader.first_error()) {
        return *reader.first_error();
    }
    return patch;
}

}  // namespace peridotcleat

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <utility>

#include "peridotcleat/description.h"
#include "peridotcleat/hash.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat {

namespace {

enum class operation_kind : std::int8_t { add = 1, change = 2, remove = 3 };

std::string operation_name(std::int8_t kind)
{
    static constexpr std::array names{"add", "change", "remove"};
    return kind >= 1 && kind <= 3 ? names.at(static_cast<std::size_t>(kind - 1)) : "unknown";
}

std::string operation_path(std::size_t index, std::int8_t kind)
{
    return "operations[" + std::to_string(index) + "]." + operation_name(kind);
}

std::uint64_t content_digest(const wire::patch& patch) { return hash_bytes(encode_struct(patch)); }

// Lists the first operations of a patch, for the history of patches that operators read.
std::string summary_of(const wire::patch& patch)
{
    constexpr std::size_t max_named = 3;
    std::string text;
    for (std::size_t i = 0; i < std::min(max_named, patch.operations.size()); ++i) {
        const wire::patch_operation& op = patch.operations[i];
        text += (i == 0 ? "" : "; ") + operation_name(op.kind) + ' ' + op.name;
    }
    const std::size_t remaining = patch.operations.size() - std::min(max_named, patch.operations.size());
    return remaining == 0 ? text : text + "; " + std::to_string(remaining) + " more";
}

patch_answer make_answer(patch_status status, error_code code, std::string message)
{
    patch_answer a;
    a.status = status;
    a.reason = {code, std::move(message)};
    return a;
}

// Performs the checks that do not depend on the table, so that their result for a patch never changes.
std::optional<patch_answer> check_fields(const wire::patch& patch)
{
    if (!is_patch_id(patch.patch_id)) {
        return make_answer(patch_status::invalid, error_code::description_invalid_value,
                           "patch_id: must be 1 to 64 printable characters without spaces");
    }
    if (patch.base < 0) {
        return make_answer(patch_status::invalid, error_code::description_invalid_value,
                           "base: " + std::to_string(patch.base) + " is negative");
    }
    if (patch.operations.empty()) {
        return make_answer(patch_status::invalid, error_code::patch_empty, "operations: must not be empty");
    }
    if (patch.operations.size() > table_state::max_operations) {
        return make_answer(patch_status::invalid, error_code::patch_too_large,
                           "operations: " + std::to_string(patch.operations.size()) + " are more than " +
                               std::to_string(table_state::max_operations));
    }
    return std::nullopt;
}

}  // namespace

// Checks the operations of a patch in order, against an overlay that holds the effects of the earlier ones.
class table_state::patch_check {
public:
    patch_check(const table_state& table, wall_time now)
        : table_(table), now_(now), next_service_(table.next_service_), service_count_(table.services_.size())
    {
    }

    // Returns the answer that refuses the patch, or nothing if all operations are valid.
    std::optional<patch_answer> run(const wire::patch& patch)
    {
        for (std::size_t i = 0; i < patch.operations.size(); ++i) {
            if (auto refused = run(patch.operations[i], i)) {
                return refused;
            }
        }
        return std::nullopt;
    }

private:
    struct named_service {
        service_id id;
        std::vector<wire::endpoint> addresses;
    };

    std::optional<patch_answer> run(const wire::patch_operation& op, std::size_t index)
    {
        const std::string path = operation_path(index, op.kind);
        switch (static_cast<operation_kind>(op.kind)) {
        case operation_kind::add: return add(op, path);
        case operation_kind::change: return change(op, path);
        case operation_kind::remove: return remove(op, path);
        }
        return make_answer(patch_status::invalid, error_code::description_invalid_value,
                           path + ": unknown kind " + std::to_string(op.kind));
    }

    std::optional<patch_answer> check_value(const wire::patch_operation& op, const std::string& path)
    {
        if (!op.__isset.value || op.value.name != op.name) {
            return make_answer(patch_status::invalid, error_code::description_invalid_value,
                               path + ".name: must be the name of the service");
        }
        if (auto e = check_service(op.value, path)) {
            return make_answer(patch_status::invalid, e->code, std::move(e->message));
        }
        return std::nullopt;
    }

    std::optional<patch_answer> add(const wire::patch_operation& op, const std::string& path)
    {
        if (auto refused = check_value(op, path)) {
            return refused;
        }
        if (find(op.name)) {
            return make_answer(patch_status::invalid, error_code::service_exists,
                               path + ".name: service \"" + op.name + "\" exists");
        }
        if (service_count_ >= max_services) {
            return make_answer(patch_status::invalid, error_code::table_full,
                               path + ": the table holds " + std::to_string(max_services) + " services");
        }
        const service_id id{next_service_++};
        ++service_count_;
        return claim_addresses(id, op, path);
    }

    std::optional<patch_answer> change(const wire::patch_operation& op, const std::string& path)
    {
        if (auto refused = check_value(op, path)) {
            return refused;
        }
        const auto present = find(op.name);
        if (!present) {
            return unknown_service(op, path);
        }
        release_addresses(*present);
        return claim_addresses(present->id, op, path);
    }

    std::optional<patch_answer> remove(const wire::patch_operation& op, const std::string& path)
    {
        const auto present = find(op.name);
        if (!present) {
            return unknown_service(op, path);
        }
        release_addresses(*present);
        names_[op.name] = std::nullopt;
        --service_count_;
        return std::nullopt;
    }

    static patch_answer unknown_service(const wire::patch_operation& op, const std::string& path)
    {
        return make_answer(patch_status::invalid, error_code::service_unknown,
                           path + ": no service \"" + op.name + "\"");
    }

    [[nodiscard]] std::optional<named_service> find(const std::string& name) const
    {
        if (const auto it = names_.find(name); it != names_.end()) {
            return it->second;
        }
        const auto id = table_.find_service(name);
        if (!id) {
            return std::nullopt;
        }
        return named_service{*id, table_.services_.at(*id).addresses};
    }

    void release_addresses(const named_service& service)
    {
        for (const wire::endpoint& a : service.addresses) {
            owners_[from_wire(a)] = std::nullopt;
            reserved_[from_wire(a)] = service.id;
        }
    }

    std::optional<patch_answer> claim_addresses(service_id id, const wire::patch_operation& op,
                                                const std::string& path)
    {
        for (std::size_t i = 0; i < op.value.addresses.size(); ++i) {
            const endpoint address = from_wire(op.value.addresses[i]);
            const std::string field = path + ".addresses[" + std::to_string(i) + "]: " + to_string(address);
            if (owner_of(address)) {
                return make_answer(patch_status::invalid, error_code::address_overlap,
                                   field + " belongs to another service");
            }
            if (const auto former_service = reserved_for(address); former_service && *former_service != id) {
                // Not `invalid`, because the same patch becomes valid when the quarantine ends.
                return make_answer(patch_status::not_accepted, error_code::address_quarantined,
                                   field + " was removed from another service less than 60 s ago");
            }
            owners_[address] = id;
        }
        names_[op.name] = named_service{id, op.value.addresses};
        return std::nullopt;
    }

    [[nodiscard]] std::optional<service_id> owner_of(const endpoint& address) const
    {
        if (const auto it = owners_.find(address); it != owners_.end()) {
            return it->second;
        }
        return table_.find_address(address);
    }

    [[nodiscard]] std::optional<service_id> reserved_for(const endpoint& address) const
    {
        if (const auto it = reserved_.find(address); it != reserved_.end()) {
            return it->second;
        }
        const auto it = table_.quarantined_.find(address);
        if (it == table_.quarantined_.end() || it->second.until_ms <= now_.time_since_epoch().count()) {
            return std::nullopt;
        }
        return service_id{it->second.service_id};
    }

    const table_state& table_;
    wall_time now_;
    std::int64_t next_service_;
    std::size_t service_count_;
    std::map<std::string, std::optional<named_service>> names_;
    std::map<endpoint, std::optional<service_id>> owners_;
    std::map<endpoint, service_id> reserved_;
};

// Returns the answer that the base of the patch and the records of accepted patches determine, if any.
std::optional<patch_answer> table_state::check_history(const wire::patch& patch) const
{
    const auto recorded = version_by_patch_id_.find(patch.patch_id);
    const bool id_used = recorded != version_by_patch_id_.end();
    if (id_used) {
        const wire::patch_record& record = patches_.at(recorded->second);
        if (record.digest == static_cast<std::int64_t>(content_digest(patch))) {
            return patch_answer{
                patch_status::already_accepted, recorded->second, revision{record.revision}, {}};
        }
    }
    if (patch.base > version_.value) {
        // Not `conflict`, because the same patch may be accepted once the table has reached its base.
        return make_answer(patch_status::not_accepted, error_code::version_conflict,
                           "base: " + std::to_string(patch.base) + " is above the current version " +
                               std::to_string(version_.value));
    }
    // Precedes the check for a reused id: the id of a patch whose record was evicted may have been used
    // again, and a retry of the earlier patch, which was accepted, must not be answered with `conflict` or
    // `invalid`.
    if (patch.base < version_.value && !patches_.contains(config_version{patch.base + 1})) {
        return make_answer(patch_status::outcome_unknown, error_code::outcome_unknown,
                           "base: the record of version " + std::to_string(patch.base + 1) +
                               " is no longer kept; see the history of patches");
    }
    if (id_used) {
        return make_answer(patch_status::invalid, error_code::patch_id_reused,
                           "patch_id: version " + std::to_string(recorded->second.value) +
                               " has this id with other content");
    }
    if (patch.base < version_.value) {
        return make_answer(patch_status::conflict, error_code::version_conflict,
                           "base: " + std::to_string(patch.base) + " is not the current version " +
                               std::to_string(version_.value));
    }
    return std::nullopt;
}

patch_answer table_state::check(const wire::patch& patch, wall_time now) const
{
    auto answer = check_fields(patch);
    if (!answer) {
        answer = check_history(patch);
    }
    if (!answer) {
        answer = patch_check(*this, patch_time(now)).run(patch);
    }
    if (!answer) {
        return {patch_status::accepted, config_version{version_.value + 1}, revision_, {}};
    }
    if (answer->status != patch_status::already_accepted) {
        answer->version = version_;
    }
    return *answer;
}

// The clocks of leaders differ. The time of accepted patches never decreases, so that a leader whose clock is
// behind does not start a quarantine that has already ended by the clock of its successor.
wall_time table_state::patch_time(wall_time now) const noexcept
{
    return patches_.empty()
               ? now
               : std::max(now, wall_time{std::chrono::milliseconds(patches_.rbegin()->second.time_ms)});
}

patch_answer table_state::apply_patch(revision entry_revision, const wire::patch& patch, wall_time now,
                                      std::vector<service_id>& changed_services)
{
    patch_answer answer = check(patch, now);
    if (answer.status != patch_status::accepted) {
        return answer;
    }
    now = patch_time(now);
    erase_expired_quarantines(now);
    for (const wire::patch_operation& op : patch.operations) {
        apply_operation(entry_revision, op, now, changed_services);
    }
    std::ranges::sort(changed_services);
    changed_services.erase(std::unique(changed_services.begin(), changed_services.end()),
                           changed_services.end());
    version_ = answer.version;
    answer.entry_revision = entry_revision;
    record_patch(entry_revision, patch, now);
    return answer;
}

// Requires that `patch_check` accepted the operation.
void table_state::apply_operation(revision entry_revision, const wire::patch_operation& op, wall_time now,
                                  std::vector<service_id>& changed_services)
{
    const auto present = find_service(op.name);
    const service_id id = present ? *present : service_id{next_service_++};
    changed_services.push_back(id);
    if (static_cast<operation_kind>(op.kind) == operation_kind::remove) {
        remove_service(entry_revision, id, now);
        return;
    }
    if (present) {
        for (const wire::endpoint& a : services_.at(id).addresses) {
            quarantine_address(from_wire(a), id, now);
        }
    }
    wire::service_entry entry = op.value;
    entry.id = id.value;
    entry.revision = entry_revision.value;
    for (const wire::endpoint& a : entry.addresses) {
        quarantined_.erase(from_wire(a));
    }
    put(entry);
}

void table_state::remove_service(revision entry_revision, service_id id, wall_time now)
{
    for (const wire::endpoint& a : services_.at(id).addresses) {
        quarantine_address(from_wire(a), id, now);
    }
    for (const incarnation target : targets_of(id)) {
        remove_object(entry_revision, pvt::object_kind::target, target.value);
    }
    remove_object(entry_revision, pvt::object_kind::service, id.value);
}

void table_state::quarantine_address(const endpoint& address, service_id former_service, wall_time now)
{
    wire::quarantine q;
    q.address = to_wire(address);
    q.service_id = former_service.value;
    q.until_ms =
        (now.time_since_epoch() + std::chrono::duration_cast<std::chrono::milliseconds>(quarantine_time))
            .count();
    quarantined_.insert_or_assign(address, q);
}

void table_state::erase_expired_quarantines(wall_time now)
{
    const std::int64_t now_ms = now.time_since_epoch().count();
    std::erase_if(quarantined_, [now_ms](const auto& item) { return item.second.until_ms <= now_ms; });
}

void table_state::record_patch(revision entry_revision, const wire::patch& patch, wall_time now)
{
    wire::patch_record record;
    record.patch_id = patch.patch_id;
    record.config_version = version_.value;
    record.revision = entry_revision.value;
    record.digest = static_cast<std::int64_t>(content_digest(patch));
    record.__set_time_ms(now.time_since_epoch().count());
    record.__set_summary(summary_of(patch));
    version_by_patch_id_[patch.patch_id] = version_;
    patches_.emplace(version_, std::move(record));
    while (patches_.size() > max_patch_records) {
        const auto oldest = patches_.begin();
        const auto it = version_by_patch_id_.find(oldest->second.patch_id);
        if (it != version_by_patch_id_.end() && it->second == oldest->first) {
            version_by_patch_id_.erase(it);
        }
        patches_.erase(oldest);
    }
}

}  // namespace peridotcleat

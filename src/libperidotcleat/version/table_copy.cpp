#include "peridotcleat/table_copy.h"

#include <algorithm>
#include <utility>

namespace peridotcleat {

namespace {

using pvt::object_kind;

wire::cursor cursor_after(revision r)
{
    wire::cursor c;
    c.revision = r.value;
    c.kind = 0;
    c.id = 0;
    return c;
}

// Puts all staged objects into `table`. The order does not matter: a name or address that moved from one
// object to another stays with the object that has it now.
void put_all(table_state& table, const table_state::object_changes& changes)
{
    const auto put_each = [&table](const auto& objects) {
        for (const auto& item : objects) {
            table.put(item.second);
        }
    };
    put_each(changes.services);
    put_each(changes.targets);
    put_each(changes.nodes);
    put_each(changes.routes);
    for (const auto& item : changes.removed) {
        table.remove(item.second);
    }
}

void sort_unique(std::vector<service_id>& list)
{
    std::ranges::sort(list);
    list.erase(std::unique(list.begin(), list.end()), list.end());
}

}  // namespace

void table_copy::fill_request(wire::pull_request& request) const
{
    request.revision = table_.current_revision().value;
    request.position = position_;
    request.full = full_;
    request.digest = static_cast<std::int64_t>(table_.digest());
}

void table_copy::restart_pull(bool full)
{
    staged_ = {};
    staged_revision_ = {};
    full_ = full;
    position_ = cursor_after(full ? revision{} : table_.current_revision());
}

page_outcome table_copy::process_page(const wire::table_page& page, std::vector<service_id>& changed_services)
{
    const revision page_revision{page.revision};
    if (page_revision < table_.current_revision()) {
        return page_outcome::ignored;
    }
    if (page.full != full_) {
        // A parent starts a full table without a request for one if the copy is older than the horizon of the
        // parent.
        const bool unrequested =
            page.full && page.start == wire::cursor{} && page_revision > table_.current_revision();
        if (!unrequested) {
            return page_outcome::ignored;
        }
        restart_pull(true);
    }
    if (page.start != position_) {
        return page_outcome::ignored;
    }
    if (page_revision < staged_revision_) {
        restart_pull(full_);
        return page_outcome::ignored;
    }
    staged_revision_ = page_revision;
    stage(page);
    position_ = page.position;
    return page.complete ? complete(page, changed_services) : page_outcome::staged;
}

void table_copy::stage(const wire::table_page& page)
{
    for (const auto& v : page.services) {
        staged_.services.insert_or_assign(service_id{v.id}, v);
    }
    for (const auto& v : page.targets) {
        staged_.targets.insert_or_assign(incarnation{v.incarnation}, v);
    }
    for (const auto& v : page.nodes) {
        staged_.nodes.insert_or_assign(incarnation{v.incarnation}, v);
    }
    for (const auto& v : page.routes) {
        staged_.routes.insert_or_assign(v.id, v);
        staged_.removed.erase(std::pair(object_kind::route, v.id));
    }
    for (const auto& v : page.tombstones) {
        const auto kind = static_cast<object_kind>(v.kind);
        // The object may have been staged by a page that was sent before the object was removed.
        switch (kind) {
        case object_kind::service: staged_.services.erase(service_id{v.id}); break;
        case object_kind::target: staged_.targets.erase(incarnation{v.id}); break;
        case object_kind::node: staged_.nodes.erase(incarnation{v.id}); break;
        case object_kind::route:
            if (const auto it = staged_.routes.find(v.id);
                it != staged_.routes.end() && it->second.revision > v.revision) {
                continue;
            }
            staged_.routes.erase(v.id);
            break;
        default: continue;
        }
        staged_.removed.insert_or_assign(std::pair(kind, v.id), v);
    }
}

page_outcome table_copy::complete(const wire::table_page& page, std::vector<service_id>& changed_services)
{
    const auto expected = static_cast<std::uint64_t>(page.digest);
    const bool was_current = !full_ && revision{page.revision} == table_.current_revision();
    if (full_) {
        if (!apply_full(page, changed_services)) {
            restart_pull(true);
            return page_outcome::mismatch;
        }
    } else {
        if (table_.digest_with(staged_) != expected) {
            restart_pull(true);
            return page_outcome::mismatch;
        }
        apply_delta(page, changed_services);
    }
    restart_pull(false);
    return was_current ? page_outcome::current : page_outcome::applied;
}

bool table_copy::apply_full(const wire::table_page& page, std::vector<service_id>& changed_services)
{
    table_state next;
    put_all(next, staged_);
    if (next.digest() != static_cast<std::uint64_t>(page.digest)) {
        return false;
    }
    next.finish_pages(revision{page.revision}, config_version{page.config_version}, page.document_version);
    for (const auto& item : table_.services()) {
        changed_services.push_back(item.first);
    }
    for (const auto& item : next.services()) {
        changed_services.push_back(item.first);
    }
    sort_unique(changed_services);
    table_ = std::move(next);
    return true;
}

void table_copy::apply_delta(const wire::table_page& page, std::vector<service_id>& changed_services)
{
    for (const auto& item : staged_.services) {
        changed_services.push_back(item.first);
    }
    for (const auto& item : staged_.targets) {
        changed_services.push_back(service_id{item.second.service_id});
    }
    for (const auto& [key, tombstone] : staged_.removed) {
        if (key.first == object_kind::service) {
            changed_services.push_back(service_id{tombstone.id});
        } else if (const auto it = table_.targets().find(incarnation{tombstone.id});
                   key.first == object_kind::target && it != table_.targets().end()) {
            changed_services.push_back(service_id{it->second.service_id});
        }
    }
    sort_unique(changed_services);
    put_all(table_, staged_);
    table_.finish_pages(revision{page.revision}, config_version{page.config_version}, page.document_version);
}

}  // namespace peridotcleat

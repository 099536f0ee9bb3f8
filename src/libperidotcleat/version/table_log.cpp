#include "peridotcleat/table_log.h"

#include <utility>

#include "peridotcleat/log.h"

namespace peridotcleat {

void table_log::log_changes(const table_state& table)
{
    if (table.current_revision() == seen_) {
        return;
    }
    seen_ = table.current_revision();
    std::map<incarnation, entry> now;
    for (const auto& [id, target] : table.targets()) {
        now[id] = {target.name, target.draining};
    }
    for (const auto& [id, node] : table.nodes()) {
        now[id] = {node.name, false};
    }
    for (const auto& [id, e] : now) {
        const auto former = entries_.find(id);
        if (former == entries_.end()) {
            log("node_joined", id, e);
        } else if (e.draining && !former->second.draining) {
            log("node_draining", id, e);
        }
    }
    for (const auto& [id, e] : entries_) {
        if (!now.contains(id)) {
            log("node_left", id, e);
        }
    }
    entries_ = std::move(now);
}

void table_log::log(const char* event, incarnation id, const entry& e) const
{
    log_event(log_level::info, event,
              {{"subject", e.name}, {"incarnation", id.value}, {"revision", seen_.value}});
}

}  // namespace peridotcleat

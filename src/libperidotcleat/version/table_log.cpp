#include "peridotcleat/table_log.h"

#include <utility>

#include "peridotcleat/log.h"

namespace peridotcleat {

void table_log::log_changes(const table_state& table)
{
    if (table.current_revision() == logged_revision_) {
        return;
    }
    logged_revision_ = table.current_revision();
    std::map<incarnation, entry> current;
    for (const auto& [id, target] : table.targets()) {
        current[id] = {target.name, target.draining, target.lost};
    }
    for (const auto& [id, node] : table.nodes()) {
        current[id] = {node.name, false, false};
    }
    for (const auto& [id, e] : current) {
        const auto previous = entries_.find(id);
        if (previous == entries_.end()) {
            log("node_joined", id, e);
        } else if (e.lost && !previous->second.lost) {
            log("node_lost", id, e);
        } else if (e.draining && !previous->second.draining) {
            log("node_draining", id, e);
        }
    }
    for (const auto& [id, e] : entries_) {
        if (!current.contains(id)) {
            log("node_left", id, e);
        }
    }
    entries_ = std::move(current);
}

void table_log::log(const char* event, incarnation id, const entry& e) const
{
    log_event(log_level::info, event,
              {{"subject", e.name}, {"incarnation", id.value}, {"revision", logged_revision_.value}});
}

}  // namespace peridotcleat

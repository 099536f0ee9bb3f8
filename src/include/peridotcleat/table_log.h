#pragma once

#include <map>
#include <string>

#include "peridotcleat/table_state.h"

namespace peridotcleat {

/// Logs the targets and balancers that joined, left, started to drain or were lost, as the events
/// `node_joined`, `node_left`, `node_draining` and `node_lost`.
class table_log {
public:
    /// Logs the differences between `table` and the table of the last call.
    void log_changes(const table_state& table);

private:
    struct entry {
        std::string name;
        bool draining = false;
        bool lost = false;
    };

    void log(const char* event, incarnation id, const entry& e) const;

    revision logged_revision_;
    std::map<incarnation, entry> entries_;
};

}  // namespace peridotcleat

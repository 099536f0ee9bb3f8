#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "peridotcleat/replica.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat {

/// Ticket of an operator's request that waits for its answer.
using ticket = pvt::strong_id<struct ticket_tag>;

/// Where a patch stands on the nodes.
struct in_force_status {
    config_version version;
    revision at;
    /// True only if each live registered node has confirmed `at`.
    bool everywhere = false;
    /// False on a leader that has not heard of all nodes for a whole lease yet, and on a follower.
    bool known = false;
    /// Live nodes that have not confirmed yet.
    std::vector<std::string> lagging;
    /// Registered nodes that cannot be reached.
    std::vector<std::string> unreachable;
};

/// Answer to an operator's request.
struct operator_answer {
    ticket id;
    patch_answer patch;
};

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstdint>

#include "peridotcleat/types.h"

namespace peridotcleat {

/// Decides whether an agent's record of the flows of its target is complete, so that a flow that is not in
/// the record certainly does not exist.
///
/// Evidence is only what the agent has observed itself, by its steady clock and in the order of events. A
/// time of day is none: clocks are set back, and differ between processes.
class flow_coverage {
public:
    /// `started` is the start of the agent, from which it sees every packet of its target. `max_flow_age` is
    /// the greatest age of a flow.
    flow_coverage(time_point started, std::chrono::milliseconds max_flow_age) noexcept;

    /// Records that the target's port was closed at the start of the agent.
    void on_port_closed_at_start() noexcept { port_closed_at_start_ = true; }
    /// Records the sequence number of the first announcement that the agent has received.
    void on_first_announcement(std::int64_t sequence) noexcept;
    /// Records that the target has announced its end and that its port is closed since.
    void on_target_ended() noexcept { complete_ = true; }

    /// Returns true if the record is complete at `now`.
    [[nodiscard]] bool complete(time_point now) const noexcept;

private:
    time_point started_;
    std::chrono::milliseconds max_flow_age_;
    bool port_closed_at_start_ = false;
    bool complete_ = false;
};

}  // namespace peridotcleat

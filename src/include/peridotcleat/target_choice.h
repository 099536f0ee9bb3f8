#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotcleat/flow_routes.h"
#include "peridotcleat/message.h"
#include "peridotcleat/result.h"

namespace peridotcleat {

/// One target to which the opening packet of a flow was sent.
struct placement_attempt {
    endpoint agent;
    time_point sent_at;
    bool offered = false;
    bool declined = false;
    /// The target may queue the flow's request.
    bool may_queue = false;
    /// First sequence number of the target, from its offer.
    std::uint32_t sequence = 0;
    /// Time that a request would have to wait at the target, if it declined because no slot is free.
    std::optional<std::chrono::milliseconds> expected_wait;
};

/// Chooses the targets of new flows.
///
/// The reports of load are old by the time that they are used, and other balancers have the same ones. A
/// balancer that always chose the least loaded target would flood it together with all others. Therefore the
/// candidate is the better one of two random targets, and its agent, which knows the outstanding requests,
/// declines the flow if no slot is free. After several such answers the flow may be queued at the target that
/// has reported the shortest wait. Has no clock; not thread-safe.
class target_choice {
public:
    /// The target for an opening packet and the outstanding requests, in thousandths for each slot, from
    /// which on it declines the flow.
    struct choice {
        const flow_target* target = nullptr;
        std::int32_t max_outstanding_permille = 0;
        bool may_queue = false;
    };

    /// `zone_penalty_permille` is added to the load per slot of targets in other zones than `zone`.
    target_choice(std::string zone, std::int32_t zone_penalty_permille);

    /// Returns the next target for the flow `key` after `attempts`, or nothing if no target can serve it.
    [[nodiscard]] std::optional<choice> choose(time_point now, const flow_key& key,
                                               const flow_service& service,
                                               const std::vector<placement_attempt>& attempts) const;

    /// Records that an opening packet was sent to `agent`.
    void on_placed(time_point now, const endpoint& agent);
    /// Records that `agent` has reported the load of its target.
    void on_load(time_point now, const endpoint& agent, std::int32_t load_permille);
    /// Records whether the target of `agent` accepts new flows at all.
    void set_accepting(const endpoint& agent, bool accepting);
    /// Logs agents that have ceased to answer placements and those that answer again, and forgets agents that
    /// were silent for `max_silence`.
    void on_cleanup(time_point now, std::chrono::milliseconds max_silence);

    /// Latest reported load of the target of `agent`, in thousandths of a slot, and the time of the report.
    [[nodiscard]] std::pair<std::int32_t, time_point> reported_load(const endpoint& agent) const;

private:
    // What is known of one agent and its target besides the table.
    struct agent_state {
        // Reported load, in thousandths of a slot.
        std::int32_t reported_permille = 0;
        // Flows that were placed there since the last report.
        std::int32_t placed_since_report = 0;
        time_point last_report;
        bool accepting = true;
        // Time of the earliest placement to which the agent has not reacted; set anew when a lost agent is
        // tried again.
        std::optional<time_point> unanswered_since;
        // Whether the agent was last logged as lost.
        bool logged_lost = false;
    };

    [[nodiscard]] const flow_target* pick(time_point now, const flow_key& key, const flow_service& service,
                                          const std::vector<placement_attempt>& attempts) const;
    [[nodiscard]] std::int64_t cost_of(const flow_target& target) const;
    [[nodiscard]] bool is_unavailable(time_point now, const flow_target& target) const;

    std::string zone_;
    std::int32_t zone_penalty_permille_;
    // States by the `route_number` of the agent's address.
    std::unordered_map<std::int64_t, agent_state> agents_;
};

}  // namespace peridotcleat

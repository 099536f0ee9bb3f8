#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peridotcleat/types.h"

namespace peridotcleat::testing {

/// State of one flow at its caller.
struct caller_flow_state {
    enum class phase : std::uint8_t { opening, open, closing, closed, failed };

    flow_key key;
    service_id service;
    std::int64_t nonce = 0;
    phase current_phase = phase::opening;
    incarnation holder;
    flow_token token;
    time_point opening_since;
    /// Time of the first unanswered packet of an open flow.
    std::optional<time_point> unanswered_since;
    time_point next_send;
    /// Time at which the caller closes the flow.
    time_point close_at;
};

/// Checks the invariants of flows during a run. The simulation reports the events at callers and agents and
/// the changes that it makes; violations are collected as text.
class flow_checker {
public:
    /// A draining target accepts no new flow later than this time after draining has begun.
    static constexpr std::chrono::seconds drain_limit{5};

    /// An open flow must get an answer within `answer_limit`, which leaves time until all tables agree and
    /// for repetitions of lost packets.
    explicit flow_checker(std::chrono::milliseconds answer_limit) : answer_limit_(answer_limit) {}

    void on_target_joined(incarnation id, service_id service) { targets_[id].service = service; }
    void on_target_draining(time_point now, incarnation id) { targets_[id].draining_since = now; }
    /// Records that the target has failed without a planned change: its flows are lost, and until
    /// `outage_end` so are the packets that are routed to it as the owner of their buckets.
    void on_target_failed(incarnation id, time_point outage_end)
    {
        targets_[id].failed = true;
        outage_until_ = std::max(outage_until_, outage_end);
    }
    void on_target_left(time_point now, incarnation id, std::size_t flows)
    {
        if (flows != 0 && !targets_[id].failed) {
            report(now, "target " + std::to_string(id.value) + " left with flows");
        }
    }
    /// Records that the service was removed; its flows end with it.
    void on_service_removed(service_id service) { removed_services_[service] = true; }
    /// Records that the service has lost the address; the flows of the service to that address end.
    void on_address_removed(const endpoint& address, service_id service)
    {
        removed_addresses_[{address, service}] = true;
    }

    /// Checks the event that a target has opened the flow.
    void on_opened(time_point now, incarnation target, const caller_flow_state& flow)
    {
        const target_state& t = targets_[target];
        check_service(now, target, flow);
        if (t.draining_since && *t.draining_since + drain_limit < now) {
            report(now, "target " + std::to_string(target.value) + " opened " + to_string(flow.key) +
                            " long after draining");
        }
        ++opened_;
    }
    /// Checks the event that a target has passed a payload of the flow to its request layer.
    void on_delivered(time_point now, incarnation target, const caller_flow_state& flow)
    {
        check_service(now, target, flow);
        ++delivered_;
    }

    /// Checks that all `flow_open_ack` messages with the flow's nonce name the same holder.
    void on_ack(time_point now, const caller_flow_state& flow, incarnation holder, flow_token token)
    {
        const auto [it, inserted] = holders_.try_emplace(flow.nonce, holder, token);
        const bool caller_accepts = flow.current_phase == caller_flow_state::phase::opening ||
                                    flow.current_phase == caller_flow_state::phase::open;
        // After the first holder has failed, a repeated opening packet may get another holder.
        if (!inserted && caller_accepts && it->second != std::pair(holder, token) &&
            !targets_[it->second.first].failed) {
            report(now, "two holders of " + to_string(flow.key) + ": " +
                            std::to_string(it->second.first.value) + " and " + std::to_string(holder.value));
        }
    }
    /// Reports a violation if a flow is reset that is open and must not end.
    void on_reset(time_point now, const caller_flow_state& flow)
    {
        if (flow.current_phase == caller_flow_state::phase::open && !may_end(flow)) {
            report(now, "open flow " + to_string(flow.key) + " at " + std::to_string(flow.holder.value) +
                            " was reset");
        }
    }
    /// Checks that an open flow gets answers in time. Call periodically.
    void check_answer(time_point now, const caller_flow_state& flow)
    {
        if (flow.current_phase == caller_flow_state::phase::open && flow.unanswered_since && !may_end(flow) &&
            std::max(*flow.unanswered_since, outage_until_) + answer_limit_ < now) {
            report(now, "open flow " + to_string(flow.key) + " at " + std::to_string(flow.holder.value) +
                            " gets no answer");
        }
    }

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
    [[nodiscard]] std::uint64_t opened() const noexcept { return opened_; }
    [[nodiscard]] std::uint64_t delivered() const noexcept { return delivered_; }
    /// Returns true if the flow may end although its caller has not closed it.
    [[nodiscard]] bool may_end(const caller_flow_state& flow) const
    {
        const auto t = targets_.find(flow.holder);
        return (t != targets_.end() && t->second.failed) || removed_services_.contains(flow.service) ||
               removed_addresses_.contains({flow.key.destination, flow.service});
    }

private:
    struct target_state {
        service_id service;
        std::optional<time_point> draining_since;
        bool failed = false;
    };

    void check_service(time_point now, incarnation target, const caller_flow_state& flow)
    {
        if (targets_[target].service != flow.service) {
            report(now, "packet of " + to_string(flow.key) + " reached another service at " +
                            std::to_string(target.value));
        }
    }

    void report(time_point now, const std::string& violation)
    {
        // The first violations show the cause; later ones repeat it.
        if (violations_.size() < 10) {
            violations_.push_back(
                std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()) +
                " ms: " + violation);
        }
    }

    std::chrono::milliseconds answer_limit_;
    std::map<incarnation, target_state> targets_;
    std::map<service_id, bool> removed_services_;
    std::map<std::pair<endpoint, service_id>, bool> removed_addresses_;
    std::map<std::int64_t, std::pair<incarnation, flow_token>> holders_;
    time_point outage_until_;
    std::vector<std::string> violations_;
    std::uint64_t opened_ = 0;
    std::uint64_t delivered_ = 0;
};

}  // namespace peridotcleat::testing

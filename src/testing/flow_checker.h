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

/// One flow as its caller sees it.
struct caller_flow_state {
    enum class phase : std::uint8_t { opening, open, closing, closed, failed };

    flow_key key;
    service_id service;
    std::int64_t nonce = 0;
    phase at = phase::opening;
    incarnation holder;
    flow_token token;
    time_point began;
    /// First unanswered packet of an open flow.
    std::optional<time_point> unanswered;
    time_point next_send;
    time_point closes;
};

/// Checks the invariants of flows while a run goes on. The driver reports what callers and agents see, and
/// the changes that it makes; violations are collected as text.
class flow_checker {
public:
    /// A draining target takes no new flow later than this.
    static constexpr std::chrono::seconds drain_limit{5};

    /// An open flow must get an answer within `answer_limit`, which leaves time until all tables agree and
    /// for repetitions of lost packets.
    explicit flow_checker(std::chrono::milliseconds answer_limit) : answer_limit_(answer_limit) {}

    void on_target_joined(incarnation id, service_id service) { targets_[id].service = service; }
    void on_target_draining(time_point now, incarnation id) { targets_[id].draining_since = now; }
    /// The target failed without a planned change; what it held is lost, and packets that its buckets attract
    /// are lost until `until`.
    void on_target_failed(incarnation id, time_point until)
    {
        targets_[id].failed = true;
        outage_until_ = std::max(outage_until_, until);
    }
    void on_target_left(time_point now, incarnation id, std::size_t flows)
    {
        if (flows != 0 && !targets_[id].failed) {
            report(now, "target " + std::to_string(id.value) + " left with flows");
        }
    }
    /// Flows to the address or service end with it.
    void on_service_removed(service_id service) { removed_services_[service] = true; }
    void on_address_removed(const endpoint& address, service_id service)
    {
        removed_addresses_[{address, service}] = true;
    }

    /// An agent opened a flow or handed a payload of the flow to the layer above.
    void on_opened(time_point now, incarnation at, const caller_flow_state& flow)
    {
        const target_state& t = targets_[at];
        check_service(now, at, flow);
        if (t.draining_since && *t.draining_since + drain_limit < now) {
            report(now, "target " + std::to_string(at.value) + " opened " + to_string(flow.key) +
                            " long after draining");
        }
        ++opened_;
    }
    void on_delivered(time_point now, incarnation at, const caller_flow_state& flow)
    {
        check_service(now, at, flow);
        ++delivered_;
    }

    /// The caller got an open_ack for the flow's nonce.
    void on_ack(time_point now, const caller_flow_state& flow, incarnation holder, flow_token token)
    {
        const auto [it, first] = holders_.try_emplace(flow.nonce, holder, token);
        const bool wanted =
            flow.at == caller_flow_state::phase::opening || flow.at == caller_flow_state::phase::open;
        // After the first holder has failed, a repeated opening rightly finds another one.
        if (!first && wanted && it->second != std::pair(holder, token) &&
            !targets_[it->second.first].failed) {
            report(now, "two holders of " + to_string(flow.key) + ": " +
                            std::to_string(it->second.first.value) + " and " + std::to_string(holder.value));
        }
    }
    /// The caller got a reset that names the flow's token.
    void on_reset(time_point now, const caller_flow_state& flow)
    {
        if (flow.at == caller_flow_state::phase::open && !excused(flow)) {
            report(now, "open flow " + to_string(flow.key) + " at " + std::to_string(flow.holder.value) +
                            " was reset");
        }
    }
    /// Looks at an open flow once in a while.
    void check_answer(time_point now, const caller_flow_state& flow)
    {
        if (flow.at == caller_flow_state::phase::open && flow.unanswered && !excused(flow) &&
            std::max(*flow.unanswered, outage_until_) + answer_limit_ < now) {
            report(now, "open flow " + to_string(flow.key) + " at " + std::to_string(flow.holder.value) +
                            " gets no answer");
        }
    }

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
    [[nodiscard]] std::uint64_t opened() const noexcept { return opened_; }
    [[nodiscard]] std::uint64_t delivered() const noexcept { return delivered_; }
    /// True if the flow may end without its caller's wish.
    [[nodiscard]] bool excused(const caller_flow_state& flow) const
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

    void check_service(time_point now, incarnation at, const caller_flow_state& flow)
    {
        if (targets_[at].service != flow.service) {
            report(now, "packet of " + to_string(flow.key) + " reached another service at " +
                            std::to_string(at.value));
        }
    }

    void report(time_point now, const std::string& what)
    {
        // The first ones tell the cause; later ones repeat it.
        if (violations_.size() < 10) {
            violations_.push_back(
                std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()) +
                " ms: " + what);
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

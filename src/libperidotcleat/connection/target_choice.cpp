#include "peridotcleat/target_choice.h"

#include <algorithm>
#include <array>
#include <utility>

#include "peridotcleat/hash.h"
#include "peridotcleat/log.h"

namespace peridotcleat {

namespace {

using std::chrono::milliseconds;

// An agent answers a placement within one round trip between zones. After this time without an answer it
// counts as lost until it sends a message; callers have not yet resent their opening packet by then.
constexpr milliseconds placement_timeout{120};
// A lost agent gets a placement again after this time, because it may have had nothing to send.
constexpr milliseconds lost_agent_retry{2000};
// A target that refuses flows gets a placement again after this time without a report.
constexpr milliseconds refusal_retry{1000};
// Load of a flow that was placed and is not in the target's report yet, in thousandths of a slot.
constexpr std::int32_t placed_permille = 150;
// Targets without a free slot that are asked before the flow may be queued.
constexpr std::ptrdiff_t free_slot_attempts = 5;
constexpr std::int32_t free_slot_permille = 1000;
// Targets that may queue the flow before it is refused. With those that were asked for a free slot, each one
// round trip between zones away, a refusal takes less than a quarter of a latency objective of 300 ms.
constexpr std::ptrdiff_t queue_attempts = 4;
// Outstanding requests up to which a request is queued, in thousandths for each slot. Callers have time for
// that wait, while a refusal costs them one of few retries. Targets shed requests beyond four waiting ones a
// slot.
constexpr std::int32_t queue_permille = 3500;
// A request is queued in another zone only if it waits there for less time by this much.
constexpr milliseconds zone_change_wait{20};

const placement_attempt* find_attempt(const std::vector<placement_attempt>& attempts, const endpoint& agent)
{
    const auto it = std::ranges::find(attempts, agent, &placement_attempt::agent);
    return it == attempts.end() ? nullptr : &*it;
}

}  // namespace

target_choice::target_choice(std::string zone, std::int32_t zone_penalty_permille)
    : zone_(std::move(zone)), zone_penalty_permille_(zone_penalty_permille)
{
}

std::optional<target_choice::choice>
target_choice::choose(time_point now, const flow_key& key, const flow_service& service,
                      const std::vector<placement_attempt>& attempts) const
{
    const auto full = std::ranges::count_if(
        attempts, [](const placement_attempt& a) { return a.expected_wait.has_value() || a.may_queue; });
    if (full < free_slot_attempts) {
        if (const flow_target* target = pick(now, key, service, attempts)) {
            return choice{target, free_slot_permille, false};
        }
    }
    if (std::ranges::count_if(attempts, &placement_attempt::may_queue) >= queue_attempts) {
        return std::nullopt;
    }
    choice best;
    std::pair<milliseconds, std::int64_t> best_cost;
    for (const flow_target& t : service.targets) {
        const placement_attempt* a = find_attempt(attempts, t.agent);
        if (a == nullptr || a->may_queue || !a->expected_wait || t.draining) {
            continue;
        }
        const std::pair cost{*a->expected_wait + (t.zone == zone_ ? milliseconds(0) : zone_change_wait),
                             cost_of(t)};
        if (best.target == nullptr || cost < best_cost) {
            best = {&t, queue_permille, true};
            best_cost = cost;
        }
    }
    return best.target == nullptr ? std::nullopt : std::optional(best);
}

// Returns the better one of two random targets of the own zone or, if it costs less, the better one of two
// random targets of other zones. Targets that are lost or refuse flows are used only if there is no other
// one.
const flow_target* target_choice::pick(time_point now, const flow_key& key, const flow_service& service,
                                       const std::vector<placement_attempt>& attempts) const
{
    // Of each group: number of targets seen so far and the two that are kept, each with the same probability.
    struct sample {
        std::uint64_t seen = 0;
        std::array<const flow_target*, 2> kept{};
    };
    std::array<sample, 2> groups;
    const flow_target* unavailable = nullptr;
    std::uint64_t random = combine(hash_of(key), attempts.size());
    for (const flow_target& t : service.targets) {
        if (t.draining || find_attempt(attempts, t.agent) != nullptr) {
            continue;
        }
        if (is_unavailable(now, t)) {
            unavailable = unavailable == nullptr || cost_of(t) < cost_of(*unavailable) ? &t : unavailable;
            continue;
        }
        sample& group = groups[t.zone == zone_ ? 0 : 1];
        random = mix(random + 0x9e3779b97f4a7c15ULL);
        const std::uint64_t position = group.seen < 2 ? group.seen : random % (group.seen + 1);
        ++group.seen;
        if (position < 2) {
            group.kept[position] = &t;
        }
    }
    const flow_target* best = nullptr;
    for (const sample& group : groups) {
        for (const flow_target* t : group.kept) {
            if (t != nullptr && (best == nullptr || cost_of(*t) < cost_of(*best))) {
                best = t;
            }
        }
    }
    return best == nullptr ? unavailable : best;
}

std::int64_t target_choice::cost_of(const flow_target& target) const
{
    const std::int64_t zone_penalty = target.zone == zone_ ? 0 : zone_penalty_permille_;
    const auto it = agents_.find(route_number(target.agent));
    if (it == agents_.end()) {
        return zone_penalty;
    }
    const agent_state& state = it->second;
    return zone_penalty + ((state.reported_permille + (state.placed_since_report * placed_permille)) /
                           std::max<std::int64_t>(target.slots, 1));
}

bool target_choice::is_unavailable(time_point now, const flow_target& target) const
{
    const auto it = agents_.find(route_number(target.agent));
    if (it == agents_.end()) {
        return false;
    }
    const agent_state& state = it->second;
    const bool lost = state.unanswered_since && now - *state.unanswered_since > placement_timeout &&
                      now - *state.unanswered_since < lost_agent_retry;
    const bool refusing = !state.accepting && now - state.last_report < refusal_retry;
    return lost || refusing;
}

void target_choice::on_placed(time_point now, const endpoint& agent)
{
    agent_state& state = agents_[route_number(agent)];
    ++state.placed_since_report;
    if (!state.unanswered_since || now - *state.unanswered_since >= lost_agent_retry) {
        state.unanswered_since = now;
    }
}

void target_choice::on_load(time_point now, const endpoint& agent, std::int32_t load_permille)
{
    agent_state& state = agents_[route_number(agent)];
    state.unanswered_since.reset();
    state.reported_permille = load_permille;
    state.last_report = now;
    state.placed_since_report = 0;
}

void target_choice::set_accepting(const endpoint& agent, bool accepting)
{
    agents_[route_number(agent)].accepting = accepting;
}

std::pair<std::int32_t, time_point> target_choice::reported_load(const endpoint& agent) const
{
    const auto it = agents_.find(route_number(agent));
    return it == agents_.end() ? std::pair<std::int32_t, time_point>{}
                               : std::pair(it->second.reported_permille, it->second.last_report);
}

void target_choice::on_cleanup(time_point now, milliseconds max_silence)
{
    for (auto& [agent, state] : agents_) {
        const bool lost = state.unanswered_since && now - *state.unanswered_since > placement_timeout;
        if (lost == state.logged_lost) {
            continue;
        }
        state.logged_lost = lost;
        log_event(lost ? log_level::warning : log_level::info, lost ? "agent_lost" : "agent_regained",
                  {{"agent", to_string(route_address(agent))},
                   {"heard_ms", std::chrono::duration_cast<milliseconds>(now - state.last_report).count()}});
    }
    std::erase_if(agents_, [=](const auto& item) {
        return now - item.second.last_report > max_silence && !item.second.unanswered_since;
    });
}

}  // namespace peridotcleat

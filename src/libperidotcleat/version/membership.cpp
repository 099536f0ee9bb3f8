#include "peridotcleat/membership.h"

#include <algorithm>
#include <utility>

namespace peridotcleat {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds expiry_period{1000};
// After a pause of the leader's process longer than this, the recorded times of the last messages from nodes
// are not meaningful.
constexpr milliseconds pause_limit{1000};
// A proposal that is neither applied nor refused within this time may be repeated; applying a change twice
// has no further effect.
constexpr milliseconds proposal_timeout{5000};
// A new nonce replaces the registered incarnation only if it is announced again after this time, so that a
// single delayed datagram of an earlier start does not remove the current incarnation. Processes announce
// once a second.
constexpr milliseconds replacement_delay{500};
constexpr std::size_t max_retired_nonces = 8;
constexpr milliseconds service_unknown_retry_delay{2000};
// Group of all balancers, which share one expiry window. No service has this id.
constexpr service_id balancer_group{0};

wire::announce_reply make_reply(const wire::announce& request, incarnation id, error_code code,
                                milliseconds retry_after = milliseconds(0))
{
    wire::announce_reply reply;
    reply.nonce = request.nonce;
    reply.incarnation = id.value;
    reply.code = static_cast<std::int32_t>(code);
    reply.revision = id.value;
    reply.retry_after_ms = static_cast<std::int32_t>(retry_after.count());
    return reply;
}

std::size_t max_expiries(std::size_t node_count) { return std::max<std::size_t>(node_count / 5, 1); }

}  // namespace

membership::membership(membership_timing timing, counters& event_counters)
    : timing_(timing), counters_(&event_counters)
{
}

void membership::start(time_point now)
{
    leases_start_ = now;
    last_expiry_check_ = now;
    join_histories_.clear();
    expiry_windows_.clear();
    pending_proposals_.clear();
    joined_at_.clear();
    lost_since_.clear();
    leaving_.clear();
}

bool membership::full_lease_elapsed(time_point now) const { return now - leases_start_ >= timing_.lease; }

bool membership::test_and_set_pending(time_point now, std::int64_t id)
{
    const auto [it, added] = pending_proposals_.try_emplace(id, now);
    if (added || now - it->second > proposal_timeout) {
        it->second = now;
        return false;
    }
    return true;
}

announce_decision membership::on_announce(time_point now, const wire::announce& request,
                                          const table_state& table)
{
    const endpoint address = from_wire(request.address);
    const bool is_target = request.role == static_cast<std::int8_t>(node_role::target);
    const auto registered = is_target ? table.find_target(address) : table.find_node(address);
    if (registered) {
        const std::int64_t nonce =
            is_target ? table.targets().at(*registered).nonce : table.nodes().at(*registered).nonce;
        if (nonce == request.nonce) {
            return decide_registered(now, request, *registered,
                                     is_target && table.targets().at(*registered).draining);
        }
    }
    if (request.state == static_cast<std::int8_t>(node_state::leaving)) {
        // The node has left already. A delayed announcement of the same start must not make it join again.
        retire_nonce({is_target ? node_role::target : node_role::balancer, address}, request.nonce);
        return {std::nullopt, make_reply(request, {}, error_code::target_unknown)};
    }
    return decide_join(now, request, table, registered);
}

announce_decision membership::decide_registered(time_point now, const wire::announce& request, incarnation id,
                                                bool draining)
{
    announce_decision decision;
    decision.reply = make_reply(request, id, error_code::ok);
    const bool is_target = request.role == static_cast<std::int8_t>(node_role::target);
    const auto state = static_cast<node_state>(request.state);
    wire::change change;
    if (state == node_state::leaving) {
        if (test_and_set_pending(now, -id.value)) {
            return decision;
        }
        const node_key key{is_target ? node_role::target : node_role::balancer, from_wire(request.address)};
        leaving_[id] = {key, request.nonce};
        if (is_target) {
            change.__set_leave_target(id.value);
        } else {
            change.__set_leave_node(id.value);
        }
        decision.change = std::move(change);
    } else if (is_target && state == node_state::draining && !draining &&
               !test_and_set_pending(now, id.value)) {
        change.__set_drain_target(id.value);
        decision.change = std::move(change);
    }
    return decision;
}

announce_decision membership::decide_join(time_point now, const wire::announce& request,
                                          const table_state& table, std::optional<incarnation> registered)
{
    const bool is_target = request.role == static_cast<std::int8_t>(node_role::target);
    const node_key key{is_target ? node_role::target : node_role::balancer, from_wire(request.address)};
    std::optional<service_id> service;
    if (is_target) {
        service = table.find_service(request.service_name);
        if (!service) {
            return {std::nullopt,
                    make_reply(request, {}, error_code::service_unknown, service_unknown_retry_delay)};
        }
    }
    join_history& history = join_histories_[key];
    if (std::ranges::find(history.retired_nonces, request.nonce) != history.retired_nonces.end()) {
        // A node that was removed before it learned of its join still announces this nonce and needs a new
        // one. A later start of the node ignores the reply, which names another nonce.
        return {std::nullopt, make_reply(request, {}, error_code::wrong_incarnation)};
    }
    if (now < history.next_join) {
        counters_->count_refusal(error_code::join_delayed);
        const auto remaining_delay = std::chrono::duration_cast<milliseconds>(history.next_join - now);
        return {std::nullopt,
                make_reply(request, {}, error_code::join_delayed, remaining_delay + milliseconds(1))};
    }
    // A lost incarnation does not come back under its nonce, so its successor need not wait.
    const bool may_be_alive = registered && !(is_target && table.targets().at(*registered).lost);
    if (may_be_alive && history.replacement_nonce != request.nonce) {
        history.replacement_nonce = request.nonce;
        history.replacement_first_announced = now;
        return {};
    }
    if ((may_be_alive && now - history.replacement_first_announced < replacement_delay) ||
        test_and_set_pending(now, request.nonce)) {
        return {};
    }
    wire::change change;
    if (is_target) {
        wire::target_join join;
        join.value.service_id = service->value;
        join.value.agent = request.address;
        join.value.zone = request.zone;
        join.value.slots = std::max(request.slots, 1);
        join.value.connections = std::max(request.connections, 1);
        join.value.draining = request.state == static_cast<std::int8_t>(node_state::draining);
        join.value.nonce = request.nonce;
        join.value.name = request.name;
        if (registered) {
            join.__set_replaces(registered->value);
        }
        change.__set_join_target(join);
    } else {
        wire::node_join join;
        join.value.name = request.name;
        join.value.zone = request.zone;
        join.value.control = request.address;
        join.value.nonce = request.nonce;
        if (registered) {
            join.__set_replaces(registered->value);
        }
        change.__set_join_node(join);
    }
    if (registered) {
        const std::int64_t registered_nonce =
            is_target ? table.targets().at(*registered).nonce : table.nodes().at(*registered).nonce;
        leaving_[*registered] = {key, registered_nonce};
    }
    return {std::move(change), std::nullopt};
}

void membership::retire_nonce(const node_key& key, std::int64_t nonce)
{
    auto& retired_nonces = join_histories_[key].retired_nonces;
    if (std::ranges::find(retired_nonces, nonce) != retired_nonces.end()) {
        return;
    }
    if (retired_nonces.size() == max_retired_nonces) {
        retired_nonces.erase(retired_nonces.begin());
    }
    retired_nonces.push_back(nonce);
}

void membership::record_join(time_point now, const node_key& key)
{
    join_history& h = join_histories_[key];
    if (h.last_join != time_point{}) {
        const auto decay_periods = (now - h.last_join) / timing_.backoff_half_life;
        for (std::int64_t i = 0; i < decay_periods && h.backoff.count() > 0; ++i) {
            h.backoff = h.backoff / 2 < timing_.min_backoff ? milliseconds(0) : h.backoff / 2;
        }
    }
    h.backoff = std::clamp(h.backoff * 2, timing_.min_backoff, timing_.max_backoff);
    h.last_join = now;
    h.next_join = now + h.backoff;
    h.replacement_nonce = 0;
}

std::optional<wire::announce_reply> membership::on_applied(time_point now, const wire::change& change,
                                                           const apply_outcome& outcome)
{
    forget_proposal(change);
    const bool is_target = change.__isset.join_target;
    if (!is_target && !change.__isset.join_node) {
        const std::int64_t left_id =
            change.__isset.leave_target
                ? change.leave_target
                : (change.__isset.lose_target ? change.lose_target : change.leave_node);
        if (const auto it = leaving_.find(incarnation{left_id}); it != leaving_.end()) {
            retire_nonce(it->second.first, it->second.second);
            leaving_.erase(it);
        }
        return std::nullopt;
    }
    wire::announce request;
    request.nonce = is_target ? change.join_target.value.nonce : change.join_node.value.nonce;
    if (!outcome.joined) {
        const error_code code = outcome.refused ? outcome.refused->code : error_code::table_full;
        return make_reply(request, {}, code, service_unknown_retry_delay);
    }
    const std::int64_t replaced = is_target ? change.join_target.replaces : change.join_node.replaces;
    if (const auto it = leaving_.find(incarnation{replaced}); it != leaving_.end()) {
        retire_nonce(it->second.first, it->second.second);
        leaving_.erase(it);
    }
    joined_at_[*outcome.joined] = now;
    record_join(now,
                {is_target ? node_role::target : node_role::balancer,
                 from_wire(is_target ? change.join_target.value.agent : change.join_node.value.control)});
    return make_reply(request, *outcome.joined, error_code::ok);
}

void membership::forget_proposal(const wire::change& change)
{
    if (change.__isset.join_target) {
        pending_proposals_.erase(change.join_target.value.nonce);
    } else if (change.__isset.join_node) {
        pending_proposals_.erase(change.join_node.value.nonce);
    } else if (change.__isset.leave_target) {
        pending_proposals_.erase(-change.leave_target);
    } else if (change.__isset.lose_target) {
        pending_proposals_.erase(-change.lose_target);
    } else if (change.__isset.leave_node) {
        pending_proposals_.erase(-change.leave_node);
    } else if (change.__isset.drain_target) {
        pending_proposals_.erase(change.drain_target);
    }
}

bool membership::lease_expired(time_point now, incarnation id, const relay& own_relay) const
{
    const auto joined = joined_at_.find(id);
    if (joined != joined_at_.end() && now - joined->second <= timing_.lease) {
        return false;
    }
    const auto node = own_relay.find(id);
    return !node || now - node->last_heard > timing_.lease;
}

bool membership::consume_expiry_quota(time_point now, service_id group, std::size_t node_count)
{
    expiry_window& window = expiry_windows_[group];
    if (now - window.start >= expiry_period) {
        window = {now, 0};
    }
    if (window.count >= max_expiries(node_count)) {
        return false;
    }
    ++window.count;
    return true;
}

bool membership::retention_elapsed(time_point now, incarnation id)
{
    const auto [it, first_seen] = lost_since_.try_emplace(id, now);
    return !first_seen && now - it->second >= timing_.lost_target_retention;
}

std::vector<wire::change> membership::expire_leases(time_point now, const table_state& table,
                                                    const relay& own_relay)
{
    std::vector<wire::change> changes;
    if (now - last_expiry_check_ > pause_limit) {
        leases_start_ = now;
    }
    last_expiry_check_ = now;
    if (!full_lease_elapsed(now)) {
        return changes;
    }
    std::erase_if(joined_at_, [&](const auto& j) { return now - j.second > timing_.lease; });
    std::erase_if(lost_since_, [&](const auto& l) { return !table.targets().contains(l.first); });
    for (const auto& [id, target] : table.targets()) {
        const service_id service{target.service_id};
        const bool due = target.lost ? retention_elapsed(now, id) : lease_expired(now, id, own_relay);
        if (!due || test_and_set_pending(now, -id.value)) {
            continue;
        }
        if (!consume_expiry_quota(now, service, table.targets_of(service).size())) {
            pending_proposals_.erase(-id.value);
            continue;
        }
        leaving_[id] = {{node_role::target, from_wire(target.agent)}, target.nonce};
        if (target.lost || timing_.lost_target_retention == milliseconds(0)) {
            changes.emplace_back().__set_leave_target(id.value);
        } else {
            changes.emplace_back().__set_lose_target(id.value);
        }
    }
    for (const auto& [id, node] : table.nodes()) {
        if (!lease_expired(now, id, own_relay) || test_and_set_pending(now, -id.value)) {
            continue;
        }
        if (!consume_expiry_quota(now, balancer_group, table.nodes().size())) {
            pending_proposals_.erase(-id.value);
            continue;
        }
        leaving_[id] = {{node_role::balancer, from_wire(node.control)}, node.nonce};
        changes.emplace_back().__set_leave_node(id.value);
    }
    counters_->add(event::leases_expired, changes.size());
    return changes;
}

std::vector<node_report> membership::nodes(time_point now, const table_state& table,
                                           const relay& own_relay) const
{
    std::vector<node_report> all;
    const auto add = [&](node_report report) {
        if (const auto node = own_relay.find(report.id)) {
            report.confirmed = node->confirmed;
            report.silence = std::chrono::duration_cast<milliseconds>(now - node->last_heard);
        }
        all.push_back(std::move(report));
    };
    for (const auto& [id, node] : table.nodes()) {
        add({node.name, node_role::balancer, node.zone, id, {}, std::nullopt, false});
    }
    for (const auto& [id, target] : table.targets()) {
        add({target.name, node_role::target, target.zone, id, {}, std::nullopt, target.draining});
    }
    return all;
}

in_force_status membership::status(time_point now, revision table_revision, const table_state& table,
                                   const relay& own_relay) const
{
    in_force_status status;
    status.table_revision = table_revision;
    status.known = full_lease_elapsed(now);
    for (node_report& report : nodes(now, table, own_relay)) {
        // A node that has just joined and has not been heard by any relay yet counts as lagging, not as
        // unreachable.
        const bool newly_joined = joined_at_.contains(report.id) && !report.silence;
        if (!newly_joined && (!report.silence || *report.silence >= relay::silence_limit)) {
            status.unreachable.push_back(std::move(report.name));
        } else if (report.confirmed < table_revision) {
            status.lagging.push_back(std::move(report.name));
        }
    }
    status.everywhere = status.known && status.lagging.empty();
    return status;
}

}  // namespace peridotcleat

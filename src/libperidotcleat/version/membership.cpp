#include "peridotcleat/membership.h"

#include <algorithm>
#include <utility>

namespace peridotcleat {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds expiry_period{1000};
// A pause of the leader's process of this length makes all times of hearing worthless.
constexpr milliseconds pause_limit{1000};
// A proposal that is neither applied nor dropped by then may be repeated; applying a change twice is
// harmless.
constexpr milliseconds proposal_timeout{5000};
// A new nonce replaces an incarnation only if it is announced again after this time, so that one delayed
// datagram of a former start does not throw out the present one. Processes announce once a second.
constexpr milliseconds contender_time{500};
constexpr std::size_t max_retired = 8;
constexpr milliseconds service_unknown_retry{2000};
// Balancers share one window of expiries; no service has this id.
constexpr service_id balancer_group{0};

wire::announce_reply answer(const wire::announce& request, incarnation id, error_code code,
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

std::size_t share(std::size_t size) { return std::max<std::size_t>(size / 5, 1); }

}  // namespace

membership::membership(membership_timing timing, counters& counted) : timing_(timing), counted_(&counted) {}

void membership::start(time_point now)
{
    started_ = now;
    last_expire_ = now;
    history_.clear();
    windows_.clear();
    proposed_.clear();
    joined_.clear();
    leaving_.clear();
}

bool membership::first_lease_over(time_point now) const { return now - started_ >= timing_.lease; }

bool membership::under_way(time_point now, std::int64_t id)
{
    const auto [it, added] = proposed_.try_emplace(id, now);
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
    const auto present = is_target ? table.find_target(address) : table.find_node(address);
    if (present) {
        const std::int64_t nonce =
            is_target ? table.targets().at(*present).nonce : table.nodes().at(*present).nonce;
        if (nonce == request.nonce) {
            return decide_present(now, request, *present, is_target && table.targets().at(*present).draining);
        }
    }
    if (request.state == static_cast<std::int8_t>(node_state::leaving)) {
        // It has left already; an older announcement of the same start may still be on its way.
        retire({is_target ? node_role::target : node_role::balancer, address}, request.nonce);
        return {std::nullopt, answer(request, {}, error_code::target_unknown)};
    }
    return decide_join(now, request, table, present);
}

announce_decision membership::decide_present(time_point now, const wire::announce& request, incarnation id,
                                             bool draining)
{
    announce_decision d;
    d.reply = answer(request, id, error_code::ok);
    const bool is_target = request.role == static_cast<std::int8_t>(node_role::target);
    const auto state = static_cast<node_state>(request.state);
    wire::change change;
    if (state == node_state::leaving) {
        if (under_way(now, -id.value)) {
            return d;
        }
        const node_key key{is_target ? node_role::target : node_role::balancer, from_wire(request.address)};
        leaving_[id] = {key, request.nonce};
        if (is_target) {
            change.__set_leave_target(id.value);
        } else {
            change.__set_leave_node(id.value);
        }
        d.change = std::move(change);
    } else if (is_target && state == node_state::draining && !draining && !under_way(now, id.value)) {
        change.__set_drain_target(id.value);
        d.change = std::move(change);
    }
    return d;
}

announce_decision membership::decide_join(time_point now, const wire::announce& request,
                                          const table_state& table, std::optional<incarnation> present)
{
    const bool is_target = request.role == static_cast<std::int8_t>(node_role::target);
    const node_key key{is_target ? node_role::target : node_role::balancer, from_wire(request.address)};
    std::optional<service_id> service;
    if (is_target) {
        service = table.find_service(request.service_name);
        if (!service) {
            return {std::nullopt, answer(request, {}, error_code::service_unknown, service_unknown_retry)};
        }
    }
    join_history& history = history_[key];
    if (std::ranges::find(history.retired, request.nonce) != history.retired.end()) {
        // A node whose place ended before it heard of it still announces this nonce and needs a new one; to a
        // later start of the node the answer means nothing.
        return {std::nullopt, answer(request, {}, error_code::wrong_incarnation)};
    }
    if (now < history.next_join) {
        counted_->refuse(error_code::join_delayed);
        const auto wait = std::chrono::duration_cast<milliseconds>(history.next_join - now);
        return {std::nullopt, answer(request, {}, error_code::join_delayed, wait + milliseconds(1))};
    }
    if (present && history.contender != request.nonce) {
        history.contender = request.nonce;
        history.contender_since = now;
        return {};
    }
    if ((present && now - history.contender_since < contender_time) || under_way(now, request.nonce)) {
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
        if (present) {
            join.__set_replaces(present->value);
        }
        change.__set_join_target(join);
    } else {
        wire::node_join join;
        join.value.name = request.name;
        join.value.zone = request.zone;
        join.value.control = request.address;
        join.value.nonce = request.nonce;
        if (present) {
            join.__set_replaces(present->value);
        }
        change.__set_join_node(join);
    }
    if (present) {
        const std::int64_t old =
            is_target ? table.targets().at(*present).nonce : table.nodes().at(*present).nonce;
        leaving_[*present] = {key, old};
    }
    return {std::move(change), std::nullopt};
}

void membership::retire(const node_key& key, std::int64_t nonce)
{
    auto& retired = history_[key].retired;
    if (std::ranges::find(retired, nonce) != retired.end()) {
        return;
    }
    if (retired.size() == max_retired) {
        retired.erase(retired.begin());
    }
    retired.push_back(nonce);
}

void membership::note_join(time_point now, const node_key& key)
{
    join_history& h = history_[key];
    if (h.last_join != time_point{}) {
        const auto quiet = (now - h.last_join) / timing_.backoff_half_life;
        for (std::int64_t i = 0; i < quiet && h.backoff.count() > 0; ++i) {
            h.backoff = h.backoff / 2 < timing_.min_backoff ? milliseconds(0) : h.backoff / 2;
        }
    }
    h.backoff = std::clamp(h.backoff * 2, timing_.min_backoff, timing_.max_backoff);
    h.last_join = now;
    h.next_join = now + h.backoff;
    h.contender = 0;
}

std::optional<wire::announce_reply> membership::on_applied(time_point now, const wire::change& change,
                                                           const apply_outcome& outcome)
{
    forget_proposal(change);
    const bool is_target = change.__isset.join_target;
    if (!is_target && !change.__isset.join_node) {
        const std::int64_t gone = change.__isset.leave_target ? change.leave_target : change.leave_node;
        if (const auto it = leaving_.find(incarnation{gone}); it != leaving_.end()) {
            retire(it->second.first, it->second.second);
            leaving_.erase(it);
        }
        return std::nullopt;
    }
    wire::announce request;
    request.nonce = is_target ? change.join_target.value.nonce : change.join_node.value.nonce;
    if (!outcome.joined) {
        const error_code code = outcome.refused ? outcome.refused->code : error_code::table_full;
        return answer(request, {}, code, service_unknown_retry);
    }
    const std::int64_t replaced = is_target ? change.join_target.replaces : change.join_node.replaces;
    if (const auto it = leaving_.find(incarnation{replaced}); it != leaving_.end()) {
        retire(it->second.first, it->second.second);
        leaving_.erase(it);
    }
    joined_[*outcome.joined] = now;
    note_join(now, {is_target ? node_role::target : node_role::balancer,
                    from_wire(is_target ? change.join_target.value.agent : change.join_node.value.control)});
    return answer(request, *outcome.joined, error_code::ok);
}

void membership::forget_proposal(const wire::change& change)
{
    if (change.__isset.join_target) {
        proposed_.erase(change.join_target.value.nonce);
    } else if (change.__isset.join_node) {
        proposed_.erase(change.join_node.value.nonce);
    } else if (change.__isset.leave_target) {
        proposed_.erase(-change.leave_target);
    } else if (change.__isset.leave_node) {
        proposed_.erase(-change.leave_node);
    } else if (change.__isset.drain_target) {
        proposed_.erase(change.drain_target);
    }
}

bool membership::expired(time_point now, incarnation id, const relay& heard) const
{
    const auto joined = joined_.find(id);
    if (joined != joined_.end() && now - joined->second <= timing_.lease) {
        return false;
    }
    const auto node = heard.find(id);
    return !node || now - node->heard > timing_.lease;
}

bool membership::may_expire(time_point now, service_id group, std::size_t size)
{
    expiry_window& window = windows_[group];
    if (now - window.start >= expiry_period) {
        window = {now, 0};
    }
    if (window.count >= share(size)) {
        return false;
    }
    ++window.count;
    return true;
}

std::vector<wire::change> membership::expire_leases(time_point now, const table_state& table,
                                                    const relay& heard)
{
    std::vector<wire::change> changes;
    if (now - last_expire_ > pause_limit) {
        started_ = now;
    }
    last_expire_ = now;
    if (!first_lease_over(now)) {
        return changes;
    }
    std::erase_if(joined_, [&](const auto& j) { return now - j.second > timing_.lease; });
    for (const auto& [id, target] : table.targets()) {
        const service_id service{target.service_id};
        if (!expired(now, id, heard) || under_way(now, -id.value)) {
            continue;
        }
        if (!may_expire(now, service, table.targets_of(service).size())) {
            proposed_.erase(-id.value);
            continue;
        }
        leaving_[id] = {{node_role::target, from_wire(target.agent)}, target.nonce};
        changes.emplace_back().__set_leave_target(id.value);
    }
    for (const auto& [id, node] : table.nodes()) {
        if (!expired(now, id, heard) || under_way(now, -id.value)) {
            continue;
        }
        if (!may_expire(now, balancer_group, table.nodes().size())) {
            proposed_.erase(-id.value);
            continue;
        }
        leaving_[id] = {{node_role::balancer, from_wire(node.control)}, node.nonce};
        changes.emplace_back().__set_leave_node(id.value);
    }
    counted_->add(event::leases_expired, changes.size());
    return changes;
}

std::vector<node_report> membership::nodes(time_point now, const table_state& table, const relay& heard) const
{
    std::vector<node_report> all;
    const auto add = [&](node_report report) {
        if (const auto node = heard.find(report.id)) {
            report.confirmed = node->confirmed;
            report.silence = std::chrono::duration_cast<milliseconds>(now - node->heard);
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

in_force_status membership::status(time_point now, revision at, const table_state& table,
                                   const relay& heard) const
{
    in_force_status status;
    status.table_revision = at;
    status.known = first_lease_over(now);
    for (node_report& report : nodes(now, table, heard)) {
        // A node that has just joined and was not heard by any relay yet counts as lagging.
        const bool new_here = joined_.contains(report.id) && !report.silence;
        if (!new_here && (!report.silence || *report.silence >= relay::silence_limit)) {
            status.unreachable.push_back(std::move(report.name));
        } else if (report.confirmed < at) {
            status.lagging.push_back(std::move(report.name));
        }
    }
    status.everywhere = status.known && status.lagging.empty();
    return status;
}

}  // namespace peridotcleat

#include "peridotcleat/agent.h"

#include <utility>

namespace peridotcleat {

namespace {

// Requests are accepted for this time after draining has begun, so that callers have received the notice and
// opened a flow elsewhere before their requests are refused. Together with
// request_settings::drain_queue_timeout it stays below 5 s.
constexpr std::chrono::milliseconds request_drain_delay{500};
// No balancer sends new flows later than 5 s after draining has begun. A stop waits twice as long for control
// to confirm the removal.
constexpr std::chrono::seconds stop_without_confirmation{10};

}  // namespace

agent::agent(agent_settings settings, counters& counted, node_link link, flow_owner flows,
             request_table requests)
    : settings_(std::move(settings)), link_(std::move(link)), flows_(std::move(flows)),
      requests_(std::move(requests))
{
    (void)counted;
}

result<agent> agent::create(agent_settings settings, counters& counted)
{
    auto link = node_link::create(settings.link, counted);
    if (!has_value(link)) {
        return failure(link);
    }
    flow_settings limits;
    limits.address = settings.link.address;
    limits.idle_timeout = settings.idle_timeout;
    limits.handover_timeout = settings.handover_timeout;
    auto flows = flow_owner::create(limits, counted);
    if (!has_value(flows)) {
        return failure(flows);
    }
    auto requests = request_table::create(settings.requests, counted);
    if (!has_value(requests)) {
        return failure(requests);
    }
    return agent(std::move(settings), counted, value(std::move(link)), value(std::move(flows)),
                 value(std::move(requests)));
}

void agent::on_upstream_offer(time_point now, const target_offer& offer, outbox& out)
{
    flows_.set_connections(offer.connections);
    link_.set_offer(offer);
    update_routes(now, out);
}

void agent::on_upstream_draining(time_point now, outbox& out) { start_draining(now, out); }

void agent::on_upstream_result(time_point now, const upstream_result& r, outbox& out)
{
    requests_.on_upstream_result(now, r, out);
}

result<success> agent::push(time_point now, flow_token token, std::string bytes, outbox& out)
{
    return requests_.push(now, token, std::move(bytes), out);
}

void agent::on_message(time_point now, const endpoint& from, const message& m, outbox& out)
{
    link_.on_message(now, from, m, out);
    update_routes(now, out);
    flows_.on_message(now, from, m, out);
    dispatch_flow_events(now, out);
    if (flows_.newest_revision_seen() > link_.table().current_revision()) {
        link_.on_newer_revision(now, flows_.newest_revision_seen(), out);
    }
}

void agent::on_tick(time_point now, outbox& out)
{
    link_.on_tick(now, out);
    update_routes(now, out);
    flows_.on_tick(now, out);
    dispatch_flow_events(now, out);
    if (refuse_requests_at_ && *refuse_requests_at_ <= now) {
        refuse_requests_at_.reset();
        requests_.set_draining(true);
    }
    requests_.on_tick(now, out);
    announce_leaving_if_empty(now);
}

void agent::begin_stop(time_point now, outbox& out)
{
    if (!stop_began_) {
        stop_began_ = now;
    }
    start_draining(now, out);
}

void agent::start_draining(time_point now, outbox& out)
{
    if (draining_) {
        return;
    }
    draining_ = true;
    flows_.set_draining(true);
    flows_.announce_draining(out);
    refuse_requests_at_ = now + request_drain_delay;
    link_.set_state(node_state::draining);
    update_routes(now, out);
}

void agent::update_routes(time_point now, outbox& out)
{
    bool changed = false;
    const std::vector<service_id> changed_services = link_.take_touched(changed);
    if (changed) {
        routes_ = routes_ ? route_table::rebuild(*routes_, link_.table(), changed_services)
                          : route_table::build(link_.table());
    }
    if (routes_ && (changed || link_.id() != served_incarnation_)) {
        apply_table(now, out);
        dispatch_flow_events(now, out);
    }
}

void agent::apply_table(time_point now, outbox& out)
{
    const auto& targets = link_.table().targets();
    const auto it = link_.ready() ? targets.find(link_.id()) : targets.end();
    if (it == targets.end()) {
        if (served_incarnation_.valid() && !targets.contains(served_incarnation_)) {
            flows_.set_routes(now, routes_, service_, served_incarnation_, out);
            served_incarnation_ = {};
        }
        return;
    }
    const wire::target& own_target = it->second;
    if (served_incarnation_ != link_.id()) {
        if (served_incarnation_.valid()) {
            // The target has joined anew: the flows of its previous incarnation end.
            flows_.set_routes(now, routes_, service_, served_incarnation_, out);
            dispatch_flow_events(now, out);
        }
        served_incarnation_ = link_.id();
        requests_.set_incarnation(served_incarnation_);
    }
    service_ = {own_target.service_id};
    apply_service_settings(own_target);
    flows_.set_routes(now, routes_, service_, served_incarnation_, out);
    if (own_target.draining) {
        start_draining(now, out);
    }
}

void agent::apply_service_settings(const wire::target& target)
{
    flows_.set_connections(static_cast<std::uint32_t>(target.connections));
    const auto& services = link_.table().services();
    const auto it = services.find(service_);
    if (it == services.end()) {
        return;
    }
    const wire::service_entry& service = it->second;
    flows_.set_idle_timeout(service.__isset.idle_timeout_ms
                                ? std::chrono::milliseconds(service.idle_timeout_ms)
                                : settings_.idle_timeout);
    const bool only_owner = service.__isset.placement && service.placement == 1;
    flows_.set_placement(only_owner ? placement{owner_only{}} : placement{two_candidates{}});
}

void agent::dispatch_flow_events(time_point now, outbox& out)
{
    for (const flow_event& e : flows_.take_events()) {
        switch (e.kind) {
        case flow_event_kind::opened: requests_.on_flow_opened(now, e.key, e.token); break;
        case flow_event_kind::closed: requests_.on_flow_closed(now, e.token, out); break;
        case flow_event_kind::payload: requests_.on_payload(now, e.key, e.body, out); break;
        }
    }
}

void agent::announce_leaving_if_empty(time_point now)
{
    empty_ = draining_ && !refuse_requests_at_ && flows_.flows() == 0 && flows_.waiting() == 0 &&
             requests_.in_progress() == 0 && requests_.is_idle(now);
    if (empty_) {
        link_.set_state(node_state::leaving);
    }
}

bool agent::may_stop(time_point now) const
{
    return stop_began_ && empty_ &&
           (!link_.id().valid() || link_.removed() || *stop_began_ + stop_without_confirmation <= now);
}

agent_status agent::status() const
{
    agent_status s;
    s.id = served_incarnation_;
    s.flows = flows_.flows();
    s.directory_entries = flows_.directory_entries();
    s.requests_in_progress = requests_.in_progress();
    s.draining = draining_;
    s.empty = empty_;
    return s;
}

}  // namespace peridotcleat

#include "peridotcleat/balancer.h"

#include <utility>

namespace peridotcleat {

balancer::balancer(const balancer_settings& settings, counters& counted, node_link link)
    : address_(settings.link.address), link_(std::move(link)), relay_(relay_limits::of_balancer(), counted)
{
}

result<balancer> balancer::create(balancer_settings settings, counters& counted)
{
    settings.link.role = node_role::balancer;
    auto link = node_link::create(settings.link, counted);
    if (!has_value(link)) {
        return failure(link);
    }
    return balancer(settings, counted, value(std::move(link)));
}

void balancer::on_message(time_point now, const endpoint& from, const message& m, outbox& out)
{
    if (const auto* pull = std::get_if<wire::pull_request>(&m)) {
        // Before the table contains this node's join, its revision may be lower than one that this node
        // served before a restart.
        if (link_.ready()) {
            relay_.on_pull(now, from, *pull, link_.table(), {link_.age(now)}, out);
        }
    } else if (const auto* request = std::get_if<wire::announce>(&m)) {
        relay_.on_announce(now, *request, address_, link_.parent(), out);
    } else if (const auto* report = std::get_if<wire::relay_report>(&m)) {
        relay_.on_report(now, from, *report, out);
    } else if (const auto* acknowledged = std::get_if<wire::relay_report_reply>(&m)) {
        relay_.on_report_reply(now, *acknowledged);
    } else {
        const auto* answer = std::get_if<wire::announce_reply>(&m);
        if (answer == nullptr || !relay_.on_announce_reply(now, *answer, out)) {
            link_.on_message(now, from, m, out);
        }
    }
    update_routes(now, out);
}

void balancer::on_tick(time_point now, outbox& out)
{
    link_.on_tick(now, out);
    update_routes(now, out);
    relay_.on_tick(now, link_.id(), link_.nonce(), link_.parent(), out);
}

void balancer::begin_stop(time_point now, outbox& out)
{
    link_.set_state(node_state::leaving);
    link_.on_tick(now, out);
}

void balancer::update_routes(time_point now, outbox& out)
{
    bool changed = false;
    const std::vector<service_id> changed_services = link_.take_touched(changed);
    if (routes_ && changed) {
        routes_ = route_table::rebuild(*routes_, link_.table(), changed_services);
    } else if (!routes_ && link_.ready()) {
        routes_ = route_table::build(link_.table());
    }
    if (changed && link_.ready() && link_.table().current_revision() > notified_revision_) {
        notified_revision_ = link_.table().current_revision();
        relay_.on_table_changed(now, link_.table(), out);
    }
}

}  // namespace peridotcleat

#include "peridotcleat/segment_balancer.h"

#include <algorithm>
#include <utility>

#include "peridotcleat/log.h"

namespace peridotcleat {

namespace {

using std::chrono::milliseconds;

// Added to the greatest age of a flow, for packets in flight.
constexpr milliseconds in_flight_margin{5000};
constexpr milliseconds cleanup_interval{1000};
// A quarter of a million flows take 60 MB. While the cache is full, no further flow is placed or searched
// for.
constexpr std::size_t max_flows = 250'000;
// A table below this age counts as current: what it does not contain does not exist.
constexpr milliseconds max_fresh_table_age{1500};
// Number of packets that are kept while there is no table: those of half a second at 32,000 new flows a
// second over 10 balancers, which take 60 KB if they are opening packets.
constexpr std::size_t max_early_packets = 1600;
// Packets that have waited for longer are dropped; a caller gives up an opening packet 1.4 s after it has
// sent the first copy.
constexpr milliseconds early_packet_timeout{1200};

std::chrono::microseconds as_microseconds(clock::duration d)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(d);
}

}  // namespace

segment_balancer::segment_balancer(segment_balancer_settings settings, counters& counted)
    : settings_(std::move(settings)), counted_(&counted), routes_(std::make_shared<flow_routes>()),
      query_budget_(settings_.query_bytes_per_second * query_burst_s),
      target_choice_(settings_.zone, settings_.zone_penalty_permille)
{
}

void segment_balancer::set_routes(std::shared_ptr<const flow_routes> routes) { routes_ = std::move(routes); }

void segment_balancer::on_packet(time_point now, std::string_view packet, milliseconds table_age, outbox& out)
{
    const auto s = settings_.format.decode(packet);
    if (!s || s->returned) {
        counted_->count_refusal(error_code::message_malformed);
        return;
    }
    table_age_ = table_age;
    if (routes_->version() == 0 && table_age_ >= max_fresh_table_age) {
        queue_early_packet(now, *s, packet);
    } else if (s->opens) {
        on_opening_packet(now, *s, packet, out);
    } else {
        on_subsequent_packet(now, *s, packet, out);
    }
}

// Keeps a packet that arrived before the balancer had a table. A balancer that starts has no table for one
// round trip, or after a power failure of the whole system for as long as control takes to start. If the
// packet were dropped, the caller would resend it only after its resend interval of 200 to 1,600 ms.
void segment_balancer::queue_early_packet(time_point now, const segment& s, std::string_view packet)
{
    const bool repeated = s.opens && early_openings_.contains(s.key);
    if (early_packets_.size() >= max_early_packets || repeated) {
        counted_->count_refusal(repeated ? error_code::no_table : error_code::flow_limit);
        return;
    }
    if (s.opens) {
        early_openings_.insert(s.key);
    }
    early_packets_.push_back({now, std::string(packet)});
}

void segment_balancer::release_early_packets(time_point now, milliseconds table_age, outbox& out)
{
    if (routes_->version() == 0 || early_packets_.empty()) {
        return;
    }
    const auto packets = std::exchange(early_packets_, {});
    early_openings_ = {};
    std::size_t late = 0;
    for (const early_packet& e : packets) {
        if (now - e.arrived <= early_packet_timeout) {
            on_packet(now, e.packet, table_age, out);
        } else {
            ++late;
            counted_->count_refusal(error_code::no_table);
        }
    }
    log_event(log_level::info, "early_packets_released",
              {{"packets", static_cast<std::int64_t>(packets.size())},
               {"late", static_cast<std::int64_t>(late)},
               {"version", routes_->version()},
               {"table_age_ms", table_age.count()}});
}

bool segment_balancer::contains(const std::vector<endpoint>& list, const endpoint& e)
{
    return std::ranges::find(list, e) != list.end();
}

bool segment_balancer::is_full_for(const flow_key& key) const
{
    return flows_.size() >= max_flows && !flows_.contains(key);
}

segment_balancer::flow& segment_balancer::find_or_add_flow(time_point now, const flow_key& key)
{
    flow& f = flows_[key];
    f.last_used = now;
    return f;
}

void segment_balancer::on_opening_packet(time_point now, const segment& s, std::string_view packet,
                                         outbox& out)
{
    const flow_route* route = routes_->find(s.key.destination);
    if (route == nullptr) {
        counted_->count_refusal(error_code::wrong_service);
        // A table that is not current may lack a route that is already in force.
        if (table_age_ < max_fresh_table_age) {
            send_reset(s.key, s.sequence, error_code::wrong_service, out);
        }
        return;
    }
    if (is_full_for(s.key)) {
        counted_->count_refusal(error_code::flow_limit);
        send_reset(s.key, s.sequence, error_code::flow_limit, out);
        return;
    }
    const flow_service& service = route->choose(s.key);
    flow& f = find_or_add_flow(now, s.key);
    if (f.service_key != service.key) {
        f = {};
        f.service_key = service.key;
        f.last_used = now;
    }
    const auto offered = std::ranges::find_if(f.placements, &placement_attempt::offered);
    if (offered != f.placements.end()) {
        // The offer was lost on its way to the caller, or the caller resent its packet before the offer
        // arrived.
        forward(offered->agent, f.service_key, segment_purpose::place, packet, out);
        return;
    }
    place(now, s.key, f, packet, out);
}

const flow_service* segment_balancer::service_of(const flow_key& key, std::int64_t key_of_service) const
{
    const flow_route* route = routes_->find(key.destination);
    if (route == nullptr) {
        return nullptr;
    }
    const auto it = std::ranges::find_if(route->backends, [key_of_service](const flow_route::backend& b) {
        return b.service->key == key_of_service;
    });
    return it == route->backends.end() ? nullptr : it->service.get();
}

// Sends the opening packet to the next candidate. Targets that got it before may still offer to accept the
// flow: the caller accepts only the first offer.
void segment_balancer::place(time_point now, const flow_key& key, flow& f, std::string_view packet,
                             outbox& out)
{
    const flow_service* service = service_of(key, f.service_key);
    const auto choice =
        service == nullptr ? std::nullopt : target_choice_.choose(now, key, *service, f.placements);
    if (!choice) {
        const auto pending_attempt =
            std::ranges::find_if(f.placements, [](const placement_attempt& p) { return !p.declined; });
        if (pending_attempt != f.placements.end()) {
            forward(pending_attempt->agent, f.service_key, segment_purpose::place, packet, out);
            return;
        }
        const auto s = settings_.format.decode(packet);
        counted_->count_refusal(error_code::no_target);
        send_reset(key, s ? s->sequence : 0, error_code::no_target, out);
        flows_.erase(key);
        return;
    }
    const endpoint agent = choice->target->agent;
    const auto [load_permille, reported_at] = target_choice_.reported_load(agent);
    target_choice_.on_placed(now, agent);
    log_event(log_level::info, "flow_placed",
              {{"flow", to_string(key)},
               {"service", service->name},
               {"agent", to_string(agent)},
               {"attempt", static_cast<std::int64_t>(f.placements.size()) + 1},
               {"may_queue", choice->may_queue ? "true" : "false"},
               {"load_permille", std::int64_t{load_permille}},
               {"load_age_ms", std::chrono::duration_cast<milliseconds>(now - reported_at).count()},
               {"version", routes_->version()},
               {"table_age_ms", table_age_.count()}});
    std::erase_if(f.placements, [&](const placement_attempt& p) { return p.agent == agent; });
    f.placements.push_back({agent, now, false, false, choice->may_queue, 0, std::nullopt});
    counted_->add(event::flows_offered);
    forward(agent, f.service_key, segment_purpose::place, packet, out, choice->max_outstanding_permille);
}

std::optional<endpoint> segment_balancer::holder_by_sequence(const flow& f, std::uint32_t ack_number)
{
    for (const placement_attempt& p : f.placements) {
        if (p.offered && acknowledges_flow(ack_number, p.sequence)) {
            return p.agent;
        }
    }
    return std::nullopt;
}

void segment_balancer::on_subsequent_packet(time_point now, const segment& s, std::string_view packet,
                                            outbox& out)
{
    const auto it = flows_.find(s.key);
    if (it == flows_.end()) {
        start_search(now, s.key, packet, {});
        return;
    }
    flow& f = it->second;
    f.last_used = now;
    f.ack_number = s.ack_number;
    if (!f.holder) {
        f.holder = holder_by_sequence(f, s.ack_number);
        if (f.holder) {
            log_event(log_level::info, "flow_opened",
                      {{"flow", to_string(s.key)},
                       {"agent", to_string(*f.holder)},
                       {"attempts", static_cast<std::int64_t>(f.placements.size())},
                       {"version", routes_->version()}});
            f.placements.clear();
            counted_->add(event::flows_opened);
        }
    }
    if (f.holder) {
        forward(*f.holder, f.service_key, segment_purpose::held, packet, out);
    } else if (!f.placements.empty()) {
        // The report of the offer is late or lost; the agent knows whether its target holds the flow.
        forward(f.placements.back().agent, f.service_key, segment_purpose::held, packet, out);
    } else if (f.active_search) {
        continue_search(now, s.key, f, packet);
    } else {
        start_search(now, s.key, packet, {});
    }
}

void segment_balancer::on_message(time_point now, const endpoint& from, const message& m, outbox& out)
{
    if (const auto* report = std::get_if<wire::segment_report>(&m)) {
        target_choice_.on_load(now, from, report->load_permille);
        on_report(now, from, *report, out);
    } else if (const auto* answers = std::get_if<wire::segment_answers>(&m)) {
        target_choice_.on_load(now, from, answers->load_permille);
        on_answers(now, from, *answers, out);
    } else if (const auto* load = std::get_if<wire::segment_load>(&m)) {
        target_choice_.on_load(now, from, load->load_permille);
        target_choice_.set_accepting(from, load->accepting);
    }
}

void segment_balancer::on_report(time_point now, const endpoint& from, const wire::segment_report& report,
                                 outbox& out)
{
    switch (static_cast<segment_outcome>(report.outcome)) {
    case segment_outcome::offered:
        target_choice_.set_accepting(from, true);
        on_offered(now, from_wire(report.key), from, static_cast<std::uint32_t>(report.sequence));
        break;
    case segment_outcome::held: on_held(now, from_wire(report.key), from, out); break;
    case segment_outcome::declined: on_declined(now, from, report, out); break;
    case segment_outcome::absent: on_absent(now, from, report, out); break;
    default: counted_->count_refusal(error_code::message_malformed);
    }
}

void segment_balancer::on_offered(time_point now, const flow_key& key, const endpoint& from,
                                  std::uint32_t sequence)
{
    const auto it = flows_.find(key);
    if (it == flows_.end()) {
        return;
    }
    const auto p = std::ranges::find(it->second.placements, from, &placement_attempt::agent);
    if (p != it->second.placements.end()) {
        if (!p->offered) {
            counted_->record(latency::offer, as_microseconds(now - p->sent_at));
        }
        p->offered = true;
        p->sequence = sequence;
    }
}

void segment_balancer::on_held(time_point now, const flow_key& key, const endpoint& from, outbox& out)
{
    flow& f = find_or_add_flow(now, key);
    f.holder = from;
    if (const flow_route* route = routes_->find(key.destination)) {
        for (const flow_service* service : route->services_with_flows()) {
            if (std::ranges::find(service->targets, from, &flow_target::agent) != service->targets.end()) {
                f.service_key = service->key;
            }
        }
    }
    f.placements.clear();
    const auto finished_search = std::move(f.active_search);
    if (finished_search) {
        const auto waited = as_microseconds(now - finished_search->started);
        counted_->record(latency::search, waited);
        log_event(log_level::info, "flow_found",
                  {{"flow", to_string(key)},
                   {"agent", to_string(from)},
                   {"waited_ms", waited.count() / 1000},
                   {"denied", static_cast<std::int64_t>(finished_search->absent.size())}});
        const std::size_t delivered = contains(finished_search->probed, from) ? 1 : 0;
        for (std::size_t i = delivered; i < finished_search->waiting_packets.size(); ++i) {
            forward(from, f.service_key, segment_purpose::held, finished_search->waiting_packets[i], out);
        }
    }
}

void segment_balancer::on_declined(time_point now, const endpoint& from, const wire::segment_report& report,
                                   outbox& out)
{
    const auto reason = static_cast<error_code>(report.reason);
    counted_->add(event::flows_offer_declined);
    counted_->count_retry(reason);
    const flow_key key = from_wire(report.key);
    // A target without a free slot accepts flows that may wait.
    target_choice_.set_accepting(from, reason == error_code::no_slot);
    log_event(log_level::info, "flow_declined",
              {{"flow", to_string(key)}, {"agent", to_string(from)}, {"reason", to_string(reason)}});
    const auto it = flows_.find(key);
    if (it == flows_.end() || it->second.holder) {
        return;
    }
    flow& f = it->second;
    const auto p = std::ranges::find(f.placements, from, &placement_attempt::agent);
    if (p == f.placements.end() || p->declined) {
        return;
    }
    p->declined = true;
    if (report.__isset.expected_wait_ms) {
        p->expected_wait = milliseconds(report.expected_wait_ms);
    }
    const bool offered = std::ranges::any_of(f.placements, &placement_attempt::offered);
    if (!offered && report.__isset.packet) {
        place(now, key, f, report.packet, out);
    }
}

void segment_balancer::on_absent(time_point now, const endpoint& from, const wire::segment_report& report,
                                 outbox& out)
{
    const flow_key key = from_wire(report.key);
    const auto it = flows_.find(key);
    if (it == flows_.end()) {
        return;
    }
    flow& f = it->second;
    if (f.active_search) {
        on_search_absent(now, it, from, out);
        return;
    }
    const bool held_elsewhere = f.holder && *f.holder != from;
    if (!report.__isset.packet) {
        return;
    }
    if (held_elsewhere) {
        forward(*f.holder, f.service_key, segment_purpose::held, report.packet, out);
        return;
    }
    if (const auto s = settings_.format.decode(report.packet)) {
        // The offer of another target may have been reported in the meantime.
        std::erase_if(f.placements, [&](const placement_attempt& p) { return p.agent == from; });
        if (const auto holder = holder_by_sequence(f, s->ack_number)) {
            f.holder = holder;
            forward(*holder, f.service_key, segment_purpose::held, report.packet, out);
            return;
        }
    }
    const std::string packet = report.packet;
    start_search(now, key, packet, {from});
}

void segment_balancer::forward(const endpoint& agent, std::int64_t key_of_service, segment_purpose purpose,
                               std::string_view packet, outbox& out,
                               std::optional<std::int32_t> max_outstanding_permille) const
{
    wire::segment_forward m;
    m.packet = std::string(packet);
    m.service_key = key_of_service;
    m.purpose = static_cast<std::int8_t>(purpose);
    if (max_outstanding_permille) {
        m.__set_max_outstanding(*max_outstanding_permille);
    }
    counted_->add(event::packets_forwarded);
    out.send(agent, std::move(m));
}

void segment_balancer::send_reset(const flow_key& key, std::uint32_t sequence, error_code reason, outbox& out)
{
    counted_->add(event::flows_reset);
    log_event(log_level::info, "flow_reset",
              {{"flow", to_string(key)},
               {"reason", to_string(reason)},
               {"version", routes_->version()},
               {"table_age_ms", table_age_.count()}});
    out.packets.push_back(
        {{key.source.address, settings_.caller_port}, settings_.format.make_reset(key, sequence)});
}

void segment_balancer::on_tick(time_point now, milliseconds table_age, outbox& out)
{
    table_age_ = table_age;
    finish_searches(now, out);
    if (now - last_cleanup_ < cleanup_interval) {
        return;
    }
    last_cleanup_ = now;
    std::erase_if(early_packets_,
                  [now](const early_packet& e) { return now - e.arrived > early_packet_timeout; });
    if (early_packets_.empty()) {
        early_openings_.clear();
    }
    const auto cache_time = settings_.max_flow_age + in_flight_margin;
    std::erase_if(flows_, [=](const auto& item) { return now - item.second.last_used > cache_time; });
    target_choice_.on_cleanup(now, cache_time);
}

}  // namespace peridotcleat

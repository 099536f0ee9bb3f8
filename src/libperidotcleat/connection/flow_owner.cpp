#include "peridotcleat/flow_owner.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace peridotcleat {

namespace {

// Agents with different tables can disagree on the owner of a bucket and forward a packet to each other; the
// limit ends such a loop.
constexpr int max_hops = 4;
// Limits on the packets that wait for a report or a newer table.
constexpr std::size_t max_waiting = 512;
constexpr std::size_t max_waiting_bytes = std::size_t{1} << 20U;
// A caller resends after 250 ms, so a packet that has waited for longer than this was sent again several
// times.
constexpr std::chrono::milliseconds max_packet_wait{1000};
// One notice in this time is enough to make a sender pull a newer table.
constexpr std::chrono::milliseconds notice_interval{100};
constexpr std::size_t max_notices = 4096;
constexpr std::chrono::milliseconds housekeeping_interval{1000};

// Returns the token that a caller's payload names; 0 for payloads that callers do not send.
flow_token token_of(const caller_message& body)
{
    return std::visit(
        [](const auto& m) -> flow_token {
            using type = std::decay_t<decltype(m)>;
            if constexpr (std::is_same_v<type, wire::request> || std::is_same_v<type, wire::part_request> ||
                          std::is_same_v<type, wire::request_cancel> ||
                          std::is_same_v<type, wire::flow_close> || std::is_same_v<type, wire::push_ack> ||
                          std::is_same_v<type, wire::flow_keepalive>) {
                return {m.token};
            } else {
                return {};
            }
        },
        body);
}

std::uint64_t endpoint_key(const endpoint& e) { return (std::uint64_t{e.address} << 16U) | e.port; }

}  // namespace

flow_owner::flow_owner(const flow_settings& settings, counters& counted)
    : settings_(settings), counted_(&counted), directory_(settings.max_directory)
{
}

result<flow_owner> flow_owner::create(const flow_settings& settings, counters& counted)
{
    if (settings.connections == 0) {
        return error{error_code::invalid_setting, "connections is 0 but must be at least 1"};
    }
    if (settings.idle_timeout.count() <= 0 || settings.handover_timeout.count() <= 0) {
        return error{error_code::invalid_setting, "idle timeout and handover timeout must be positive"};
    }
    return flow_owner(settings, counted);
}

void flow_owner::set_routes(time_point now, std::shared_ptr<const route_table> routes, service_id service,
                            incarnation own_id, outbox& out)
{
    const std::shared_ptr<const route_table> previous = std::exchange(routes_, std::move(routes));
    if (own_id != own_id_ || service != service_) {
        own_id_ = own_id;
        service_ = service;
        // Replies to an earlier start of this agent must not match the ids of this one.
        query_round_.set_first_query_id(own_id.value << 24U);
        next_offer_id_ = own_id.value << 24U;
    }
    newest_revision_seen_ = std::max(newest_revision_seen_, table_revision());
    const service_routes* found = routes_ ? routes_->find(service) : nullptr;
    const auto index = found != nullptr ? found->index_of(own_id) : std::nullopt;
    if (!index) {
        service_routes_ = nullptr;
        clear_service(out);
        return;
    }
    const bool targets_changed = std::exchange(service_routes_, found) != found;
    own_weight_ = std::max<std::uint32_t>(1, found->targets[*index].weight);
    if (found->targets[*index].draining) {
        draining_ = true;
    }
    update_buckets(now, targets_changed, out);
    retry_waiting(now, out);
}

void flow_owner::on_message(time_point now, const endpoint& from, const message& m, outbox& out)
{
    if (const auto* packet = std::get_if<wire::forwarded_packet>(&m)) {
        on_packet(now, from, *packet, out);
    } else if (const auto* query = std::get_if<wire::bucket_query>(&m)) {
        on_bucket_query(now, *query, out);
    } else if (const auto* report = std::get_if<wire::bucket_report>(&m)) {
        on_bucket_report(now, *report, out);
    } else if (const auto* offer_message = std::get_if<wire::place_offer>(&m)) {
        on_place_offer(now, *offer_message, out);
    } else if (const auto* reply = std::get_if<wire::place_reply>(&m)) {
        on_place_reply(now, *reply, out);
    } else if (const auto* closed = std::get_if<wire::flow_closed>(&m)) {
        if (closed->service_id == service_.value) {
            directory_.mark_in_doubt(now, from_wire(closed->key), {closed->holder});
        }
    } else if (const auto* unknown = std::get_if<wire::flow_unknown>(&m)) {
        if (unknown->service_id == service_.value) {
            directory_.mark_in_doubt(now, from_wire(unknown->key), {unknown->holder});
        }
    } else if (const auto* load = std::get_if<wire::load_report>(&m)) {
        if (load->service_id == service_.value && target({load->holder}) != nullptr) {
            peer_load& peer = peers_[{load->holder}];
            if (!peer.load) {
                // This load report is answered with the next own one. Later ones are not, because two agents
                // would otherwise answer each other's reports without end.
                peer.last_exchange = now;
            }
            peer.load = load->load_permille;
        }
    }
}

void flow_owner::on_packet(time_point now, const endpoint& from, const wire::forwarded_packet& packet,
                           outbox& out)
{
    counted_->add(event::packets_in);
    if (!check_recipient(now, packet, out)) {
        return;
    }
    auto decoded = decode_caller(packet.payload);
    if (!has_value(decoded)) {
        drop(failure(decoded).code);
        return;
    }
    caller_message& body = value(decoded);
    if (const auto* opening = std::get_if<wire::flow_open>(&body)) {
        on_open(now, from, packet, opening->nonce, out);
        return;
    }
    const flow_token token = token_of(body);
    if (!token.valid()) {
        drop(error_code::message_malformed);
        return;
    }
    on_token_packet(now, from, packet, std::move(body), token, out);
}

bool flow_owner::check_recipient(time_point now, const wire::forwarded_packet& packet, outbox& out)
{
    if (service_routes_ == nullptr || packet.service_id != service_.value) {
        drop(error_code::wrong_service);
        return false;
    }
    note_revision(now, {packet.revision}, from_wire(packet.balancer), out);
    if (packet.incarnation != own_id_.value) {
        drop(error_code::wrong_incarnation);
        return false;
    }
    return true;
}

void flow_owner::note_revision(time_point now, revision seen, const endpoint& sender, outbox& out)
{
    newest_revision_seen_ = std::max(newest_revision_seen_, seen);
    if (seen >= table_revision() || !sender.valid()) {
        return;
    }
    if (next_notice_times_.size() > max_notices) {
        next_notice_times_.clear();
    }
    time_point& next = next_notice_times_[endpoint_key(sender)];
    if (next > now) {
        return;
    }
    next = now + notice_interval;
    wire::stale_notice notice;
    notice.revision = table_revision().value;
    counted_->add(event::stale_notices);
    out.send(sender, std::move(notice));
}

void flow_owner::on_token_packet(time_point now, const endpoint& from, const wire::forwarded_packet& packet,
                                 caller_message body, flow_token token, outbox& out)
{
    const flow_key key = from_wire(packet.key);
    const incarnation holder = holder_of(token);
    if (holder == own_id_) {
        pvt::held_flow* flow = held_.find(key);
        if (flow != nullptr && flow->token == token) {
            deliver(now, key, *flow, std::move(body), out);
        } else {
            answer_unknown_flow(key, token, std::move(body), true, out);
        }
    } else if (const route_target* to = target(holder)) {
        forward(packet, *to, out);
    } else if (holder.value <= table_revision().value) {
        // Incarnations are never reused, and a target leaves the table only when it holds no flow or is lost,
        // so the flow does not exist.
        answer_unknown_flow(key, token, std::move(body), false, out);
    } else if (const route_target* owner = bucket_owner(bucket_of(key));
               owner != nullptr && owner->id != own_id_) {
        // The holder joined after the revision of this table; the owner may have a newer table.
        forward(packet, *owner, out);
    } else {
        newest_revision_seen_ = std::max(newest_revision_seen_, revision{holder.value});
        queue_packet(now, from, packet);
    }
}

void flow_owner::deliver(time_point now, const flow_key& key, pvt::held_flow& flow, caller_message body,
                         outbox& out)
{
    flow.last_used = now;
    counted_->add(event::packets_delivered);
    if (const auto* closing = std::get_if<wire::flow_close>(&body)) {
        wire::flow_close_ack ack;
        ack.token = closing->token;
        out.reply(key, std::move(ack));
        end_flow(now, key, out);
    } else if (const auto* keepalive = std::get_if<wire::flow_keepalive>(&body)) {
        out.reply(key, *keepalive);
    } else {
        events_.push_back({flow_event_kind::payload, key, flow.token, std::move(body)});
    }
}

void flow_owner::answer_unknown_flow(const flow_key& key, flow_token token, caller_message body,
                                     bool names_own_target, outbox& out)
{
    if (std::holds_alternative<wire::flow_close>(body)) {
        wire::flow_close_ack ack;
        ack.token = token.value;
        out.reply(key, std::move(ack));
        return;
    }
    if (names_own_target &&
        (std::holds_alternative<wire::request>(body) || std::holds_alternative<wire::request_cancel>(body))) {
        // The request layer answers all requests, including those of unknown flows.
        events_.push_back({flow_event_kind::payload, key, token, std::move(body)});
        return;
    }
    wire::flow_reset reset;
    reset.incarnation = holder_of(token).value;
    reset.token = token.value;
    counted_->add(event::flows_reset);
    out.reply(key, std::move(reset));
}

void flow_owner::forward(const wire::forwarded_packet& packet, const route_target& to, outbox& out)
{
    if (packet.hops + 1 > max_hops) {
        drop(error_code::hop_limit);
        return;
    }
    wire::forwarded_packet copy = packet;
    copy.hops = static_cast<std::int8_t>(packet.hops + 1);
    copy.incarnation = to.id.value;
    counted_->add(event::flows_redirected);
    out.send(to.agent, std::move(copy));
}

void flow_owner::queue_packet(time_point now, const endpoint& from, const wire::forwarded_packet& packet)
{
    for (const waiting_packet& w : waiting_) {
        // A caller resends its packet while the first copy waits.
        if (w.packet.key == packet.key && w.packet.payload == packet.payload) {
            return;
        }
    }
    if (waiting_.size() >= max_waiting || waiting_bytes_ + packet.payload.size() > max_waiting_bytes) {
        drop(error_code::handover_pending);
        return;
    }
    waiting_bytes_ += packet.payload.size();
    waiting_.push_back({now, from, packet});
}

void flow_owner::retry_waiting(time_point now, outbox& out)
{
    if (waiting_.empty()) {
        return;
    }
    std::deque<waiting_packet> packets;
    packets.swap(waiting_);
    waiting_bytes_ = 0;
    for (const waiting_packet& w : packets) {
        if (w.since + max_packet_wait < now) {
            drop(error_code::handover_pending);
            continue;
        }
        const std::size_t size_before = waiting_.size();
        on_packet(now, w.from, w.packet, out);
        if (waiting_.size() > size_before) {
            waiting_.back().since = w.since;
        }
    }
}

void flow_owner::drop(error_code reason)
{
    counted_->add(event::packets_dropped);
    counted_->count_refusal(reason);
}

void flow_owner::end_flow(time_point now, const flow_key& key, outbox& out)
{
    const pvt::held_flow* flow = held_.find(key);
    if (flow == nullptr) {
        return;
    }
    events_.push_back({flow_event_kind::closed, key, flow->token, {}});
    held_.close(now, key);
    counted_->add(event::flows_closed);
    const route_target* owner = bucket_owner(bucket_of(key));
    if (owner != nullptr && owner->id != own_id_) {
        wire::flow_closed closed;
        closed.key = to_wire(key);
        closed.service_id = service_.value;
        closed.holder = own_id_.value;
        out.send(owner->agent, std::move(closed));
    }
}

void flow_owner::end_idle_flows(time_point now, outbox& out)
{
    for (const flow_key& key : held_.unused_since(now - settings_.idle_timeout)) {
        end_flow(now, key, out);
    }
}

void flow_owner::clear_service(outbox& out)
{
    for (const auto& [key, flow] : held_.all()) {
        events_.push_back({flow_event_kind::closed, key, flow.token, {}});
        wire::flow_reset reset;
        reset.incarnation = own_id_.value;
        reset.token = flow.token.value;
        counted_->add(event::flows_reset);
        out.reply(key, std::move(reset));
    }
    held_.clear();
    directory_.clear();
    query_round_.stop();
    offers_.clear();
    declined_.clear();
    waiting_.clear();
    waiting_bytes_ = 0;
    peers_.clear();
}

const route_target* flow_owner::bucket_owner(std::size_t bucket) const
{
    if (service_routes_ == nullptr || !service_routes_->has_owner) {
        return nullptr;
    }
    return &service_routes_->targets[service_routes_->owners.at(bucket)];
}

const route_target* flow_owner::target(incarnation id) const
{
    const auto index = service_routes_ != nullptr ? service_routes_->index_of(id) : std::nullopt;
    return index ? &service_routes_->targets[*index] : nullptr;
}

void flow_owner::on_tick(time_point now, outbox& out)
{
    if (service_routes_ == nullptr) {
        return;
    }
    send_queries(now, out);
    check_handover_timeout(now, out);
    repeat_offers(now, out);
    if (!waiting_.empty() && waiting_.front().since + max_packet_wait < now) {
        retry_waiting(now, out);
    }
    if (next_housekeeping_ > now) {
        return;
    }
    next_housekeeping_ = now + housekeeping_interval;
    end_idle_flows(now, out);
    directory_.purge(now);
    held_.forget_ends(now);
    declined_.forget(now);
    report_load(now, out);
}

void flow_owner::announce_draining(outbox& out) const
{
    for (const auto& [key, flow] : held_.all()) {
        wire::flow_draining notice;
        notice.token = flow.token.value;
        out.reply(key, std::move(notice));
    }
}

std::vector<flow_event> flow_owner::take_events() { return std::exchange(events_, {}); }

std::optional<flow_key> flow_owner::key_of(flow_token token) const
{
    for (const auto& [key, flow] : held_.all()) {
        if (flow.token == token) {
            return key;
        }
    }
    return std::nullopt;
}

std::size_t flow_owner::owned_buckets() const noexcept
{
    std::size_t count = 0;
    for (std::size_t b = 0; b < bucket_count; ++b) {
        count += directory_.at(b).owned ? 1 : 0;
    }
    return count;
}

std::int64_t flow_owner::load() const noexcept
{
    return static_cast<std::int64_t>(held_.size()) * 1000 / own_weight_;
}

}  // namespace peridotcleat

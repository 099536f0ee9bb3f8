#include <algorithm>
#include <limits>
#include <utility>

#include "peridotcleat/flow_owner.h"

namespace peridotcleat {

namespace {

// Limits the memory for offers that wait for a reply.
constexpr std::size_t max_offers = 1024;
constexpr std::chrono::milliseconds offer_repeat_interval{100};
// After this time, and 20 repetitions without a reply, the candidate is probably lost or has no table yet.
constexpr std::chrono::milliseconds offer_reply_timeout{2000};
constexpr std::chrono::milliseconds slow_offer_repeat_interval{500};
// Load reports go to agents with which this one has exchanged an offer or a reply within this time.
constexpr std::chrono::seconds peer_lifetime{10};
// A load in an offer that no target exceeds, so that the load is no reason to decline.
constexpr std::int64_t unlimited_load = std::numeric_limits<std::int64_t>::max();

wire::place_reply make_reply(const wire::place_offer& offer_message, incarnation own_id, std::int64_t load)
{
    wire::place_reply reply;
    reply.key = offer_message.key;
    reply.service_id = offer_message.service_id;
    reply.holder = own_id.value;
    reply.load_permille = load;
    reply.__set_offer_id(offer_message.offer_id);
    return reply;
}

}  // namespace

error_code flow_owner::admission_code() const noexcept
{
    if (draining_) {
        return error_code::draining;
    }
    return held_.size() >= settings_.connections ? error_code::connection_limit : error_code::ok;
}

bool flow_owner::may_place(std::size_t bucket) const
{
    const pvt::bucket_state& b = directory_.at(bucket);
    return b.owned && b.ready && b.fence <= table_revision();
}

void flow_owner::on_open(time_point now, const endpoint& from, const wire::forwarded_packet& packet,
                         std::int64_t nonce, outbox& out)
{
    const flow_key key = from_wire(packet.key);
    error_code refusal = error_code::ok;
    if (handle_known_key(now, key, nonce, refusal, out)) {
        if (refusal != error_code::ok) {
            refuse(key, nonce, refusal, out);
        }
        return;
    }
    const route_target* owner = bucket_owner(bucket_of(key));
    if (owner == nullptr) {
        refuse(key, nonce, error_code::no_target, out);
        return;
    }
    if (owner->id == own_id_) {
        open_at_owner(now, from, packet, nonce, out);
        return;
    }
    if (packet.hops > 0) {
        // The sender's directory may name this agent's target as the holder of a flow that has ended.
        wire::flow_unknown unknown;
        unknown.key = packet.key;
        unknown.service_id = service_.value;
        unknown.holder = own_id_.value;
        out.send(from, std::move(unknown));
        if (packet.revision > table_revision().value) {
            queue_packet(now, from, packet);
            return;
        }
    }
    forward(packet, *owner, out);
}

bool flow_owner::handle_known_key(time_point now, const flow_key& key, std::int64_t nonce,
                                  error_code& refusal, outbox& out)
{
    if (held_.ended(key, nonce)) {
        drop(error_code::duplicate_request);
        return true;
    }
    pvt::held_flow* flow = held_.find(key);
    if (flow == nullptr) {
        return false;
    }
    if (flow->nonce == nonce) {
        flow->last_used = now;
        wire::flow_open_ack ack;
        ack.nonce = nonce;
        ack.incarnation = own_id_.value;
        ack.token = flow->token.value;
        out.reply(key, std::move(ack));
        return true;
    }
    if (flow->opened + pvt::datagram_lifetime > now) {
        // It may be a delayed opening packet of an earlier flow, which must not end this one.
        refusal = error_code::duplicate_request;
        return true;
    }
    // No opening packet that was sent before this flow was opened can still arrive, so the caller has
    // abandoned this flow and opens another one with the same key.
    end_flow(now, key, out);
    return false;
}

void flow_owner::open_at_owner(time_point now, const endpoint& from, const wire::forwarded_packet& packet,
                               std::int64_t nonce, outbox& out)
{
    const flow_key key = from_wire(packet.key);
    const std::size_t bucket = bucket_of(key);
    if (!may_place(bucket)) {
        newest_revision_seen_ = std::max(newest_revision_seen_, directory_.at(bucket).fence);
        queue_packet(now, from, packet);
        return;
    }
    if (offers_.contains(key)) {
        return;
    }
    if (const pvt::directory_entry* entry = directory_.find(key)) {
        const route_target* holder = target(entry->holder);
        if (holder != nullptr && entry->in_doubt) {
            start_offer(now, packet, nonce, *holder, true, out);
            return;
        }
        if (holder != nullptr) {
            forward(packet, *holder, out);
            return;
        }
        directory_.erase(key);
    }
    const auto second = service_routes_->second_candidate(hash_of(key), own_id_);
    placement_view view;
    view.own_load = load();
    view.own_accepts = admission_code() == error_code::ok;
    view.has_second = second.has_value();
    if (second) {
        const auto peer = peers_.find(service_routes_->targets[*second].id);
        view.second_load = peer != peers_.end() ? peer->second.load : std::nullopt;
    }
    if (should_offer(placement_, view) && offers_.size() < max_offers) {
        start_offer(now, packet, nonce, service_routes_->targets[*second], false, out);
    } else if (view.own_accepts) {
        accept(now, key, nonce, out);
    } else {
        refuse(key, nonce, admission_code(), out);
    }
}

void flow_owner::accept(time_point now, const flow_key& key, std::int64_t nonce, outbox& out)
{
    const pvt::held_flow& flow = held_.open(now, key, nonce, own_id_);
    counted_->add(event::flows_opened);
    events_.push_back({flow_event_kind::opened, key, flow.token, {}});
    wire::flow_open_ack ack;
    ack.nonce = nonce;
    ack.incarnation = own_id_.value;
    ack.token = flow.token.value;
    out.reply(key, std::move(ack));
}

void flow_owner::refuse(const flow_key& key, std::int64_t nonce, error_code reason, outbox& out)
{
    wire::flow_refused refusal;
    refusal.nonce = nonce;
    refusal.reason = static_cast<std::int16_t>(reason);
    counted_->count_refusal(reason);
    out.reply(key, std::move(refusal));
}

void flow_owner::start_offer(time_point now, const wire::forwarded_packet& packet, std::int64_t nonce,
                             const route_target& to, bool in_doubt, outbox& out)
{
    if (offers_.size() >= max_offers) {
        drop(error_code::flow_limit);
        return;
    }
    offer pending;
    pending.id = next_offer_id_++;
    pending.nonce = nonce;
    pending.holder = to.id;
    pending.first_sent = now;
    pending.last_sent = now;
    wire::place_offer& body = pending.body;
    body.key = packet.key;
    body.service_id = service_.value;
    body.revision = table_revision().value;
    body.owner = own_id_.value;
    body.reply_to = to_wire(settings_.address);
    body.holder = to.id.value;
    // A target that may still hold the flow must not decline because of its load.
    body.load_permille = admission_code() != error_code::ok || in_doubt ? unlimited_load : load();
    body.payload = packet.payload;
    body.balancer = packet.balancer;
    body.__set_offer_id(pending.id);
    counted_->add(event::flows_offered);
    peers_[to.id].last_exchange = now;
    out.send(to.agent, pending.body);
    offers_.emplace(from_wire(packet.key), std::move(pending));
}

error_code flow_owner::decide_offer(time_point now, const wire::place_offer& offer_message,
                                    std::int64_t nonce, outbox& out)
{
    const flow_key key = from_wire(offer_message.key);
    error_code refusal = error_code::ok;
    if (held_.ended(key, nonce)) {
        return error_code::duplicate_request;
    }
    if (handle_known_key(now, key, nonce, refusal, out)) {
        return refusal;
    }
    // The owner places the flow elsewhere once one copy of an offer was declined, so no later copy may be
    // accepted.
    const declined_offer* last_declined = declined_.find(key);
    if (last_declined != nullptr && last_declined->owner.value == offer_message.owner &&
        offer_message.offer_id <= last_declined->id) {
        return error_code::no_slot;
    }
    if (offer_message.revision < directory_.at(bucket_of(key)).fence.value) {
        return error_code::handover_pending;
    }
    if (const error_code own_refusal = admission_code(); own_refusal != error_code::ok) {
        return own_refusal;
    }
    if (load() > offer_message.load_permille) {
        return error_code::no_slot;
    }
    accept(now, key, nonce, out);
    return error_code::ok;
}

void flow_owner::on_place_offer(time_point now, const wire::place_offer& offer_message, outbox& out)
{
    if (service_routes_ == nullptr || offer_message.service_id != service_.value ||
        offer_message.holder != own_id_.value) {
        drop(error_code::wrong_incarnation);
        return;
    }
    const auto decoded = decode_caller(offer_message.payload);
    const auto* opening = has_value(decoded) ? std::get_if<wire::flow_open>(&value(decoded)) : nullptr;
    if (opening == nullptr) {
        drop(error_code::message_malformed);
        return;
    }
    note_revision(now, {offer_message.revision}, endpoint{}, out);
    const error_code reason = decide_offer(now, offer_message, opening->nonce, out);
    if (reason != error_code::ok) {
        declined_.set(now, from_wire(offer_message.key), {{offer_message.owner}, offer_message.offer_id});
        counted_->add(event::flows_offer_declined);
    }
    if (target({offer_message.owner}) != nullptr) {
        peer_load& peer = peers_[{offer_message.owner}];
        peer.last_exchange = now;
        if (offer_message.load_permille != unlimited_load) {
            peer.load = offer_message.load_permille;
        }
    }
    wire::place_reply reply = make_reply(offer_message, own_id_, load());
    reply.accepted = reason == error_code::ok;
    reply.reason = static_cast<std::int16_t>(reason);
    out.send(from_wire(offer_message.reply_to), std::move(reply));
}

void flow_owner::on_place_reply(time_point now, const wire::place_reply& reply, outbox& out)
{
    const incarnation holder{reply.holder};
    if (reply.service_id != service_.value || target(holder) == nullptr) {
        return;
    }
    peers_[holder].load = reply.load_permille;
    const flow_key key = from_wire(reply.key);
    const auto it = offers_.find(key);
    if (it == offers_.end() || it->second.id != reply.offer_id) {
        return;
    }
    const offer answered = std::move(it->second);
    offers_.erase(it);
    if (reply.accepted) {
        if (directory_.at(bucket_of(key)).owned && !directory_.set(key, holder)) {
            counted_->count_refusal(error_code::flow_limit);
        }
        return;
    }
    on_offer_declined(now, answered, static_cast<error_code>(reply.reason), out);
}

void flow_owner::on_offer_declined(time_point now, const offer& declined, error_code reason, outbox& out)
{
    const flow_key key = from_wire(declined.body.key);
    if (reason == error_code::duplicate_request) {
        held_.remember_end(now, key, declined.nonce);
        return;
    }
    const bool refused_by_limit = reason == error_code::draining || reason == error_code::connection_limit;
    if (!may_place(bucket_of(key)) || (reason == error_code::handover_pending)) {
        // The caller resends its opening packet, which then reaches the new owner.
        drop(error_code::handover_pending);
        return;
    }
    directory_.erase(key);
    if (admission_code() == error_code::ok) {
        accept(now, key, declined.nonce, out);
    } else {
        refuse(key, declined.nonce, refused_by_limit ? reason : admission_code(), out);
    }
}

void flow_owner::repeat_offers(time_point now, outbox& out)
{
    for (auto& item : offers_) {
        offer& pending = item.second;
        const route_target* to = target(pending.holder);
        const bool slow = pending.first_sent + offer_reply_timeout < now;
        if (to == nullptr ||
            pending.last_sent + (slow ? slow_offer_repeat_interval : offer_repeat_interval) > now) {
            continue;
        }
        if (slow) {
            // Until the target sends a message, its load is unknown and it is not preferred to the owner for
            // other flows. This flow stays offered to it, because it may accept a copy of the offer at any
            // time until it has left the table.
            peers_[pending.holder].load.reset();
        }
        pending.last_sent = now;
        out.send(to->agent, pending.body);
    }
}

void flow_owner::report_load(time_point now, outbox& out)
{
    std::erase_if(peers_, [this](const auto& item) { return target(item.first) == nullptr; });
    wire::load_report report;
    report.service_id = service_.value;
    report.holder = own_id_.value;
    report.load_permille = load();
    for (const route_target& t : service_routes_->targets) {
        const auto peer = peers_.find(t.id);
        // The report also goes to agents whose load is unknown: an agent that does not know this one's load
        // answers with its own.
        const bool unknown = peer == peers_.end() || !peer->second.load;
        if (t.id != own_id_ && (unknown || peer->second.last_exchange + peer_lifetime > now)) {
            out.send(t.agent, report);
        }
    }
}

}  // namespace peridotcleat

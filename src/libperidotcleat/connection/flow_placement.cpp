#include <algorithm>
#include <limits>
#include <utility>

#include "peridotcleat/flow_owner.h"

namespace peridotcleat {

namespace {

// Bounds the memory for offers that wait for a reply.
constexpr std::size_t max_offers = 1024;
constexpr std::chrono::milliseconds offer_repeat{100};
// After 20 repetitions without any reply the candidate is probably lost, or has no table yet.
constexpr std::chrono::milliseconds offer_patience{2000};
constexpr std::chrono::milliseconds slow_offer_repeat{500};
// Loads go to agents with which this one exchanged an offer or a reply within this time.
constexpr std::chrono::seconds peer_lifetime{10};
// Stands for a load that nobody exceeds.
constexpr std::int64_t unlimited_load = std::numeric_limits<std::int64_t>::max();

wire::place_reply reply_to(const wire::place_offer& asked, incarnation own, std::int64_t load)
{
    wire::place_reply reply;
    reply.key = asked.key;
    reply.service_id = asked.service_id;
    reply.holder = own.value;
    reply.load_permille = load;
    reply.__set_offer_id(asked.offer_id);
    return reply;
}

}  // namespace

error_code flow_owner::accepts() const noexcept
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
    error_code refused = error_code::ok;
    if (settle_known(now, key, nonce, refused, out)) {
        if (refused != error_code::ok) {
            refuse(key, nonce, refused, out);
        }
        return;
    }
    const route_target* owner = owner_of(bucket_of(key));
    if (owner == nullptr) {
        refuse(key, nonce, error_code::no_target, out);
        return;
    }
    if (owner->id == own_) {
        open_at_owner(now, from, packet, nonce, out);
        return;
    }
    if (packet.hops > 0) {
        // The sender's directory may name this agent for a flow that has ended.
        wire::flow_unknown unknown;
        unknown.key = packet.key;
        unknown.service_id = service_.value;
        unknown.holder = own_.value;
        out.send(from, std::move(unknown));
        if (packet.revision > table_revision().value) {
            wait(now, from, packet);
            return;
        }
    }
    forward(packet, *owner, out);
}

bool flow_owner::settle_known(time_point now, const flow_key& key, std::int64_t nonce, error_code& refused,
                              outbox& out)
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
        flow->last_use = now;
        wire::flow_open_ack ack;
        ack.nonce = nonce;
        ack.incarnation = own_.value;
        ack.token = flow->token.value;
        out.reply(key, std::move(ack));
        return true;
    }
    if (flow->opened + pvt::datagram_lifetime > now) {
        // It may be a delayed opening of an earlier flow, which must not end this one.
        refused = error_code::duplicate_request;
        return true;
    }
    // No opening from before this flow can still arrive: the caller has started anew.
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
        wait(now, from, packet);
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
    const auto second = service_routes_->second_candidate(hash_of(key), own_);
    placement_view view;
    view.own_load = load();
    view.own_accepts = accepts() == error_code::ok;
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
        refuse(key, nonce, accepts(), out);
    }
}

void flow_owner::accept(time_point now, const flow_key& key, std::int64_t nonce, outbox& out)
{
    const pvt::held_flow& flow = held_.open(now, key, nonce, own_);
    counted_->add(event::flows_opened);
    events_.push_back({flow_event_kind::opened, key, flow.token, {}});
    wire::flow_open_ack ack;
    ack.nonce = nonce;
    ack.incarnation = own_.value;
    ack.token = flow.token.value;
    out.reply(key, std::move(ack));
}

void flow_owner::refuse(const flow_key& key, std::int64_t nonce, error_code reason, outbox& out)
{
    wire::flow_refused refusal;
    refusal.nonce = nonce;
    refusal.reason = static_cast<std::int16_t>(reason);
    counted_->refuse(reason);
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
    body.owner = own_.value;
    body.reply_to = to_wire(settings_.address);
    body.holder = to.id.value;
    // A target that may still hold the flow is asked whether it does, not whether it is the less busy one.
    body.load_permille = accepts() != error_code::ok || in_doubt ? unlimited_load : load();
    body.payload = packet.payload;
    body.balancer = packet.balancer;
    body.__set_offer_id(pending.id);
    counted_->add(event::flows_offered);
    peers_[to.id].last_exchange = now;
    out.send(to.agent, pending.body);
    offers_.emplace(from_wire(packet.key), std::move(pending));
}

error_code flow_owner::decide_offer(time_point now, const wire::place_offer& asked, std::int64_t nonce,
                                    outbox& out)
{
    const flow_key key = from_wire(asked.key);
    error_code refused = error_code::ok;
    if (held_.ended(key, nonce)) {
        return error_code::duplicate_request;
    }
    if (settle_known(now, key, nonce, refused, out)) {
        return refused;
    }
    // The owner goes on once one copy of an offer has been declined, so no later copy may be accepted.
    const declined_offer* before = declined_.find(key);
    if (before != nullptr && before->owner.value == asked.owner && asked.offer_id <= before->id) {
        return error_code::no_slot;
    }
    if (asked.revision < directory_.at(bucket_of(key)).fence.value) {
        return error_code::handover_pending;
    }
    if (const error_code own = accepts(); own != error_code::ok) {
        return own;
    }
    if (load() > asked.load_permille) {
        return error_code::no_slot;
    }
    accept(now, key, nonce, out);
    return error_code::ok;
}

void flow_owner::on_place_offer(time_point now, const wire::place_offer& asked, outbox& out)
{
    if (service_routes_ == nullptr || asked.service_id != service_.value || asked.holder != own_.value) {
        drop(error_code::wrong_incarnation);
        return;
    }
    const auto decoded = decode_caller(asked.payload);
    const auto* opening = has_value(decoded) ? std::get_if<wire::flow_open>(&value(decoded)) : nullptr;
    if (opening == nullptr) {
        drop(error_code::message_malformed);
        return;
    }
    note_revision(now, {asked.revision}, endpoint{}, out);
    const error_code reason = decide_offer(now, asked, opening->nonce, out);
    if (reason != error_code::ok) {
        declined_.set(now, from_wire(asked.key), {{asked.owner}, asked.offer_id});
        counted_->add(event::flows_offer_declined);
    }
    if (target({asked.owner}) != nullptr) {
        peer_load& peer = peers_[{asked.owner}];
        peer.last_exchange = now;
        if (asked.load_permille != unlimited_load) {
            peer.load = asked.load_permille;
        }
    }
    wire::place_reply reply = reply_to(asked, own_, load());
    reply.accepted = reason == error_code::ok;
    reply.reason = static_cast<std::int16_t>(reason);
    out.send(from_wire(asked.reply_to), std::move(reply));
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
            counted_->refuse(error_code::flow_limit);
        }
        return;
    }
    on_declined(now, answered, static_cast<error_code>(reply.reason), out);
}

void flow_owner::on_declined(time_point now, const offer& declined, error_code reason, outbox& out)
{
    const flow_key key = from_wire(declined.body.key);
    if (reason == error_code::duplicate_request) {
        held_.remember_end(now, key, declined.nonce);
        return;
    }
    const bool refused_by_limit = reason == error_code::draining || reason == error_code::connection_limit;
    if (!may_place(bucket_of(key)) || (reason == error_code::handover_pending)) {
        // The caller repeats its opening, which then finds the new owner.
        drop(error_code::handover_pending);
        return;
    }
    directory_.erase(key);
    if (accepts() == error_code::ok) {
        accept(now, key, declined.nonce, out);
    } else {
        refuse(key, declined.nonce, refused_by_limit ? reason : accepts(), out);
    }
}

void flow_owner::repeat_offers(time_point now, outbox& out)
{
    for (auto& item : offers_) {
        offer& pending = item.second;
        const route_target* to = target(pending.holder);
        const bool slow = pending.first_sent + offer_patience < now;
        if (to == nullptr || pending.last_sent + (slow ? slow_offer_repeat : offer_repeat) > now) {
            continue;
        }
        if (slow) {
            // It is not the first choice for other flows until it is heard again. This flow stays offered,
            // because the target may accept a copy at any time until it has left the table.
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
    report.holder = own_.value;
    report.load_permille = load();
    for (const route_target& t : service_routes_->targets) {
        const auto peer = peers_.find(t.id);
        // An agent that was never heard answers with its own load.
        const bool unknown = peer == peers_.end() || !peer->second.load;
        if (t.id != own_ && (unknown || peer->second.last_exchange + peer_lifetime > now)) {
            out.send(t.agent, report);
        }
    }
}

}  // namespace peridotcleat

#include "peridotcleat/segment_agent.h"

#include <algorithm>
#include <utility>

#include "peridotcleat/log.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds cleanup_interval{1000};
// About 1 MB. Further flows are passed to the target again when they are searched for.
constexpr std::size_t max_denied_flows = 20'000;
// Balancers that have sent nothing for longer get no load reports.
constexpr milliseconds balancer_timeout{5000};
// A flow that is closing is forgotten after this time without packets.
constexpr milliseconds closing_timeout{3000};
// A flow that is not open, because the target has not offered to accept it, the caller has not accepted the
// offer or the target has not reacted to a probe, is forgotten after this time without packets.
constexpr milliseconds half_open_timeout{5000};
// Added to the greatest age of a flow, for packets in flight.
constexpr milliseconds in_flight_margin{5000};
// After this time without an answer to an opening packet the target counts as silent and gets new flows only
// at the interval `silent_target_retry`. The target runs on the same machine and answers an opening packet in
// about a millisecond.
constexpr milliseconds target_answer_timeout{300};
// Interval at which a target that does not answer gets a new flow as a test.
constexpr milliseconds silent_target_retry{500};

}  // namespace

segment_agent::segment_agent(segment_agent_settings settings, time_point now, counters& counted)
    : settings_(std::move(settings)), counted_(&counted), service_key_(service_key(settings_.service)),
      coverage_(now, settings_.max_flow_age)
{
}

// Returns why an announcement is refused, or nothing if it is accepted.
std::optional<error> segment_agent::refusal_of(time_point now, const target_announcement& a) const
{
    if (a.service != settings_.service) {
        return error{error_code::wrong_service, "the announcement names another service"};
    }
    if (a.address != settings_.target) {
        return error{error_code::wrong_target,
                     "the announcement names the address " + to_string(a.address) + " of another target"};
    }
    if (!latest_start_ || now - last_announcement_ > announcement_timeout()) {
        // Nobody else claims to be the target. The order of starts by their times is not reliable enough to
        // refuse the target for good: its clock may have been set back, or the latest start may have been
        // announced by another program.
        return std::nullopt;
    }
    const start& latest = *latest_start_;
    const bool same = latest.started_ms == a.started_ms;
    if (a.started_ms < latest.started_ms || (same && (latest.ended || a.sequence < latest.sequence))) {
        return error{error_code::wrong_incarnation, "the announcement is outdated"};
    }
    return std::nullopt;
}

result<success> segment_agent::on_announcement(time_point now, const target_announcement& a, outbox& out)
{
    if (auto refusal = refusal_of(now, a)) {
        counted_->count_refusal(refusal->code);
        log_event(log_level::warning, "announcement_refused",
                  {{"id", a.id},
                   {"reason", to_string(refusal->code)},
                   {"service", a.service},
                   {"address", to_string(a.address)},
                   {"started_ms", a.started_ms},
                   {"sequence", a.sequence}});
        return *refusal;
    }
    if (latest_start_ && latest_start_->started_ms != a.started_ms) {
        log_event(log_level::info, "target_restarted",
                  {{"id", a.id},
                   {"started_ms", a.started_ms},
                   {"flows", static_cast<std::int64_t>(flows_.size())}});
        on_target_restarted();
    }
    if (!latest_start_) {
        coverage_.on_first_announcement(a.sequence);
        // An acknowledged target waits for the announcement interval before the next one, so most likely no
        // previous agent has admitted flows to a younger target. A clock that was set back makes it seem
        // younger.
        seemed_new_ =
            a.sequence == 1 || (a.age >= milliseconds(0) && a.age < settings_.announcement_interval * 3 / 4);
    }
    const bool changed = !target_ || target_->draining != a.draining || target_->started_ms != a.started_ms;
    latest_start_ = {a.id, a.started_ms, a.sequence, false};
    target_ = a;
    leaving_ = false;
    last_announcement_ = now;
    warmup_end_ = now + a.warmup;
    if (changed) {
        log_event(log_level::info, "target_announced",
                  {{"id", a.id},
                   {"draining", a.draining ? "true" : "false"},
                   {"sequence", a.sequence},
                   {"flows", static_cast<std::int64_t>(flows_.size())}});
        send_load(now, out);
    }
    return success{};
}

// Keeps all flows: the restarted target may have accepted some of them before its first announcement, and it
// returns the next packet of each flow of its previous start. Until the target reacts, a flow does not count
// as load.
void segment_agent::on_target_restarted()
{
    for (auto& [key, f] : flows_) {
        set_busy(f, false);
        set_reserved(f, false);
        set_unconfirmed(f, true);
    }
    reservations_.clear();
    unanswered_since_.reset();
}

result<success> segment_agent::on_target_left(time_point now, std::string_view id, outbox& out)
{
    if (latest_start_ && latest_start_->id != id) {
        counted_->count_refusal(error_code::wrong_incarnation);
        log_event(log_level::warning, "leave_refused",
                  {{"id", std::string(id)}, {"target", latest_start_->id}});
        return error{error_code::wrong_incarnation, "another target runs beside the agent"};
    }
    log_event(log_level::info, "target_left",
              {{"id", std::string(id)}, {"flows", static_cast<std::int64_t>(flows_.size())}});
    target_.reset();
    leaving_ = true;
    send_load(now, out);
    return success{};
}

// The id of a target that left may be that of a later start, so its flows have ended only if no process
// listens at its port.
void segment_agent::on_port_closed(time_point now, outbox& out)
{
    if (!leaving_) {
        return;
    }
    log_event(log_level::info, "target_ended", {{"flows", static_cast<std::int64_t>(flows_.size())}});
    leaving_ = false;
    if (latest_start_) {
        latest_start_->ended = true;
    }
    forget_flows();
    coverage_.on_target_ended();
    send_load(now, out);
}

void segment_agent::begin_stop(time_point now, outbox& out)
{
    stopping_ = true;
    send_load(now, out);
}

// Logs when the agent begins or ceases to accept new flows, with the reason.
void segment_agent::log_admission_change(time_point now)
{
    const bool silent = unanswered_since_ && now - *unanswered_since_ > target_answer_timeout;
    const error_code reason =
        silent ? error_code::upstream_unreachable : refusal_reason(now).value_or(error_code::ok);
    if (reason == logged_refusal_) {
        return;
    }
    logged_refusal_ = reason;
    log_event(reason == error_code::ok ? log_level::info : log_level::warning, "admission_changed",
              {{"accepting", reason == error_code::ok ? "true" : "false"},
               {"reason", to_string(reason)},
               {"announced_ms", announcement_age_ms(now)},
               {"unanswered_ms",
                silent ? std::chrono::duration_cast<milliseconds>(now - *unanswered_since_).count() : 0},
               {"flows", static_cast<std::int64_t>(flows_.size())}});
}

// Returns the milliseconds since the latest announcement of the target, or -1 without one.
std::int64_t segment_agent::announcement_age_ms(time_point now) const
{
    return target_ ? std::chrono::duration_cast<milliseconds>(now - last_announcement_).count() : -1;
}

// Time without an announcement after which the target counts as silent.
milliseconds segment_agent::announcement_timeout() const { return settings_.announcement_interval * 5 / 2; }

std::optional<error_code> segment_agent::refusal_reason(time_point now) const
{
    if (stopping_) {
        return error_code::stopped;
    }
    if (!target_ || now - last_announcement_ > announcement_timeout()) {
        return error_code::upstream_unreachable;
    }
    if (target_->draining) {
        return error_code::draining;
    }
    const bool silent = unanswered_since_ && now - *unanswered_since_ > target_answer_timeout;
    if (silent && now - last_new_flow_ < silent_target_retry) {
        return error_code::upstream_unreachable;
    }
    return std::nullopt;
}

void segment_agent::on_message(time_point now, const endpoint& from, const message& m, outbox& out)
{
    if (const auto* forwarded = std::get_if<wire::segment_forward>(&m)) {
        on_forward(now, from, *forwarded, out);
    } else if (const auto* query = std::get_if<wire::segment_query>(&m)) {
        on_query(now, from, *query, out);
    }
}

// Returns whether the target holds the flow of a segment: `held`, `absent`, `unsure` or `unlikely`.
segment_outcome segment_agent::outcome_for(time_point now, const flow_key& key,
                                           std::uint32_t ack_number) const
{
    const auto it = flows_.find(key);
    if (it == flows_.end()) {
        if (coverage_.complete(now) || denied_flows_.contains(key)) {
            return segment_outcome::absent;
        }
        return seemed_new_ ? segment_outcome::unlikely : segment_outcome::unsure;
    }
    const flow& f = it->second;
    if (f.offered && !f.opened && !acknowledges_flow(ack_number, f.target_sequence)) {
        // The caller has accepted the offer of another target.
        return segment_outcome::absent;
    }
    return f.probing ? segment_outcome::unsure : segment_outcome::held;
}

void segment_agent::on_query(time_point now, const endpoint& from, const wire::segment_query& query,
                             outbox& out)
{
    balancers_last_heard_[route_number(from)] = now;
    wire::segment_answers answers;
    answers.load_permille = load_permille();
    for (const wire::segment_question& question : query.flows) {
        const auto outcome =
            query.service_key == service_key_
                ? outcome_for(now, from_wire(question.key), static_cast<std::uint32_t>(question.acknowledged))
                : segment_outcome::absent;
        wire::segment_answer answer;
        answer.key = question.key;
        answer.outcome = static_cast<std::int8_t>(outcome);
        answers.flows.push_back(answer);
    }
    out.send(from, std::move(answers));
}

void segment_agent::on_forward(time_point now, const endpoint& from, const wire::segment_forward& m,
                               outbox& out)
{
    balancers_last_heard_[route_number(from)] = now;
    const auto s = settings_.format.decode(m.packet);
    if (!s || s->returned) {
        counted_->count_refusal(error_code::message_malformed);
        return;
    }
    const auto purpose = static_cast<segment_purpose>(m.purpose);
    if (m.service_key != service_key_) {
        // The address now belongs to a target of another service, and the balancer's table is older.
        counted_->count_refusal(error_code::wrong_service);
        const bool is_placement = purpose == segment_purpose::place;
        auto report = make_report(s->key, is_placement ? segment_outcome::declined : segment_outcome::absent);
        if (is_placement) {
            report.__set_reason(static_cast<std::int16_t>(error_code::wrong_service));
        }
        if (purpose != segment_purpose::search) {
            report.__set_packet(m.packet);
        }
        out.send(from, std::move(report));
        return;
    }
    if (purpose == segment_purpose::place && s->opens) {
        on_opening_segment(now, from, *s, m, out);
    } else if (!s->opens) {
        on_subsequent_segment(now, from, *s, m, out);
    } else {
        counted_->count_refusal(error_code::message_malformed);
    }
}

void segment_agent::on_opening_segment(time_point now, const endpoint& from, const segment& s,
                                       const wire::segment_forward& m, outbox& out)
{
    const auto known = flows_.find(s.key);
    if (known == flows_.end()) {
        auto reason = refusal_reason(now);
        if (!reason && m.__isset.max_outstanding && outstanding_permille() >= m.max_outstanding) {
            reason = error_code::no_slot;
        }
        if (reason) {
            log_event(log_level::info, "flow_refused",
                      {{"flow", to_string(s.key)},
                       {"reason", to_string(*reason)},
                       {"outstanding_permille", std::int64_t{outstanding_permille()}},
                       {"max_outstanding_permille", std::int64_t{m.max_outstanding}},
                       {"announced_ms", announcement_age_ms(now)}});
            decline(from, s, m.packet, *reason, out);
            return;
        }
        denied_flows_.erase(s.key);
        last_new_flow_ = now;
        ++openings_since_sample_;
    }
    flow& f = flows_[s.key];
    f.balancer = from;
    f.last_used = now;
    if (known == flows_.end()) {
        f.first_seen = now;
        reserve(now, f, s.key);
    }
    if (!unanswered_since_) {
        unanswered_since_ = now;
    }
    counted_->add(event::flows_offered);
    deliver(m.packet, out);
}

// Reports to a balancer that the target does not accept a new flow.
void segment_agent::decline(const endpoint& to, const segment& s, std::string_view packet, error_code reason,
                            outbox& out)
{
    counted_->count_refusal(reason);
    auto report = make_report(s.key, segment_outcome::declined);
    report.__set_reason(static_cast<std::int16_t>(reason));
    report.__set_packet(std::string(packet));
    if (reason == error_code::no_slot) {
        report.__set_expected_wait_ms(expected_wait_ms());
    }
    out.send(to, std::move(report));
}

void segment_agent::on_subsequent_segment(time_point now, const endpoint& from, const segment& s,
                                          const wire::segment_forward& m, outbox& out)
{
    const bool is_search = static_cast<segment_purpose>(m.purpose) == segment_purpose::search;
    if (outcome_for(now, s.key, s.ack_number) == segment_outcome::absent) {
        counted_->count_refusal(error_code::flow_unknown);
        auto report = make_report(s.key, segment_outcome::absent);
        if (!is_search) {
            report.__set_packet(m.packet);
        }
        out.send(from, std::move(report));
        return;
    }
    auto it = flows_.find(s.key);
    if (it == flows_.end()) {
        it = flows_.try_emplace(s.key).first;
        it->second.probing = true;
        it->second.first_seen = now;
    }
    flow& f = it->second;
    f.balancer = from;
    f.last_used = now;
    if (f.probing) {
        f.probe_is_search = is_search;
        deliver(m.packet, out);
        return;
    }
    if (f.offered && !f.opened) {
        f.opened = true;
        counted_->add(event::flows_opened);
        log_event(log_level::info, "flow_accepted",
                  {{"flow", to_string(s.key)},
                   {"flows", static_cast<std::int64_t>(flows_.size())},
                   {"load_permille", std::int64_t{load_permille()}}});
    }
    if (s.length > 0 && !f.closing) {
        f.busy_since = f.busy ? f.busy_since : now;
        set_reserved(f, false);
        set_busy(f, true);
    }
    if (s.resets) {
        set_closing(f);
    }
    deliver(m.packet, out);
    if (is_search) {
        out.send(from, make_report(s.key, segment_outcome::held));
    }
}

void segment_agent::deliver(std::string_view packet, outbox& out)
{
    out.packets.push_back({settings_.target, std::string(packet)});
}

void segment_agent::forget_flows()
{
    flows_.clear();
    denied_flows_.clear();
    reservations_.clear();
    busy_flows_ = 0;
    reserved_flows_ = 0;
    closing_flows_ = 0;
    unconfirmed_flows_ = 0;
}

void segment_agent::erase(flow_map::iterator it)
{
    set_busy(it->second, false);
    set_reserved(it->second, false);
    set_unconfirmed(it->second, false);
    closing_flows_ -= it->second.closing ? 1 : 0;
    flows_.erase(it);
    counted_->add(event::flows_closed);
}

void segment_agent::on_target_packet(time_point now, std::string_view packet, outbox& out)
{
    const auto s = settings_.format.decode(packet);
    if (!s) {
        counted_->count_refusal(error_code::message_malformed);
        return;
    }
    unanswered_since_.reset();
    if (s->returned) {
        on_returned(now, *s, packet, out);
        return;
    }
    const flow_key key = reversed(s->key);
    const auto [it, added] = flows_.try_emplace(key);
    flow& f = it->second;
    f.last_used = now;
    set_unconfirmed(f, false);
    if (added) {
        // The flow was opened before the agent's start.
        f.first_seen = now;
        f.opened = !s->opens;
    }
    if (s->opens) {
        f.offered = true;
        f.target_sequence = s->sequence;
        if (f.balancer.valid()) {
            auto report = make_report(key, segment_outcome::offered);
            report.__set_sequence(static_cast<std::int32_t>(s->sequence));
            out.send(f.balancer, std::move(report));
        }
    } else {
        update_flow(now, f, *s);
        if (f.probing) {
            f.probing = false;
            f.opened = true;
            out.send(f.balancer, make_report(key, segment_outcome::held));
        }
    }
    out.packets.push_back({{key.source.address, settings_.caller_port}, std::string(packet)});
}

void segment_agent::update_flow(time_point now, flow& f, const segment& s)
{
    if (s.length > 0) {
        f.opened = true;
        if (f.busy) {
            average_exchange(now - f.busy_since);
            counted_->record(latency::exchange,
                             std::chrono::duration_cast<std::chrono::microseconds>(now - f.busy_since));
        }
        set_busy(f, false);
        set_reserved(f, false);
    }
    if (s.finishes || s.resets) {
        set_closing(f);
    }
}

// Handles a packet that the target has returned because it does not hold its flow or cannot accept it.
void segment_agent::on_returned(time_point now, const segment& s, std::string_view packet, outbox& out)
{
    const auto it = flows_.find(s.key);
    if (it == flows_.end()) {
        return;
    }
    std::string original(packet);
    settings_.format.restore(original);
    flow& f = it->second;
    log_event(log_level::info, "flow_returned",
              {{"flow", to_string(s.key)},
               {"opens", s.opens ? "true" : "false"},
               {"opened", f.opened ? "true" : "false"},
               {"age_ms", std::chrono::duration_cast<milliseconds>(now - f.first_seen).count()}});
    if (!s.opens && denied_flows_.size() < max_denied_flows) {
        denied_flows_[s.key] = now;
    }
    if (s.opens) {
        if (f.balancer.valid()) {
            decline(f.balancer, s, original, error_code::shed_by_upstream, out);
        }
    } else if (f.opened && !f.closing) {
        // The target held the flow before and no longer does, so no target holds it.
        counted_->add(event::flows_reset);
        log_event(log_level::info, "flow_reset", {{"flow", to_string(s.key)}, {"reason", "flow_unknown"}});
        out.packets.push_back({{s.key.source.address, settings_.caller_port},
                               settings_.format.make_reset(s.key, s.ack_number)});
    } else if (f.balancer.valid() && !f.closing) {
        auto report = make_report(s.key, segment_outcome::absent);
        if (!f.probe_is_search) {
            report.__set_packet(original);
        }
        out.send(f.balancer, std::move(report));
    }
    erase(it);
}

wire::segment_report segment_agent::make_report(const flow_key& key, segment_outcome outcome) const
{
    wire::segment_report r;
    r.key = to_wire(key);
    r.service_key = service_key_;
    r.outcome = static_cast<std::int8_t>(outcome);
    r.load_permille = load_permille();
    return r;
}

void segment_agent::on_tick(time_point now, outbox& out)
{
    std::erase_if(balancers_last_heard_, [now](const auto& b) { return now - b.second > balancer_timeout; });
    update_load(now, out);
    if (now - last_cleanup_ < cleanup_interval) {
        return;
    }
    last_cleanup_ = now;
    std::erase_if(denied_flows_, [&](const auto& d) { return now - d.second > settings_.max_flow_age; });
    for (auto it = flows_.begin(); it != flows_.end();) {
        const flow& f = it->second;
        const auto silent = now - f.last_used;
        const bool expired = silent > settings_.max_flow_age + in_flight_margin ||
                             (f.closing && silent > closing_timeout) ||
                             (!f.opened && silent > half_open_timeout);
        const auto next = std::next(it);
        if (expired) {
            erase(it);
        }
        it = next;
    }
}

}  // namespace peridotcleat

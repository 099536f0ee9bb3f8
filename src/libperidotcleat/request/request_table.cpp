#include "peridotcleat/request_table.h"

#include <algorithm>
#include <utility>

#include "peridotcleat/answer_parts.h"

namespace peridotcleat {

using pvt::flow_records;
using pvt::record_state;
using pvt::request_record;

namespace {

bool is_in_progress(record_state s) noexcept
{
    return s == record_state::waiting || s == record_state::running;
}

wire_status wire_status_of(record_state s) noexcept
{
    switch (s) {
    case record_state::not_run: return wire_status::not_run;
    case record_state::failed: return wire_status::failed;
    case record_state::outcome_unknown: return wire_status::outcome_unknown;
    default: return wire_status::in_progress;
    }
}

wire::request_result make_result(const request_id& id, wire_status status, error_code reason)
{
    wire::request_result r;
    r.token = id.token.value;
    r.sequence = id.sequence;
    r.status = static_cast<std::int8_t>(status);
    r.reason = static_cast<std::int16_t>(reason);
    return r;
}

}  // namespace

request_table::request_table(const request_settings& settings, counters& counted,
                             std::shared_ptr<admission> admission_control, service_id service)
    : settings_(settings), counted_(&counted), admission_(std::move(admission_control)), service_(service)
{
}

result<request_table> request_table::create(const request_settings& settings, counters& counted)
{
    auto own_admission = admission::create({settings.slots, settings.queue_per_slot, settings.ramp});
    if (!has_value(own_admission)) {
        return failure(own_admission);
    }
    return create(settings, counted, std::make_shared<admission>(std::move(value(own_admission))),
                  service_id{1});
}

result<request_table> request_table::create(const request_settings& settings, counters& counted,
                                            std::shared_ptr<admission> shared_admission, service_id service)
{
    if (settings.part_bytes == 0) {
        return error{error_code::invalid_setting, "part_bytes is 0 but must be at least 1"};
    }
    return request_table(settings, counted, std::move(shared_admission), service);
}

void request_table::set_incarnation(incarnation id)
{
    if (id == incarnation_) {
        return;
    }
    if (incarnation_.valid()) {
        outbox cancellations;
        for (auto& [token, flow] : flows_) {
            for (const auto& [sequence, record] : flow.records) {
                drop_record({token, sequence}, record, cancellations);
            }
        }
        for (const upstream_cancel& c : cancellations.cancels) {
            deferred_cancels_.push_back(c.id);
        }
        flows_.clear();
        flows_with_pushes_.clear();
    }
    incarnation_ = id;
    cold_ = true;
}

void request_table::on_flow_opened(time_point /*now*/, const flow_key& key, flow_token token)
{
    flows_[token].key = key;
}

void request_table::on_flow_closed(time_point now, flow_token token, outbox& out)
{
    const auto it = flows_.find(token);
    if (it == flows_.end()) {
        return;
    }
    for (const auto& [sequence, record] : it->second.records) {
        drop_record({token, sequence}, record, out);
    }
    flows_.erase(it);
    flows_with_pushes_.erase(token);
    start_waiting(now, out);
}

flow_records* request_table::find_flow(const flow_key& key, std::int64_t token)
{
    const auto it = flows_.find(flow_token{token});
    return it != flows_.end() && it->second.key == key ? &it->second : nullptr;
}

request_record* request_table::find_record(const request_id& id)
{
    const auto flow = flows_.find(id.token);
    if (flow == flows_.end()) {
        return nullptr;
    }
    const auto it = flow->second.records.find(id.sequence);
    return it == flow->second.records.end() ? nullptr : &it->second;
}

void request_table::on_payload(time_point now, const flow_key& key, const caller_message& m, outbox& out)
{
    if (std::exchange(cold_, false)) {
        admission_->begin_ramp(now);
    }
    if (const auto* r = std::get_if<wire::request>(&m)) {
        on_request(now, key, *r, out);
    } else if (const auto* p = std::get_if<wire::part_request>(&m)) {
        on_part_request(now, key, *p, out);
    } else if (const auto* c = std::get_if<wire::request_cancel>(&m)) {
        on_cancel(now, key, *c, out);
    } else if (const auto* a = std::get_if<wire::push_ack>(&m)) {
        on_push_ack(key, *a);
    }
}

void request_table::on_request(time_point now, const flow_key& key, const wire::request& m, outbox& out)
{
    const request_id id{flow_token{m.token}, m.sequence};
    flow_records* flow = find_flow(key, m.token);
    if (m.incarnation != incarnation_.value || !incarnation_.valid() || flow == nullptr) {
        // No record is needed: a request that names another incarnation or no flow can never run here.
        const auto reason =
            m.incarnation != incarnation_.value ? error_code::wrong_incarnation : error_code::flow_unknown;
        counted_->count_refusal(reason);
        out.reply(key, make_result(id, wire_status::not_run, reason));
        return;
    }
    if (m.settled_below > m.sequence) {
        counted_->count_refusal(error_code::message_malformed);
        return;
    }
    settle(id.token, *flow, m.settled_below, out);
    if (m.sequence < flow->settled_below) {
        counted_->count_refusal(error_code::duplicate_request);
        return;
    }
    if (const auto it = flow->records.find(m.sequence); it != flow->records.end()) {
        counted_->add(event::requests_resent);
        send_state(now, key, id, it->second, out);
        return;
    }
    if (m.sequence - flow->settled_below >= request_window || record_count_ >= settings_.max_records) {
        // A refusal would need a record. Without a reply the caller resends the request later.
        counted_->count_refusal(error_code::flow_limit);
        return;
    }
    admit_request(now, id, *flow, m, out);
    start_waiting(now, out);
}

error_code request_table::early_refusal_reason(const wire::request& m) const
{
    if (draining_) {
        return error_code::draining;
    }
    if (m.remaining_ms <= 0) {
        return error_code::deadline_exceeded;
    }
    return answer_bytes_ > settings_.answer_memory ? error_code::queue_full : error_code::ok;
}

void request_table::admit_request(time_point now, const request_id& id, flow_records& flow,
                                  const wire::request& m, outbox& out)
{
    request_record& record = flow.records[id.sequence];
    ++record_count_;
    record.idempotent = m.idempotent;
    record.deadline = now + std::chrono::milliseconds(m.remaining_ms);
    const error_code early_refusal = early_refusal_reason(m);
    if (early_refusal != error_code::ok) {
        refuse(now, id, early_refusal, out);
        return;
    }
    const admission_decision decision =
        admission_->admit(now, service_, id, std::chrono::milliseconds(m.remaining_ms));
    if (decision.action == admission_action::refuse) {
        refuse(now, id, decision.reason, out);
        return;
    }
    counted_->add(event::requests_admitted);
    record.method = m.method;
    record.body = m.body;
    if (decision.action == admission_action::start) {
        start(now, id, record, out);
    } else {
        ++waiting_;
    }
}

void request_table::start(time_point now, const request_id& id, request_record& record, outbox& out)
{
    record.state = record_state::running;
    running_[id] = {now, record.deadline, false};
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(record.deadline - now);
    out.calls.push_back(
        {id, record.idempotent, remaining, std::exchange(record.method, {}), std::exchange(record.body, {})});
}

void request_table::start_waiting(time_point now, outbox& out)
{
    refuse_waiting_after_drain_timeout(now, out);
    while (const auto id = admission_->next(now, service_)) {
        request_record* record = find_record(*id);
        if (record == nullptr) {
            admission_->release(now, service_, error_code::cancelled, {});
            continue;
        }
        --waiting_;
        start(now, *id, *record, out);
    }
}

void request_table::refuse(time_point now, const request_id& id, error_code reason, outbox& out)
{
    counted_->count_refusal(reason);
    request_record* record = find_record(id);
    if (record == nullptr) {
        return;
    }
    finish(now, id, *record, record_state::not_run, reason, {}, out);
    if (reason == error_code::draining) {
        wire::flow_draining notice;
        notice.token = id.token.value;
        out.reply(flows_.at(id.token).key, notice);
    }
}

void request_table::finish(time_point now, const request_id& id, request_record& record, record_state state,
                           error_code reason, std::string body, outbox& out)
{
    record.state = state;
    record.reason = reason;
    record.method.clear();
    record.body = std::move(body);
    if (state == record_state::answered) {
        counted_->add(event::requests_answered);
        record.checksum = answer_checksum(id, record.body);
        answer_bytes_ += record.body.size();
    }
    ++unacknowledged_count_;
    finished_.push_back({id, now});
    send_state(now, flows_.at(id.token).key, id, record, out);
}

void request_table::on_upstream_result(time_point now, const upstream_result& r, outbox& out)
{
    const auto it = running_.find(r.id);
    if (it == running_.end()) {
        counted_->count_refusal(error_code::duplicate_request);
        return;
    }
    const auto duration = now - it->second.started;
    running_.erase(it);
    admission_->release(now, service_, r.code, duration);
    if (request_record* record = find_record(r.id); record != nullptr) {
        const bool too_large = r.body.size() > static_cast<std::size_t>(max_answer_bytes) ||
                               part_count(r.body.size(), settings_.part_bytes) > max_parts;
        switch (r.code) {
        case error_code::ok:
            if (too_large) {
                finish(now, r.id, *record, record_state::failed, error_code::message_too_large, {}, out);
            } else {
                finish(now, r.id, *record, record_state::answered, r.code, r.body, out);
            }
            break;
        case error_code::upstream_unreachable:
        case error_code::cancelled:
        case error_code::deadline_exceeded:
        case error_code::shed_by_upstream: refuse(now, r.id, r.code, out); break;
        case error_code::upstream_failed:
            finish(now, r.id, *record, record_state::failed, r.code, {}, out);
            break;
        default:
            finish(now, r.id, *record, record_state::outcome_unknown,
                   record->cancelled ? error_code::cancelled : error_code::outcome_unknown, {}, out);
        }
    }
    start_waiting(now, out);
}

void request_table::cancel_upstream(const request_id& id, outbox& out)
{
    const auto it = running_.find(id);
    if (it != running_.end() && !std::exchange(it->second.cancel_sent, true)) {
        counted_->add(event::requests_cancelled);
        out.cancels.push_back({id});
    }
}

void request_table::on_cancel(time_point now, const flow_key& key, const wire::request_cancel& m, outbox& out)
{
    const request_id id{flow_token{m.token}, m.sequence};
    flow_records* flow = find_flow(key, m.token);
    if (m.incarnation != incarnation_.value || flow == nullptr) {
        const auto reason =
            m.incarnation != incarnation_.value ? error_code::wrong_incarnation : error_code::flow_unknown;
        out.reply(key, make_result(id, wire_status::not_run, reason));
        return;
    }
    if (m.sequence < flow->settled_below || m.sequence - flow->settled_below >= request_window ||
        record_count_ >= settings_.max_records) {
        return;
    }
    // A cancellation that overtakes its request adds a record, so that the request is refused when it
    // arrives.
    const auto [it, overtook] = flow->records.try_emplace(m.sequence);
    request_record& record = it->second;
    if (overtook) {
        ++record_count_;
        refuse(now, id, error_code::cancelled, out);
    } else if (record.state == record_state::waiting) {
        admission_->withdraw(service_, id);
        --waiting_;
        refuse(now, id, error_code::cancelled, out);
    } else {
        if (record.state == record_state::running) {
            record.cancelled = true;
            cancel_upstream(id, out);
        }
        send_state(now, key, id, record, out);
    }
}

void request_table::on_part_request(time_point now, const flow_key& key, const wire::part_request& m,
                                    outbox& out)
{
    const request_id id{flow_token{m.token}, m.sequence};
    if (find_flow(key, m.token) == nullptr) {
        return;
    }
    request_record* record = find_record(id);
    if (record == nullptr || is_in_progress(record->state)) {
        return;
    }
    if (m.missing.empty()) {
        acknowledge(*record);
        return;
    }
    if (record->state != record_state::answered || record->acknowledged) {
        send_state(now, key, id, *record, out);
        return;
    }
    record->last_sent = now;
    const std::int32_t count = part_count(record->body.size(), settings_.part_bytes);
    std::int32_t sent = 0;
    for (const std::int32_t index : m.missing) {
        if (index >= 0 && index < count && sent++ < parts_per_round) {
            out.reply(key, make_part(id, record->body, record->checksum, index, settings_.part_bytes));
        }
    }
    counted_->add(event::parts_resent, static_cast<std::uint64_t>(sent));
}

void request_table::acknowledge(request_record& record)
{
    if (std::exchange(record.acknowledged, true)) {
        return;
    }
    --unacknowledged_count_;
    answer_bytes_ -= record.state == record_state::answered ? record.body.size() : 0;
    // The record itself stays: it prevents a delayed duplicate of the request from running.
    record.body = std::string();
}

void request_table::settle(flow_token token, flow_records& flow, std::int64_t below, outbox& out)
{
    if (below <= flow.settled_below) {
        return;
    }
    flow.settled_below = below;
    const auto end = flow.records.lower_bound(below);
    for (auto it = flow.records.begin(); it != end; ++it) {
        drop_record({token, it->first}, it->second, out);
    }
    flow.records.erase(flow.records.begin(), end);
}

void request_table::drop_record(const request_id& id, const request_record& record, outbox& out)
{
    --record_count_;
    if (record.state == record_state::waiting) {
        admission_->withdraw(service_, id);
        --waiting_;
    } else if (record.state == record_state::running) {
        // The slot stays in use until the upstream has answered.
        cancel_upstream(id, out);
    } else if (!record.acknowledged) {
        --unacknowledged_count_;
        answer_bytes_ -= record.state == record_state::answered ? record.body.size() : 0;
    }
}

void request_table::send_state(time_point now, const flow_key& key, const request_id& id,
                               request_record& record, outbox& out) const
{
    record.last_sent = now;
    if (is_in_progress(record.state)) {
        out.reply(key, make_result(id, wire_status::in_progress, error_code::duplicate_request));
    } else if (record.state != record_state::answered) {
        out.reply(key, make_result(id, wire_status_of(record.state), record.reason));
    } else if (record.acknowledged) {
        // The answer was deleted, because the caller has acknowledged it or its retention has passed.
        out.reply(key, make_result(id, wire_status::outcome_unknown, error_code::answer_incomplete));
    } else {
        const std::int32_t count = part_count(record.body.size(), settings_.part_bytes);
        for (std::int32_t i = 0; i < std::min(count, parts_per_round); ++i) {
            out.reply(key, make_part(id, record.body, record.checksum, i, settings_.part_bytes));
        }
    }
}

}  // namespace peridotcleat

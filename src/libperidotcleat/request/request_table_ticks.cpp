// Timer-driven part of request_table: deadlines, draining, expiry of answers, and pushes with their resends.
#include <algorithm>
#include <utility>

#include "peridotcleat/request_table.h"

namespace peridotcleat {

using pvt::flow_records;
using pvt::request_record;

namespace {

constexpr std::chrono::milliseconds drain_notice_interval{1000};
// Notices can be lost and are not acknowledged. A caller that misses all of them learns of the draining from
// the refusal of a request.
constexpr std::uint8_t drain_notices_per_flow = 3;

}  // namespace

void request_table::on_push_ack(const flow_key& key, const wire::push_ack& m)
{
    flow_records* flow = find_flow(key, m.token);
    if (flow == nullptr || !flow->pushes) {
        return;
    }
    flow->pushes->acknowledge(m.sequence);
    if (flow->pushes->empty()) {
        flows_with_pushes_.erase(flow_token{m.token});
    }
}

result<success> request_table::push(time_point now, flow_token token, std::string bytes, outbox& out)
{
    const auto it = flows_.find(token);
    if (it == flows_.end()) {
        return error{error_code::flow_unknown, "no flow with token " + std::to_string(token.value)};
    }
    if (!it->second.pushes) {
        it->second.pushes = std::make_unique<push_sender>();
    }
    if (!it->second.pushes->add(now, std::move(bytes), settings_.max_queued_pushes)) {
        counted_->count_refusal(error_code::queue_full);
        return error{error_code::queue_full, std::to_string(settings_.max_queued_pushes) +
                                                 " pushes already wait for their acknowledgement"};
    }
    flows_with_pushes_.insert(token);
    send_pushes(now, token, it->second, out);
    return success{};
}

void request_table::send_pushes(time_point now, flow_token token, flow_records& flow, outbox& out)
{
    std::vector<wire::push> due;
    flow.pushes->append_due(now, token, due);
    for (wire::push& p : due) {
        out.reply(flow.key, std::move(p));
    }
}

void request_table::on_tick(time_point now, outbox& out)
{
    if (std::exchange(cold_, false)) {
        admission_->begin_ramp(now);
    }
    for (const request_id& id : std::exchange(deferred_cancels_, {})) {
        out.cancels.push_back({id});
    }
    for (const flow_token token : flows_with_pushes_) {
        send_pushes(now, token, flows_.at(token), out);
    }
    enforce_deadlines(now, out);
    tick_draining(now, out);
    expire_answers(now);
    start_waiting(now, out);
}

void request_table::enforce_deadlines(time_point now, outbox& out)
{
    std::vector<request_id> expired;
    admission_->expire(now, service_, expired);
    for (const request_id& id : expired) {
        --waiting_;
        refuse(now, id, error_code::deadline_exceeded, out);
    }
    for (const auto& [id, running] : running_) {
        if (running.deadline <= now) {
            cancel_upstream(id, out);
        }
    }
}

void request_table::expire_answers(time_point now)
{
    while (!finished_.empty() && finished_.front().retained_since + settings_.answer_retention <= now) {
        const finished_entry entry = finished_.front();
        finished_.pop_front();
        request_record* record = find_record(entry.id);
        if (record == nullptr || record->acknowledged) {
            continue;
        }
        if (record->last_sent + settings_.answer_retention > now) {
            finished_.push_back({entry.id, record->last_sent});
        } else {
            acknowledge(*record);
        }
    }
}

void request_table::set_draining(bool draining)
{
    draining_ = draining;
    draining_since_.reset();
}

// Refuses the requests that still wait in the queue `drain_queue_timeout` after draining began. start_waiting
// calls this function first, because after a pause of the process a slot may become free before the next
// tick, and a waiting request would start too late.
void request_table::refuse_waiting_after_drain_timeout(time_point now, outbox& out)
{
    if (!draining_since_ || now - *draining_since_ < settings_.drain_queue_timeout || waiting_ == 0) {
        return;
    }
    for (const request_id& id : admission_->withdraw_all(service_)) {
        --waiting_;
        refuse(now, id, error_code::draining, out);
    }
}

void request_table::tick_draining(time_point now, outbox& out)
{
    if (!draining_) {
        return;
    }
    if (!draining_since_) {
        draining_since_ = now;
        next_drain_notice_ = now;
        for (auto& [token, flow] : flows_) {
            flow.drain_notices = 0;
        }
    }
    refuse_waiting_after_drain_timeout(now, out);
    if (now < next_drain_notice_) {
        return;
    }
    next_drain_notice_ = now + drain_notice_interval;
    for (auto& [token, flow] : flows_) {
        if (flow.drain_notices < drain_notices_per_flow) {
            ++flow.drain_notices;
            wire::flow_draining notice;
            notice.token = token.value;
            out.reply(flow.key, notice);
        }
    }
    // Resends the unacknowledged outcomes. A caller acknowledges each outcome that it receives, also a
    // repeated one, which tells this target that it may stop.
    for (const finished_entry& f : finished_) {
        request_record* record = find_record(f.id);
        if (record != nullptr && !record->acknowledged) {
            send_state(now, flows_.at(f.id.token).key, f.id, *record, out);
        }
    }
}

std::size_t request_table::in_progress() const noexcept { return waiting_ + running_.size(); }

bool request_table::is_idle(time_point now) const
{
    if (in_progress() > 0 || unacknowledged_count_ > 0) {
        return false;
    }
    return std::all_of(flows_with_pushes_.begin(), flows_with_pushes_.end(), [&](flow_token token) {
        return flows_.at(token).pushes->oldest_queued_at() + settings_.answer_retention <= now;
    });
}

std::uint32_t request_table::slots_in_use() const noexcept
{
    return static_cast<std::uint32_t>(running_.size());
}

}  // namespace peridotcleat

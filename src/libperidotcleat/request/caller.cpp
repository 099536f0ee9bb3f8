#include "peridotcleat/caller.h"

#include <algorithm>
#include <utility>

#include "peridotcleat/request_table.h"

namespace peridotcleat {

using pvt::caller_flow;
using pvt::caller_request;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds max_resend_interval{2000};
constexpr std::uint32_t max_attempts = 3;
// A request is not retried if the time left is at most its time limit divided by this number: the next target
// would have to refuse it because of the deadline, and the retry budget would be spent for nothing.
constexpr int min_time_left_divisor = 8;
// Maximum number of flows that are opened for one request after its first attempt.
constexpr std::uint32_t max_opened_flows = 3;
// Maximum number of flows besides the primary one. The retries of all requests share these flows.
constexpr std::size_t max_retry_flows = 3;

}  // namespace

const char* to_string(request_status s) noexcept
{
    switch (s) {
    case request_status::answered: return "answered";
    case request_status::not_run: return "not_run";
    case request_status::failed: return "failed";
    case request_status::outcome_unknown: return "outcome_unknown";
    }
    return "unknown";
}

caller::caller(const caller_settings& settings, counters& counted, retry_budget budget)
    : settings_(settings), counted_(&counted), budget_(budget), next_port_(settings.local.port),
      random_state_(settings.seed)
{
}

result<caller> caller::create(const caller_settings& settings, counters& counted)
{
    if (!settings.local.valid() || !settings.service.valid()) {
        return error{error_code::invalid_setting, "local " + to_string(settings.local) + " or service " +
                                                      to_string(settings.service) +
                                                      " is not a valid endpoint"};
    }
    if (settings.resend_after.count() <= 0 || settings.open_timeout.count() <= 0) {
        return error{error_code::invalid_setting, "resend_after and open_timeout must be above 0 ms"};
    }
    const auto budget = retry_budget::create(settings.retry_percent);
    if (!has_value(budget)) {
        return failure(budget);
    }
    return caller(settings, counted, value(budget));
}

std::uint64_t caller::submit(time_point now, new_request request, send_list& out)
{
    const std::uint64_t id = next_id_++;
    budget_.on_new_request();
    caller_request& r = requests_[id];
    r.submitted = now;
    r.deadline = now + request.time_limit;
    r.content = std::move(request);
    if (requests_.size() > settings_.max_requests) {
        counted_->count_refusal(error_code::queue_full);
        finish(now, id, request_status::not_run, error_code::queue_full, {});
        return id;
    }
    send_if_ready(now, id, out);
    return id;
}

// Sends the request on its assigned flow, or on the primary flow if none is assigned. The request keeps
// waiting if this flow is not open, is draining, or has reached its window of pending sequences.
void caller::send_if_ready(time_point now, std::uint64_t id, send_list& out)
{
    caller_request& r = requests_.at(id);
    if (r.port != 0 && flow_at(r.port) != nullptr && flow_at(r.port)->draining) {
        r.port = 0;
    }
    const std::uint16_t port = r.port != 0 ? r.port : primary_port_;
    caller_flow* flow = flow_at(port);
    if (flow == nullptr || !usable(*flow)) {
        return;
    }
    const std::int64_t oldest_pending =
        flow->pending.empty() ? flow->next_sequence : flow->pending.begin()->first;
    if (flow->next_sequence >= oldest_pending + request_window) {
        return;
    }
    r.port = port;
    r.sequence = flow->next_sequence++;
    r.tried_targets.push_back(flow->target);
    r.resend_interval = settings_.resend_after;
    flow->pending[r.sequence] = id;
    send_request(now, r, out);
}

void caller::send_waiting(time_point now, std::uint16_t port, send_list& out)
{
    for (auto& [id, r] : requests_) {
        if (r.port == port && r.sequence == 0) {
            send_if_ready(now, id, out);
        }
    }
}

void caller::send_request(time_point now, caller_request& r, send_list& out)
{
    caller_flow& flow = flows_.at(r.port);
    flow.last_used = now;
    r.next_send = now + r.resend_interval + random_delay(r.resend_interval / 4);
    r.resend_interval = std::min(r.resend_interval * 2, max_resend_interval);
    if (r.answer.started()) {
        wire::part_request m;
        m.token = flow.token;
        m.sequence = r.sequence;
        m.missing = r.answer.missing();
        send_message(r.port, m, out);
        return;
    }
    if (r.cancelled) {
        send_cancel(r, out);
        return;
    }
    wire::request m;
    m.incarnation = flow.target.value;
    m.token = flow.token;
    m.sequence = r.sequence;
    m.settled_below = flow.pending.begin()->first;
    m.idempotent = r.content.idempotent;
    m.remaining_ms =
        static_cast<std::int32_t>(std::chrono::duration_cast<milliseconds>(r.deadline - now).count());
    m.method = r.content.method;
    m.body = r.content.body;
    send_message(r.port, m, out);
}

void caller::send_cancel(const caller_request& r, send_list& out)
{
    const caller_flow& flow = flows_.at(r.port);
    wire::request_cancel m;
    m.incarnation = flow.target.value;
    m.token = flow.token;
    m.sequence = r.sequence;
    send_message(r.port, m, out);
}

void caller::cancel(time_point now, std::uint64_t id, send_list& out)
{
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.cancelled) {
        return;
    }
    if (it->second.sequence == 0) {
        finish_without_answer(now, id, error_code::cancelled);
        return;
    }
    it->second.cancelled = true;
    it->second.resend_interval = settings_.resend_after;
    send_request(now, it->second, out);
}

std::uint64_t caller::pending_submission_id(std::uint16_t port, std::int64_t token, std::int64_t sequence)
{
    const caller_flow* flow = flow_with_token(port, token);
    if (flow == nullptr) {
        return 0;
    }
    const auto it = flow->pending.find(sequence);
    return it == flow->pending.end() ? 0 : it->second;
}

void caller::acknowledge(std::uint16_t port, std::int64_t token, std::int64_t sequence, send_list& out)
{
    const caller_flow* flow = flow_with_token(port, token);
    if (flow == nullptr || sequence >= flow->next_sequence) {
        return;
    }
    wire::part_request m;
    m.token = token;
    m.sequence = sequence;
    send_message(port, m, out);
}

void caller::on_payload(time_point now, std::uint16_t port, std::string_view payload, send_list& out)
{
    const auto decoded = decode_caller(payload);
    if (!has_value(decoded)) {
        counted_->count_refusal(failure(decoded).code);
        return;
    }
    const caller_message& m = value(decoded);
    if (const auto* a = std::get_if<wire::flow_open_ack>(&m)) {
        on_open_ack(now, port, *a, out);
        return;
    }
    if (const auto* f = std::get_if<wire::flow_refused>(&m)) {
        on_open_refused(now, port, *f, out);
        return;
    }
    std::visit(
        [&](const auto& body) {
            if constexpr (requires { body.token; }) {
                if (caller_flow* flow = flow_with_token(port, body.token); flow != nullptr) {
                    flow->last_heard = now;
                    on_flow_message(now, port, m, out);
                }
            }
        },
        m);
}

void caller::on_flow_message(time_point now, std::uint16_t port, const caller_message& m, send_list& out)
{
    if (const auto* p = std::get_if<wire::response_part>(&m)) {
        on_part(now, port, *p, out);
    } else if (const auto* r = std::get_if<wire::request_result>(&m)) {
        on_result(now, port, *r, out);
    } else if (const auto* q = std::get_if<wire::push>(&m)) {
        flows_.at(port).last_used = now;
        on_push(port, *q, out);
    } else if (std::holds_alternative<wire::flow_draining>(m)) {
        on_draining(now, port);
    } else if (std::holds_alternative<wire::flow_reset>(m)) {
        on_flow_broken(now, port, error_code::flow_unknown, out);
    } else if (std::holds_alternative<wire::flow_close_ack>(m) &&
               flows_.at(port).state == pvt::caller_flow_state::closing) {
        remove_flow(port);
    }
}

void caller::on_part(time_point now, std::uint16_t port, const wire::response_part& m, send_list& out)
{
    const std::uint64_t id = pending_submission_id(port, m.token, m.sequence);
    if (id == 0) {
        acknowledge(port, m.token, m.sequence, out);
        return;
    }
    caller_request& r = requests_.at(id);
    const request_id wire_id{flow_token{m.token}, m.sequence};
    if (r.answer.add(wire_id, m)) {
        acknowledge(port, m.token, m.sequence, out);
        finish(now, id, request_status::answered, error_code::ok, r.answer.take());
        return;
    }
    // The resend timer requests lost parts; it must not expire while parts keep arriving.
    r.resend_interval = settings_.resend_after;
    r.next_send = now + r.resend_interval;
    if (r.answer.started() && r.answer.round_complete()) {
        send_request(now, r, out);
    }
}

void caller::on_result(time_point now, std::uint16_t port, const wire::request_result& m, send_list& out)
{
    const auto status = static_cast<wire_status>(m.status);
    const auto reason = static_cast<error_code>(m.reason);
    const std::uint64_t id = pending_submission_id(port, m.token, m.sequence);
    if (id == 0) {
        if (status != wire_status::in_progress) {
            acknowledge(port, m.token, m.sequence, out);
        }
        return;
    }
    if (status == wire_status::not_run &&
        (reason == error_code::wrong_incarnation || reason == error_code::flow_unknown)) {
        on_flow_broken(now, port, reason, out);
        return;
    }
    if (status == wire_status::in_progress) {
        // The target has the request; further resends only detect a lost answer.
        requests_.at(id).resend_interval = max_resend_interval;
        return;
    }
    acknowledge(port, m.token, m.sequence, out);
    switch (status) {
    case wire_status::not_run: on_not_run(now, id, reason, out); break;
    case wire_status::failed: finish(now, id, request_status::failed, reason, {}); break;
    default: on_outcome_unknown(now, id, reason, out);
    }
}

void caller::on_not_run(time_point now, std::uint64_t id, error_code reason, send_list& out)
{
    caller_request& r = requests_.at(id);
    detach_from_flow(r);
    r.last_refusal = reason;
    if (!retry_elsewhere(now, id, reason, out)) {
        finish_without_answer(now, id, reason);
    }
}

void caller::on_outcome_unknown(time_point now, std::uint64_t id, error_code reason, send_list& out)
{
    caller_request& r = requests_.at(id);
    detach_from_flow(r);
    r.may_have_run = true;
    if (!r.content.idempotent || !retry_elsewhere(now, id, reason, out)) {
        finish_without_answer(now, id, reason);
    }
}

bool caller::retry_elsewhere(time_point now, std::uint64_t id, error_code reason, send_list& out)
{
    caller_request& r = requests_.at(id);
    if (r.cancelled || r.attempts >= max_attempts ||
        now + r.content.time_limit / min_time_left_divisor >= r.deadline) {
        return false;
    }
    if (!budget_.try_take()) {
        counted_->count_refusal(error_code::retry_budget_exhausted);
        return false;
    }
    ++r.attempts;
    counted_->count_retry(reason);
    r.answer = {};
    assign_other_flow(now, id, out);
    return true;
}

void caller::assign_other_flow(time_point now, std::uint64_t id, send_list& out)
{
    caller_request& r = requests_.at(id);
    std::size_t retry_flows = 0;
    for (const auto& [port, flow] : flows_) {
        if (usable(flow) &&
            std::find(r.tried_targets.begin(), r.tried_targets.end(), flow.target) == r.tried_targets.end()) {
            r.port = port;
            send_if_ready(now, id, out);
            return;
        }
        retry_flows += port != primary_port_ && port != next_primary_port_ && !flow.draining &&
                               flow.state != pvt::caller_flow_state::closing
                           ? 1
                           : 0;
    }
    if (retry_flows < max_retry_flows && r.flows_opened < max_opened_flows) {
        ++r.flows_opened;
        r.port = start_flow(now, out);
        return;
    }
    for (const auto& [port, flow] : flows_) {
        if (port != primary_port_ && (usable(flow) || flow.state == pvt::caller_flow_state::opening)) {
            r.port = port;
            send_if_ready(now, id, out);
            return;
        }
    }
    finish_without_answer(now, id, r.last_refusal == error_code::ok ? error_code::no_target : r.last_refusal);
}

void caller::detach_from_flow(caller_request& r)
{
    if (caller_flow* flow = flow_at(r.port); flow != nullptr && r.sequence != 0) {
        flow->pending.erase(r.sequence);
    }
    r.port = 0;
    r.sequence = 0;
}

void caller::finish(time_point now, std::uint64_t id, request_status status, error_code reason,
                    std::string body)
{
    const auto it = requests_.find(id);
    detach_from_flow(it->second);
    finished_.push_back({id, status, reason, std::move(body),
                         std::chrono::duration_cast<milliseconds>(now - it->second.submitted)});
    requests_.erase(it);
}

// Ends a request as `not_run` if no target can have run it, else as `outcome_unknown`.
void caller::finish_without_answer(time_point now, std::uint64_t id, error_code reason)
{
    const caller_request& r = requests_.at(id);
    const bool proven_not_run = r.sequence == 0 && !r.may_have_run;
    finish(now, id, proven_not_run ? request_status::not_run : request_status::outcome_unknown, reason, {});
}

void caller::tick_request(time_point now, std::uint64_t id, send_list& out)
{
    const auto it = requests_.find(id);
    if (it == requests_.end()) {
        return;
    }
    caller_request& r = it->second;
    if (now >= r.deadline) {
        if (r.sequence != 0 && !r.cancelled) {
            send_cancel(r, out);
        }
        const error_code not_sent_reason =
            r.attempts == 1 && r.port == 0 ? last_open_refusal_ : r.last_refusal;
        const bool sent = r.sequence != 0 || r.may_have_run || not_sent_reason == error_code::ok;
        finish_without_answer(now, id, sent ? error_code::deadline_exceeded : not_sent_reason);
    } else if (r.sequence == 0) {
        send_if_ready(now, id, out);
    } else if (r.next_send <= now) {
        counted_->add(event::requests_resent);
        send_request(now, r, out);
    }
}

void caller::on_tick(time_point now, send_list& out)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(requests_.size());
    for (const auto& [id, r] : requests_) {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
        tick_request(now, id, out);
    }
    std::vector<std::uint16_t> ports;
    for (const auto& [port, flow] : flows_) {
        ports.push_back(port);
    }
    for (const std::uint16_t port : ports) {
        tick_flow(now, port, out);
    }
    const caller_flow* primary_flow = flow_at(primary_port_);
    if (keep_open_ && next_primary_port_ == 0 && now >= reopen_at_ &&
        (primary_flow == nullptr || !usable(*primary_flow))) {
        next_primary_port_ = start_flow(now, out);
    }
}

std::vector<finished_request> caller::take_finished() { return std::exchange(finished_, {}); }

std::vector<std::string> caller::take_pushes() { return std::exchange(pushes_, {}); }

std::vector<std::uint16_t> caller::take_released_ports() { return std::exchange(released_ports_, {}); }

bool caller::is_open() const noexcept
{
    const auto it = flows_.find(primary_port_);
    return it != flows_.end() && it->second.state == pvt::caller_flow_state::open;
}

incarnation caller::target() const noexcept
{
    return is_open() ? flows_.at(primary_port_).target : incarnation{};
}

}  // namespace peridotcleat

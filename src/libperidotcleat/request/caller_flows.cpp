#include <algorithm>
#include <utility>

#include "peridotcleat/caller.h"
#include "peridotcleat/hash.h"

namespace peridotcleat {

using pvt::caller_flow;
using pvt::caller_flow_state;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds max_resend_interval{2000};
constexpr milliseconds first_reopen_delay_limit{1000};
constexpr milliseconds max_reopen_delay_limit{30000};
// After a drain notice for the primary flow, a new one is opened after a random delay of at most this time,
// so that the callers of a target do not all open flows at once.
constexpr milliseconds drain_spread{200};
constexpr milliseconds probe_interval{1000};
// A flow that is not the primary one, because only retries use it or because it was replaced while draining,
// is closed after this time without requests and pushes.
constexpr milliseconds unused_flow_timeout{2000};
constexpr std::uint32_t max_close_sends = 5;

}  // namespace

std::uint64_t caller::next_random() noexcept
{
    random_state_ += 0x9e3779b97f4a7c15ULL;
    return mix(random_state_);
}

milliseconds caller::random_delay(milliseconds limit) noexcept
{
    const auto n = static_cast<std::uint64_t>(std::max<std::int64_t>(limit.count(), 1));
    return milliseconds(static_cast<std::int64_t>(next_random() % n));
}

void caller::send_message(std::uint16_t port, const caller_message& m, send_list& out)
{
    out.push_back({port, encode(m)});
}

caller_flow* caller::flow_at(std::uint16_t port)
{
    const auto it = flows_.find(port);
    return it == flows_.end() ? nullptr : &it->second;
}

caller_flow* caller::flow_with_token(std::uint16_t port, std::int64_t token)
{
    caller_flow* flow = flow_at(port);
    return flow != nullptr && flow->state != caller_flow_state::opening && flow->token == token ? flow
                                                                                                : nullptr;
}

bool caller::usable(const caller_flow& flow) const noexcept
{
    return flow.state == caller_flow_state::open && !flow.draining;
}

void caller::open(time_point now, send_list& out)
{
    keep_open_ = true;
    if (primary_port_ == 0 && next_primary_port_ == 0) {
        next_primary_port_ = start_flow(now, out);
    }
}

void caller::close(time_point now, send_list& out)
{
    keep_open_ = false;
    while (!requests_.empty()) {
        finish_without_answer(now, requests_.begin()->first, error_code::stopped);
    }
    std::vector<std::uint16_t> ports;
    for (const auto& [port, flow] : flows_) {
        ports.push_back(port);
    }
    for (const std::uint16_t port : ports) {
        begin_close(now, port, out);
    }
    primary_port_ = 0;
    next_primary_port_ = 0;
}

std::uint16_t caller::start_flow(time_point now, send_list& out)
{
    while (flows_.contains(next_port_)) {
        next_port_ = next_port_ == 65535 ? settings_.local.port : static_cast<std::uint16_t>(next_port_ + 1);
    }
    const std::uint16_t port = next_port_;
    next_port_ = port == 65535 ? settings_.local.port : static_cast<std::uint16_t>(port + 1);
    std::erase(released_ports_, port);
    caller_flow& flow = flows_[port];
    flow.nonce = static_cast<std::int64_t>(next_random() | 1U);
    flow.started = now;
    flow.last_used = now;
    flow.resend_interval = settings_.resend_after;
    send_open(now, port, flow, out);
    return port;
}

void caller::send_open(time_point now, std::uint16_t port, caller_flow& flow, send_list& out)
{
    wire::flow_open m;
    m.nonce = flow.nonce;
    send_message(port, m, out);
    flow.next_send = now + flow.resend_interval + random_delay(flow.resend_interval / 4);
    flow.resend_interval = std::min(flow.resend_interval * 2, max_resend_interval);
}

void caller::on_open_ack(time_point now, std::uint16_t port, const wire::flow_open_ack& m, send_list& out)
{
    caller_flow* flow = flow_at(port);
    const bool known = flow != nullptr && flow->nonce == m.nonce;
    if (known && flow->state != caller_flow_state::opening && flow->token == m.token) {
        return;
    }
    if (!known || flow->state != caller_flow_state::opening) {
        // A second target accepted a delayed copy of the flow_open message. The flow there will never be
        // used.
        wire::flow_close close;
        close.incarnation = m.incarnation;
        close.token = m.token;
        send_message(port, close, out);
        return;
    }
    flow->state = caller_flow_state::open;
    flow->token = m.token;
    flow->target = incarnation{m.incarnation};
    flow->last_heard = now;
    flow->last_used = now;
    flow->next_send = now + settings_.keepalive;
    counted_->add(event::flows_opened);
    if (port == next_primary_port_) {
        primary_port_ = std::exchange(next_primary_port_, 0);
        reopen_attempts_ = 0;
        last_open_refusal_ = error_code::no_target;
        send_waiting(now, 0, out);
    }
    send_waiting(now, port, out);
}

void caller::on_open_refused(time_point now, std::uint16_t port, const wire::flow_refused& m, send_list& out)
{
    const caller_flow* flow = flow_at(port);
    if (flow == nullptr || flow->state != caller_flow_state::opening || flow->nonce != m.nonce) {
        return;
    }
    if (port == next_primary_port_) {
        last_open_refusal_ = static_cast<error_code>(m.reason);
    }
    on_open_failed(now, port, out);
}

void caller::on_open_failed(time_point now, std::uint16_t port, send_list& out)
{
    std::vector<std::uint64_t> waiting_ids;
    for (const auto& [id, r] : requests_) {
        if (r.port == port) {
            waiting_ids.push_back(id);
        }
    }
    remove_flow(port);
    if (port == next_primary_port_) {
        next_primary_port_ = 0;
        schedule_reopen(now);
    }
    for (const std::uint64_t id : waiting_ids) {
        assign_other_flow(now, id, out);
    }
}

void caller::schedule_reopen(time_point now)
{
    // Exponential back-off with full jitter: after a mass failure the new flows of all callers are spread
    // over the whole interval.
    const auto exponent = std::min(reopen_attempts_++, 5U);
    reopen_at_ =
        now + random_delay(std::min(first_reopen_delay_limit * (1 << exponent), max_reopen_delay_limit));
}

void caller::on_flow_broken(time_point now, std::uint16_t port, error_code reason, send_list& out)
{
    caller_flow* flow = flow_at(port);
    if (flow == nullptr || flow->state != caller_flow_state::open) {
        remove_flow(port);
        return;
    }
    ++broken_flows_;
    counted_->add(event::flows_reset);
    const std::map<std::int64_t, std::uint64_t> pending = std::move(flow->pending);
    remove_flow(port);
    if (port == primary_port_) {
        primary_port_ = 0;
        if (next_primary_port_ == 0) {
            schedule_reopen(now);
        }
    }
    for (const auto& [sequence, id] : pending) {
        on_outcome_unknown(now, id, reason, out);
    }
}

void caller::remove_flow(std::uint16_t port)
{
    if (flows_.erase(port) == 0) {
        return;
    }
    released_ports_.push_back(port);
    for (auto& [id, r] : requests_) {
        // A request that was not sent on this flow yet is assigned to the primary flow.
        r.port = r.port == port && r.sequence == 0 ? std::uint16_t{0} : r.port;
    }
}

void caller::begin_close(time_point now, std::uint16_t port, send_list& out)
{
    caller_flow* flow = flow_at(port);
    if (flow == nullptr || flow->state == caller_flow_state::closing) {
        return;
    }
    if (flow->state == caller_flow_state::opening) {
        remove_flow(port);
        return;
    }
    flow->state = caller_flow_state::closing;
    flow->next_send = now;
    flow->resend_interval = settings_.resend_after;
    tick_flow(now, port, out);
}

void caller::on_draining(time_point now, std::uint16_t port)
{
    caller_flow& flow = flows_.at(port);
    if (flow.state != caller_flow_state::open || std::exchange(flow.draining, true)) {
        return;
    }
    flow.last_used = now;
    if (port == primary_port_ && next_primary_port_ == 0) {
        reopen_at_ = now + random_delay(drain_spread);
    }
}

void caller::on_push(std::uint16_t port, const wire::push& m, send_list& out)
{
    caller_flow& flow = flows_.at(port);
    const std::size_t pushes_before = pushes_.size();
    wire::push_ack ack;
    ack.token = m.token;
    ack.sequence = flow.pushes.take(m, pushes_);
    counted_->add(event::pushes_delivered, pushes_.size() - pushes_before);
    send_message(port, ack, out);
}

void caller::tick_flow(time_point now, std::uint16_t port, send_list& out)
{
    caller_flow* flow = flow_at(port);
    if (flow == nullptr) {
        return;
    }
    if (flow->state == caller_flow_state::open) {
        tick_open_flow(now, port, *flow, out);
    } else if (flow->state == caller_flow_state::opening) {
        if (now - flow->started >= settings_.open_timeout) {
            on_open_failed(now, port, out);
        } else if (flow->next_send <= now) {
            send_open(now, port, *flow, out);
        }
    } else if (flow->next_send <= now) {
        if (flow->closes_sent++ == max_close_sends) {
            remove_flow(port);
            return;
        }
        wire::flow_close m;
        m.incarnation = flow->target.value;
        m.token = flow->token;
        send_message(port, m, out);
        flow->next_send = now + flow->resend_interval;
        flow->resend_interval = std::min(flow->resend_interval * 2, max_resend_interval);
    }
}

void caller::tick_open_flow(time_point now, std::uint16_t port, caller_flow& flow, send_list& out)
{
    if (port != primary_port_ && flow.pending.empty() && now - flow.last_used >= unused_flow_timeout) {
        const bool has_waiting_request = std::any_of(requests_.begin(), requests_.end(),
                                                     [&](const auto& r) { return r.second.port == port; });
        if (!has_waiting_request) {
            begin_close(now, port, out);
            return;
        }
    }
    const auto silence = now - flow.last_heard;
    if (silence >= settings_.keepalive + settings_.silence_timeout) {
        on_flow_broken(now, port, error_code::flow_unknown, out);
    } else if (silence >= settings_.keepalive && flow.next_send <= now) {
        wire::flow_keepalive m;
        m.token = flow.token;
        send_message(port, m, out);
        flow.next_send = now + probe_interval;
    }
}

}  // namespace peridotcleat

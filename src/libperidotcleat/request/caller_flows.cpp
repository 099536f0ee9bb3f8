#include <algorithm>
#include <utility>

#include "peridotcleat/caller.h"
#include "peridotcleat/hash.h"

namespace peridotcleat {

using pvt::caller_flow;
using pvt::caller_flow_state;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds longest_resend{2000};
constexpr milliseconds first_back_off{1000};
constexpr milliseconds longest_back_off{30000};
// Other flows are moved to a new target within this time after a drain notice; the spread keeps the callers
// of a target from opening flows all at once.
constexpr milliseconds drain_spread{200};
constexpr milliseconds probe_interval{1000};
// A flow that only retries use, or that is draining, is closed after this time without requests and pushes.
constexpr milliseconds unused_flow_time{2000};
constexpr std::uint32_t close_sends = 5;

}  // namespace

std::uint64_t caller::next_random() noexcept
{
    random_state_ += 0x9e3779b97f4a7c15ULL;
    return mix(random_state_);
}

milliseconds caller::jittered(milliseconds full) noexcept
{
    const auto n = static_cast<std::uint64_t>(std::max<std::int64_t>(full.count(), 1));
    return milliseconds(static_cast<std::int64_t>(next_random() % n));
}

void caller::send_message(std::uint16_t port, const caller_message& m, sends& out)
{
    out.push_back({port, encode(m)});
}

caller_flow* caller::flow_at(std::uint16_t port)
{
    const auto it = flows_.find(port);
    return it == flows_.end() ? nullptr : &it->second;
}

caller_flow* caller::flow_with(std::uint16_t port, std::int64_t token)
{
    caller_flow* flow = flow_at(port);
    return flow != nullptr && flow->state != caller_flow_state::opening && flow->token == token ? flow
                                                                                                : nullptr;
}

bool caller::usable(const caller_flow& flow) const noexcept
{
    return flow.state == caller_flow_state::open && !flow.draining;
}

void caller::open(time_point now, sends& out)
{
    wanted_open_ = true;
    if (first_ == 0 && next_first_ == 0) {
        next_first_ = start_flow(now, out);
    }
}

void caller::close(time_point now, sends& out)
{
    wanted_open_ = false;
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
    first_ = 0;
    next_first_ = 0;
}

std::uint16_t caller::start_flow(time_point now, sends& out)
{
    while (flows_.contains(next_port_)) {
        next_port_ = next_port_ == 65535 ? settings_.local.port : static_cast<std::uint16_t>(next_port_ + 1);
    }
    const std::uint16_t port = next_port_;
    next_port_ = port == 65535 ? settings_.local.port : static_cast<std::uint16_t>(port + 1);
    std::erase(released_, port);
    caller_flow& flow = flows_[port];
    flow.nonce = static_cast<std::int64_t>(next_random() | 1U);
    flow.started = now;
    flow.last_used = now;
    flow.interval = settings_.resend_after;
    send_open(now, port, flow, out);
    return port;
}

void caller::send_open(time_point now, std::uint16_t port, caller_flow& flow, sends& out)
{
    wire::flow_open m;
    m.nonce = flow.nonce;
    send_message(port, m, out);
    flow.next_send = now + flow.interval + jittered(flow.interval / 4);
    flow.interval = std::min(flow.interval * 2, longest_resend);
}

void caller::on_open_ack(time_point now, std::uint16_t port, const wire::flow_open_ack& m, sends& out)
{
    caller_flow* flow = flow_at(port);
    const bool known = flow != nullptr && flow->nonce == m.nonce;
    if (known && flow->state != caller_flow_state::opening && flow->token == m.token) {
        return;
    }
    if (!known || flow->state != caller_flow_state::opening) {
        // A second target took a delayed copy of the opening packet; nobody will use its flow.
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
    if (port == next_first_) {
        first_ = std::exchange(next_first_, 0);
        open_failures_ = 0;
        open_refusal_ = error_code::no_target;
        place_waiting(now, 0, out);
    }
    place_waiting(now, port, out);
}

void caller::on_refused(time_point now, std::uint16_t port, const wire::flow_refused& m, sends& out)
{
    const caller_flow* flow = flow_at(port);
    if (flow == nullptr || flow->state != caller_flow_state::opening || flow->nonce != m.nonce) {
        return;
    }
    if (port == next_first_) {
        open_refusal_ = static_cast<error_code>(m.reason);
    }
    open_failed(now, port, out);
}

void caller::open_failed(time_point now, std::uint16_t port, sends& out)
{
    std::vector<std::uint64_t> orphans;
    for (const auto& [id, r] : requests_) {
        if (r.port == port) {
            orphans.push_back(id);
        }
    }
    release(port);
    if (port == next_first_) {
        next_first_ = 0;
        schedule_first(now);
    }
    for (const std::uint64_t id : orphans) {
        assign_other_flow(now, id, out);
    }
}

void caller::schedule_first(time_point now)
{
    // Full jitter: after a mass failure the new flows are spread over the whole interval.
    const auto exponent = std::min(open_failures_++, 5U);
    open_at_ = now + jittered(std::min(first_back_off * (1 << exponent), longest_back_off));
}

void caller::lose_flow(time_point now, std::uint16_t port, error_code reason, sends& out)
{
    caller_flow* flow = flow_at(port);
    if (flow == nullptr || flow->state != caller_flow_state::open) {
        release(port);
        return;
    }
    ++broken_flows_;
    counted_->add(event::flows_reset);
    const std::map<std::int64_t, std::uint64_t> pending = std::move(flow->pending);
    release(port);
    if (port == first_) {
        first_ = 0;
        if (next_first_ == 0) {
            schedule_first(now);
        }
    }
    for (const auto& [sequence, id] : pending) {
        on_unknown(now, id, reason, out);
    }
}

void caller::release(std::uint16_t port)
{
    if (flows_.erase(port) == 0) {
        return;
    }
    released_.push_back(port);
    for (auto& [id, r] : requests_) {
        // It was not sent on this flow; the first one takes it.
        r.port = r.port == port && r.sequence == 0 ? std::uint16_t{0} : r.port;
    }
}

void caller::begin_close(time_point now, std::uint16_t port, sends& out)
{
    caller_flow* flow = flow_at(port);
    if (flow == nullptr || flow->state == caller_flow_state::closing) {
        return;
    }
    if (flow->state == caller_flow_state::opening) {
        release(port);
        return;
    }
    flow->state = caller_flow_state::closing;
    flow->next_send = now;
    flow->interval = settings_.resend_after;
    tick_flow(now, port, out);
}

void caller::on_draining(time_point now, std::uint16_t port)
{
    caller_flow& flow = flows_.at(port);
    if (flow.state != caller_flow_state::open || std::exchange(flow.draining, true)) {
        return;
    }
    flow.last_used = now;
    if (port == first_ && next_first_ == 0) {
        open_at_ = now + jittered(drain_spread);
    }
}

void caller::on_push(std::uint16_t port, const wire::push& m, sends& out)
{
    caller_flow& flow = flows_.at(port);
    const std::size_t before = pushes_.size();
    wire::push_ack ack;
    ack.token = m.token;
    ack.sequence = flow.pushes.take(m, pushes_);
    counted_->add(event::pushes_delivered, pushes_.size() - before);
    send_message(port, ack, out);
}

void caller::tick_flow(time_point now, std::uint16_t port, sends& out)
{
    caller_flow* flow = flow_at(port);
    if (flow == nullptr) {
        return;
    }
    if (flow->state == caller_flow_state::open) {
        tick_open_flow(now, port, *flow, out);
    } else if (flow->state == caller_flow_state::opening) {
        if (now - flow->started >= settings_.open_timeout) {
            open_failed(now, port, out);
        } else if (flow->next_send <= now) {
            send_open(now, port, *flow, out);
        }
    } else if (flow->next_send <= now) {
        if (flow->sends++ == close_sends) {
            release(port);
            return;
        }
        wire::flow_close m;
        m.incarnation = flow->target.value;
        m.token = flow->token;
        send_message(port, m, out);
        flow->next_send = now + flow->interval;
        flow->interval = std::min(flow->interval * 2, longest_resend);
    }
}

void caller::tick_open_flow(time_point now, std::uint16_t port, caller_flow& flow, sends& out)
{
    if (port != first_ && flow.pending.empty() && now - flow.last_used >= unused_flow_time) {
        const bool awaited = std::any_of(requests_.begin(), requests_.end(),
                                         [&](const auto& r) { return r.second.port == port; });
        if (!awaited) {
            begin_close(now, port, out);
            return;
        }
    }
    const auto silence = now - flow.last_heard;
    if (silence >= settings_.keepalive + settings_.silence_timeout) {
        lose_flow(now, port, error_code::flow_unknown, out);
    } else if (silence >= settings_.keepalive && flow.next_send <= now) {
        wire::flow_keepalive m;
        m.token = flow.token;
        send_message(port, m, out);
        flow.next_send = now + probe_interval;
    }
}

}  // namespace peridotcleat

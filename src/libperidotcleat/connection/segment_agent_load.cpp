// The load of an agent's target: what new flows it may take now, and what balancers are told.

#include <algorithm>
#include <cmath>
#include <utility>

#include "peridotcleat/segment_agent.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds min_report_interval{200};
// The time between two load reports grows by this much for each balancer that gets them, so that an agent's
// traffic does not grow with the number of balancers.
constexpr milliseconds report_interval_per_balancer{20};
constexpr milliseconds load_sample_interval{200};
// Weight of the newest sample in the average of outstanding requests; the average covers about a second.
constexpr double load_sample_weight = 0.2;
// Weight of the newest request in the average time until its answer begins.
constexpr double exchange_sample_weight = 0.1;
// Factor by which the weight of a young flow decreases from one sample to the next, so that it has lost four
// fifths of its weight after two seconds.
constexpr double young_flow_decay = 0.85;
// Older flows have no weight.
constexpr milliseconds young_flow_age{5000};
// Load that a young flow adds because its use is not known yet, in thousandths of a slot.
constexpr double young_flow_permille = 100;
// Part of this load that a young flow adds after its end. Otherwise a target that fails all requests at once
// would seem idle and attract the flows.
constexpr double ended_flow_weight = 0.4;
// Load that each open flow adds, in thousandths of a slot.
constexpr double open_flow_permille = 30;
// The first request of a new flow arrives within a few round trips. A flow whose caller accepts the offer of
// another target never has one.
constexpr milliseconds reservation_time{100};
// Load that is added for a slow target during its warm-up, in thousandths of a slot for each of its slots.
constexpr double cold_target_permille = 300;

}  // namespace

void segment_agent::set_busy(flow& f, bool busy)
{
    if (f.busy != busy) {
        f.busy = busy;
        busy_flows_ += busy ? 1 : -1;
    }
}

void segment_agent::set_reserved(flow& f, bool reserved)
{
    if (f.reserved != reserved) {
        f.reserved = reserved;
        reserved_flows_ += reserved ? 1 : -1;
    }
}

// A closing flow has no load anyway.
void segment_agent::set_unconfirmed(flow& f, bool unconfirmed)
{
    if (f.unconfirmed != unconfirmed && !(unconfirmed && f.closing)) {
        f.unconfirmed = unconfirmed;
        unconfirmed_flows_ += unconfirmed ? 1 : -1;
    }
}

void segment_agent::set_closing(flow& f)
{
    if (!f.closing) {
        set_unconfirmed(f, false);
        f.closing = true;
        ++closing_flows_;
        set_busy(f, false);
        set_reserved(f, false);
    }
}

// Ends the reservations of new flows whose callers have sent no request in time.
void segment_agent::release_reservations(time_point now)
{
    while (!reservations_.empty() && reservations_.front().first <= now) {
        if (const auto it = flows_.find(reservations_.front().second); it != flows_.end()) {
            set_reserved(it->second, false);
        }
        reservations_.pop_front();
    }
}

std::int32_t segment_agent::load_permille() const
{
    double load =
        (outstanding_average_ * 1000) +
        (static_cast<double>(flows_.size() - closing_flows_ - unconfirmed_flows_) * open_flow_permille) +
        ((young_flows_ + static_cast<double>(openings_since_sample_)) * young_flow_permille);
    if (target_ && last_announcement_ < warmup_end_) {
        load += cold_target_permille * target_->slots;
    }
    return static_cast<std::int32_t>(std::min(load, 1e9));
}

// Returns the requests that the target has to serve at this moment, in thousandths for each of its slots. New
// flows without a request take free slots only: a caller may open many flows long before it uses them, and
// they must not fill the queue.
std::int32_t segment_agent::outstanding_permille() const
{
    const std::size_t slots = target_ ? std::max<std::size_t>(target_->slots, 1) : 1;
    const std::size_t taken = std::min(busy_flows_ + reserved_flows_, std::max(busy_flows_, slots));
    return static_cast<std::int32_t>(taken * 1000 / slots);
}

std::int32_t segment_agent::expected_wait_ms() const
{
    return static_cast<std::int32_t>(outstanding_permille() * exchange_average_ms_ / 1000);
}

milliseconds segment_agent::report_interval() const
{
    const auto balancers = static_cast<std::int64_t>(balancers_last_heard_.size());
    return std::max(min_report_interval, report_interval_per_balancer * balancers);
}

void segment_agent::sample_load(time_point now)
{
    last_sample_ = now;
    outstanding_average_ +=
        load_sample_weight * (static_cast<double>(busy_flows_ + reserved_flows_) - outstanding_average_);
    openings_since_sample_ = 0;
    young_flows_ = 0;
    for (const auto& [key, f] : flows_) {
        if (!f.unconfirmed && now - f.first_seen < young_flow_age) {
            const std::chrono::duration<double> age = now - f.first_seen;
            young_flows_ +=
                std::pow(young_flow_decay, age / load_sample_interval) * (f.closing ? ended_flow_weight : 1);
        }
    }
}

void segment_agent::send_load(time_point now, outbox& out)
{
    wire::segment_load m;
    m.service_key = service_key_;
    m.load_permille = load_permille();
    m.accepting = !refusal_reason(now).has_value();
    for (const auto& [number, heard] : balancers_last_heard_) {
        out.send(route_address(number), m);
    }
}

// Samples the load, and reports it to the balancers, when either is due.
void segment_agent::update_load(time_point now, outbox& out)
{
    release_reservations(now);
    if (now - last_sample_ >= load_sample_interval) {
        log_admission_change(now);
        sample_load(now);
    }
    if (now - last_load_report_ >= report_interval()) {
        last_load_report_ = now;
        send_load(now, out);
    }
}

// Counts a new flow as an outstanding request until its first request arrives, for a limited time.
void segment_agent::reserve(time_point now, flow& f, const flow_key& key)
{
    set_reserved(f, true);
    reservations_.emplace_back(now + reservation_time, key);
}

void segment_agent::average_exchange(clock::duration exchange)
{
    const std::chrono::duration<double, std::milli> duration = exchange;
    exchange_average_ms_ += exchange_sample_weight * (duration.count() - exchange_average_ms_);
}

}  // namespace peridotcleat

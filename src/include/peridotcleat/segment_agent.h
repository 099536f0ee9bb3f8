#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "peridotcleat/counters.h"
#include "peridotcleat/flow_coverage.h"
#include "peridotcleat/hash.h"
#include "peridotcleat/outbox.h"
#include "peridotcleat/result.h"
#include "peridotcleat/segment.h"

namespace peridotcleat {

/// Settings of an agent for flows whose two ends are transport stacks.
struct segment_agent_settings {
    /// Service of the target; segments for another service are not delivered.
    std::string service;
    /// Address at which the target receives packets.
    endpoint target;
    /// Port at which callers receive packets.
    std::uint16_t caller_port = 0;
    segment_format format;
    /// Time from an acknowledged announcement of the target to the next one. A target that has sent no
    /// announcement for 2.5 times as long gets no new flows.
    std::chrono::milliseconds announcement_interval{1200};
    /// Greatest age of a flow; callers discard older flows.
    std::chrono::milliseconds max_flow_age{60000};
};

/// Periodic announcement by which a target registers with its agent.
struct target_announcement {
    std::string id;
    /// Time of the target's start in milliseconds; announcements of an earlier start are outdated.
    std::int64_t started_ms = 0;
    /// Time since the target's start, by the clock of its machine; negative if that clock was set back. Only
    /// a hint, because clocks are set.
    std::chrono::milliseconds age{std::chrono::hours(1)};
    /// Address at which the target receives packets.
    endpoint address;
    /// 1 for the first announcement after a start of the target, then increasing.
    std::int64_t sequence = 0;
    std::string service;
    std::uint32_t slots = 1;
    bool draining = false;
    /// Time for which the target will still be slow because it has just started.
    std::chrono::milliseconds warmup{0};
};

/// Decides which segments are delivered to the agent's target, and reports the outcome to balancers.
///
/// Learns the flows of its target from the packets that pass. After a restart of the agent, a segment of an
/// unknown flow is delivered to the target, which returns the segment if it does not hold the flow. Has no
/// socket, thread or clock; not thread-safe.
class segment_agent {
public:
    segment_agent(segment_agent_settings settings, time_point now, counters& counted);

    /// Records that the target's port was closed when the agent started. Call before the first announcement.
    void on_port_closed_at_start() noexcept { coverage_.on_port_closed_at_start(); }
    /// Handles an announcement of the target. Fails and changes nothing with `wrong_service` or
    /// `wrong_target` if it is that of another target, with `wrong_incarnation` if it is outdated.
    result<success> on_announcement(time_point now, const target_announcement& a, outbox& out);
    /// Accepts no new flows because the target `id` has said that it leaves. Fails and changes nothing with
    /// `wrong_incarnation` if another target was announced.
    result<success> on_target_left(time_point now, std::string_view id, outbox& out);
    /// True while the target has said that it leaves, but may still run.
    [[nodiscard]] bool needs_port_check() const noexcept { return leaving_; }
    /// Forgets the flows of a target that has said that it leaves, because its port is closed.
    void on_port_closed(time_point now, outbox& out);
    /// Handles segment_forward and segment_query of a balancer; ignores other messages.
    void on_message(time_point now, const endpoint& from, const message& m, outbox& out);
    /// Handles a packet that the target has sent or returned.
    void on_target_packet(time_point now, std::string_view packet, outbox& out);
    /// Reports the load and forgets flows that have ended. Call at least every 200 ms.
    void on_tick(time_point now, outbox& out);
    /// Stops accepting new flows, because the process will stop.
    void begin_stop(time_point now, outbox& out);

    /// Latest announcement of the target; unset until the first one and after the target has stopped.
    [[nodiscard]] const std::optional<target_announcement>& target() const noexcept { return target_; }
    /// Number of known flows.
    [[nodiscard]] std::size_t flows() const noexcept { return flows_.size(); }

private:
    struct flow {
        // Balancer that forwarded the latest segment of the flow.
        endpoint balancer;
        time_point last_used;
        time_point first_seen;
        std::uint32_t target_sequence = 0;
        // The target has offered to accept the flow.
        bool offered = false;
        // The caller has accepted the offer, the target has sent data, or the target has sent any packet
        // except an offer for a flow that was unknown here or probed.
        bool opened = false;
        // The caller has sent data that the target has not begun to answer.
        bool busy = false;
        time_point busy_since;
        // The target is expected to get the first request of this new flow soon.
        bool reserved = false;
        // The target has closed the flow, or one end has reset it.
        bool closing = false;
        // A segment was delivered to find out whether the target holds the flow; the target has not reacted
        // yet.
        bool probing = false;
        // The probing segment was part of a balancer's search.
        bool probe_is_search = false;
        // The target has restarted and has sent no packet of the flow since then, so the flow may have ended
        // with the previous start.
        bool unconfirmed = false;
    };

    // A start of the target that was announced.
    struct start {
        std::string id;
        std::int64_t started_ms = 0;
        // Of the latest announcement.
        std::int64_t sequence = 0;
        // The target has left, and its port was closed afterwards.
        bool ended = false;
    };

    using flow_map = std::unordered_map<flow_key, flow, flow_key_hash>;

    [[nodiscard]] std::optional<error> refusal_of(time_point now, const target_announcement& a) const;
    void on_forward(time_point now, const endpoint& from, const wire::segment_forward& m, outbox& out);
    void on_query(time_point now, const endpoint& from, const wire::segment_query& query, outbox& out);
    [[nodiscard]] segment_outcome outcome_for(time_point now, const flow_key& key,
                                              std::uint32_t ack_number) const;
    void on_opening_segment(time_point now, const endpoint& from, const segment& s,
                            const wire::segment_forward& m, outbox& out);
    void on_subsequent_segment(time_point now, const endpoint& from, const segment& s,
                               const wire::segment_forward& m, outbox& out);
    void on_returned(time_point now, const segment& s, std::string_view packet, outbox& out);
    [[nodiscard]] std::optional<error_code> refusal_reason(time_point now) const;
    [[nodiscard]] std::chrono::milliseconds announcement_timeout() const;
    [[nodiscard]] std::int64_t announcement_age_ms(time_point now) const;
    void deliver(std::string_view packet, outbox& out);
    void update_flow(time_point now, flow& f, const segment& s);
    void log_admission_change(time_point now);
    wire::segment_report make_report(const flow_key& key, segment_outcome outcome) const;
    void send_load(time_point now, outbox& out);
    [[nodiscard]] std::int32_t load_permille() const;
    [[nodiscard]] std::int32_t outstanding_permille() const;
    [[nodiscard]] std::int32_t expected_wait_ms() const;
    [[nodiscard]] std::chrono::milliseconds report_interval() const;
    void update_load(time_point now, outbox& out);
    void sample_load(time_point now);
    void reserve(time_point now, flow& f, const flow_key& key);
    void average_exchange(clock::duration exchange);
    void decline(const endpoint& to, const segment& s, std::string_view packet, error_code reason,
                 outbox& out);
    void set_busy(flow& f, bool busy);
    void set_reserved(flow& f, bool reserved);
    void set_closing(flow& f);
    void set_unconfirmed(flow& f, bool unconfirmed);
    void on_target_restarted();
    void release_reservations(time_point now);
    void forget_flows();
    void erase(flow_map::iterator it);

    segment_agent_settings settings_;
    counters* counted_;
    std::int64_t service_key_;
    // Whether a flow that is not in `flows_` certainly does not exist.
    flow_coverage coverage_;
    // The target seemed to have just started when the agent first heard it.
    bool seemed_new_ = false;
    std::optional<target_announcement> target_;
    time_point last_announcement_;
    // Equal to `last_announcement_` unless the latest announcement gave a warm-up time; the target then
    // counts as slow until its next announcement.
    time_point warmup_end_;
    // The start of the latest accepted announcement; kept after the target has left.
    std::optional<start> latest_start_;
    // The target has said that it leaves, but may still run.
    bool leaving_ = false;
    bool stopping_ = false;
    flow_map flows_;
    // Flows that the target has shown not to hold, with the time of that proof. An agent that has restarted
    // need not pass further packets of such a flow to its target.
    std::unordered_map<flow_key, time_point, flow_key_hash> denied_flows_;
    std::size_t busy_flows_ = 0;
    std::size_t reserved_flows_ = 0;
    std::size_t closing_flows_ = 0;
    std::size_t unconfirmed_flows_ = 0;
    // New flows with the time at which their reservations end, in order of time.
    std::deque<std::pair<time_point, flow_key>> reservations_;
    // Average number of outstanding requests over about the last second.
    double outstanding_average_ = 0;
    // Average time from a request to the beginning of its answer.
    double exchange_average_ms_ = 0;
    // Sum over the open flows at the last sample, where each counts less the older it is.
    double young_flows_ = 0;
    // New flows since the last sample.
    std::size_t openings_since_sample_ = 0;
    time_point last_sample_;
    // Time of the earliest opening packet since which the target has sent nothing.
    std::optional<time_point> unanswered_since_;
    // Time at which the latest new flow was passed to the target.
    time_point last_new_flow_;
    // Reason to refuse new flows, as logged last; `ok` if they are accepted.
    error_code logged_refusal_ = error_code::upstream_unreachable;
    // Time of the last message of each balancer, by the `route_number` of its address.
    std::unordered_map<std::int64_t, time_point> balancers_last_heard_;
    // Time of the last periodic load report.
    time_point last_load_report_;
    time_point last_cleanup_;
};

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "peridotcleat/counters.h"
#include "peridotcleat/hash.h"
#include "peridotcleat/outbox.h"
#include "peridotcleat/segment.h"

namespace peridotcleat {

/// Settings of an agent for flows between transport stacks.
struct segment_agent_settings {
    /// Service of the target; segments for another one are not delivered.
    std::string service;
    /// Where the target takes packets.
    endpoint target;
    /// Port at which callers take packets.
    std::uint16_t caller_port = 0;
    segment_format format;
    /// Time between two announcements of the target, after one that was acknowledged. A target that has been
    /// silent for 2.5 times as long takes no new flows.
    std::chrono::milliseconds announcement_interval{1200};
    /// Callers discard flows that are older.
    std::chrono::milliseconds max_flow_age{60000};
};

/// What a target says of itself.
struct target_announcement {
    std::string id;
    /// Time of the target's start; an announcement of a former start is late.
    std::int64_t started_ms = 0;
    /// Time since the target's start, by the clock of its machine; negative if that clock was set back.
    std::chrono::milliseconds age{std::chrono::hours(1)};
    /// Grows with each announcement of one start.
    std::int64_t sequence = 0;
    std::string service;
    std::uint32_t slots = 1;
    bool draining = false;
    /// How long the target remains slow after its start.
    std::chrono::milliseconds warmup{0};
};

/// Decides which segments reach the target beside it, and tells balancers what became of them.
///
/// Knows the flows of its target by the packets that pass. After a start of the agent, a flow that it does
/// not know is offered to the target, which gives it back if it does not hold it. Has no socket, thread or
/// clock; not thread-safe.
class segment_agent {
public:
    segment_agent(segment_agent_settings settings, time_point now, counters& counted);

    /// Takes an announcement of the target. Returns false if it is late or names another service; it then
    /// changes nothing.
    bool on_announcement(time_point now, const target_announcement& a, outbox& out);
    /// The target has ended.
    void on_target_left(time_point now, outbox& out);
    /// Handles segment_forward and segment_query of a balancer; ignores other messages.
    void on_message(time_point now, const endpoint& from, const message& m, outbox& out);
    /// Handles a packet that the target sent or gave back.
    void on_target_packet(time_point now, std::string_view packet, outbox& out);
    /// Reports the load and forgets flows that have ended. Call at least every 200 ms.
    void on_tick(time_point now, outbox& out);
    /// Stops to take new flows, because the process ends.
    void begin_stop(time_point now, outbox& out);

    /// Announcement in force, if the target is alive.
    [[nodiscard]] const std::optional<target_announcement>& target() const noexcept { return target_; }
    [[nodiscard]] std::size_t flows() const noexcept { return flows_.size(); }

private:
    struct flow {
        endpoint balancer;
        time_point last_used;
        time_point first_seen;
        std::uint32_t target_sequence = 0;
        // The target has offered to take the flow.
        bool offered = false;
        // The caller has accepted the offer, or the target has sent data.
        bool opened = false;
        // The caller has sent data that the target has not begun to answer.
        bool busy = false;
        // When it became busy.
        time_point busy_since;
        bool closing = false;
        // The target was asked by delivery whether it holds the flow.
        bool probing = false;
        bool probe_is_search = false;
    };

    using flow_map = std::unordered_map<flow_key, flow, flow_key_hash>;

    void on_forward(time_point now, const endpoint& from, const wire::segment_forward& m, outbox& out);
    void on_query(time_point now, const endpoint& from, const wire::segment_query& q, outbox& out);
    [[nodiscard]] segment_outcome outcome_for(time_point now, const flow_key& key,
                                              std::uint32_t ack_number) const;
    void on_opening_segment(time_point now, const endpoint& from, const segment& s,
                            const wire::segment_forward& m, outbox& out);
    void on_subsequent_segment(time_point now, const endpoint& from, const segment& s,
                               const wire::segment_forward& m, outbox& out);
    void on_returned(time_point now, const segment& s, std::string_view packet, outbox& out);
    [[nodiscard]] std::optional<error_code> refusal_reason(time_point now) const;
    [[nodiscard]] std::int64_t announcement_age_ms(time_point now) const;
    [[nodiscard]] bool knows_all_flows(time_point now) const;
    void deliver(std::string_view packet, outbox& out);
    void update_flow(time_point now, flow& f, const segment& s);
    void log_admission_change(time_point now);
    wire::segment_report make_report(const flow_key& key, segment_outcome outcome) const;
    void send_load(time_point now, outbox& out);
    [[nodiscard]] std::int32_t load_permille() const;
    void set_busy(flow& f, bool busy);
    void erase(flow_map::iterator it);

    segment_agent_settings settings_;
    counters* counted_;
    std::int64_t service_key_;
    // Flows that were open before may be unknown here.
    time_point flows_known_since_;
    std::optional<target_announcement> target_;
    time_point last_announcement_;
    time_point warmup_end_;
    std::int64_t last_target_start_ms_ = 0;
    bool stopping_ = false;
    flow_map flows_;
    std::size_t busy_flows_ = 0;
    // Average number of busy flows of the last seconds.
    double busy_flows_average_ = 0;
    std::size_t opened_since_tick_ = 0;
    double recent_openings_ = 0;
    // Earliest opening packet that the target has not answered with anything.
    std::optional<time_point> unanswered_since_;
    time_point last_new_flow_;
    // Why no flows are taken, as logged last; `ok` if they are.
    error_code logged_refusal_ = error_code::upstream_unreachable;
    std::unordered_map<std::int64_t, time_point> balancers_last_heard_;
    time_point last_load_report_;
    time_point last_cleanup_;
};

}  // namespace peridotcleat

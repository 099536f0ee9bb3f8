#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "peridotcleat/counters.h"
#include "peridotcleat/flow_routes.h"
#include "peridotcleat/outbox.h"
#include "peridotcleat/segment.h"

namespace peridotcleat {

/// Settings of a balancer for flows between transport stacks.
struct segment_balancer_settings {
    std::string zone;
    /// Port at which callers take packets.
    std::uint16_t caller_port = 0;
    segment_format format;
    /// A target in another zone is chosen only if it is less loaded by this share of its slots, in
    /// thousandths.
    std::int32_t zone_penalty_permille = 500;
    /// Callers discard flows that are older. A flow that was silent for longer is searched for when it speaks
    /// again.
    std::chrono::milliseconds max_flow_age{60000};
};

/// Places new flows on targets and passes the packets of open flows to the agent that holds them.
///
/// Remembers holders in a bounded cache only. A flow that is not in the cache is searched for at all targets
/// of its service. Has no socket, thread or clock; not thread-safe.
class segment_balancer {
public:
    segment_balancer(segment_balancer_settings settings, counters& counted);

    /// Puts routes in force.
    void set_routes(std::shared_ptr<const flow_routes> routes);
    /// Handles the packets that came before the first routes. Call after `set_routes`.
    void release_early_packets(time_point now, std::chrono::milliseconds table_age, outbox& out);
    /// Handles one packet of a caller. `table_age` is the age of the routes. Before the first routes a packet
    /// is kept for a short time.
    void on_packet(time_point now, std::string_view packet, std::chrono::milliseconds table_age, outbox& out);
    /// Sends the queries that have been collected, one datagram for many flows. Call after each batch of
    /// events.
    void send_queries(outbox& out);
    /// Handles segment_report, segment_answers and segment_load of agents; ignores other messages.
    void on_message(time_point now, const endpoint& from, const message& m, outbox& out);
    /// Ends searches whose outcome is certain and forgets flows that were silent for long. `table_age` is the
    /// age of the routes. Call at least every 100 ms.
    void on_tick(time_point now, std::chrono::milliseconds table_age, outbox& out);

    /// Ends searches that began before `as_of`, at which time the routes held all that control had accepted.
    void on_table_confirmed(time_point now, time_point as_of, outbox& out);
    /// Returns true while the outcome of a search waits for the table to be confirmed.
    [[nodiscard]] bool needs_table_confirmation() const;

    /// Number of flows in the cache.
    [[nodiscard]] std::size_t size() const noexcept { return flows_.size(); }
    [[nodiscard]] const std::shared_ptr<const flow_routes>& routes() const noexcept { return routes_; }

private:
    // Queries that may be sent at once, one for each flow and target.
    static constexpr double query_burst = 1000;

    // One target that was asked to take a flow.
    struct placement_attempt {
        endpoint agent;
        time_point sent_at;
        bool offered = false;
        bool declined = false;
        std::uint32_t sequence = 0;
    };

    // A search for the holder of a flow.
    struct search {
        time_point started;
        time_point last_query;
        std::vector<endpoint> queried;
        std::vector<endpoint> absent;
        // Agents that got the first of the waiting segments.
        std::vector<endpoint> probed;
        std::vector<std::string> waiting_packets;
    };

    // What is known of one flow.
    struct flow {
        std::int64_t service_key = 0;
        std::vector<placement_attempt> placements;
        std::optional<endpoint> holder;
        std::unique_ptr<search> active_search;
        std::uint32_t ack_number = 0;
        time_point last_used;
    };

    // A packet that came before the first routes.
    struct early_packet {
        time_point arrived;
        std::string packet;
    };

    // What is known of one target beyond the table.
    struct agent_state {
        std::int32_t reported_permille = 0;
        std::int32_t placed_since_report = 0;
        time_point last_report;
        bool accepting = true;
        std::optional<time_point> unanswered_since;
        // What was logged last.
        bool logged_lost = false;
    };

    using flow_map = std::unordered_map<flow_key, flow, flow_key_hash>;

    void queue_early_packet(time_point now, const segment& s, std::string_view packet);
    void on_opening_packet(time_point now, const segment& s, std::string_view packet, outbox& out);
    void on_subsequent_packet(time_point now, const segment& s, std::string_view packet, outbox& out);
    void on_report(time_point now, const endpoint& from, const wire::segment_report& report, outbox& out);
    void log_agent_changes(time_point now);
    void on_offered(time_point now, const flow_key& key, const endpoint& from, std::uint32_t sequence);
    void on_held(time_point now, const flow_key& key, const endpoint& from, outbox& out);
    void on_declined(time_point now, const endpoint& from, const wire::segment_report& report, outbox& out);
    void on_absent(time_point now, const endpoint& from, const wire::segment_report& report, outbox& out);
    void on_search_absent(time_point now, flow_map::iterator it, const endpoint& from, outbox& out);
    void place(time_point now, const flow_key& key, flow& f, std::string_view packet, outbox& out);
    void start_search(time_point now, const flow_key& key, std::string_view packet,
                      std::vector<endpoint> absent);
    void continue_search(time_point now, const flow_key& key, flow& f, std::string_view packet);
    void queue_queries(const flow_key& key, const flow& f);
    void record_load(time_point now, const endpoint& from, std::int32_t load_permille);
    void on_answers(time_point now, const endpoint& from, const wire::segment_answers& answers, outbox& out);
    void on_unsure(const flow_key& key, const endpoint& from, outbox& out);
    void reset_missing_flow(time_point now, flow_map::iterator it, outbox& out);
    [[nodiscard]] bool confirm_not_held(const flow_key& key, flow& f);
    [[nodiscard]] bool take_query_budget(time_point now, const flow_route& route);
    void finish_searches(time_point now, outbox& out);
    // Returns true if the cache may not take another flow.
    [[nodiscard]] bool is_full_for(const flow_key& key) const;
    [[nodiscard]] static bool contains(const std::vector<endpoint>& list, const endpoint& e);
    [[nodiscard]] const flow_service* service_of(const flow_key& key, std::int64_t service_key) const;
    [[nodiscard]] const flow_target* best_candidate(time_point now, const flow_service& service,
                                                    const flow& f) const;
    [[nodiscard]] std::int64_t cost_of(time_point now, const flow_target& target) const;
    [[nodiscard]] static std::optional<endpoint> holder_by_sequence(const flow& f, std::uint32_t ack_number);
    void forward(const endpoint& agent, std::int64_t service_key, segment_purpose purpose,
                 std::string_view packet, outbox& out) const;
    void send_reset(const flow_key& key, std::uint32_t sequence, error_code reason, outbox& out);
    flow& refresh_flow(time_point now, const flow_key& key);

    segment_balancer_settings settings_;
    counters* counted_;
    std::shared_ptr<const flow_routes> routes_;
    std::chrono::milliseconds table_age_{0};
    // The routes held all that control had accepted at this time.
    std::optional<time_point> confirmed_as_of_;
    std::vector<early_packet> early_packets_;
    // Flows of `early_` whose opening packet is kept.
    std::unordered_set<flow_key, flow_key_hash> early_openings_;
    // Queries that may be sent at present.
    double query_budget_;
    time_point last_budget_refill_;
    flow_map flows_;
    // Questions for each agent and service that wait for `send_queries`.
    std::map<std::pair<endpoint, std::int64_t>, std::vector<wire::segment_question>> pending_questions_;
    // Flows that are searched for; some may have been found or forgotten.
    std::vector<flow_key> searched_flows_;
    std::unordered_map<std::int64_t, agent_state> agent_states_;
    time_point last_cleanup_;
};

}  // namespace peridotcleat

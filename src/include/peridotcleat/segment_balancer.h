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
#include "peridotcleat/target_choice.h"

namespace peridotcleat {

/// Settings of a balancer for flows whose two ends are transport stacks.
struct segment_balancer_settings {
    std::string zone;
    /// Port at which callers receive packets.
    std::uint16_t caller_port = 0;
    segment_format format;
    /// Added to the load per slot, in thousandths, of a target in another zone, so that such a target is
    /// chosen only if it is less loaded by this much.
    std::int32_t zone_penalty_permille = 500;
    /// Greatest age of a flow; callers discard older flows. A flow without packets for longer than this may
    /// be dropped from the cache and is searched for when it has a packet again.
    std::chrono::milliseconds max_flow_age{60000};
    /// Bytes per second that queries for the holders of unknown flows may take.
    double query_bytes_per_second = 80000;
};

/// Places new flows on targets and forwards the packets of open flows to the agents of their holders.
///
/// Remembers holders in a bounded cache only. A flow that is not in the cache is searched for at all targets
/// of its service. Has no socket, thread or clock; not thread-safe.
class segment_balancer {
public:
    segment_balancer(segment_balancer_settings settings, counters& counted);

    /// Puts routes in force.
    void set_routes(std::shared_ptr<const flow_routes> routes);
    /// Handles the packets that were kept because there was no description yet. Call after `set_routes`.
    void release_early_packets(time_point now, std::chrono::milliseconds table_age, outbox& out);
    /// Handles one packet of a caller. `table_age` is the age of the routes. While there is no
    /// description and the routes are not fresh, packets are kept for a short time.
    void on_packet(time_point now, std::string_view packet, std::chrono::milliseconds table_age, outbox& out);
    /// Sends the queued queries, with many flows in one datagram, or keeps them while the queries that were
    /// sent before use up the bandwidth for queries. Call after each batch of events.
    void send_queries(time_point now, outbox& out);
    /// Handles segment_report, segment_answers and segment_load of agents; ignores other messages.
    void on_message(time_point now, const endpoint& from, const message& m, outbox& out);
    /// Ends searches whose outcome is certain and forgets flows without recent packets. `table_age` is the
    /// age of the routes. Call at least every 100 ms.
    void on_tick(time_point now, std::chrono::milliseconds table_age, outbox& out);

    /// Records that the routes contain all changes that control had committed at the time `as_of`, and ends
    /// the searches that began at or before `as_of` if no target holds their flow.
    void on_table_confirmed(time_point now, time_point as_of, outbox& out);
    /// Returns true while a search that has begun within the last 5 s cannot end with a reset because the
    /// table was not confirmed since the search began.
    [[nodiscard]] bool needs_table_confirmation() const;

    /// Number of flows in the cache.
    [[nodiscard]] std::size_t size() const noexcept { return flows_.size(); }
    [[nodiscard]] const std::shared_ptr<const flow_routes>& routes() const noexcept { return routes_; }

private:
    // Seconds of `query_bytes_per_second` that may be sent at once, and that queued queries may take.
    static constexpr double query_burst_s = 0.5;

    // A search for the holder of a flow.
    struct search {
        time_point started;
        time_point last_query;
        // Agents that need no further query at present: they were queried, or are in `absent`.
        std::vector<endpoint> queried;
        // Agents that have answered that they do not hold the flow.
        std::vector<endpoint> absent;
        // Agents that cannot tell whether their targets hold the flow and were not sent a packet yet.
        std::vector<endpoint> unsure;
        // As `unsure`, of agents whose targets most likely do not hold the flow.
        std::vector<endpoint> unlikely;
        // Agents to which the first of the waiting packets was sent since the last query.
        std::vector<endpoint> probed;
        // Packets of the caller that are forwarded once the holder is found.
        std::vector<std::string> waiting_packets;
    };

    // What is known of one flow.
    struct flow {
        std::int64_t service_key = 0;
        std::vector<placement_attempt> placements;
        std::optional<endpoint> holder;
        std::unique_ptr<search> active_search;
        // Acknowledgement number of the caller's latest packet.
        std::uint32_t ack_number = 0;
        time_point last_used;
    };

    // A packet that is kept because there is no description yet.
    struct early_packet {
        time_point arrived;
        std::string packet;
    };

    using flow_map = std::unordered_map<flow_key, flow, flow_key_hash>;

    void queue_early_packet(time_point now, const segment& s, std::string_view packet);
    void on_opening_packet(time_point now, const segment& s, std::string_view packet, outbox& out);
    void on_subsequent_packet(time_point now, const segment& s, std::string_view packet, outbox& out);
    void on_report(time_point now, const endpoint& from, const wire::segment_report& report, outbox& out);
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
    void on_answers(time_point now, const endpoint& from, const wire::segment_answers& answers, outbox& out);
    void on_unsure(time_point now, flow_map::iterator it, const endpoint& from, std::vector<endpoint>& group,
                   outbox& out);
    void send_probes(time_point now, const flow_key& key, search& s, outbox& out);
    void probe(const std::vector<const flow_service*>& services, search& s,
               const std::vector<endpoint>& agents, outbox& out);
    void reset_missing_flow(time_point now, flow_map::iterator it, outbox& out);
    [[nodiscard]] bool confirm_not_held(const flow_key& key, flow& f);
    void refill_query_budget(time_point now);
    [[nodiscard]] bool may_queue_queries() const;
    void finish_searches(time_point now, outbox& out);
    // Returns true if the cache may not take another flow.
    [[nodiscard]] bool is_full_for(const flow_key& key) const;
    [[nodiscard]] static bool contains(const std::vector<endpoint>& list, const endpoint& e);
    [[nodiscard]] const flow_service* service_of(const flow_key& key, std::int64_t key_of_service) const;
    [[nodiscard]] static std::optional<endpoint> holder_by_sequence(const flow& f, std::uint32_t ack_number);
    void forward(const endpoint& agent, std::int64_t key_of_service, segment_purpose purpose,
                 std::string_view packet, outbox& out,
                 std::optional<std::int32_t> max_outstanding_permille = std::nullopt) const;
    void send_reset(const flow_key& key, std::uint32_t sequence, error_code reason, outbox& out);
    flow& find_or_add_flow(time_point now, const flow_key& key);

    segment_balancer_settings settings_;
    counters* counted_;
    std::shared_ptr<const flow_routes> routes_;
    std::chrono::milliseconds table_age_{0};
    // The routes contain all changes that control had committed at this time; unset before the first
    // confirmation.
    std::optional<time_point> confirmed_as_of_;
    std::vector<early_packet> early_packets_;
    // Flows whose opening packet is in `early_packets_`.
    std::unordered_set<flow_key, flow_key_hash> early_openings_;
    // Bytes of queries that may be sent at present; negative while queries are owed.
    double query_budget_;
    time_point last_budget_refill_;
    flow_map flows_;
    // Questions for each agent and service that wait for `send_queries`.
    std::map<std::pair<endpoint, std::int64_t>, std::vector<wire::segment_question>> pending_questions_;
    std::size_t pending_question_count_ = 0;
    // Flows with a search whose outcome is checked on each tick; some may have been found or forgotten.
    std::vector<flow_key> searched_flows_;
    target_choice target_choice_;
    time_point last_cleanup_;
};

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "peridotcleat/bucket_directory.h"
#include "peridotcleat/counters.h"
#include "peridotcleat/held_flows.h"
#include "peridotcleat/outbox.h"
#include "peridotcleat/placement.h"
#include "peridotcleat/route_table.h"

namespace peridotcleat {

/// What happened to a flow, for the request layer. There is also a `payload` for a request of a flow that is
/// not held here.
enum class flow_event_kind : std::uint8_t { opened, closed, payload };

/// One event of a flow; `body` is set for `payload` only.
struct flow_event {
    flow_event_kind kind = flow_event_kind::payload;
    flow_key key;
    flow_token token;
    caller_message body;
};

/// Limits of the flow layer of one agent.
struct flow_settings {
    /// Where other agents send messages to this one.
    endpoint address;
    /// Largest number of held flows.
    std::uint32_t connections = 1;
    std::chrono::milliseconds idle_timeout{3600000};
    /// After this time new flows are placed even if a target has not reported its flows.
    std::chrono::milliseconds handover_timeout{5000};
    /// Largest number of directory entries for flows that other targets hold.
    std::size_t max_directory = std::size_t{1} << 18U;
};

/// The flow layer of one agent: holds flows, owns buckets of its service and their directories, places new
/// flows and forwards packets to the target that holds their flow. Not thread-safe.
///
/// A flow is opened through the owner of its bucket, so that all copies of an opening packet reach the same
/// holder. Later packets name their holder in the token, so that any agent of the service can forward them.
/// That a flow does not exist is proved only by its holder, or by a table from which the holder was removed.
class flow_owner {
public:
    /// Fails with `invalid_setting` if a limit is not positive.
    static result<flow_owner> create(const flow_settings& settings, counters& counted);

    /// Changes the largest number of held flows; flows above a lower limit are kept.
    void set_connections(std::uint32_t connections) noexcept { settings_.connections = connections; }
    void set_idle_timeout(std::chrono::milliseconds timeout) noexcept { settings_.idle_timeout = timeout; }
    void set_placement(const placement& chosen) noexcept { placement_ = chosen; }
    /// While draining, the agent accepts no new flow and keeps those that it holds.
    void set_draining(bool draining) noexcept { draining_ = draining; }

    /// Puts a table in force for target `own_id` of `service`. If the table does not hold the target, all
    /// flows end. The revision must not be lower than that of the previous table.
    void set_routes(time_point now, std::shared_ptr<const route_table> routes, service_id service,
                    incarnation own_id, outbox& out);
    /// Handles one packet that a balancer or agent at `from` forwarded.
    void on_packet(time_point now, const endpoint& from, const wire::forwarded_packet& packet, outbox& out);
    /// Handles forwarded_packet, bucket_query, bucket_report, place_offer, place_reply, flow_closed,
    /// flow_unknown and load_report; ignores others.
    void on_message(time_point now, const endpoint& from, const message& m, outbox& out);
    /// Repeats queries and offers, closes idle flows and reports the load. Call at least every 50 ms.
    void on_tick(time_point now, outbox& out);

    /// Asks the callers of all held flows to open their next requests on other flows.
    void announce_draining(outbox& out) const;

    /// Returns and clears the events since the last call, in order.
    std::vector<flow_event> take_events();
    /// Returns the key of a held flow, if `token` names one. Takes time linear in the number of flows.
    [[nodiscard]] std::optional<flow_key> key_of(flow_token token) const;

    [[nodiscard]] std::size_t flows() const noexcept { return held_.size(); }
    [[nodiscard]] std::size_t directory_entries() const noexcept { return directory_.size(); }
    /// Number of packets and placements that wait for a report, a reply or a newer table.
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size() + offers_.size(); }
    /// Number of owned buckets.
    [[nodiscard]] std::size_t owned_buckets() const noexcept;
    /// Number of held flows divided by the target's weight, times 1000.
    [[nodiscard]] std::int64_t load() const noexcept;
    /// Highest revision that a message named; higher than that of the table if a newer table exists.
    [[nodiscard]] revision newest_revision_seen() const noexcept { return newest_revision_seen_; }
    [[nodiscard]] incarnation id() const noexcept { return own_id_; }

private:
    struct waiting_packet {
        time_point since;
        endpoint from;
        wire::forwarded_packet packet;
    };
    /// A new flow that was offered to another target and waits for a reply.
    struct offer {
        std::int64_t id = 0;
        std::int64_t nonce = 0;
        /// Target that would hold the flow.
        incarnation holder;
        time_point first_sent;
        time_point last_sent;
        wire::place_offer body;
    };
    struct declined_offer {
        incarnation owner;
        std::int64_t id = 0;
    };
    struct peer_load {
        std::optional<std::int64_t> load;
        time_point last_exchange;
    };

    flow_owner(const flow_settings& settings, counters& counted);

    // flow_owner.cpp: packets of open flows.
    bool check_recipient(time_point now, const wire::forwarded_packet& packet, outbox& out);
    void note_revision(time_point now, revision seen, const endpoint& sender, outbox& out);
    void on_token_packet(time_point now, const endpoint& from, const wire::forwarded_packet& packet,
                         caller_message body, flow_token token, outbox& out);
    void deliver(time_point now, const flow_key& key, pvt::held_flow& flow, caller_message body, outbox& out);
    void answer_unknown_flow(const flow_key& key, flow_token token, caller_message body,
                             bool names_own_target, outbox& out);
    void forward(const wire::forwarded_packet& packet, const route_target& to, outbox& out);
    void queue_packet(time_point now, const endpoint& from, const wire::forwarded_packet& packet);
    void retry_waiting(time_point now, outbox& out);
    void drop(error_code reason);
    void end_flow(time_point now, const flow_key& key, outbox& out);
    void end_idle_flows(time_point now, outbox& out);
    void clear_service(outbox& out);
    [[nodiscard]] const route_target* bucket_owner(std::size_t bucket) const;
    [[nodiscard]] const route_target* target(incarnation id) const;
    [[nodiscard]] revision table_revision() const { return routes_ ? routes_->table_revision() : revision{}; }

    // flow_placement.cpp: new flows.
    void on_open(time_point now, const endpoint& from, const wire::forwarded_packet& packet,
                 std::int64_t nonce, outbox& out);
    void open_at_owner(time_point now, const endpoint& from, const wire::forwarded_packet& packet,
                       std::int64_t nonce, outbox& out);
    /// Handles an opening packet whose flow is held here or is known to have ended, here or at another
    /// target. Returns true if the packet needs no placement; `refusal` is then the reason to refuse it, or
    /// `ok`.
    bool handle_known_key(time_point now, const flow_key& key, std::int64_t nonce, error_code& refusal,
                          outbox& out);
    void accept(time_point now, const flow_key& key, std::int64_t nonce, outbox& out);
    void refuse(const flow_key& key, std::int64_t nonce, error_code reason, outbox& out);
    void start_offer(time_point now, const wire::forwarded_packet& packet, std::int64_t nonce,
                     const route_target& to, bool in_doubt, outbox& out);
    [[nodiscard]] error_code decide_offer(time_point now, const wire::place_offer& offer_message,
                                          std::int64_t nonce, outbox& out);
    void on_place_offer(time_point now, const wire::place_offer& offer_message, outbox& out);
    void on_place_reply(time_point now, const wire::place_reply& reply, outbox& out);
    void on_offer_declined(time_point now, const offer& declined, error_code reason, outbox& out);
    void repeat_offers(time_point now, outbox& out);
    void report_load(time_point now, outbox& out);
    /// Returns `ok` if new flows are accepted, or the reason to refuse them.
    [[nodiscard]] error_code admission_code() const noexcept;
    [[nodiscard]] bool may_place(std::size_t bucket) const;

    // flow_handover.cpp: owned buckets and their handover between agents.
    void update_buckets(time_point now, bool targets_changed, outbox& out);
    void start_query_round(time_point now, outbox& out);
    void send_queries(time_point now, outbox& out);
    void on_bucket_query(time_point now, const wire::bucket_query& query, outbox& out);
    void send_report(const wire::bucket_query& query, const pvt::bucket_set& buckets, outbox& out) const;
    void on_bucket_report(time_point now, const wire::bucket_report& report, outbox& out);
    void check_handover_timeout(time_point now, outbox& out);

    flow_settings settings_;
    counters* counted_;
    placement placement_;
    bool draining_ = false;
    std::shared_ptr<const route_table> routes_;
    /// Routes of this target's service inside `routes_`; null if the table does not hold this target.
    const service_routes* service_routes_ = nullptr;
    service_id service_;
    incarnation own_id_;
    std::uint32_t own_weight_ = 1;
    revision newest_revision_seen_;
    pvt::held_flows held_;
    pvt::bucket_directory directory_;
    pvt::query_round query_round_;
    std::unordered_map<flow_key, offer, flow_key_hash> offers_;
    /// Latest offer of another owner that was declined here, for each flow key.
    pvt::recent_records<declined_offer> declined_;
    std::int64_t next_offer_id_ = 1;
    std::deque<waiting_packet> waiting_;
    std::size_t waiting_bytes_ = 0;
    std::unordered_map<incarnation, peer_load, id_hash> peers_;
    /// Time before which a sender with an old table gets no further stale_notice.
    std::unordered_map<std::uint64_t, time_point> next_notice_times_;
    time_point next_housekeeping_;
    std::vector<flow_event> events_;
};

}  // namespace peridotcleat

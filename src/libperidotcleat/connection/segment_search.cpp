#include <algorithm>
#include <utility>

#include "peridotcleat/log.h"
#include "peridotcleat/segment_balancer.h"

namespace peridotcleat {

namespace {

using std::chrono::milliseconds;

// Targets that have not answered `absent` by then are queried again with the caller's next packet.
constexpr milliseconds query_timeout{150};
// For this time a search is checked on ticks and when the table is confirmed. A search without an outcome by
// then ends only when an agent's answer `held` or `absent` arrives; silent agents are queried again with the
// caller's next packet.
constexpr milliseconds search_check_period{5000};
// Bytes of one question in a query, and of the datagram around the questions with its headers. Links of a few
// Mbit/s are full with some thousand datagrams a second, so the queries of searches that begin while the
// bandwidth for queries is used up share datagrams.
constexpr double question_bytes = 40;
constexpr double query_datagram_bytes = 80;
// Flows in one datagram; a question takes up to 36 bytes.
constexpr std::size_t max_questions_per_query = max_control_body / 40;
// The largest number of packets that a sender has in flight.
constexpr std::size_t max_waiting_packets = 16;

}  // namespace

void segment_balancer::start_search(time_point now, const flow_key& key, std::string_view packet,
                                    std::vector<endpoint> absent)
{
    const flow_route* route = routes_->find(key.destination);
    if (route == nullptr || is_full_for(key)) {
        counted_->count_refusal(error_code::flow_unknown);
        return;
    }
    if (!may_queue_queries()) {
        counted_->count_refusal(error_code::search_limit);
        return;
    }
    flow& f = find_or_add_flow(now, key);
    f.holder.reset();
    f.placements.clear();
    if (const auto s = settings_.format.decode(packet)) {
        f.ack_number = s->ack_number;
    }
    f.active_search = std::make_unique<search>();
    f.active_search->started = now;
    f.active_search->last_query = now;
    f.active_search->absent = std::move(absent);
    f.active_search->waiting_packets.emplace_back(packet);
    queue_queries(key, f);
    searched_flows_.push_back(key);
    counted_->add(event::flows_redirected);
    log_event(log_level::info, "flow_searched",
              {{"flow", to_string(key)},
               {"targets", static_cast<std::int64_t>(f.active_search->queried.size())},
               {"absent", static_cast<std::int64_t>(f.active_search->absent.size())},
               {"table_age_ms", table_age_.count()}});
}

void segment_balancer::refill_query_budget(time_point now)
{
    const std::chrono::duration<double> elapsed = now - last_budget_refill_;
    query_budget_ = std::min(settings_.query_bytes_per_second * query_burst_s,
                             query_budget_ + (elapsed.count() * settings_.query_bytes_per_second));
    last_budget_refill_ = now;
}

// Returns false if the queued queries take all of the bandwidth of the next moment already.
bool segment_balancer::may_queue_queries() const
{
    return static_cast<double>(pending_question_count_) * question_bytes <
           settings_.query_bytes_per_second * query_burst_s;
}

// Handles a further packet of a flow that is searched for. Targets that have not answered `absent` within
// `query_timeout` are queried again.
void segment_balancer::continue_search(time_point now, const flow_key& key, flow& f, std::string_view packet)
{
    search& s = *f.active_search;
    if (now - s.last_query < query_timeout || !pending_questions_.empty()) {
        if (s.waiting_packets.size() < max_waiting_packets) {
            s.waiting_packets.emplace_back(packet);
        }
        return;
    }
    const flow_route* route = routes_->find(key.destination);
    if (route == nullptr || !may_queue_queries()) {
        counted_->count_refusal(error_code::search_limit);
        return;
    }
    s.last_query = now;
    s.queried = s.absent;
    s.unsure.clear();
    s.unlikely.clear();
    s.probed.clear();
    s.waiting_packets.assign(1, std::string(packet));
    queue_queries(key, f);
}

// Queues queries to all targets that may hold the flow and were not queried yet.
void segment_balancer::queue_queries(const flow_key& key, const flow& f)
{
    const flow_route* route = routes_->find(key.destination);
    if (route == nullptr) {
        return;
    }
    search& s = *f.active_search;
    wire::segment_question question;
    question.key = to_wire(key);
    question.acknowledged = static_cast<std::int32_t>(f.ack_number);
    for (const flow_service* service : route->services_with_flows()) {
        for (const flow_target& t : service->targets) {
            if (contains(s.queried, t.agent)) {
                continue;
            }
            s.queried.push_back(t.agent);
            if (!contains(s.absent, t.agent)) {
                pending_questions_[{t.agent, service->key}].push_back(question);
                ++pending_question_count_;
            }
        }
    }
}

void segment_balancer::send_queries(time_point now, outbox& out)
{
    if (pending_questions_.empty()) {
        return;
    }
    refill_query_budget(now);
    if (query_budget_ <= 0) {
        return;
    }
    for (auto& [recipient, questions] : pending_questions_) {
        for (std::size_t begin = 0; begin < questions.size(); begin += max_questions_per_query) {
            const auto first = questions.begin() + static_cast<std::ptrdiff_t>(begin);
            const std::size_t count = std::min(max_questions_per_query, questions.size() - begin);
            wire::segment_query query;
            query.service_key = recipient.second;
            query.flows.assign(first, first + static_cast<std::ptrdiff_t>(count));
            query_budget_ -= query_datagram_bytes + (question_bytes * static_cast<double>(count));
            out.send(recipient.first, std::move(query));
        }
    }
    pending_questions_.clear();
    pending_question_count_ = 0;
}

void segment_balancer::on_answers(time_point now, const endpoint& from, const wire::segment_answers& answers,
                                  outbox& out)
{
    for (const wire::segment_answer& answer : answers.flows) {
        const flow_key key = from_wire(answer.key);
        const auto it = flows_.find(key);
        if (it == flows_.end() || !it->second.active_search) {
            continue;
        }
        switch (static_cast<segment_outcome>(answer.outcome)) {
        case segment_outcome::held: on_held(now, key, from, out); break;
        case segment_outcome::absent: on_search_absent(now, it, from, out); break;
        case segment_outcome::unsure: on_unsure(now, it, from, it->second.active_search->unsure, out); break;
        case segment_outcome::unlikely:
            on_unsure(now, it, from, it->second.active_search->unlikely, out);
            break;
        default: counted_->count_refusal(error_code::message_malformed);
        }
    }
}

// Handles an agent's answer that its target does not hold a flow that is searched for.
void segment_balancer::on_search_absent(time_point now, flow_map::iterator it, const endpoint& from,
                                        outbox& out)
{
    search& s = *it->second.active_search;
    if (!contains(s.absent, from)) {
        s.absent.push_back(from);
    }
    if (confirm_not_held(it->first, it->second)) {
        reset_missing_flow(now, it, out);
    } else {
        send_probes(now, it->first, s, out);
    }
}

// Handles the answer of an agent that has restarted and cannot tell whether its target holds the flow.
// `group` is the list of such agents in the search to which the answer assigns it.
void segment_balancer::on_unsure(time_point now, flow_map::iterator it, const endpoint& from,
                                 std::vector<endpoint>& group, outbox& out)
{
    search& s = *it->second.active_search;
    if (!contains(s.probed, from) && !contains(s.unsure, from) && !contains(s.unlikely, from)) {
        group.push_back(from);
        send_probes(now, it->first, s, out);
    }
}

// Forwards the first waiting packet to the agents that are unsure; the reactions of their targets show
// whether they hold the flow. While another agent is silent, its target may hold the flow, and packets that
// reach other targets meanwhile would be misrouted; so nothing is sent until it answers or is lost.
//
// Agents whose targets are unlikely to hold the flow come last, after all others have denied it, lost ones
// included. After a power failure of the whole system there are many such agents and many flows that no
// target holds, so these probes use the bandwidth for queries; without it the flow stays silent.
void segment_balancer::send_probes(time_point now, const flow_key& key, search& s, outbox& out)
{
    const flow_route* route = routes_->find(key.destination);
    if (route == nullptr || (s.unsure.empty() && s.unlikely.empty())) {
        return;
    }
    const auto services = route->services_with_flows();
    const auto all_targets = [&](auto condition) {
        return std::ranges::all_of(services, [&](const flow_service* service) {
            return std::ranges::all_of(service->targets, condition);
        });
    };
    const bool all_answered = all_targets([&](const flow_target& t) {
        return t.lost || !contains(s.queried, t.agent) || contains(s.absent, t.agent) ||
               contains(s.unsure, t.agent) || contains(s.unlikely, t.agent) || contains(s.probed, t.agent);
    });
    if (!all_answered) {
        return;
    }
    probe(services, s, std::exchange(s.unsure, {}), out);
    const bool all_others_denied = all_targets(
        [&](const flow_target& t) { return contains(s.absent, t.agent) || contains(s.unlikely, t.agent); });
    refill_query_budget(now);
    if (!all_others_denied || query_budget_ <= 0) {
        return;
    }
    query_budget_ -= static_cast<double>(s.unlikely.size()) *
                     (query_datagram_bytes + static_cast<double>(s.waiting_packets.front().size()));
    probe(services, s, std::exchange(s.unlikely, {}), out);
}

// Forwards the first waiting packet of a search to `agents`.
void segment_balancer::probe(const std::vector<const flow_service*>& services, search& s,
                             const std::vector<endpoint>& agents, outbox& out)
{
    for (const endpoint& agent : agents) {
        for (const flow_service* service : services) {
            if (std::ranges::find(service->targets, agent, &flow_target::agent) != service->targets.end()) {
                s.probed.push_back(agent);
                forward(agent, service->key, segment_purpose::search, s.waiting_packets.front(), out);
                break;
            }
        }
    }
}

// Returns true if it is certain that no target holds the flow; queues queries to targets that were not
// queried yet. It is certain only if every target in a table that was confirmed after the search began has
// reported the flow absent, because another balancer may have placed the flow on a target that had just
// joined. The table age that a control process reports is no proof, because a message to that process may
// have been delayed.
bool segment_balancer::confirm_not_held(const flow_key& key, flow& f)
{
    if (!confirmed_as_of_ || *confirmed_as_of_ < f.active_search->started) {
        return false;
    }
    queue_queries(key, f);
    const search& s = *f.active_search;
    // The comparison of sizes is cheap and false until the last target has answered.
    return !s.queried.empty() && s.absent.size() >= s.queried.size() &&
           std::ranges::all_of(s.queried, [&](const endpoint& e) { return contains(s.absent, e); });
}

// Resets a flow that no target holds at its caller, and forgets it.
void segment_balancer::reset_missing_flow(time_point now, flow_map::iterator it, outbox& out)
{
    const flow_key key = it->first;
    counted_->record(latency::search, std::chrono::duration_cast<std::chrono::microseconds>(
                                          now - it->second.active_search->started));
    send_reset(key, it->second.ack_number, error_code::flow_unknown, out);
    flows_.erase(it);
}

void segment_balancer::on_table_confirmed(time_point now, time_point as_of, outbox& out)
{
    confirmed_as_of_ = as_of;
    finish_searches(now, out);
}

bool segment_balancer::needs_table_confirmation() const
{
    return std::ranges::any_of(searched_flows_, [&](const flow_key& key) {
        const auto it = flows_.find(key);
        return it != flows_.end() && it->second.active_search &&
               (!confirmed_as_of_ || *confirmed_as_of_ < it->second.active_search->started);
    });
}

void segment_balancer::finish_searches(time_point now, outbox& out)
{
    std::erase_if(searched_flows_, [&](const flow_key& key) {
        const auto it = flows_.find(key);
        if (it == flows_.end() || !it->second.active_search ||
            now - it->second.active_search->started > search_check_period) {
            return true;
        }
        if (!confirm_not_held(key, it->second)) {
            return false;
        }
        reset_missing_flow(now, it, out);
        return true;
    });
}

}  // namespace peridotcleat

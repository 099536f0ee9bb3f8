#include <algorithm>
#include <unordered_set>
#include <utility>

#include "peridotcleat/flow_owner.h"

namespace peridotcleat {

namespace {

// A flow key takes at most 24 bytes on the wire, the other fields of a report at most 60.
constexpr std::size_t flows_per_page = (max_control_body - 60) / 24;

}  // namespace

void flow_owner::update_buckets(time_point now, bool targets_changed, outbox& out)
{
    bool started = false;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        pvt::bucket_state& b = directory_.at(i);
        const route_target* owner = bucket_owner(i);
        const bool owns = owner != nullptr && owner->id == own_id_;
        if (owns && !b.owned) {
            b.owned = true;
            b.handover_start = now;
            started = true;
        } else if (!owns && b.owned) {
            directory_.release(i);
        } else if (owns && b.fenced && b.fence <= table_revision()) {
            b.fenced = false;
            b.handover_start = now;
            started = true;
        }
    }
    std::unordered_set<incarnation, id_hash> targets;
    for (const route_target& t : service_routes_->targets) {
        targets.insert(t.id);
    }
    directory_.keep_holders(targets);
    std::erase_if(offers_, [this](const auto& item) {
        return !directory_.at(bucket_of(item.first)).owned || target(item.second.holder) == nullptr;
    });
    if (started || (targets_changed && query_round_.active())) {
        start_query_round(now, out);
    }
}

void flow_owner::start_query_round(time_point now, outbox& out)
{
    pvt::bucket_set buckets;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        pvt::bucket_state& b = directory_.at(i);
        buckets[i] = b.owned && !b.complete;
        if (buckets[i]) {
            // The fence applies to the new owner too: it may place a flow on another target and then get an
            // offer of the same flow from the previous owner.
            b.fence = std::max(b.fence, table_revision());
        }
    }
    std::vector<incarnation> others;
    for (const route_target& t : service_routes_->targets) {
        if (t.id != own_id_) {
            others.push_back(t.id);
        }
    }
    query_round_.start(now, buckets, others);
    counted_->add(event::handovers_started);
    send_queries(now, out);
    if (others.empty()) {
        for (std::size_t i = 0; i < bucket_count; ++i) {
            if (buckets[i]) {
                directory_.at(i).ready = true;
                directory_.at(i).complete = true;
            }
        }
        counted_->add(event::handovers_completed);
    }
}

void flow_owner::send_queries(time_point now, outbox& out)
{
    if (!query_round_.active()) {
        return;
    }
    for (const auto& due : query_round_.take_due_queries(now)) {
        const route_target* to = target(due.target);
        if (to == nullptr) {
            continue;
        }
        wire::bucket_query query;
        query.service_id = service_.value;
        query.revision = table_revision().value;
        query.owner = own_id_.value;
        query.reply_to = to_wire(settings_.address);
        query.buckets = pvt::to_wire(query_round_.buckets());
        query.query_id = due.query_id;
        out.send(to->agent, std::move(query));
    }
}

void flow_owner::on_bucket_query(time_point now, const wire::bucket_query& query, outbox& out)
{
    if (service_routes_ == nullptr || query.service_id != service_.value) {
        drop(error_code::wrong_service);
        return;
    }
    note_revision(now, {query.revision}, endpoint{}, out);
    if (const incarnation owner{query.owner}; target(owner) != nullptr && !peers_[owner].load) {
        // A query proves that the other agent has its table; mostly its target has just joined and holds no
        // flow.
        peers_[owner].load = 0;
    }
    const pvt::bucket_set buckets = pvt::buckets_from_wire(query.buckets);
    bool restart_round = false;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        pvt::bucket_state& b = directory_.at(i);
        if (!buckets[i] || revision{query.revision} <= b.fence) {
            continue;
        }
        b.fence = revision{query.revision};
        if (!b.owned) {
            continue;
        }
        // In a table newer than that of the last handover to this agent, another target owns the bucket and
        // may place flows that this directory lacks. This agent may have skipped that table.
        b.ready = false;
        b.complete = false;
        b.fenced = b.fence > table_revision();
        b.handover_start = now;
        restart_round = restart_round || !b.fenced;
    }
    send_report(query, buckets, out);
    if (restart_round) {
        start_query_round(now, out);
    }
}

void flow_owner::send_report(const wire::bucket_query& query, const pvt::bucket_set& buckets,
                             outbox& out) const
{
    std::vector<wire::flow_key> keys;
    for (const auto& [key, flow] : held_.all()) {
        if (buckets[bucket_of(key)]) {
            keys.push_back(to_wire(key));
        }
    }
    const std::size_t pages = std::max<std::size_t>(1, (keys.size() + flows_per_page - 1) / flows_per_page);
    wire::bucket_report report;
    report.service_id = service_.value;
    report.revision = query.revision;
    report.holder = own_id_.value;
    report.query_id = query.query_id;
    report.pages = static_cast<std::int16_t>(pages);
    report.load_permille = load();
    for (std::size_t page = 0; page < pages; ++page) {
        const auto begin = keys.begin() + static_cast<std::ptrdiff_t>(page * flows_per_page);
        const auto end =
            keys.begin() + static_cast<std::ptrdiff_t>(std::min(keys.size(), (page + 1) * flows_per_page));
        report.page = static_cast<std::int16_t>(page);
        report.flows.assign(begin, end);
        out.send(from_wire(query.reply_to), report);
    }
}

void flow_owner::on_bucket_report(time_point now, const wire::bucket_report& report, outbox& out)
{
    const incarnation holder{report.holder};
    if (report.service_id != service_.value || target(holder) == nullptr || report.page < 0 ||
        report.pages <= 0) {
        return;
    }
    peers_[holder].load = report.load_permille;
    for (const wire::flow_key& k : report.flows) {
        const flow_key key = from_wire(k);
        if (!directory_.at(bucket_of(key)).owned || held_.find(key) != nullptr ||
            directory_.find(key) != nullptr) {
            continue;
        }
        if (!directory_.set(key, holder)) {
            counted_->count_refusal(error_code::flow_limit);
        }
    }
    if (!query_round_.add_page(holder, report.query_id, static_cast<std::size_t>(report.page),
                               static_cast<std::size_t>(report.pages))) {
        return;
    }
    counted_->add(event::handovers_completed);
    for (std::size_t i = 0; i < bucket_count; ++i) {
        pvt::bucket_state& b = directory_.at(i);
        if (query_round_.buckets()[i] && b.owned && b.fence <= table_revision()) {
            b.ready = true;
            b.complete = true;
        }
    }
    retry_waiting(now, out);
}

void flow_owner::check_handover_timeout(time_point now, outbox& out)
{
    if (!query_round_.active()) {
        return;
    }
    bool expired = false;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        pvt::bucket_state& b = directory_.at(i);
        if (b.owned && !b.ready && b.handover_start + settings_.handover_timeout <= now &&
            b.fence <= table_revision()) {
            b.ready = true;
            expired = true;
        }
    }
    if (expired) {
        counted_->add(event::handovers_timed_out);
        retry_waiting(now, out);
    }
}

}  // namespace peridotcleat

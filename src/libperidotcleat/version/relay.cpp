#include "peridotcleat/relay.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "peridotcleat/hash.h"

namespace peridotcleat {

namespace {

using std::chrono::milliseconds;

// Only children that pulled within this time are notified of changes.
constexpr milliseconds notice_window{5000};
// Intervals between reports: by default, when a node was heard for the first time or is lost, and without any
// change.
constexpr milliseconds report_interval{1000};
constexpr milliseconds urgent_report_interval{200};
constexpr milliseconds idle_report_interval{5000};
// Control processes report more often because their parent receives no pulls from them that would show that
// they are alive.
constexpr milliseconds control_report_interval{500};
constexpr milliseconds announce_retention{10000};
constexpr milliseconds max_age{3600000};
// An announcement is forwarded by a balancer, a follower and possibly a former leader.
constexpr int max_announce_hops = 4;
// Bytes reserved for the fields of a pull_reply other than the objects of its page.
constexpr std::size_t page_overhead = 100;
// A child_report takes up to 24 bytes, so 45 of them fit into `max_control_body`.
constexpr std::size_t max_children_per_report = 45;

// Estimated sizes on the wire in bytes, including IP and UDP headers: a pull and its reply without objects, a
// notice with the pull that it causes, a small change in a reply, a report, and one child in a report.
constexpr std::size_t pull_bytes = 170;
constexpr std::size_t notice_bytes = 210;
constexpr std::size_t small_change_bytes = 100;
constexpr std::size_t report_bytes = 140;
constexpr std::size_t child_report_bytes = 12;
constexpr milliseconds traffic_window{1000};
// After this many consecutive replies without objects, a child receives objects even if bandwidth is short.
constexpr std::uint32_t max_consecutive_deferrals = 4;
// A child that does not pull for longer than this is assumed to have used another parent in the meantime.
constexpr milliseconds max_pull_gap{2500};

bool has_objects(const wire::table_page& page)
{
    return !page.routes.empty() || !page.services.empty() || !page.targets.empty() || !page.nodes.empty() ||
           !page.tombstones.empty();
}

}  // namespace

std::int64_t parents_digest(const std::vector<endpoint>& parents)
{
    std::uint64_t digest = 1;
    for (const endpoint& e : parents) {
        digest = combine(digest, (std::uint64_t{e.address} << 16U) | e.port);
    }
    // 40 bits take 6 bytes in each pull.
    return static_cast<std::int64_t>(digest >> 24U);
}

relay::relay(relay_limits limits, counters& counted) : counted_(&counted), limits_(limits) {}

void relay::on_pull(time_point now, const endpoint& from, const wire::pull_request& request,
                    const table_state& table, const table_freshness& freshness, outbox& out)
{
    child_state* child = record_child(now, from, request);
    count_bytes(now, pull_bytes);
    wire::cursor position = request.position;
    bool full = request.full;
    if (revision{request.revision} == table.current_revision() &&
        static_cast<std::uint64_t>(request.digest) != table.digest()) {
        // The child's copy differs from this table at the same revision, so it is sent in full again.
        position = {};
        full = true;
    }
    wire::pull_reply reply;
    reply.nonce = request.nonce;
    reply.age_ms = static_cast<std::int32_t>(std::clamp(freshness.age, milliseconds(0), max_age).count());
    if (request.__isset.confirm) {
        reply.__set_confirm(request.confirm);
        reply.__set_confirmed(freshness.confirmed);
        if (freshness.leader) {
            reply.__set_leader(to_wire(*freshness.leader));
        }
    }
    reply.page = table.delta(position, full, max_control_body - page_overhead);
    if (request.__isset.parents && !parents_.empty() && request.parents != parents_digest(parents_)) {
        std::vector<wire::endpoint> parents;
        std::ranges::transform(parents_, std::back_inserter(parents),
                               [](const endpoint& e) { return to_wire(e); });
        reply.__set_parents(parents);
    }
    if (child != nullptr && exceeds_child_limit(now, *child)) {
        reply.__set_crowded(true);
    }
    if (limits_.bytes_per_second != 0 && has_objects(reply.page)) {
        const std::size_t bytes = encode_struct(reply.page).size();
        if (request.revision != 0 && defer_objects(now, child, bytes)) {
            // Repeats the child's position without any objects, so that its next pull asks for them again.
            wire::table_page empty_page;
            empty_page.revision = reply.page.revision;
            empty_page.config_version = reply.page.config_version;
            empty_page.full = reply.page.full;
            empty_page.start = reply.page.start;
            empty_page.position = reply.page.start;
            reply.page = std::move(empty_page);
        } else {
            count_bytes(now, bytes);
        }
    }
    counted_->add(event::pages_sent);
    if (reply.page.full && reply.page.complete) {
        counted_->add(event::full_tables_sent);
    }
    out.send(from, std::move(reply));
}

bool relay::exceeds_child_limit(time_point now, const child_state& child) const
{
    if (limits_.children == 0 || children_.size() <= limits_.children) {
        return false;
    }
    const auto earlier_children = std::ranges::count_if(children_, [&](const child_state& other) {
        return now - other.last_heard <= max_pull_gap &&
               std::pair(other.pulling_since, other.id) < std::pair(child.pulling_since, child.id);
    });
    return static_cast<std::size_t>(earlier_children) >= limits_.children;
}

// Returns true if objects of `bytes` bytes must be deferred to a later pull, and counts the deferral.
bool relay::defer_objects(time_point now, child_state* child, std::size_t bytes)
{
    const bool fits = recent_bytes(now) + bytes <= limits_.bytes_per_second;
    if (fits || child == nullptr || child->consecutive_deferrals >= max_consecutive_deferrals) {
        if (child != nullptr) {
            child->consecutive_deferrals = 0;
        }
        return false;
    }
    ++child->consecutive_deferrals;
    return true;
}

std::size_t relay::recent_bytes(time_point now)
{
    while (!recent_traffic_.empty() && now - recent_traffic_.front().time >= traffic_window) {
        recent_traffic_bytes_ -= recent_traffic_.front().bytes;
        recent_traffic_.pop_front();
    }
    return recent_traffic_bytes_;
}

void relay::count_bytes(time_point now, std::size_t bytes)
{
    if (limits_.bytes_per_second == 0) {
        return;
    }
    (void)recent_bytes(now);
    recent_traffic_.push_back({now, bytes});
    recent_traffic_bytes_ += bytes;
}

child_state* relay::record_child(time_point now, const endpoint& from, const wire::pull_request& request)
{
    if (const auto it = child_relays_.find(from); it != child_relays_.end()) {
        it->second.last_heard = now;
        child_relays_last_heard_[it->second.number] = now;
    }
    const incarnation id{request.node};
    if (!id.valid()) {
        return nullptr;
    }
    auto child = std::ranges::lower_bound(children_, id, {}, &child_state::id);
    if (child == children_.end() || child->id != id) {
        child = children_.insert(child, {id, from, {}, now, {}, now, 0});
        urgent_report_due_ = true;
    }
    if (now - child->last_heard > max_pull_gap) {
        child->pulling_since = now;
    }
    child->address = from;
    child->last_heard = now;
    child->confirmed = std::max(child->confirmed, revision{request.revision});

    node_record& record = nodes_[id];
    const auto own = std::ranges::find(record.observations, 0U, &observation::relay_number);
    if (own == record.observations.end()) {
        record.observations.push_back({0, child->confirmed, now, true});
    } else {
        own->confirmed = child->confirmed;
        own->last_heard = now;
    }
    return &*child;
}

void relay::on_table_changed(time_point now, const table_state& table, outbox& out)
{
    // A notice causes an additional pull. Children that get no notice for lack of bandwidth learn of the
    // change with their next regular pull, and bandwidth for those replies is reserved.
    const auto lagging = static_cast<std::size_t>(std::ranges::count_if(
        children_, [&](const child_state& c) { return c.confirmed < table.current_revision(); }));
    const std::size_t reserved = lagging * small_change_bytes;
    wire::change_notice notice;
    notice.revision = table.current_revision().value;
    for (child_state& child : children_) {
        if (child.confirmed < table.current_revision() &&
            child.notified_revision < table.current_revision() && now - child.last_heard <= notice_window) {
            if (limits_.bytes_per_second != 0 &&
                recent_bytes(now) + reserved + notice_bytes > limits_.bytes_per_second) {
                return;
            }
            count_bytes(now, notice_bytes);
            child.notified_revision = table.current_revision();
            out.send(child.address, notice);
        }
    }
}

void relay::on_announce(time_point now, const wire::announce& request, const endpoint& own_address,
                        const endpoint& parent, outbox& out)
{
    if (request.hops >= max_announce_hops || !parent.valid() || parent == own_address) {
        return;
    }
    if (from_wire(request.reply_to) == own_address) {
        return;
    }
    record_announce(now, request);
    wire::announce forwarded = request;
    forwarded.reply_to = to_wire(own_address);
    ++forwarded.hops;
    out.send(parent, std::move(forwarded));
}

void relay::record_announce(time_point now, const wire::announce& request)
{
    std::erase_if(pending_announces_,
                  [now](const auto& a) { return now - a.second.received_at > announce_retention; });
    pending_announces_[request.nonce] = {from_wire(request.reply_to), now};
}

bool relay::on_announce_reply(time_point /*now*/, const wire::announce_reply& reply, outbox& out)
{
    const auto it = pending_announces_.find(reply.nonce);
    if (it == pending_announces_.end()) {
        return false;
    }
    out.send(it->second.reply_to, reply);
    pending_announces_.erase(it);
    return true;
}

void relay::on_report(time_point now, const endpoint& from, const wire::relay_report& report, outbox& out)
{
    child_relay& sender = child_relays_[from];
    if (sender.number == 0) {
        sender.number = next_relay_number_++;
    }
    if (sender.nonce != report.nonce) {
        forget_observations(sender.number);
        sender.nonce = report.nonce;
        sender.sequence = 0;
        sender.complete = false;
    }
    wire::relay_report_reply reply;
    reply.nonce = report.nonce;
    reply.sequence = report.sequence;
    // A report that arrives after a later one is out of date and is not applied.
    if (report.sequence > sender.sequence) {
        sender.sequence = report.sequence;
        sender.last_heard = now;
        child_relays_last_heard_[sender.number] = now;
        if (report.full) {
            forget_observations(sender.number);
            sender.complete = true;
        }
        if (sender.complete) {
            apply_child_reports(now, report, sender);
        }
    }
    reply.send_full = !sender.complete;
    out.send(from, reply);
}

void relay::apply_child_reports(time_point now, const wire::relay_report& report, const child_relay& from)
{
    for (const wire::child_report& child : report.children) {
        const incarnation id{child.node};
        const milliseconds silent{child.silent_ms};
        const bool live = silent < silence_limit;
        if (!id.valid()) {
            continue;
        }
        if (silent > forget_limit) {
            if (const auto it = nodes_.find(id); it != nodes_.end()) {
                std::erase_if(it->second.observations,
                              [&](const observation& s) { return s.relay_number == from.number; });
            }
            continue;
        }
        node_record& record = nodes_[id];
        auto existing = std::ranges::find(record.observations, from.number, &observation::relay_number);
        if (existing == record.observations.end()) {
            record.observations.push_back({from.number, {}, {}, live});
            existing = record.observations.end() - 1;
        }
        urgent_report_due_ = urgent_report_due_ || !record.reported;
        existing->confirmed = std::max(existing->confirmed, revision{child.revision});
        existing->last_heard = now - silent;
        existing->live = live;
    }
}

void relay::forget_observations(std::uint32_t relay_number)
{
    for (auto& [id, record] : nodes_) {
        std::erase_if(record.observations,
                      [relay_number](const observation& s) { return s.relay_number == relay_number; });
    }
}

time_point relay::effective_last_heard(const observation& s) const
{
    if (s.relay_number == 0 || !s.live) {
        return s.last_heard;
    }
    const auto it = child_relays_last_heard_.find(s.relay_number);
    return it == child_relays_last_heard_.end() ? s.last_heard : std::max(s.last_heard, it->second);
}

node_liveness relay::combined_liveness(const node_record& record) const
{
    node_liveness combined;
    for (const observation& s : record.observations) {
        combined.confirmed = std::max(combined.confirmed, s.confirmed);
        combined.last_heard = std::max(combined.last_heard, effective_last_heard(s));
    }
    return combined;
}

std::optional<node_liveness> relay::find(incarnation id) const
{
    const auto it = nodes_.find(id);
    if (it == nodes_.end() || it->second.observations.empty()) {
        return std::nullopt;
    }
    return combined_liveness(it->second);
}

void relay::forget_silent(time_point now, bool has_parent)
{
    const auto silent = [now](time_point last_heard) { return now - last_heard > forget_limit; };
    std::erase_if(children_, [&](const child_state& c) { return silent(c.last_heard); });
    for (auto& [id, record] : nodes_) {
        std::erase_if(record.observations,
                      [&](const observation& s) { return silent(effective_last_heard(s)); });
    }
    // The parent must acknowledge that a node is lost before this process discards the node's state.
    // Otherwise the parent would consider the node alive for as long as it hears this process.
    std::erase_if(nodes_, [&](const auto& n) {
        const bool live_at_parent = has_parent && n.second.reported && n.second.reported_live;
        return n.second.observations.empty() && !live_at_parent;
    });
    for (auto it = child_relays_.begin(); it != child_relays_.end();) {
        if (silent(it->second.last_heard)) {
            child_relays_last_heard_.erase(it->second.number);
            it = child_relays_.erase(it);
        } else {
            ++it;
        }
    }
}

void relay::on_tick(time_point now, incarnation own, std::int64_t nonce, const endpoint& parent, outbox& out)
{
    if (now - last_cleanup_ >= report_interval) {
        last_cleanup_ = now;
        forget_silent(now, parent.valid());
    }
    if (!parent.valid()) {
        // Without a parent, nodes are discarded without being reported as lost. The next parent therefore
        // gets a full report, even if it is the same as before.
        parent_ = {};
        return;
    }
    if (parent != parent_) {
        parent_ = parent;
        full_report_due_ = true;
        urgent_report_due_ = true;
    }
    const milliseconds regular_interval = own.valid() ? report_interval : control_report_interval;
    const milliseconds spacing = urgent_report_due_ ? urgent_report_interval : regular_interval;
    if (now - last_report_check_ >= spacing) {
        last_report_check_ = now;
        send_report(now, own, nonce, parent, out);
    }
}

void relay::send_report(time_point now, incarnation own, std::int64_t nonce, const endpoint& parent,
                        outbox& out)
{
    wire::relay_report report;
    report.relay = own.value;
    report.nonce = nonce;
    report.full = full_report_due_;
    report.lowest_revision = 0;
    report.live_children = 0;
    bool truncated = false;
    for (const auto& [id, record] : nodes_) {
        const node_liveness state = combined_liveness(record);
        const bool live = now - state.last_heard < silence_limit;
        if (live) {
            ++report.live_children;
            report.lowest_revision = report.lowest_revision == 0
                                         ? state.confirmed.value
                                         : std::min(report.lowest_revision, state.confirmed.value);
        }
        const bool already_reported = !full_report_due_ && record.reported && record.reported_live == live &&
                                      record.reported_revision == state.confirmed;
        const bool unobserved = record.observations.empty();
        if (already_reported || (unobserved && (full_report_due_ || !record.reported_live))) {
            continue;
        }
        if (report.children.size() == max_children_per_report) {
            truncated = true;
            continue;
        }
        wire::child_report child;
        child.node = id.value;
        child.revision = state.confirmed.value;
        // The receiver does not need the silence of a live child, and zero has the shortest encoding.
        child.silent_ms = 0;
        if (!live) {
            const auto silent = std::chrono::duration_cast<milliseconds>(now - state.last_heard);
            child.silent_ms = static_cast<std::int32_t>(std::min(silent, max_age).count());
        }
        report.children.push_back(child);
    }
    urgent_report_due_ = truncated;
    const milliseconds idle_interval = own.valid() ? idle_report_interval : control_report_interval;
    if (report.children.empty() && !report.full && now - last_report_ < idle_interval) {
        return;
    }
    last_report_ = now;
    report.sequence = ++last_sequence_;
    unacknowledged_ = report;
    count_bytes(now, report_bytes + (report.children.size() * child_report_bytes));
    out.send(parent, std::move(report));
}

void relay::on_report_reply(time_point /*now*/, const wire::relay_report_reply& reply)
{
    if (!unacknowledged_ || reply.sequence != unacknowledged_->sequence ||
        reply.nonce != unacknowledged_->nonce) {
        return;
    }
    if (reply.send_full) {
        full_report_due_ = true;
        urgent_report_due_ = true;
        unacknowledged_.reset();
        return;
    }
    if (unacknowledged_->full) {
        full_report_due_ = false;
        for (auto& [id, record] : nodes_) {
            record.reported = false;
        }
    }
    for (const wire::child_report& child : unacknowledged_->children) {
        const auto it = nodes_.find(incarnation{child.node});
        if (it != nodes_.end()) {
            it->second.reported = true;
            it->second.reported_live = milliseconds(child.silent_ms) < silence_limit;
            it->second.reported_revision = revision{child.revision};
        }
    }
    unacknowledged_.reset();
}

}  // namespace peridotcleat

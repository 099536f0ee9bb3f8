#include "peridotcleat/relay.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "peridotcleat/hash.h"

namespace peridotcleat {

namespace {

using std::chrono::milliseconds;

// Children that pulled within this time are notified of changes.
constexpr milliseconds notice_window{5000};
// Spacing of reports: normally, when a node was heard for the first time or is lost, and without any change.
constexpr milliseconds report_interval{1000};
constexpr milliseconds urgent_report_interval{200};
constexpr milliseconds idle_report_interval{5000};
// Control processes have no pulls by which their parent hears them.
constexpr milliseconds control_report_interval{500};
constexpr milliseconds announce_memory{10000};
constexpr milliseconds max_age{3600000};
// An announcement passes a balancer, a follower and perhaps a former leader.
constexpr int max_announce_hops = 4;
// Room for the fields of a pull_reply beside the objects of its page.
constexpr std::size_t page_overhead = 100;
// A child_report takes up to 24 bytes.
constexpr std::size_t max_children_per_report = 45;

// Estimated sizes on the wire, headers of IP and UDP included: a pull and its reply without objects, a notice
// with the pull that follows it, and a small change in a reply.
constexpr std::size_t pull_bytes = 170;
constexpr std::size_t notice_bytes = 210;
constexpr std::size_t small_change_bytes = 100;
constexpr std::size_t report_bytes = 140;
constexpr std::size_t child_report_bytes = 12;
constexpr milliseconds byte_window{1000};
// A child is given objects after this many replies without, however short bandwidth is.
constexpr std::uint32_t max_held_back = 4;
// A child that pauses for longer has another parent meanwhile.
constexpr milliseconds child_pause{2500};

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
                    const table_state& table, const table_standing& standing, outbox& out)
{
    child_state* child = note_child(now, from, request);
    count_bytes(now, pull_bytes);
    wire::cursor position = request.position;
    bool full = request.full;
    if (revision{request.revision} == table.current_revision() &&
        static_cast<std::uint64_t>(request.digest) != table.digest()) {
        // The copy differs although it claims the same revision: it starts over.
        position = {};
        full = true;
    }
    wire::pull_reply reply;
    reply.nonce = request.nonce;
    reply.age_ms = static_cast<std::int32_t>(std::clamp(standing.age, milliseconds(0), max_age).count());
    if (request.__isset.confirm) {
        reply.__set_confirm(request.confirm);
        reply.__set_confirmed(standing.confirmed);
        if (standing.leader) {
            reply.__set_leader(to_wire(*standing.leader));
        }
    }
    reply.page = table.delta(position, full, max_control_body - page_overhead);
    if (request.__isset.parents && !parents_.empty() && request.parents != parents_digest(parents_)) {
        std::vector<wire::endpoint> parents;
        std::ranges::transform(parents_, std::back_inserter(parents),
                               [](const endpoint& e) { return to_wire(e); });
        reply.__set_parents(parents);
    }
    if (child != nullptr && crowded_for(now, *child)) {
        reply.__set_crowded(true);
    }
    if (limits_.bytes_per_second != 0 && has_objects(reply.page)) {
        const std::size_t bytes = encode_struct(reply.page).size();
        if (request.revision != 0 && hold_back(now, child, bytes)) {
            // The same place again, without the objects: the child asks for them with its next pull.
            wire::table_page empty;
            empty.revision = reply.page.revision;
            empty.config_version = reply.page.config_version;
            empty.full = reply.page.full;
            empty.start = reply.page.start;
            empty.position = reply.page.start;
            reply.page = std::move(empty);
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

bool relay::crowded_for(time_point now, const child_state& child) const
{
    if (limits_.children == 0 || children_.size() <= limits_.children) {
        return false;
    }
    const auto before = std::ranges::count_if(children_, [&](const child_state& other) {
        return now - other.heard <= child_pause &&
               std::pair(other.since, other.id) < std::pair(child.since, child.id);
    });
    return static_cast<std::size_t>(before) >= limits_.children;
}

// Returns true if objects of `bytes` have to wait for a later pull.
bool relay::hold_back(time_point now, child_state* child, std::size_t bytes)
{
    const bool fits = recent_bytes(now) + bytes <= limits_.bytes_per_second;
    if (fits || child == nullptr || child->held_back >= max_held_back) {
        if (child != nullptr) {
            child->held_back = 0;
        }
        return false;
    }
    ++child->held_back;
    return true;
}

std::size_t relay::recent_bytes(time_point now)
{
    while (!used_.empty() && now - used_.front().when >= byte_window) {
        used_sum_ -= used_.front().bytes;
        used_.pop_front();
    }
    return used_sum_;
}

void relay::count_bytes(time_point now, std::size_t bytes)
{
    if (limits_.bytes_per_second == 0) {
        return;
    }
    (void)recent_bytes(now);
    used_.push_back({now, bytes});
    used_sum_ += bytes;
}

child_state* relay::note_child(time_point now, const endpoint& from, const wire::pull_request& request)
{
    if (const auto it = lower_.find(from); it != lower_.end()) {
        it->second.heard = now;
        lower_heard_[it->second.number] = now;
    }
    const incarnation id{request.node};
    if (!id.valid()) {
        return nullptr;
    }
    auto child = std::ranges::lower_bound(children_, id, {}, &child_state::id);
    if (child == children_.end() || child->id != id) {
        child = children_.insert(child, {id, from, {}, now, {}, now, 0});
        urgent_ = true;
    }
    if (now - child->heard > child_pause) {
        child->since = now;
    }
    child->address = from;
    child->heard = now;
    child->confirmed = std::max(child->confirmed, revision{request.revision});

    node_record& record = nodes_[id];
    const auto own = std::ranges::find(record.sightings, 0U, &sighting::via);
    if (own == record.sightings.end()) {
        record.sightings.push_back({0, child->confirmed, now, true});
    } else {
        own->confirmed = child->confirmed;
        own->heard = now;
    }
    return &*child;
}

void relay::on_table_changed(time_point now, const table_state& table, outbox& out)
{
    // Children that get no notice for lack of bandwidth learn of the change with their next pull, for which
    // enough is left: a notice costs a pull more.
    const auto lagging = static_cast<std::size_t>(std::ranges::count_if(
        children_, [&](const child_state& c) { return c.confirmed < table.current_revision(); }));
    const std::size_t reserved = lagging * small_change_bytes;
    wire::change_notice notice;
    notice.revision = table.current_revision().value;
    for (child_state& child : children_) {
        if (child.confirmed < table.current_revision() && child.notified < table.current_revision() &&
            now - child.heard <= notice_window) {
            if (limits_.bytes_per_second != 0 &&
                recent_bytes(now) + reserved + notice_bytes > limits_.bytes_per_second) {
                return;
            }
            count_bytes(now, notice_bytes);
            child.notified = table.current_revision();
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
    wire::announce passed = request;
    passed.reply_to = to_wire(own_address);
    ++passed.hops;
    out.send(parent, std::move(passed));
}

void relay::record_announce(time_point now, const wire::announce& request)
{
    std::erase_if(announces_, [now](const auto& a) { return now - a.second.asked > announce_memory; });
    announces_[request.nonce] = {from_wire(request.reply_to), now};
}

bool relay::on_announce_reply(time_point /*now*/, const wire::announce_reply& reply, outbox& out)
{
    const auto it = announces_.find(reply.nonce);
    if (it == announces_.end()) {
        return false;
    }
    out.send(it->second.reply_to, reply);
    announces_.erase(it);
    return true;
}

void relay::on_report(time_point now, const endpoint& from, const wire::relay_report& report, outbox& out)
{
    lower_relay& sender = lower_[from];
    if (sender.number == 0) {
        sender.number = next_lower_++;
    }
    if (sender.nonce != report.nonce) {
        forget_sightings(sender.number);
        sender.nonce = report.nonce;
        sender.sequence = 0;
        sender.complete = false;
    }
    wire::relay_report_reply reply;
    reply.nonce = report.nonce;
    reply.sequence = report.sequence;
    // A report that was overtaken by a later one describes the past.
    if (report.sequence > sender.sequence) {
        sender.sequence = report.sequence;
        sender.heard = now;
        lower_heard_[sender.number] = now;
        if (report.full) {
            forget_sightings(sender.number);
            sender.complete = true;
        }
        if (sender.complete) {
            take_children(now, report, sender);
        }
    }
    reply.send_full = !sender.complete;
    out.send(from, reply);
}

void relay::take_children(time_point now, const wire::relay_report& report, const lower_relay& from)
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
                std::erase_if(it->second.sightings, [&](const sighting& s) { return s.via == from.number; });
            }
            continue;
        }
        node_record& record = nodes_[id];
        auto seen = std::ranges::find(record.sightings, from.number, &sighting::via);
        if (seen == record.sightings.end()) {
            record.sightings.push_back({from.number, {}, {}, live});
            seen = record.sightings.end() - 1;
        }
        urgent_ = urgent_ || !record.reported;
        seen->confirmed = std::max(seen->confirmed, revision{child.revision});
        seen->heard = now - silent;
        seen->live = live;
    }
}

void relay::forget_sightings(std::uint32_t via)
{
    for (auto& [id, record] : nodes_) {
        std::erase_if(record.sightings, [via](const sighting& s) { return s.via == via; });
    }
}

time_point relay::heard_at(const sighting& s) const
{
    if (s.via == 0 || !s.live) {
        return s.heard;
    }
    const auto it = lower_heard_.find(s.via);
    return it == lower_heard_.end() ? s.heard : std::max(s.heard, it->second);
}

node_liveness relay::summary(const node_record& record) const
{
    node_liveness all;
    for (const sighting& s : record.sightings) {
        all.confirmed = std::max(all.confirmed, s.confirmed);
        all.last_heard = std::max(all.last_heard, heard_at(s));
    }
    return all;
}

std::optional<node_liveness> relay::find(incarnation id) const
{
    const auto it = nodes_.find(id);
    if (it == nodes_.end() || it->second.sightings.empty()) {
        return std::nullopt;
    }
    return summary(it->second);
}

void relay::forget_silent(time_point now, bool has_parent)
{
    const auto silent = [now](time_point heard) { return now - heard > forget_limit; };
    std::erase_if(children_, [&](const child_state& c) { return silent(c.heard); });
    for (auto& [id, record] : nodes_) {
        std::erase_if(record.sightings, [&](const sighting& s) { return silent(heard_at(s)); });
    }
    // The parent must hear that a node is lost before it is forgotten here, or it would count as alive there
    // for as long as this process does.
    std::erase_if(nodes_, [&](const auto& n) {
        const bool counts_above = has_parent && n.second.reported && n.second.reported_live;
        return n.second.sightings.empty() && !counts_above;
    });
    for (auto it = lower_.begin(); it != lower_.end();) {
        if (silent(it->second.heard)) {
            lower_heard_.erase(it->second.number);
            it = lower_.erase(it);
        } else {
            ++it;
        }
    }
}

void relay::on_tick(time_point now, incarnation own, std::int64_t nonce, const endpoint& parent, outbox& out)
{
    if (now - last_cleaned_ >= report_interval) {
        last_cleaned_ = now;
        forget_silent(now, parent.valid());
    }
    if (!parent.valid()) {
        // Nodes are forgotten meanwhile without a report, so the next parent gets a full one, even if it is
        // the former one.
        parent_ = {};
        return;
    }
    if (parent != parent_) {
        parent_ = parent;
        full_due_ = true;
        urgent_ = true;
    }
    const milliseconds regular = own.valid() ? report_interval : control_report_interval;
    const milliseconds spacing = urgent_ ? urgent_report_interval : regular;
    if (now - last_scan_ >= spacing) {
        last_scan_ = now;
        send_report(now, own, nonce, parent, out);
    }
}

void relay::send_report(time_point now, incarnation own, std::int64_t nonce, const endpoint& parent,
                        outbox& out)
{
    wire::relay_report report;
    report.relay = own.value;
    report.nonce = nonce;
    report.full = full_due_;
    report.lowest_revision = 0;
    report.live_children = 0;
    bool more = false;
    for (const auto& [id, record] : nodes_) {
        const node_liveness state = summary(record);
        const bool live = now - state.last_heard < silence_limit;
        if (live) {
            ++report.live_children;
            report.lowest_revision = report.lowest_revision == 0
                                         ? state.confirmed.value
                                         : std::min(report.lowest_revision, state.confirmed.value);
        }
        const bool known = !full_due_ && record.reported && record.reported_live == live &&
                           record.reported_revision == state.confirmed;
        const bool lost = record.sightings.empty();
        if (known || (lost && (full_due_ || !record.reported_live))) {
            continue;
        }
        if (report.children.size() == max_children_per_report) {
            more = true;
            continue;
        }
        wire::child_report child;
        child.node = id.value;
        child.revision = state.confirmed.value;
        // How long a live child was silent is of no use, and zero is the shortest to send.
        child.silent_ms = 0;
        if (!live) {
            const auto silent = std::chrono::duration_cast<milliseconds>(now - state.last_heard);
            child.silent_ms = static_cast<std::int32_t>(std::min(silent, max_age).count());
        }
        report.children.push_back(child);
    }
    urgent_ = more;
    const milliseconds idle = own.valid() ? idle_report_interval : control_report_interval;
    if (report.children.empty() && !report.full && now - last_report_ < idle) {
        return;
    }
    last_report_ = now;
    report.sequence = ++sequence_;
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
        full_due_ = true;
        urgent_ = true;
        unacknowledged_.reset();
        return;
    }
    if (unacknowledged_->full) {
        full_due_ = false;
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

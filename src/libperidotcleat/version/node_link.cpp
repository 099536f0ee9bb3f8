#include "peridotcleat/node_link.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "peridotcleat/hash.h"
#include "peridotcleat/log.h"
#include "peridotcleat/relay.h"

namespace peridotcleat {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Pulls that follow a notice or a packet with a newer revision are at least this far apart.
constexpr milliseconds urgent_pull_spacing{100};
// Requests to confirm are at least this far apart: a few round trips, so that one serves many searches.
constexpr milliseconds confirm_spacing{50};
// How often a node that was driven from its preferred parent tries it again, so that relays that were
// restarted get their children back.
constexpr milliseconds return_interval{30000};
// How often a node whose parent has too many children tries another one.
constexpr milliseconds move_interval{2500};
// A pull without a reply for this long is sent again: ten round trips between zones. Several datagrams in a
// row must be lost before the lease of a node loses a second.
constexpr milliseconds reply_timeout{200};
constexpr milliseconds leave_announce_interval{1000};
constexpr milliseconds unknown_age{3600000};
// Several times the number of control processes.
constexpr std::size_t max_parents = 32;
// 40 bits take 6 bytes in each pull; a repeat within one name is as good as impossible.
constexpr std::uint64_t nonce_mask = (std::uint64_t{1} << 40U) - 1;

std::int64_t draw_nonce(std::mt19937_64& random)
{
    return static_cast<std::int64_t>((random() & nonce_mask) | 1U);
}

std::int64_t as_milliseconds(clock::duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

std::uint64_t preference(const std::string& name, const endpoint& parent)
{
    return combine(hash_bytes(name), (std::uint64_t{parent.address} << 16U) | parent.port);
}

}  // namespace

result<node_link> node_link::create(node_link_settings settings, counters& counted)
{
    if (settings.name.empty()) {
        return error{error_code::invalid_setting, "name is empty"};
    }
    if (settings.parents.empty()) {
        return error{error_code::invalid_setting, "parents: none given"};
    }
    return node_link(std::move(settings), counted);
}

node_link::node_link(node_link_settings settings, counters& counted)
    : settings_(std::move(settings)), counted_(&counted),
      random_(combine(settings_.seed, hash_bytes(settings_.name))), nonce_(draw_nonce(random_))
{
    add_parents(settings_.parents);
}

void node_link::add_parents(const std::vector<endpoint>& addresses)
{
    const endpoint current = parents_.empty() ? endpoint{} : parents_[current_].address;
    for (const endpoint& address : addresses) {
        if (std::ranges::find(parents_, address, &parent_state::address) == parents_.end()) {
            parents_.push_back({address, {}, {}, {}, false});
        }
    }
    std::ranges::sort(parents_, [this](const parent_state& a, const parent_state& b) {
        return std::pair(preference(settings_.name, a.address), a.address) >
               std::pair(preference(settings_.name, b.address), b.address);
    });
    if (const auto it = std::ranges::find(parents_, current, &parent_state::address); it != parents_.end()) {
        current_ = static_cast<std::size_t>(it - parents_.begin());
    }
    if (parents_.size() > max_parents) {
        // The settings and what was named last outlive older names; those that never answered go first.
        const endpoint kept = parents_[current_].address;
        std::erase_if(parents_, [&](const parent_state& p) {
            return p.address != kept && !std::ranges::binary_search(named_, p.address) &&
                   std::ranges::find(settings_.parents, p.address) == settings_.parents.end();
        });
        current_ = static_cast<std::size_t>(std::ranges::find(parents_, kept, &parent_state::address) -
                                            parents_.begin());
    }
}

// Control processes come and go; those that are named now are pulled from, and those of the settings stay as
// a way back in.
void node_link::take_parents(const std::vector<wire::endpoint>& named)
{
    named_.clear();
    std::ranges::transform(named, std::back_inserter(named_),
                           [](const wire::endpoint& e) { return from_wire(e); });
    std::ranges::sort(named_);
    add_parents(named_);
}

void node_link::set_offer(const target_offer& value) { offer_ = value; }

void node_link::set_state(node_state state)
{
    if (state != state_) {
        state_ = state;
        next_announce_ = {};
    }
}

void node_link::on_message(time_point now, const endpoint& from, const message& m, outbox& out)
{
    if (const auto* reply = std::get_if<wire::pull_reply>(&m)) {
        take_reply(now, from, *reply, out);
    } else if (const auto* notice = std::get_if<wire::change_notice>(&m)) {
        on_newer_revision(now, revision{notice->revision}, out);
    } else if (const auto* answer = std::get_if<wire::announce_reply>(&m)) {
        take_announce_reply(now, *answer);
    } else if (const auto* stale = std::get_if<wire::stale_notice>(&m)) {
        counted_->add(event::stale_notices);
        on_newer_revision(now, revision{stale->revision}, out);
    }
}

void node_link::on_newer_revision(time_point now, revision seen, outbox& out)
{
    if (seen > table().current_revision() && now - last_pull_ >= urgent_pull_spacing) {
        // The regular pull keeps its time: it also tries other parents, and a node with traffic would
        // otherwise never leave a dead one.
        pull(now, current_, out);
    }
}

void node_link::request_confirmation(time_point now, outbox& out)
{
    const auto waited = now - confirm_asked_;
    if (confirm_open_ ? waited < reply_timeout : waited < confirm_spacing) {
        return;
    }
    if (confirm_open_) {
        leader_.reset();
        next_probe_ = (next_probe_ + 1) % parents_.size();
        ask_to_confirm(now, parents_[next_probe_].address, out);
    } else {
        ask_to_confirm(now, leader_.value_or(parent()), out);
    }
}

void node_link::ask_to_confirm(time_point now, const endpoint& to, outbox& out)
{
    wire::pull_request request = make_request();
    request.__set_confirm(++confirm_number_);
    confirm_asked_ = now;
    confirm_open_ = true;
    out.send(to, std::move(request));
}

void node_link::take_confirmation(time_point now, const endpoint& from, const wire::pull_reply& reply,
                                  outbox& out)
{
    if (!confirm_open_ || reply.confirm != confirm_number_) {
        return;
    }
    confirm_open_ = false;
    const bool asked_a_leader = leader_.has_value();
    leader_.reset();
    if (reply.__isset.leader) {
        leader_ = from_wire(reply.leader);
    } else if (reply.confirmed) {
        leader_ = from;
    }
    const page_outcome outcome = take_page(
        reply.page, confirm_asked_ - (reply.confirmed ? milliseconds(0) : milliseconds(reply.age_ms)));
    if (reply.confirmed && (outcome == page_outcome::applied || outcome == page_outcome::current)) {
        confirmed_as_of_ = confirm_asked_;
    } else if (leader_ && !reply.confirmed && !asked_a_leader) {
        // Two processes that name each other as the leader are not asked in a circle.
        ask_to_confirm(now, *leader_, out);
    }
}

void node_link::on_tick(time_point now, outbox& out)
{
    if (!started_) {
        started_ = true;
        // Processes that start together must not pull together.
        next_pull_ = now + settings_.first_pull_delay +
                     microseconds(random_() % microseconds(settings_.join_interval / 4).count());
        next_return_ = now + return_interval;
        parents_[current_].good = now;
    }
    watch_control(now);
    if (table().current_revision() == revision{}) {
        find_first_table(now, out);
    } else {
        keep_current(now, out);
    }
    if (now >= next_announce_ && announcement_due()) {
        announce(now, out);
        next_announce_ = now + jittered(id_.valid() ? leave_announce_interval : settings_.join_interval);
    }
}

// Logs when the table has become too old to rely on, and when it is current again.
void node_link::watch_control(time_point now)
{
    const bool lost = complete_as_of_ && age(now) > settings_.parent_timeout;
    if (lost == control_lost_) {
        return;
    }
    control_lost_ = lost;
    log_event(lost ? log_level::warning : log_level::info, lost ? "control_lost" : "control_regained",
              {{"parent", to_string(parent())},
               {"table_age_ms", as_milliseconds(age(now))},
               {"revision", table().current_revision().value}});
}

// Asks one parent after the other, because none is known to be up, and each once in a join interval: after a
// loss of all power every node asks, and a repeated request costs a busy parent a page. Parents that were
// emptied answer too, and have nothing.
void node_link::find_first_table(time_point now, outbox& out)
{
    if (now < next_pull_) {
        return;
    }
    next_probe_ = (next_probe_ + 1) % parents_.size();
    pull(now, next_probe_, out);
    next_pull_ = now + jittered(settings_.join_interval / parents_.size());
}

void node_link::keep_current(time_point now, outbox& out)
{
    const parent_state& current = parents_[current_];
    const bool lost = current.unanswered && now - last_pull_ >= reply_timeout &&
                      now - *current.unanswered < settings_.pull_interval;
    if (lost) {
        pull(now, current_, out);
        next_pull_ = now + jittered(ready() ? settings_.pull_interval : settings_.join_interval);
    } else if (now >= next_pull_) {
        pull(now, current_, out);
        probe(now, out);
        next_pull_ = now + jittered(ready() ? settings_.pull_interval : settings_.join_interval);
    }
}

// Pulls from other parents while the current one is late, so that one that is known to answer can take its
// place. A late parent's children also stay known to control through the parents that are tried.
void node_link::probe(time_point now, outbox& out)
{
    if (parents_.size() < 2) {
        return;
    }
    const bool move = parents_[current_].crowded && now >= next_move_;
    if (move || now - parents_[current_].good > settings_.pull_interval * 3 / 2) {
        next_move_ = now + jittered(move_interval);
        do {
            next_probe_ = (next_probe_ + 1) % parents_.size();
        } while (next_probe_ == current_);
        pull(now, next_probe_, out);
    } else if (current_ != 0 && now >= next_return_) {
        next_return_ = now + jittered(return_interval);
        pull(now, 0, out);
    }
}

void node_link::pull(time_point now, std::size_t index, outbox& out)
{
    parent_state& parent = parents_[index];
    if (!parent.unanswered) {
        parent.unanswered = now;
    }
    if (index == current_) {
        last_pull_ = now;
    }
    out.send(parent.address, make_request());
}

wire::pull_request node_link::make_request() const
{
    wire::pull_request request;
    request.node = id_.value;
    request.nonce = nonce_;
    if (settings_.discover_parents) {
        request.__set_parents(parents_digest(named_));
    }
    copy_.fill_request(request);
    return request;
}

page_outcome node_link::take_page(const wire::table_page& page, time_point as_of)
{
    const page_outcome outcome = copy_.process_page(page, touched_);
    if (outcome == page_outcome::applied || outcome == page_outcome::current) {
        complete_as_of_ = std::max(complete_as_of_.value_or(as_of), as_of);
    }
    if (outcome == page_outcome::applied) {
        counted_->add(event::pages_applied);
        changed_ = true;
        find_own_entry();
    }
    if (outcome == page_outcome::mismatch) {
        counted_->add(event::digest_mismatches);
    }
    return outcome;
}

void node_link::take_reply(time_point now, const endpoint& from, const wire::pull_reply& reply, outbox& out)
{
    if (reply.__isset.confirm && reply.nonce == nonce_) {
        take_confirmation(now, from, reply, out);
        return;
    }
    auto it = std::ranges::find(parents_, from, &parent_state::address);
    if (it == parents_.end() || reply.nonce != nonce_ || !it->unanswered) {
        return;
    }
    if (reply.__isset.parents && settings_.discover_parents) {
        take_parents(reply.parents);
        it = std::ranges::find(parents_, from, &parent_state::address);
        if (it == parents_.end()) {
            return;
        }
    }
    const std::size_t index = static_cast<std::size_t>(it - parents_.begin());
    // The reply may answer any pull that is open; the earliest one gives the highest age.
    const time_point as_of = *it->unanswered - milliseconds(reply.age_ms);
    it->unanswered.reset();
    it->fresh_as_of = std::max(it->fresh_as_of, as_of);
    it->crowded = reply.__isset.crowded && reply.crowded;
    const bool behind = revision{reply.page.revision} < table().current_revision();
    if (!behind && milliseconds(reply.age_ms) <= settings_.parent_timeout) {
        it->good = now;
    }
    const bool first = !complete_as_of_;
    const page_outcome outcome = take_page(reply.page, as_of);
    if (first && complete_as_of_) {
        current_ = index;
    }
    update_parent(now, index);
    // A page that brought nothing new waits for the next regular pull: the parent is short of bandwidth.
    const bool advanced = reply.page.position != reply.page.start;
    if (outcome == page_outcome::mismatch || (outcome == page_outcome::staged && advanced)) {
        pull(now, index, out);
        next_pull_ = now + jittered(ready() ? settings_.pull_interval : settings_.join_interval);
    }
}

// Makes the parent `index`, which has just replied, the current one if it is better.
void node_link::update_parent(time_point now, std::size_t index)
{
    if (index == current_) {
        return;
    }
    const parent_state& current = parents_[current_];
    const parent_state& other = parents_[index];
    const bool other_good = other.good == now;
    const bool current_late = now - current.good > settings_.parent_timeout;
    const bool fresher = other.fresh_as_of > current.fresh_as_of + settings_.pull_interval;
    const bool preferred = index == 0 && other_good && !other.crowded;
    const bool roomier = current.crowded && other_good && !other.crowded;
    if (preferred || roomier || (current_late && (other_good || fresher))) {
        log_event(log_level::info, "parent_changed",
                  {{"from", to_string(current.address)},
                   {"to", to_string(other.address)},
                   {"reason", preferred ? "preferred" : (roomier ? "crowded" : "late")},
                   {"silent_ms", as_milliseconds(now - current.good)},
                   {"revision", table().current_revision().value}});
        current_ = index;
        next_return_ = now + jittered(return_interval);
        counted_->add(event::parent_changes);
    }
}

bool node_link::announcement_due() const
{
    if (settings_.role == node_role::target && !offer_) {
        return false;
    }
    if (!id_.valid()) {
        return state_ != node_state::leaving;
    }
    if (removed_ || state_ == node_state::active) {
        return false;
    }
    if (state_ == node_state::leaving || settings_.role == node_role::balancer) {
        return state_ == node_state::leaving;
    }
    const auto own = table().targets().find(id_);
    return own == table().targets().end() || !own->second.draining;
}

void node_link::announce(time_point /*now*/, outbox& out)
{
    wire::announce a;
    a.nonce = nonce_;
    a.role = static_cast<std::int8_t>(settings_.role);
    a.name = settings_.name;
    a.zone = settings_.zone;
    a.address = to_wire(settings_.address);
    a.reply_to = to_wire(settings_.address);
    if (offer_) {
        a.__set_service_name(offer_->service_name);
        a.__set_slots(static_cast<std::int32_t>(offer_->slots));
        a.__set_connections(static_cast<std::int32_t>(offer_->connections));
    }
    a.state = static_cast<std::int8_t>(state_);
    a.hops = 0;
    out.send(parent(), std::move(a));
}

void node_link::take_announce_reply(time_point now, const wire::announce_reply& reply)
{
    if (reply.nonce != nonce_) {
        return;
    }
    if (!id_.valid() && reply.incarnation != 0) {
        joined(incarnation{reply.incarnation});
        find_own_entry();
    }
    const bool retired = reply.code == static_cast<std::int32_t>(error_code::wrong_incarnation);
    if (retired && !id_.valid() && state_ != node_state::leaving) {
        nonce_ = draw_nonce(random_);
        next_announce_ = {};
    }
    if (reply.retry_after_ms > 0) {
        next_announce_ = std::max(next_announce_, now + milliseconds(reply.retry_after_ms));
    }
}

void node_link::joined(incarnation id)
{
    id_ = id;
    removed_ = false;
    counted_->add(event::joins);
    log_event(log_level::info, "joined",
              {{"incarnation", id.value}, {"revision", table().current_revision().value}});
}

bool node_link::listed(incarnation id) const
{
    return settings_.role == node_role::target ? table().targets().contains(id)
                                               : table().nodes().contains(id);
}

// Takes the identity from the table if the reply was lost, and finds out that the node was removed.
void node_link::find_own_entry()
{
    const auto own_nonce = [this](const auto& entry) {
        return entry.second.nonce == nonce_ && entry.second.name == settings_.name;
    };
    if (!id_.valid()) {
        const auto& targets = table().targets();
        const auto& nodes = table().nodes();
        if (settings_.role == node_role::target) {
            const auto it = std::ranges::find_if(targets, own_nonce);
            if (it != targets.end()) {
                joined(it->first);
            }
        } else if (const auto it = std::ranges::find_if(nodes, own_nonce); it != nodes.end()) {
            joined(it->first);
        }
    }
    if (!id_.valid() || removed_ || table().current_revision().value < id_.value || listed(id_)) {
        return;
    }
    removed_ = true;
    counted_->add(event::leaves);
    log_event(log_level::warning, "left_table",
              {{"incarnation", id_.value},
               {"revision", table().current_revision().value},
               {"leaving", state_ == node_state::leaving ? "true" : "false"}});
    if (state_ != node_state::leaving) {
        // Removed while alive, for example after a long partition: a new incarnation joins.
        id_ = {};
        nonce_ = draw_nonce(random_);
        next_announce_ = {};
    }
}

bool node_link::ready() const noexcept
{
    return id_.valid() && !removed_ && table().current_revision().value >= id_.value;
}

milliseconds node_link::age(time_point now) const
{
    if (!complete_as_of_) {
        return unknown_age;
    }
    return std::chrono::duration_cast<milliseconds>(
        std::min<clock::duration>(now - *complete_as_of_, unknown_age));
}

std::vector<service_id> node_link::take_touched(bool& changed)
{
    changed = std::exchange(changed_, false);
    return std::exchange(touched_, {});
}

// Spreads the pulls of many nodes evenly: within 10 % of the interval.
microseconds node_link::jittered(microseconds interval)
{
    const auto tenth = static_cast<std::uint64_t>(std::max<std::int64_t>(interval.count() / 10, 1));
    return interval - microseconds(tenth) + microseconds(random_() % (2 * tenth));
}

}  // namespace peridotcleat

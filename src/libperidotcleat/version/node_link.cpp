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

// Minimum time between pulls that are caused by a notice or a packet with a newer revision.
constexpr milliseconds urgent_pull_spacing{100};
// Minimum time between requests for a confirmation: a few round trips, so that one confirmation serves many
// flow searches.
constexpr milliseconds confirmation_spacing{50};
// Interval at which a node that had to leave its preferred parent tries that parent again, so that a
// restarted relay gets its children back.
constexpr milliseconds preferred_probe_interval{30000};
// Interval at which a node whose parent has too many children tries another parent.
constexpr milliseconds crowded_probe_interval{2500};
// A pull without a reply is sent again after this time, which is ten round trips between zones. With it, a
// node's lease is shortened by a second only if several consecutive datagrams are lost.
constexpr milliseconds reply_timeout{200};
constexpr milliseconds leave_announce_interval{1000};
// Reported as the age of the table before the first complete table.
constexpr milliseconds unknown_age{3600000};
// Limit of known parents: several times the number of control processes.
constexpr std::size_t max_parents = 32;
// A nonce of 40 bits takes 6 bytes in each pull, and a collision between nonces of one name is practically
// impossible.
constexpr std::uint64_t nonce_mask = (std::uint64_t{1} << 40U) - 1;

std::int64_t draw_nonce(std::mt19937_64& random)
{
    return static_cast<std::int64_t>((random() & nonce_mask) | 1U);
}

std::int64_t as_milliseconds(clock::duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

std::uint64_t parent_rank(const std::string& name, const endpoint& parent)
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
        return error{error_code::invalid_setting, "no parent is configured"};
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
    const endpoint current = parents_.empty() ? endpoint{} : parents_[current_parent_].address;
    for (const endpoint& address : addresses) {
        if (std::ranges::find(parents_, address, &parent_state::address) == parents_.end()) {
            parents_.push_back({address, {}, {}, {}, false});
        }
    }
    std::ranges::sort(parents_, [this](const parent_state& a, const parent_state& b) {
        return std::pair(parent_rank(settings_.name, a.address), a.address) >
               std::pair(parent_rank(settings_.name, b.address), b.address);
    });
    if (const auto it = std::ranges::find(parents_, current, &parent_state::address); it != parents_.end()) {
        current_parent_ = static_cast<std::size_t>(it - parents_.begin());
    }
    if (parents_.size() > max_parents) {
        // Removes parents that were listed earlier. The current parent, those of the settings and those that
        // were listed last stay.
        const endpoint kept_address = parents_[current_parent_].address;
        std::erase_if(parents_, [&](const parent_state& p) {
            return p.address != kept_address && !std::ranges::binary_search(discovered_parents_, p.address) &&
                   std::ranges::find(settings_.parents, p.address) == settings_.parents.end();
        });
        current_parent_ = static_cast<std::size_t>(
            std::ranges::find(parents_, kept_address, &parent_state::address) - parents_.begin());
    }
}

std::vector<endpoint> node_link::parents() const
{
    std::vector<endpoint> addresses;
    std::ranges::transform(parents_, std::back_inserter(addresses), &parent_state::address);
    return addresses;
}

// The set of control processes changes at run time. The node pulls from those that are listed now, and keeps
// the parents of the settings as a fallback.
void node_link::update_discovered_parents(const std::vector<wire::endpoint>& addresses)
{
    discovered_parents_.clear();
    std::ranges::transform(addresses, std::back_inserter(discovered_parents_),
                           [](const wire::endpoint& e) { return from_wire(e); });
    std::ranges::sort(discovered_parents_);
    add_parents(discovered_parents_);
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
        on_pull_reply(now, from, *reply, out);
    } else if (const auto* notice = std::get_if<wire::change_notice>(&m)) {
        on_newer_revision(now, revision{notice->revision}, out);
    } else if (const auto* answer = std::get_if<wire::announce_reply>(&m)) {
        on_announce_reply(now, *answer);
    } else if (const auto* stale = std::get_if<wire::stale_notice>(&m)) {
        counted_->add(event::stale_notices);
        on_newer_revision(now, revision{stale->revision}, out);
    }
}

void node_link::on_newer_revision(time_point now, revision seen, outbox& out)
{
    if (seen > table().current_revision() && now - last_pull_ >= urgent_pull_spacing) {
        // Does not postpone the regular pull, which also tries other parents. Otherwise a node that
        // constantly receives newer revisions would never leave a dead parent.
        pull(now, current_parent_, out);
    }
}

void node_link::request_confirmation(time_point now, outbox& out)
{
    const auto since_request = now - confirmation_requested_at_;
    if (confirmation_pending_ ? since_request < reply_timeout : since_request < confirmation_spacing) {
        return;
    }
    if (confirmation_pending_) {
        leader_.reset();
        next_probe_ = (next_probe_ + 1) % parents_.size();
        send_confirmation_request(now, parents_[next_probe_].address, out);
    } else {
        send_confirmation_request(now, leader_.value_or(parent()), out);
    }
}

void node_link::send_confirmation_request(time_point now, const endpoint& to, outbox& out)
{
    wire::pull_request request = make_request();
    request.__set_confirm(++last_confirm_number_);
    confirmation_requested_at_ = now;
    confirmation_pending_ = true;
    out.send(to, std::move(request));
}

void node_link::on_confirmation_reply(time_point now, const endpoint& from, const wire::pull_reply& reply,
                                      outbox& out)
{
    if (!confirmation_pending_ || reply.confirm != last_confirm_number_) {
        return;
    }
    confirmation_pending_ = false;
    const bool leader_was_asked = leader_.has_value();
    leader_.reset();
    if (reply.__isset.leader) {
        leader_ = from_wire(reply.leader);
    } else if (reply.confirmed) {
        leader_ = from;
    }
    const page_outcome outcome =
        apply_page(reply.page, confirmation_requested_at_ -
                                   (reply.confirmed ? milliseconds(0) : milliseconds(reply.age_ms)));
    if (reply.confirmed && (outcome == page_outcome::applied || outcome == page_outcome::current)) {
        confirmed_as_of_ = confirmation_requested_at_;
    } else if (leader_ && !reply.confirmed && !leader_was_asked) {
        // Follows only one referral, because two processes may name each other as the leader.
        send_confirmation_request(now, *leader_, out);
    }
}

void node_link::on_tick(time_point now, outbox& out)
{
    if (!started_) {
        started_ = true;
        // A random delay keeps processes that start at the same time from pulling at the same time.
        next_pull_ = now + settings_.first_pull_delay +
                     microseconds(random_() % microseconds(settings_.join_interval / 4).count());
        next_preferred_probe_ = now + preferred_probe_interval;
        parents_[current_parent_].last_good_reply = now;
    }
    log_table_staleness(now);
    if (table().current_revision() == revision{}) {
        pull_first_table(now, out);
    } else {
        refresh_table(now, out);
    }
    if (now >= next_announce_ && announcement_due()) {
        announce(now, out);
        next_announce_ = now + jittered(id_.valid() ? leave_announce_interval : settings_.join_interval);
    }
}

// Logs when the table becomes too old to rely on (older than `parent_timeout`), and when it is current again.
void node_link::log_table_staleness(time_point now)
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

// Pulls from one parent after the other, because none is known to be up, and from each one once per join
// interval: after a complete power loss all nodes ask at once, and each repeated request costs a busy parent
// a page. Every parent has to be tried because a parent whose storage was erased also replies, with an empty
// table.
void node_link::pull_first_table(time_point now, outbox& out)
{
    if (now < next_pull_) {
        return;
    }
    next_probe_ = (next_probe_ + 1) % parents_.size();
    pull(now, next_probe_, out);
    next_pull_ = now + jittered(settings_.join_interval / parents_.size());
}

void node_link::refresh_table(time_point now, outbox& out)
{
    const parent_state& current = parents_[current_parent_];
    const bool reply_lost = current.unanswered_since && now - last_pull_ >= reply_timeout &&
                            now - *current.unanswered_since < settings_.pull_interval;
    if (reply_lost) {
        pull(now, current_parent_, out);
        next_pull_ = now + jittered(ready() ? settings_.pull_interval : settings_.join_interval);
    } else if (now >= next_pull_) {
        pull(now, current_parent_, out);
        probe_other_parents(now, out);
        next_pull_ = now + jittered(ready() ? settings_.pull_interval : settings_.join_interval);
    }
}

// Pulls from another parent while the current one is late, so that a parent that is known to answer can
// replace it. These pulls also keep this node known to the control processes, through the parents that it
// tries.
void node_link::probe_other_parents(time_point now, outbox& out)
{
    if (parents_.size() < 2) {
        return;
    }
    const bool crowded_probe_due = parents_[current_parent_].crowded && now >= next_crowded_probe_;
    if (crowded_probe_due ||
        now - parents_[current_parent_].last_good_reply > settings_.pull_interval * 3 / 2) {
        next_crowded_probe_ = now + jittered(crowded_probe_interval);
        do {
            next_probe_ = (next_probe_ + 1) % parents_.size();
        } while (next_probe_ == current_parent_);
        pull(now, next_probe_, out);
    } else if (current_parent_ != 0 && now >= next_preferred_probe_) {
        next_preferred_probe_ = now + jittered(preferred_probe_interval);
        pull(now, 0, out);
    }
}

void node_link::pull(time_point now, std::size_t index, outbox& out)
{
    parent_state& parent = parents_[index];
    if (!parent.unanswered_since) {
        parent.unanswered_since = now;
    }
    if (index == current_parent_) {
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
        request.__set_parents(parents_digest(discovered_parents_));
    }
    table_copy_.fill_request(request);
    return request;
}

page_outcome node_link::apply_page(const wire::table_page& page, time_point as_of)
{
    const page_outcome outcome = table_copy_.process_page(page, touched_services_);
    if (outcome == page_outcome::applied || outcome == page_outcome::current) {
        complete_as_of_ = std::max(complete_as_of_.value_or(as_of), as_of);
    }
    if (outcome == page_outcome::applied) {
        counted_->add(event::pages_applied);
        table_changed_ = true;
        find_own_entry();
    }
    if (outcome == page_outcome::mismatch) {
        counted_->add(event::digest_mismatches);
    }
    return outcome;
}

void node_link::on_pull_reply(time_point now, const endpoint& from, const wire::pull_reply& reply,
                              outbox& out)
{
    if (reply.__isset.confirm && reply.nonce == nonce_) {
        on_confirmation_reply(now, from, reply, out);
        return;
    }
    auto it = std::ranges::find(parents_, from, &parent_state::address);
    if (it == parents_.end() || reply.nonce != nonce_ || !it->unanswered_since) {
        return;
    }
    if (reply.__isset.parents && settings_.discover_parents) {
        update_discovered_parents(reply.parents);
        it = std::ranges::find(parents_, from, &parent_state::address);
        if (it == parents_.end()) {
            return;
        }
    }
    const std::size_t index = static_cast<std::size_t>(it - parents_.begin());
    // The reply may answer any unanswered pull. The earliest one gives an upper bound of the table's age.
    const time_point as_of = *it->unanswered_since - milliseconds(reply.age_ms);
    it->unanswered_since.reset();
    it->fresh_as_of = std::max(it->fresh_as_of, as_of);
    it->crowded = reply.__isset.crowded && reply.crowded;
    const bool behind = revision{reply.page.revision} < table().current_revision();
    if (!behind && milliseconds(reply.age_ms) <= settings_.parent_timeout) {
        it->last_good_reply = now;
    }
    const bool first_table = !complete_as_of_;
    const page_outcome outcome = apply_page(reply.page, as_of);
    if (first_table && complete_as_of_) {
        current_parent_ = index;
    }
    switch_parent_if_better(now, index);
    // After a page without progress, the next regular pull continues: the parent is short of bandwidth.
    const bool made_progress = reply.page.position != reply.page.start;
    if (outcome == page_outcome::mismatch || (outcome == page_outcome::staged && made_progress)) {
        pull(now, index, out);
        next_pull_ = now + jittered(ready() ? settings_.pull_interval : settings_.join_interval);
    }
}

// Makes the parent at `index`, which has just replied, the current one if it is better than the current one.
void node_link::switch_parent_if_better(time_point now, std::size_t index)
{
    if (index == current_parent_) {
        return;
    }
    const parent_state& current = parents_[current_parent_];
    const parent_state& other = parents_[index];
    const bool other_is_healthy = other.last_good_reply == now;
    const bool current_is_late = now - current.last_good_reply > settings_.parent_timeout;
    const bool other_is_fresher = other.fresh_as_of > current.fresh_as_of + settings_.pull_interval;
    const bool other_is_preferred = index == 0 && other_is_healthy && !other.crowded;
    const bool other_has_room = current.crowded && other_is_healthy && !other.crowded;
    if (other_is_preferred || other_has_room || (current_is_late && (other_is_healthy || other_is_fresher))) {
        log_event(log_level::info, "parent_changed",
                  {{"from", to_string(current.address)},
                   {"to", to_string(other.address)},
                   {"reason", other_is_preferred ? "preferred" : (other_has_room ? "crowded" : "late")},
                   {"silent_ms", as_milliseconds(now - current.last_good_reply)},
                   {"revision", table().current_revision().value}});
        current_parent_ = index;
        next_preferred_probe_ = now + jittered(preferred_probe_interval);
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
    wire::announce announcement;
    announcement.nonce = nonce_;
    announcement.role = static_cast<std::int8_t>(settings_.role);
    announcement.name = settings_.name;
    announcement.zone = settings_.zone;
    announcement.address = to_wire(settings_.address);
    announcement.reply_to = to_wire(settings_.address);
    if (offer_) {
        announcement.__set_service_name(offer_->service_name);
        announcement.__set_slots(static_cast<std::int32_t>(offer_->slots));
        announcement.__set_connections(static_cast<std::int32_t>(offer_->connections));
    }
    announcement.state = static_cast<std::int8_t>(state_);
    announcement.hops = 0;
    out.send(parent(), std::move(announcement));
}

void node_link::on_announce_reply(time_point now, const wire::announce_reply& reply)
{
    if (reply.nonce != nonce_) {
        return;
    }
    if (!id_.valid() && reply.incarnation != 0) {
        on_joined(incarnation{reply.incarnation});
        find_own_entry();
    }
    const bool nonce_retired = reply.code == static_cast<std::int32_t>(error_code::wrong_incarnation);
    if (nonce_retired && !id_.valid() && state_ != node_state::leaving) {
        nonce_ = draw_nonce(random_);
        next_announce_ = {};
    }
    if (reply.retry_after_ms > 0) {
        next_announce_ = std::max(next_announce_, now + milliseconds(reply.retry_after_ms));
    }
}

void node_link::on_joined(incarnation id)
{
    id_ = id;
    removed_ = false;
    counted_->add(event::joins);
    log_event(log_level::info, "joined",
              {{"incarnation", id.value}, {"revision", table().current_revision().value}});
}

bool node_link::in_table(incarnation id) const
{
    if (settings_.role != node_role::target) {
        return table().nodes().contains(id);
    }
    const auto it = table().targets().find(id);
    return it != table().targets().end() && !it->second.lost;
}

// Takes the node's incarnation from the table in case the announce_reply was lost, and detects the removal of
// the node from the table.
void node_link::find_own_entry()
{
    const auto has_own_nonce = [this](const auto& entry) {
        return entry.second.nonce == nonce_ && entry.second.name == settings_.name;
    };
    if (!id_.valid()) {
        const auto& targets = table().targets();
        const auto& nodes = table().nodes();
        if (settings_.role == node_role::target) {
            const auto it = std::ranges::find_if(targets, has_own_nonce);
            if (it != targets.end()) {
                on_joined(it->first);
            }
        } else if (const auto it = std::ranges::find_if(nodes, has_own_nonce); it != nodes.end()) {
            on_joined(it->first);
        }
    }
    if (!id_.valid() || removed_ || table().current_revision().value < id_.value || in_table(id_)) {
        return;
    }
    removed_ = true;
    counted_->add(event::leaves);
    log_event(log_level::warning, "left_table",
              {{"incarnation", id_.value},
               {"revision", table().current_revision().value},
               {"leaving", state_ == node_state::leaving ? "true" : "false"}});
    if (state_ != node_state::leaving) {
        // The node was removed while it was alive, for example during a long partition. It joins again as a
        // new incarnation.
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
    changed = std::exchange(table_changed_, false);
    return std::exchange(touched_services_, {});
}

// Returns `interval` with a random deviation of up to 10 %, which spreads the pulls of many nodes evenly.
microseconds node_link::jittered(microseconds interval)
{
    const auto tenth = static_cast<std::uint64_t>(std::max<std::int64_t>(interval.count() / 10, 1));
    return interval - microseconds(tenth) + microseconds(random_() % (2 * tenth));
}

}  // namespace peridotcleat

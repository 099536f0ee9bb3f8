#include "peridotcleat/replica_core.h"

#include <algorithm>
#include <utility>

namespace peridotcleat::pvt {

namespace {

// Earlier than any time a host passes in, and far enough from the limits to subtract from.
constexpr time_point never{-std::chrono::hours(24 * 365)};

}  // namespace

result<replica_core> replica_core::open(const replica_settings& settings, stored_state stored, time_point now)
{
    if (settings.timing.leader_lease >= settings.timing.min_election_timeout ||
        settings.timing.min_election_timeout >= settings.timing.max_election_timeout) {
        return error{error_code::invalid_setting, "lease must be below the lowest election timeout, and that "
                                                  "below the highest"};
    }
    auto snapshot = std::move(stored.snapshot);
    const auto entries = std::move(stored.entries);
    replica_core core(settings, std::move(stored), now);
    core.installed_ = snapshot;
    if (const auto loaded = core.log_.load(std::move(snapshot), entries); !has_value(loaded)) {
        return failure(loaded);
    }
    core.durable_ = core.log_.last_index();
    core.delivered_ = core.log_.base_index();
    // What is committed stays so. A process that comes back serves its table before a leader is elected,
    // which after a loss of all power takes longer than all else.
    core.commit_ = std::clamp(core.hard_.committed, core.log_.base_index(), core.durable_);
    return core;
}

replica_core::replica_core(replica_settings settings, stored_state stored, time_point now)
    : settings_(std::move(settings)), identity_(std::move(stored.identity)), hard_(stored.hard),
      random_(settings_.seed ^ static_cast<std::uint64_t>(identity_.folder.value)), quorum_heard_(never),
      // A folder without a term has never acknowledged anything.
      former_lease_end_(hard_.term == 0 ? now : now + settings_.timing.min_election_timeout), join_due_(now),
      opened_at_(now)
{
    restart_election_timer(now);
    if (hard_.term != 0) {
        // A leader that is alive is heard within a heartbeat. Without one, all members may have restarted.
        election_due_ =
            now + settings_.timing.heartbeat_interval + draw(settings_.timing.min_election_timeout / 2);
    }
}

void replica_core::on_message(time_point now, const endpoint& from, const message& m, outbox& out)
{
    if (stopped()) {
        return;
    }
    std::visit(
        [&](const auto& body) {
            if constexpr (requires { this->handle(now, from, body, out); }) {
                this->handle(now, from, body, out);
            }
        },
        m);
    if (is_leader()) {
        pump(now, out);
    }
}

void replica_core::on_tick(time_point now, outbox& out)
{
    if (stopped()) {
        return;
    }
    if (role_ == role::leader) {
        if (now - std::max(quorum_heard(now), led_since_) > settings_.timing.min_election_timeout) {
            become_follower(hard_.term, now);
            return;
        }
        promote_learner(now);
        pump(now, out);
        return;
    }
    if (now >= vote_resend_due_ && (role_ == role::pre_candidate || role_ == role::candidate)) {
        request_votes(now, role_ == role::pre_candidate, out);
    }
    if (log_.empty()) {
        try_bootstrap(now, out);
    } else if (now >= election_due_ && is_voter(self())) {
        start_pre_vote(now, out);
    }
    ask_to_join(now, out);
}

std::vector<staged_write> replica_core::take_writes() { return std::exchange(writes_, {}); }

void replica_core::on_synced(time_point now, outbox& out)
{
    durable_ = log_.last_index();
    std::move(held_.sends.begin(), held_.sends.end(), std::back_inserter(out.sends));
    held_.clear();
    if (role_ == role::candidate && !self_vote_durable_) {
        self_vote_durable_ = true;
        votes_.insert(self());
        count_votes(now, out);
    }
    if (role_ == role::leader) {
        advance_commit(now);
    }
    if (role_ == role::leader) {
        pump(now, out);
    }
}

error replica_core::stop(error reason)
{
    if (!stop_reason_) {
        stop_reason_ = std::move(reason);
        held_.clear();
        writes_.clear();
        leader_address_.reset();
    }
    return *stop_reason_;
}

std::optional<error> replica_core::refusal(time_point now) const
{
    if (stopped()) {
        return error{error_code::stopped, stop_reason_->message};
    }
    if (role_ != role::leader) {
        return error{error_code::not_leader,
                     leader_address_ ? to_string(*leader_address_) : "leader unknown"};
    }
    if (!lease_valid(now)) {
        return error{error_code::no_quorum, "no quorum within the lease"};
    }
    return std::nullopt;
}

result<log_position> replica_core::propose(time_point now, std::string data)
{
    if (const auto refused = refusal(now)) {
        return *refused;
    }
    if (data.size() > max_entry_data) {
        return error{error_code::message_too_large,
                     std::to_string(data.size()) + " bytes, limit " + std::to_string(max_entry_data)};
    }
    append_entry(kind_change, std::move(data));
    return log_position{log_.last_index(), hard_.term};
}

std::vector<wire::log_entry> replica_core::take_committed()
{
    std::vector<wire::log_entry> out;
    // A snapshot that has not been taken yet comes before the entries after it.
    if (stopped() || installed_) {
        return out;
    }
    const std::int64_t until = std::min(commit_, durable_);
    while (delivered_ < until) {
        out.push_back(log_.at(++delivered_));
    }
    return out;
}

std::optional<stored_snapshot> replica_core::take_installed_snapshot()
{
    // A snapshot counts here only once it is durable, as entries do.
    if (stopped() || !writes_.empty()) {
        return std::nullopt;
    }
    return std::exchange(installed_, std::nullopt);
}

result<success> replica_core::compact(std::int64_t index, std::string state)
{
    if (stopped()) {
        return error{error_code::stopped, stop_reason_->message};
    }
    if (index > delivered_ || index <= log_.base_index()) {
        return error{error_code::invalid_setting, "snapshot at " + std::to_string(index) + " outside " +
                                                      std::to_string(log_.base_index() + 1) + " to " +
                                                      std::to_string(delivered_)};
    }
    stored_snapshot s{index, *log_.term_at(index), log_.members_at(index), std::move(state)};
    writes_.emplace_back(s);
    log_.compact(std::move(s));
    counters_->add(event::snapshots_written);
    return success{};
}

result<read_ticket> replica_core::begin_read(time_point now)
{
    // The round shows whether this is still the leader, so the lease need not.
    if (const auto refused = refusal(now); refused && refused->code != error_code::no_quorum) {
        return *refused;
    }
    round_wanted_ = true;
    return read_ticket{hard_.term, round_ + 1, std::max(commit_, term_start_)};
}

result<bool> replica_core::read_ready(const read_ticket& ticket) const
{
    if (stopped()) {
        return error{error_code::stopped, stop_reason_->message};
    }
    if (role_ != role::leader || hard_.term != ticket.term) {
        return error{error_code::not_leader,
                     leader_address_ ? to_string(*leader_address_) : "leader unknown"};
    }
    return delivered_ >= ticket.index && quorum_round() >= ticket.round;
}

bool replica_core::lease_valid(time_point now) const
{
    return is_leader() && now >= lease_from_ && now - quorum_heard(now) < settings_.timing.leader_lease;
}

std::chrono::milliseconds replica_core::quorum_age(time_point now) const
{
    // What a former leader committed is known here only once an entry of the own term is committed.
    const time_point heard = is_leader() && commit_ >= term_start_ ? quorum_heard(now) : quorum_heard_;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - std::min(now, heard));
}

void replica_core::send(const endpoint& to, message m, outbox& out)
{
    (writes_.empty() ? out : held_).send(to, std::move(m));
}

void replica_core::write_hard_state() { writes_.emplace_back(hard_); }

bool replica_core::append_entry(std::int8_t kind, std::string data)
{
    wire::log_entry e;
    e.index = log_.last_index() + 1;
    e.term = hard_.term;
    e.kind = kind;
    e.data = std::move(data);
    return take_entries({e});
}

void replica_core::become_follower(std::int64_t term, time_point now)
{
    if (role_ == role::leader) {
        counters_->add(event::leader_step_downs);
    }
    if (term > hard_.term) {
        hard_.term = term;
        hard_.voted_for = {};
        write_hard_state();
        leader_address_.reset();
    }
    if (role_ != role::follower) {
        role_ = role::follower;
        leader_address_.reset();
        restart_election_timer(now);
    }
    votes_.clear();
    founding_.reset();
    progress_.clear();
    joiners_.clear();
}

void replica_core::adopt_leader(std::int64_t term, const endpoint& from, time_point now)
{
    if (term > hard_.term || role_ != role::follower) {
        become_follower(term, now);
    }
    leader_address_ = from;
    leader_heard_ = now;
    restart_election_timer(now);
}

void replica_core::restart_election_timer(time_point now)
{
    election_due_ = now + settings_.timing.min_election_timeout +
                    draw(settings_.timing.max_election_timeout - settings_.timing.min_election_timeout);
}

std::chrono::microseconds replica_core::draw(std::chrono::microseconds below)
{
    return std::chrono::microseconds(random_() % static_cast<std::uint64_t>(below.count()));
}

const wire::member* replica_core::member(std::int64_t folder) const
{
    const auto& all = members();
    const auto it =
        std::find_if(all.begin(), all.end(), [&](const auto& m) { return m.folder_id == folder; });
    return it == all.end() ? nullptr : &*it;
}

bool replica_core::is_voter(std::int64_t folder) const
{
    const wire::member* m = member(folder);
    return m != nullptr && m->voter;
}

}  // namespace peridotcleat::pvt

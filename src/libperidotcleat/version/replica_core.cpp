#include "peridotcleat/replica_core.h"

#include <algorithm>
#include <utility>

#include "peridotcleat/member_list.h"

namespace peridotcleat::pvt {

namespace {

// Earlier than any time that a host passes in, but far enough from the limits of the type for subtractions.
constexpr time_point never{-std::chrono::hours(24 * 365)};

}  // namespace

result<replica_core> replica_core::open(const replica_settings& settings, stored_state stored, time_point now)
{
    if (settings.timing.leader_lease >= settings.timing.min_election_timeout ||
        settings.timing.min_election_timeout >= settings.timing.max_election_timeout) {
        return error{error_code::invalid_setting, "leader lease must be shorter than the minimum election "
                                                  "timeout, which must be shorter than the maximum"};
    }
    auto snapshot = std::move(stored.snapshot);
    const auto entries = std::move(stored.entries);
    replica_core core(settings, std::move(stored), now);
    core.installed_snapshot_ = snapshot;
    if (const auto loaded = core.log_.load(std::move(snapshot), entries); !has_value(loaded)) {
        return failure(loaded);
    }
    core.durable_index_ = core.log_.last_index();
    core.delivered_index_ = core.log_.base_index();
    // Committed entries stay committed. A restarted process therefore serves its table before a leader is
    // elected; after a power loss of all processes the election is the slowest step of the recovery.
    core.commit_index_ = std::clamp(core.hard_state_.committed, core.log_.base_index(), core.durable_index_);
    return core;
}

replica_core::replica_core(replica_settings settings, stored_state stored, time_point now)
    : settings_(std::move(settings)), identity_(std::move(stored.identity)), hard_state_(stored.hard),
      random_(settings_.seed ^ static_cast<std::uint64_t>(identity_.folder.value)),
      own_counters_(settings_.counted == nullptr ? std::make_unique<counters>() : nullptr),
      counters_(settings_.counted == nullptr ? own_counters_.get() : settings_.counted),
      leader_quorum_at_(never),
      // A folder without a term has never acknowledged a heartbeat, so no lease can depend on it.
      former_lease_end_(hard_state_.term == 0 ? now : now + settings_.timing.min_election_timeout),
      join_due_(now), opened_at_(now)
{
    restart_election_timer(now);
    if (hard_state_.term != 0) {
        // A running leader sends a message within one heartbeat interval. If none arrives, all members may
        // have restarted, so the first election does not wait for the whole election timeout.
        election_due_ = now + settings_.timing.heartbeat_interval +
                        random_duration(settings_.timing.min_election_timeout / 2);
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
        replicate_all(now, out);
    }
}

void replica_core::on_tick(time_point now, outbox& out)
{
    if (stopped()) {
        return;
    }
    if (role_ == role::leader) {
        if (now - std::max(quorum_round_start_time(now), leader_since_) >
            settings_.timing.min_election_timeout) {
            become_follower(hard_state_.term, now);
            return;
        }
        maintain_members(now);
        replicate_all(now, out);
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
    send_join_request(now, out);
    send_leave_notice(now, out);
}

std::vector<staged_write> replica_core::take_writes() { return std::exchange(staged_writes_, {}); }

void replica_core::on_synced(time_point now, outbox& out)
{
    durable_index_ = log_.last_index();
    std::move(deferred_messages_.sends.begin(), deferred_messages_.sends.end(),
              std::back_inserter(out.sends));
    deferred_messages_.clear();
    if (role_ == role::candidate && !self_vote_durable_) {
        self_vote_durable_ = true;
        votes_.insert(self());
        count_votes(now, out);
    }
    if (role_ == role::leader) {
        advance_commit(now);
    }
    if (role_ == role::leader) {
        replicate_all(now, out);
    }
}

error replica_core::stop(error reason)
{
    if (!stop_reason_) {
        stop_reason_ = std::move(reason);
        deferred_messages_.clear();
        staged_writes_.clear();
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
        return error{error_code::no_quorum, "the leader does not hold a valid lease"};
    }
    return std::nullopt;
}

result<log_position> replica_core::propose(time_point now, const std::string& data)
{
    if (const auto refused = refusal(now)) {
        return *refused;
    }
    if (data.size() > max_change_data) {
        return error{error_code::message_too_large,
                     std::to_string(data.size()) + " bytes, limit " + std::to_string(max_change_data)};
    }
    std::size_t position = 0;
    for (; data.size() - position > max_entry_data; position += max_entry_data) {
        append_entry(kind_part, data.substr(position, max_entry_data));
    }
    append_entry(kind_change, data.substr(position));
    return log_position{log_.last_index(), hard_state_.term};
}

std::vector<wire::log_entry> replica_core::take_committed()
{
    std::vector<wire::log_entry> out;
    // The host must take an installed snapshot before the entries that follow it.
    if (stopped() || installed_snapshot_) {
        return out;
    }
    const std::int64_t until = std::min(commit_index_, durable_index_);
    while (delivered_index_ < until) {
        out.push_back(log_.at(++delivered_index_));
    }
    return out;
}

std::optional<stored_snapshot> replica_core::take_installed_snapshot()
{
    // Like entries, a snapshot is returned only once it is durable.
    if (stopped() || !staged_writes_.empty()) {
        return std::nullopt;
    }
    return std::exchange(installed_snapshot_, std::nullopt);
}

result<success> replica_core::compact(std::int64_t index, std::string state)
{
    if (stopped()) {
        return error{error_code::stopped, stop_reason_->message};
    }
    if (index > delivered_index_ || index <= log_.base_index()) {
        return error{error_code::invalid_setting, "snapshot index " + std::to_string(index) + " is outside " +
                                                      std::to_string(log_.base_index() + 1) + " to " +
                                                      std::to_string(delivered_index_)};
    }
    if (index > log_.base_index() && log_.at(index).kind == kind_part) {
        // The state after this entry does not include the first parts of a change that the next entry may
        // complete.
        return error{error_code::invalid_setting,
                     "snapshot index " + std::to_string(index) + " is inside a change"};
    }
    stored_snapshot s{index, *log_.term_at(index), log_.members_at(index), std::move(state)};
    staged_writes_.emplace_back(s);
    log_.compact(std::move(s));
    counters_->add(event::snapshots_written);
    return success{};
}

result<read_ticket> replica_core::begin_read(time_point now)
{
    // The read is confirmed by a round of heartbeats, so it does not need a valid lease.
    if (const auto refused = refusal(now); refused && refused->code != error_code::no_quorum) {
        return *refused;
    }
    round_requested_ = true;
    return read_ticket{hard_state_.term, round_ + 1, std::max(commit_index_, term_start_index_)};
}

result<bool> replica_core::read_ready(const read_ticket& ticket) const
{
    if (stopped()) {
        return error{error_code::stopped, stop_reason_->message};
    }
    if (role_ != role::leader || hard_state_.term != ticket.term) {
        return error{error_code::not_leader,
                     leader_address_ ? to_string(*leader_address_) : "leader unknown"};
    }
    return delivered_index_ >= ticket.index && quorum_round() >= ticket.round;
}

bool replica_core::lease_valid(time_point now) const
{
    return is_leader() && now >= lease_start_ &&
           now - quorum_round_start_time(now) < settings_.timing.leader_lease;
}

std::chrono::milliseconds replica_core::quorum_age(time_point now) const
{
    // A new leader knows which entries earlier leaders committed only once an entry of its own term is
    // committed.
    const time_point heard =
        is_leader() && commit_index_ >= term_start_index_ ? quorum_round_start_time(now) : leader_quorum_at_;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - std::min(now, heard));
}

void replica_core::send(const endpoint& to, message m, outbox& out)
{
    (staged_writes_.empty() ? out : deferred_messages_).send(to, std::move(m));
}

void replica_core::write_hard_state() { staged_writes_.emplace_back(hard_state_); }

bool replica_core::append_entry(std::int8_t kind, std::string data)
{
    wire::log_entry entry;
    entry.index = log_.last_index() + 1;
    entry.term = hard_state_.term;
    entry.kind = kind;
    entry.data = std::move(data);
    return append_entries({entry});
}

void replica_core::become_follower(std::int64_t term, time_point now)
{
    if (role_ == role::leader) {
        counters_->add(event::leader_step_downs);
    }
    if (term > hard_state_.term) {
        hard_state_.term = term;
        hard_state_.voted_for = {};
        write_hard_state();
        leader_address_.reset();
    }
    if (role_ != role::follower) {
        role_ = role::follower;
        leader_address_.reset();
        restart_election_timer(now);
    }
    votes_.clear();
    proposed_initial_members_.reset();
    progress_.clear();
    joiners_.clear();
    pending_change_.reset();
}

void replica_core::adopt_leader(std::int64_t term, std::int64_t folder, const endpoint& from, time_point now)
{
    if (term > hard_state_.term || role_ != role::follower) {
        become_follower(term, now);
    }
    leader_address_ = from;
    leader_folder_ = folder;
    leader_heard_at_ = now;
    restart_election_timer(now);
}

void replica_core::restart_election_timer(time_point now)
{
    election_due_ =
        now + settings_.timing.min_election_timeout +
        random_duration(settings_.timing.max_election_timeout - settings_.timing.min_election_timeout);
}

std::chrono::microseconds replica_core::random_duration(std::chrono::microseconds limit)
{
    return std::chrono::microseconds(random_() % static_cast<std::uint64_t>(limit.count()));
}

const wire::member* replica_core::find_member(std::int64_t folder) const
{
    const auto& all = members();
    const auto it =
        std::find_if(all.begin(), all.end(), [&](const auto& m) { return m.folder_id == folder; });
    return it == all.end() ? nullptr : &*it;
}

bool replica_core::is_voter(std::int64_t folder) const
{
    const wire::member* m = find_member(folder);
    return m != nullptr && has_vote(*m);
}

}  // namespace peridotcleat::pvt

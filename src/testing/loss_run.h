#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "testing/replica_group.h"

namespace peridotcleat::testing {

/// Size of a group, and the losses that it tolerates.
struct loss_tolerance {
    std::size_t members = 9;
    std::size_t voters = 5;
    /// Number of members that may be lost at the same time.
    std::size_t losses = 2;
    /// A member counts as lost until this time after it, or the member that replaces it, has started.
    std::chrono::milliseconds catch_up_time{6000};
};

/// Kinds of losses.
enum class loss : std::uint8_t {
    disk,
    power,
    kill,
    freeze,
    cut,
    full_disk,
    slow_sync,
    /// The member is removed permanently, and an empty one comes at another address later.
    replacement,
    /// As `replacement`, but the empty member has run for `catch_up_time` before, and the other one is
    /// stopped as planned. No member counts as lost.
    planned_replacement,
    /// All members are cut into two halves for some seconds.
    split,
};

/// One randomised run: members are lost, never more at the same time than the group tolerates. Throws
/// `invariant_violation` if a change that is proposed after a fault is not committed within
/// `acceptance_limit`, or if a member that is lost permanently still has a vote when it no longer counts as
/// lost.
class loss_run {
public:
    loss_run(std::uint64_t seed, std::vector<loss> kinds, const loss_tolerance& tolerance,
             const replica_timing& timing)
        : group_(seed, {tolerance.members, initial_members, tolerance.voters}, timing),
          kinds_(std::move(kinds)), tolerance_(tolerance)
    {
        for (auto& h : group_.hosts) {
            slots_.push_back({&h, {}, {}});
        }
        link_quality q;
        q.delay = one_ms * (1 + random_below(6));
        q.jitter = one_ms * (1 + random_below(one_in(4) ? 100 : 5));
        q.loss = one_in(2) ? 0.0005 : 0.02;
        group_.net.set_default_quality(q);
    }

    void run()
    {
        run_for(std::chrono::seconds(3));
        const auto faults = 6 + random_below(20);
        for (std::uint64_t i = 0; i < faults; ++i) {
            inject();
            if (one_in(6)) {
                expect_acceptance();
            } else {
                run_for(one_ms * random_below(one_in(2) ? 500 : 4000));
            }
        }
        while (std::ranges::any_of(slots_, [&](const auto& s) { return s.back_at > group_.net.now(); })) {
            run_for(one_ms * 50);
        }
        expect_acceptance();
        while (lost_members() > 0) {
            run_for(one_ms * 50);
        }
        if (std::ranges::count(kinds_, loss::planned_replacement) > 0) {
            run_for(tolerance_.catch_up_time);
        }
        expect_no_removed_voter();
    }

    replica_group& group() { return group_; }
    /// Time, kind, member and duration of the faults so far.
    [[nodiscard]] const std::string& fault_log() const { return fault_log_; }

private:
    // One member, or the members that have replaced it one after the other.
    struct slot {
        replica_group::host* member;
        // The member's fault ends, and its process or that of its successor runs again, at this time.
        time_point back_at;
        std::optional<time_point> start_at;
    };

    struct member_since {
        replica_group::host* member;
        time_point since;
    };

    static constexpr std::chrono::milliseconds one_ms{1};
    static constexpr std::size_t initial_members = 3;
    // A change must be accepted within this time if no fault occurs meanwhile.
    static constexpr std::chrono::milliseconds acceptance_limit{8000};
    // A process that has ended is started again after this time.
    static constexpr std::chrono::milliseconds restart_delay{600};
    // A process that is stopped as planned is killed after this time.
    static constexpr std::chrono::milliseconds grace_period{6000};
    static constexpr std::size_t max_spares = 5;

    std::uint64_t random_below(std::uint64_t n) { return group_.net.random()() % n; }
    bool one_in(std::uint64_t n) { return random_below(n) == 0; }

    [[nodiscard]] bool is_lost(const slot& s) const
    {
        return s.back_at != time_point{} && group_.net.now() < s.back_at + tolerance_.catch_up_time;
    }

    [[nodiscard]] std::size_t lost_members() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(slots_, [&](const slot& s) { return is_lost(s); }));
    }

    slot& pick_slot()
    {
        const auto leads = [](const slot& s) { return s.member->process && s.member->process->is_leader(); };
        const auto leader = std::ranges::find_if(slots_, leads);
        if (leader != slots_.end() && one_in(3)) {
            return *leader;
        }
        return slots_[random_below(slots_.size())];
    }

    void inject()
    {
        slot& s = pick_slot();
        const loss kind = kinds_[random_below(kinds_.size())];
        const bool counts_as_loss = kind != loss::split && kind != loss::planned_replacement;
        const auto others_lost = lost_members() - (is_lost(s) ? 1 : 0);
        if (s.back_at > group_.net.now() || !s.member->process ||
            (counts_as_loss && others_lost >= tolerance_.losses)) {
            return;
        }
        const std::chrono::milliseconds duration(500 + random_below(5000));
        if (kind == loss::planned_replacement && !spare_ready()) {
            start_spare();
            return;
        }
        const time_point now = group_.net.now();
        fault_log_ +=
            " " +
            std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()) +
            "ms:" + std::to_string(static_cast<int>(kind)) + "@" + s.member->name + "+" +
            std::to_string(duration.count());
        apply(kind, s, duration);
    }

    void apply(loss kind, slot& s, std::chrono::milliseconds duration)
    {
        if (kind == loss::split) {
            split(duration);
            return;
        }
        if (kind == loss::planned_replacement) {
            stop_as_planned(s);
            return;
        }
        auto& h = *s.member;
        const time_point now = group_.net.now();
        s.back_at = now + duration;
        switch (kind) {
        case loss::disk:
            group_.kill(h, false);
            group_.wipe_disk(h);
            s.start_at = s.back_at;
            break;
        case loss::power:
            group_.kill(h, false);
            s.start_at = s.back_at;
            break;
        case loss::kill:
            group_.kill(h, true);
            s.back_at = now + restart_delay;
            s.start_at = s.back_at;
            break;
        case loss::freeze: group_.net.freeze(h.address, s.back_at); break;
        case loss::cut:
            cut_off_.insert(h.address);
            update_links();
            group_.net.schedule(s.back_at, [this, address = h.address] {
                cut_off_.erase(address);
                update_links();
            });
            break;
        case loss::full_disk:
            h.disk->set_full(true);
            group_.net.schedule(s.back_at, [&h] { h.disk->set_full(false); });
            break;
        case loss::slow_sync: h.disk->delay_next_sync(duration); break;
        case loss::replacement:
            group_.remove_permanently(h);
            s.member = &group_.add_successor(seeds());
            // Up to half of the restart times, because the successor may be ready when the member is removed.
            s.back_at = now + duration / 2;
            s.start_at = s.back_at;
            break;
        case loss::planned_replacement:
        case loss::split: break;
        }
        if (split_until_ > now) {
            s.back_at = std::max(s.back_at, split_until_);
        }
    }

    // A split is no loss itself, but nothing that is lost meanwhile counts as back before it ends.
    void split(std::chrono::milliseconds duration)
    {
        if (split_until_ > group_.net.now()) {
            return;
        }
        split_until_ = group_.net.now() + duration;
        far_half_.clear();
        for (slot& s : slots_) {
            if (one_in(2)) {
                far_half_.insert(s.member->address);
            }
            if (is_lost(s)) {
                s.back_at = std::max(s.back_at, split_until_);
            }
        }
        update_links();
        group_.net.schedule(split_until_, [this] {
            far_half_.clear();
            update_links();
        });
    }

    void stop_as_planned(slot& s)
    {
        s.member->process->begin_leave(group_.net.now());
        stopping_.push_back({s.member, group_.net.now()});
        s.member = spares_.front().member;
        s.back_at = time_point{};
        spares_.erase(spares_.begin());
    }

    void update_links()
    {
        group_.net.heal_all();
        for (const auto& a : group_.hosts) {
            for (const auto& b : group_.hosts) {
                const bool blocked = cut_off_.contains(a.address) || cut_off_.contains(b.address) ||
                                     far_half_.contains(a.address) != far_half_.contains(b.address);
                if (blocked && &a != &b) {
                    group_.net.cut(a.address, b.address, true);
                }
            }
        }
    }

    // Returns the addresses of three members that are not removed, as a new member finds them in its
    // settings.
    std::vector<endpoint> seeds()
    {
        std::vector<endpoint> all;
        for (const slot& s : slots_) {
            if (!s.member->removed) {
                all.push_back(s.member->address);
            }
        }
        std::ranges::shuffle(all, group_.net.random());
        all.resize(std::min<std::size_t>(all.size(), 3));
        return all;
    }

    [[nodiscard]] bool spare_ready() const
    {
        return !spares_.empty() && spares_.front().since + tolerance_.catch_up_time <= group_.net.now();
    }

    void start_spare()
    {
        if (spares_.size() < max_spares) {
            auto& h = group_.add_successor(seeds());
            group_.start(h);
            spares_.push_back({&h, group_.net.now()});
            update_links();
        }
    }

    void end_stopping_processes()
    {
        std::erase_if(stopping_, [&](const member_since& m) {
            const bool ends =
                m.member->process->may_stop(group_.net.now()) || group_.net.now() >= m.since + grace_period;
            if (ends) {
                group_.remove_permanently(*m.member);
            }
            return ends;
        });
    }

    // Starts the processes whose time has come, and those that have ended by themselves.
    void start_processes()
    {
        for (slot& s : slots_) {
            auto& h = *s.member;
            if (h.process && h.process->stopped()) {
                group_.kill(h, true);
                s.start_at = group_.net.now() + restart_delay;
            }
            if (s.start_at && group_.net.now() >= *s.start_at) {
                s.start_at.reset();
                group_.start(h);
                update_links();
            }
        }
    }

    // Runs the group. At every step the leader, if there is one that accepts changes, gets a change.
    void run_for(std::chrono::milliseconds duration)
    {
        const time_point until = group_.net.now() + duration;
        while (group_.net.now() < until) {
            group_.net.run_for(one_ms * 50);
            end_stopping_processes();
            start_processes();
            if (auto* l = group_.leader(); l != nullptr && one_in(4)) {
                group_.propose(*l, std::string(one_in(20) ? 2 * max_entry_data + 1000 : 40, '.'));
            }
        }
    }

    void expect_acceptance()
    {
        // A split may leave neither half with a majority.
        while (group_.net.now() < split_until_) {
            run_for(one_ms * 50);
        }
        std::optional<log_position> position;
        const time_point until = group_.net.now() + acceptance_limit;
        while (group_.net.now() < until) {
            run_for(one_ms * 50);
            auto* l = group_.leader();
            if (l != nullptr && (!position || position->term != l->process->term())) {
                position = group_.propose(*l, "expected");
            }
            const auto& committed = group_.checker.committed();
            const auto it = position ? committed.find(position->index) : committed.end();
            if (it != committed.end() && it->second.term == position->term) {
                return;
            }
        }
        replica_checker::require(false, "a change was not accepted in time", group_.checker.last_committed());
    }

    void expect_no_removed_voter()
    {
        const auto* l = group_.leader();
        replica_checker::require(l != nullptr, "no leader", 0);
        for (const wire::member& m : l->process->members()) {
            const auto* member = group_.find_host(m.folder_id);
            replica_checker::require(!m.voter || (member != nullptr && !member->removed),
                                     "a member that is lost permanently has a vote", m.folder_id);
        }
    }

    replica_group group_;
    std::vector<loss> kinds_;
    loss_tolerance tolerance_;
    std::vector<slot> slots_;
    // Members that run already and replace others later, and the times of their starts.
    std::vector<member_since> spares_;
    // Members that are being stopped.
    std::vector<member_since> stopping_;
    std::set<endpoint> cut_off_;
    std::set<endpoint> far_half_;
    time_point split_until_;
    std::string fault_log_;
};

}  // namespace peridotcleat::testing

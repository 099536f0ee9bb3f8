#include "peridotcleat/replica.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <string>
#include <vector>

#include "testing/replica_group.h"

namespace peridotcleat {
namespace {

using namespace std::chrono_literals;
using testing::link_quality;
using testing::replica_group;

std::uint64_t number_from_environment(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);  // NOLINT(concurrency-mt-unsafe): one thread
    return text == nullptr ? otherwise : std::stoull(text);
}

// A seed takes about 6 ms in an optimised build and 320 ms of CPU time in a debug build with sanitizers.
#ifdef __OPTIMIZE__
constexpr std::uint64_t default_seeds = 700;
#else
constexpr std::uint64_t default_seeds = 30;
#endif

enum class fault : std::uint8_t {
    kill,
    lose_disk,
    flip_byte,
    fail_sync,
    fail_write,
    slow_sync,
    freeze,
    cut_one_way,
    partition,
    partition_leader,
    lose_disks_in_turn,
    remove_member,
    cut_from_leader,
    count
};

// One run: faults of the kinds that the seed picks, then a time without faults in which the group must
// recover.
class random_run {
public:
    /// With `standby`, a group of five or seven keeps three voters by itself once members were lost.
    explicit random_run(std::uint64_t seed, bool standby = false)
        : group_(seed, standby ? 5 + (seed % 2 * 2) : pick_size(seed), standby ? 3 : 0), kinds_(pick_kinds())
    {
        link_quality q;
        q.delay = std::chrono::milliseconds(1 + below(8));
        q.jitter = std::chrono::milliseconds(chance(4) ? 300 : below(10));
        q.loss = chance(2) ? 0.02 * static_cast<double>(below(8)) : 0;
        q.duplication = chance(2) ? 0.1 : 0;
        const bool late = chance(4);
        group_.net.set_quality([this, q, late](const endpoint&, const endpoint&) {
            link_quality other = q;
            if (late && chance(30)) {
                other.delay = 1ms * below(6000);
            }
            return other;
        });
    }

    void run()
    {
        // Most runs start from a formed group, some have their faults while it forms.
        run_quietly(std::chrono::milliseconds(chance(4) ? below(4000) : 5000));
        const auto faults = 4 + below(8);
        for (std::uint64_t i = 0; i < faults; ++i) {
            inject(pick_kind());
            // Some faults overlap, others come one at a time.
            run_quietly(std::chrono::milliseconds(chance(3) ? below(100) : 100 + below(3000)));
            if (chance(3)) {
                repair();
            }
        }
        repair();
        group_.net.set_quality({});
        expect_recovery();
    }

    replica_group& group() { return group_; }
    /// Time, kind and place of the faults so far.
    [[nodiscard]] const std::string& history() const { return history_; }

private:
    static std::size_t pick_size(std::uint64_t seed)
    {
        constexpr std::array<std::size_t, 8> sizes{3, 3, 3, 3, 3, 5, 5, 7};
        return sizes[seed % sizes.size()];
    }

    std::uint64_t below(std::uint64_t n) { return group_.net.random()() % n; }
    bool chance(std::uint64_t one_in) { return below(one_in) == 0; }
    replica_group::host& any() { return group_.hosts[below(group_.hosts.size())]; }
    replica_group::host& leader_or_any()
    {
        replica_group::host* l = group_.leader();
        return l == nullptr ? any() : *l;
    }

    std::vector<fault> pick_kinds()
    {
        std::vector<fault> kinds;
        for (int i = 0; i < static_cast<int>(fault::count); ++i) {
            if (chance(2)) {
                kinds.push_back(static_cast<fault>(i));
            }
        }
        if (kinds.empty() || chance(4)) {
            kinds.assign(1, static_cast<fault>(below(static_cast<int>(fault::count))));
        }
        return kinds;
    }
    fault pick_kind() { return kinds_[below(kinds_.size())]; }

    void inject(fault kind)
    {
        auto& h = chance(3) ? leader_or_any() : any();
        const auto at =
            std::chrono::duration_cast<std::chrono::milliseconds>(group_.net.now().time_since_epoch());
        history_ +=
            " " + std::to_string(at.count()) + "ms:" + std::to_string(static_cast<int>(kind)) + "@" + h.name;
        switch (kind) {
        case fault::kill:
            group_.kill(h, chance(2));
            if (chance(2)) {
                group_.start(h);
            }
            break;
        case fault::lose_disk:
        case fault::flip_byte:
            if (group_.may_lose(h)) {
                group_.kill(h, true);
                kind == fault::lose_disk ? group_.empty_disk(h) : h.disk->flip_byte();
                if (chance(2)) {
                    group_.start(h);
                }
            }
            break;
        case fault::fail_sync: h.disk->fail_next_sync(); break;
        case fault::fail_write: h.disk->fail_next_write(); break;
        case fault::slow_sync: h.disk->delay_next_sync(std::chrono::milliseconds(10 + below(3000))); break;
        case fault::freeze: group_.net.freeze(h.at, group_.net.now() + 1600ms + 1ms * below(4000)); break;
        case fault::cut_one_way: group_.net.cut(h.at, any().at, true); break;
        case fault::lose_disks_in_turn: lose_disks_in_turn(); break;
        case fault::remove_member: remove_member(h); break;
        case fault::cut_from_leader: cut_from_leader(); break;
        case fault::partition: isolate(h); break;
        case fault::partition_leader: isolate(leader_or_any()); break;
        case fault::count: break;
        }
    }

    // Cuts `h`, alone or with another, off from the rest.
    void isolate(const replica_group::host& h)
    {
        std::vector<endpoint> left{h.at, any().at};
        std::vector<endpoint> right;
        for (const auto& other : group_.hosts) {
            if (std::find(left.begin(), left.end(), other.at) == left.end()) {
                right.push_back(other.at);
            }
        }
        group_.net.cut_groups(left, right, true);
    }

    // Loses a second disk as soon as the first one is repaired, often that of the leader.
    void lose_disks_in_turn()
    {
        for (int i = 0; i < 3; ++i) {
            auto& h = chance(2) ? leader_or_any() : any();
            if (group_.may_lose(h)) {
                group_.kill(h, true);
                group_.empty_disk(h);
                group_.start(h);
                for (int wait = 0; wait < 80 && !all_are_voters(); ++wait) {
                    run_quietly(100ms);
                }
            }
        }
    }

    // One member loses sight of the leader only, and asks others that hear the leader, or have just restarted
    // after they heard it, for their votes.
    void cut_from_leader()
    {
        const auto& l = leader_or_any();
        const auto& blind = any();
        group_.net.cut_groups({l.at}, {blind.at}, true);
        // Without new entries, or its log would be too old for a vote.
        group_.net.run_for(std::chrono::milliseconds(2000 + below(2000)));
        for (auto& h : group_.hosts) {
            if (&h != &l && &h != &blind && chance(2)) {
                group_.kill(h, chance(2));
                group_.start(h);
            }
        }
    }

    bool all_are_voters()
    {
        replica_group::host* l = group_.leader();
        return l != nullptr && group_.all_are_voters(*l);
    }

    // A removed member comes back with an empty disk only, because its old folder stays away.
    void remove_member(replica_group::host& h)
    {
        replica_group::host* l = group_.leader();
        if (l != nullptr && l != &h && group_.may_lose(h) &&
            has_value(l->process->remove_member(group_.net.now(), h.name))) {
            group_.kill(h, true);
            group_.empty_disk(h);
        }
    }

    void repair()
    {
        group_.net.heal_all();
        for (auto& h : group_.hosts) {
            if (h.process && h.process->stopped()) {
                group_.kill(h, chance(2));
            }
            group_.start(h);
        }
    }

    // Runs with proposals at every replica, of which only a leader with a lease accepts any.
    void run_quietly(std::chrono::milliseconds duration)
    {
        const auto until = group_.net.now() + duration;
        while (group_.net.now() < until) {
            group_.net.run_for(50ms);
            for (auto& h : group_.hosts) {
                if (h.process && chance(3)) {
                    const auto size = chance(20) ? below(4000) : below(100);
                    group_.propose(h, std::to_string(next_data_++) + std::string(size, '.'));
                }
            }
        }
    }

    void expect_recovery()
    {
        const auto until = group_.net.now() + 40s;
        std::optional<log_position> place;
        while (group_.net.now() < until) {
            group_.net.run_for(200ms);
            replica_group::host* l = group_.leader();
            if (l != nullptr && (!place || place->term != l->process->term())) {
                place = group_.propose(*l, "last");
            }
            if (place && everyone_has(*place)) {
                return;
            }
            // A sync that was set to fail earlier may do so only now.
            repair();
        }
        testing::replica_checker::require(false, "no recovery", place ? place->index : 0);
    }

    bool everyone_has(const log_position& place)
    {
        const auto it = group_.checker.committed().find(place.index);
        return it != group_.checker.committed().end() && it->second.term == place.term &&
               std::all_of(group_.hosts.begin(), group_.hosts.end(), [&](const auto& h) {
                   return h.applied >= place.index && group_.all_are_voters(h);
               });
    }

    replica_group group_;
    std::vector<fault> kinds_;
    std::string history_;
    std::uint64_t next_data_ = 0;
};

void run_seeds(bool standby)
{
    const auto first = number_from_environment("PERIDOTCLEAT_FIRST_SEED", 1);
    const auto seeds = number_from_environment("PERIDOTCLEAT_SEEDS", default_seeds);
    std::uint64_t committed = 0;
    std::uint64_t reads = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        random_run run(seed, standby);
        try {
            run.run();
        } catch (const std::exception& e) {
            ADD_FAILURE() << "seed " << seed << ": " << e.what() << "\nfaults:" << run.history();
            continue;
        }
        committed += static_cast<std::uint64_t>(run.group().checker.last_committed());
        reads += run.group().reads_confirmed;
    }
    std::printf("seeds=%llu committed=%llu reads=%llu\n", static_cast<unsigned long long>(seeds),
                static_cast<unsigned long long>(committed), static_cast<unsigned long long>(reads));
    EXPECT_GT(committed, seeds);
    EXPECT_GT(reads, seeds);
}

// Guards against lost or differing committed entries, two leaders that accept at once, votes and
// acknowledgements of emptied disks, and groups that do not recover, under any mix of faults.
TEST(replica, invariants_hold_under_random_faults) { run_seeds(false); }

// Guards against the same where members stand by and take the places of silent voters without an operator.
TEST(replica, invariants_hold_with_standby_members) { run_seeds(true); }

// Runs a group without faults until it has a leader with a lease.
replica_group::host& wait_for_leader(replica_group& group)
{
    for (int i = 0; i < 200 && group.leader() == nullptr; ++i) {
        group.net.run_for(50ms);
    }
    testing::replica_checker::require(group.leader() != nullptr, "no leader", 0);
    return *group.leader();
}

// Guards against idle traffic that exceeds the budget of a control VM.
TEST(replica, an_idle_leader_of_seven_sends_less_than_3_kilobytes_a_second)
{
    replica_group group(1, 7);
    group.reads_enabled = false;
    const endpoint at = wait_for_leader(group).at;
    group.net.run_for(5s);
    const auto before = group.net.traffic_of(at);
    group.net.run_for(60s);
    const auto& after = group.net.traffic_of(at);
    const auto bytes = after.bytes_out + after.bytes_in - before.bytes_out - before.bytes_in;
    EXPECT_EQ(group.leader()->at, at);
    EXPECT_LT(bytes / 60, 3000U);
    RecordProperty("bytes_per_second", static_cast<int>(bytes / 60));
}

// Guards against a member that disturbs the group after a long partition, and against a leader on the
// minority side that still accepts or claims a fresh state.
TEST(replica, long_partitions_leave_the_majority_alone)
{
    replica_group group(2, 5);
    const endpoint led = wait_for_leader(group).at;
    auto& follower =
        *std::find_if(group.hosts.begin(), group.hosts.end(), [&](auto& h) { return h.at != led; });
    const auto isolate = [&](const endpoint& at) {
        for (const auto& h : group.hosts) {
            group.net.cut_groups({at}, {h.at}, true);
        }
    };
    const auto term = group.leader()->process->term();
    isolate(follower.at);
    group.net.run_for(300s);
    EXPECT_GE(follower.process->quorum_age(group.net.now()), 299s);
    group.net.heal_all();
    group.net.run_for(10s);
    EXPECT_EQ(group.leader()->at, led);
    EXPECT_EQ(group.leader()->process->term(), term);
    EXPECT_LE(follower.process->quorum_age(group.net.now()), 1s);

    replica_group::host& old = *group.leader();
    isolate(led);
    group.net.run_for(1700ms);
    const auto refused = old.process->propose(group.net.now(), "x");
    ASSERT_FALSE(has_value(refused));
    EXPECT_EQ(failure(refused).code, error_code::no_quorum);
    group.net.run_for(6s);
    EXPECT_FALSE(old.process->is_leader());
    EXPECT_NE(wait_for_leader(group).at, led);
}

// Guards against one sync for each entry, entries above the datagram size that get stuck, and lost ones among
// many proposals between two flushes under loss.
TEST(replica, many_proposals_share_a_sync)
{
    replica_group group(3, 3);
    group.snapshot_every = 1000000;
    replica_group::host& l = wait_for_leader(group);
    group.net.set_default_quality({5ms, 5ms, 0.02, 0});
    group.net.run_for(1s);
    const auto syncs = l.process->counts().get(event::syncs);
    for (std::size_t i = 0; i < 1000; ++i) {
        ASSERT_TRUE(group.propose(l, std::string(i % 100 == 0 ? max_entry_data : 100, 'x')));
    }
    outbox out;
    ASSERT_TRUE(has_value(l.process->flush(group.net.now(), out)));
    group.net.dispatch(l.at, out);
    EXPECT_EQ(l.process->counts().get(event::syncs), syncs + 1);
    EXPECT_FALSE(has_value(l.process->propose(group.net.now(), std::string(max_entry_data + 1, 'x'))));
    group.net.run_for(20s);
    for (const auto& h : group.hosts) {
        EXPECT_GE(h.applied, 1000);
    }
}

// Guards against a group that comes back from a loss of all power and shows nothing of what it holds until a
// leader is elected.
TEST(replica, what_was_committed_is_known_after_a_restart_without_a_leader)
{
    replica_group group(5, 3);
    replica_group::host& l = wait_for_leader(group);
    for (int i = 0; i < 5; ++i) {
        ASSERT_TRUE(group.propose(l, "x"));
        group.net.run_for(1s);
    }
    const auto committed = l.process->commit_index();
    for (auto& h : group.hosts) {
        group.kill(h, false);
    }
    replica_group::host& first = group.hosts.front();
    group.start(first);
    group.net.run_for(100ms);
    EXPECT_FALSE(first.process->leader());
    EXPECT_GE(first.applied, committed - 1);
}

// Guards against a group that waits for the lease of a leader that is gone before it elects another, and
// against a new leader that accepts proposals while that lease may hold.
TEST(replica, a_restarted_group_elects_at_once_and_accepts_after_the_former_lease)
{
    replica_group group(6, 3);
    ASSERT_TRUE(group.propose(wait_for_leader(group), "x"));
    group.net.run_for(2s);
    for (auto& h : group.hosts) {
        group.kill(h, false);
    }
    const time_point restarted = group.net.now();
    for (auto& h : group.hosts) {
        group.start(h);
    }
    const replica_timing timing;
    const auto leads = [](const auto& h) { return h.process->is_leader(); };
    while (std::ranges::none_of(group.hosts, leads) &&
           group.net.now() < restarted + timing.min_election_timeout) {
        group.net.run_for(10ms);
    }
    const auto l = std::ranges::find_if(group.hosts, leads);
    ASSERT_NE(l, group.hosts.end());
    EXPECT_LT(group.net.now(), restarted + timing.min_election_timeout);
    group.net.run_for(100ms);
    EXPECT_LT(l->process->quorum_age(group.net.now()), 1s);
    EXPECT_FALSE(has_value(l->process->propose(group.net.now(), "y")));
    group.net.run_for(timing.min_election_timeout);
    EXPECT_TRUE(has_value(wait_for_leader(group).process->propose(group.net.now(), "y")));
}

// Guards against a member that calls its table fresh although it lacks entries that are committed, so that a
// balancer denies a flow whose target joined with one of them.
TEST(replica, a_member_that_lacks_entries_is_not_fresh)
{
    replica_group group(7, 3);
    replica_group::host& l = wait_for_leader(group);
    group.net.run_for(2s);
    auto& behind = *std::ranges::find_if(group.hosts, [&](const auto& h) { return &h != &l; });
    wire::append_request late;
    late.term = l.process->term();
    late.leader = l.disk->folder();
    late.previous_index = l.process->commit_index();
    late.previous_term = l.process->term();
    late.commit = l.process->commit_index() + 5;
    late.round = 0;
    late.quorum_age_ms = 0;
    group.kill(behind, false);
    group.start(behind);
    outbox out;
    behind.process->on_message(group.net.now(), l.at, late, out);
    EXPECT_GT(behind.process->quorum_age(group.net.now()), 1h);
}

// Guards against a removed member that comes back by itself or takes part in elections.
TEST(replica, a_removed_member_stays_away)
{
    replica_group group(4, 5);
    replica_group::host& l = wait_for_leader(group);
    group.net.run_for(2s);
    auto& gone = *std::find_if(group.hosts.begin(), group.hosts.end(), [&](auto& h) { return &h != &l; });
    ASSERT_TRUE(has_value(l.process->remove_member(group.net.now(), gone.name)));
    const auto second = l.process->remove_member(group.net.now(), l.name);
    ASSERT_FALSE(has_value(second));
    EXPECT_EQ(failure(second).code, error_code::member_change_pending);
    const auto term = l.process->term();
    group.net.run_for(60s);
    EXPECT_EQ(wait_for_leader(group).process->term(), term);
    EXPECT_EQ(l.process->members().size(), 4U);
    EXPECT_FALSE(has_value(gone.process->propose(group.net.now(), "x")));
}

}  // namespace
}  // namespace peridotcleat

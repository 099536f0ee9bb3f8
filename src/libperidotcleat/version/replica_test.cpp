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

std::uint64_t environment_number(const char* name, std::uint64_t default_value)
{
    const char* text = std::getenv(name);  // NOLINT(concurrency-mt-unsafe): one thread
    return text == nullptr ? default_value : std::stoull(text);
}

// One seed takes about 6 ms in an optimised build and 320 ms of CPU time in a debug build with sanitizers.
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

// One randomised run: injects faults of the kinds that the seed selects, then runs without faults and fails
// if the group has not recovered within 40 s.
class random_run {
public:
    /// With `standby`, a group of five or seven members maintains three voters without an operator after
    /// members are lost.
    explicit random_run(std::uint64_t seed, bool standby = false)
        : group_(seed, standby ? 5 + (seed % 2 * 2) : pick_size(seed), standby ? 3 : 0), kinds_(pick_kinds())
    {
        link_quality q;
        q.delay = std::chrono::milliseconds(1 + random_below(8));
        q.jitter = std::chrono::milliseconds(one_in(4) ? 300 : random_below(10));
        q.loss = one_in(2) ? 0.02 * static_cast<double>(random_below(8)) : 0;
        q.duplication = one_in(2) ? 0.1 : 0;
        const bool has_late_datagrams = one_in(4);
        group_.net.set_quality([this, q, has_late_datagrams](const endpoint&, const endpoint&) {
            link_quality datagram_quality = q;
            if (has_late_datagrams && one_in(30)) {
                datagram_quality.delay = 1ms * random_below(6000);
            }
            return datagram_quality;
        });
    }

    void run()
    {
        // In most runs the group forms before the first fault; in some, faults occur while it forms.
        run_with_proposals(std::chrono::milliseconds(one_in(4) ? random_below(4000) : 5000));
        const auto faults = 4 + random_below(8);
        for (std::uint64_t i = 0; i < faults; ++i) {
            inject(pick_kind());
            // Some faults overlap, others occur one at a time.
            run_with_proposals(
                std::chrono::milliseconds(one_in(3) ? random_below(100) : 100 + random_below(3000)));
            if (one_in(3)) {
                repair();
            }
        }
        repair();
        group_.net.set_quality({});
        expect_recovery();
    }

    replica_group& group() { return group_; }
    /// Time, kind and host of the faults so far.
    [[nodiscard]] const std::string& fault_log() const { return fault_log_; }

private:
    static std::size_t pick_size(std::uint64_t seed)
    {
        constexpr std::array<std::size_t, 8> sizes{3, 3, 3, 3, 3, 5, 5, 7};
        return sizes[seed % sizes.size()];
    }

    std::uint64_t random_below(std::uint64_t n) { return group_.net.random()() % n; }
    bool one_in(std::uint64_t n) { return random_below(n) == 0; }
    replica_group::host& random_host() { return group_.hosts[random_below(group_.hosts.size())]; }
    replica_group::host& leader_or_random_host()
    {
        replica_group::host* l = group_.leader();
        return l == nullptr ? random_host() : *l;
    }

    std::vector<fault> pick_kinds()
    {
        std::vector<fault> kinds;
        for (int i = 0; i < static_cast<int>(fault::count); ++i) {
            if (one_in(2)) {
                kinds.push_back(static_cast<fault>(i));
            }
        }
        if (kinds.empty() || one_in(4)) {
            kinds.assign(1, static_cast<fault>(random_below(static_cast<int>(fault::count))));
        }
        return kinds;
    }
    fault pick_kind() { return kinds_[random_below(kinds_.size())]; }

    void inject(fault kind)
    {
        auto& h = one_in(3) ? leader_or_random_host() : random_host();
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(group_.net.now().time_since_epoch());
        fault_log_ += " " + std::to_string(elapsed.count()) + "ms:" + std::to_string(static_cast<int>(kind)) +
                      "@" + h.name;
        switch (kind) {
        case fault::kill:
            group_.kill(h, one_in(2));
            if (one_in(2)) {
                group_.start(h);
            }
            break;
        case fault::lose_disk:
        case fault::flip_byte:
            if (group_.may_wipe_disk(h)) {
                group_.kill(h, true);
                kind == fault::lose_disk ? group_.wipe_disk(h) : h.disk->flip_byte();
                if (one_in(2)) {
                    group_.start(h);
                }
            }
            break;
        case fault::fail_sync: h.disk->fail_next_sync(); break;
        case fault::fail_write: h.disk->fail_next_write(); break;
        case fault::slow_sync:
            h.disk->delay_next_sync(std::chrono::milliseconds(10 + random_below(3000)));
            break;
        case fault::freeze:
            group_.net.freeze(h.address, group_.net.now() + 1600ms + 1ms * random_below(4000));
            break;
        case fault::cut_one_way: group_.net.cut(h.address, random_host().address, true); break;
        case fault::lose_disks_in_turn: lose_disks_in_turn(); break;
        case fault::remove_member: remove_member(h); break;
        case fault::cut_from_leader: cut_from_leader(); break;
        case fault::partition: isolate(h); break;
        case fault::partition_leader: isolate(leader_or_random_host()); break;
        case fault::count: break;
        }
    }

    // Cuts `h`, alone or with one other host, off from the remaining hosts.
    void isolate(const replica_group::host& h)
    {
        std::vector<endpoint> isolated{h.address, random_host().address};
        std::vector<endpoint> remaining;
        for (const auto& other : group_.hosts) {
            if (std::find(isolated.begin(), isolated.end(), other.address) == isolated.end()) {
                remaining.push_back(other.address);
            }
        }
        group_.net.cut_groups(isolated, remaining, true);
    }

    // Wipes up to three disks in turn, often that of the leader, each as soon as the group has recovered from
    // the previous loss or 8 s have passed.
    void lose_disks_in_turn()
    {
        for (int i = 0; i < 3; ++i) {
            auto& h = one_in(2) ? leader_or_random_host() : random_host();
            if (group_.may_wipe_disk(h)) {
                group_.kill(h, true);
                group_.wipe_disk(h);
                group_.start(h);
                for (int wait = 0; wait < 80 && !membership_restored(); ++wait) {
                    run_with_proposals(100ms);
                }
            }
        }
    }

    // Cuts off one member from the leader only. The member requests votes from others that still hear from
    // the leader, or that have restarted just after they heard from it.
    void cut_from_leader()
    {
        const auto& l = leader_or_random_host();
        const auto& cut_off_host = random_host();
        group_.net.cut_groups({l.address}, {cut_off_host.address}, true);
        // Runs without proposals, because new entries would make the member's log too old to win a vote.
        group_.net.run_for(std::chrono::milliseconds(2000 + random_below(2000)));
        for (auto& h : group_.hosts) {
            if (&h != &l && &h != &cut_off_host && one_in(2)) {
                group_.kill(h, one_in(2));
                group_.start(h);
            }
        }
    }

    bool membership_restored()
    {
        replica_group::host* l = group_.leader();
        return l != nullptr && group_.membership_restored(*l);
    }

    // Wipes the disk of the removed member, because a removed folder is not allowed to rejoin.
    void remove_member(replica_group::host& h)
    {
        replica_group::host* l = group_.leader();
        if (l != nullptr && l != &h && group_.may_wipe_disk(h) &&
            has_value(l->process->remove_member(group_.net.now(), h.name))) {
            group_.kill(h, true);
            group_.wipe_disk(h);
        }
    }

    void repair()
    {
        group_.net.heal_all();
        for (auto& h : group_.hosts) {
            if (h.process && h.process->stopped()) {
                group_.kill(h, one_in(2));
            }
            group_.start(h);
        }
    }

    // Runs while proposals are made at every replica; only a leader with a valid lease accepts them.
    void run_with_proposals(std::chrono::milliseconds duration)
    {
        const auto until = group_.net.now() + duration;
        while (group_.net.now() < until) {
            group_.net.run_for(50ms);
            for (auto& h : group_.hosts) {
                if (h.process && one_in(3)) {
                    const auto size = one_in(20) ? random_below(4000) : random_below(100);
                    group_.propose(h, std::to_string(next_data_++) + std::string(size, '.'));
                }
            }
        }
    }

    void expect_recovery()
    {
        const auto until = group_.net.now() + 40s;
        std::optional<log_position> position;
        while (group_.net.now() < until) {
            group_.net.run_for(200ms);
            replica_group::host* l = group_.leader();
            if (l != nullptr && (!position || position->term != l->process->term())) {
                position = group_.propose(*l, "last");
            }
            if (position && applied_by_all(*position)) {
                return;
            }
            // A sync failure that was injected earlier may take effect only now.
            repair();
        }
        testing::replica_checker::require(false, "no recovery", position ? position->index : 0);
    }

    bool applied_by_all(const log_position& position)
    {
        const auto it = group_.checker.committed().find(position.index);
        return it != group_.checker.committed().end() && it->second.term == position.term &&
               std::all_of(group_.hosts.begin(), group_.hosts.end(), [&](const auto& h) {
                   return h.applied >= position.index && group_.membership_restored(h);
               });
    }

    replica_group group_;
    std::vector<fault> kinds_;
    std::string fault_log_;
    std::uint64_t next_data_ = 0;
};

void run_seeds(bool standby)
{
    const auto first = environment_number("PERIDOTCLEAT_FIRST_SEED", 1);
    const auto seeds = environment_number("PERIDOTCLEAT_SEEDS", default_seeds);
    std::uint64_t committed = 0;
    std::uint64_t reads = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        random_run run(seed, standby);
        try {
            run.run();
        } catch (const std::exception& e) {
            ADD_FAILURE() << "seed " << seed << ": " << e.what() << "\nfaults:" << run.fault_log()
                          << "\nmembers:" << run.group().describe();
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

// Guards against lost or differing committed entries, two leaders that accept changes at once, votes and
// acknowledgements that depend on wiped disks, and groups that do not recover, under random combinations of
// faults.
TEST(replica, invariants_hold_under_random_faults) { run_seeds(false); }

// Guards against the same failures in groups where standby members replace silent voters without an operator.
TEST(replica, invariants_hold_with_standby_members) { run_seeds(true); }

// Guards against member lists without a majority: the leader gave a vote to a member that had lost its disk
// since its last reply (seed 10282), or removed a voter because delayed replies of lost ones arrived (14606).
TEST(replica, groups_whose_leader_counted_on_lost_members_recover)
{
    for (const std::uint64_t seed : {10282U, 14606U}) {
        random_run run(seed, true);
        EXPECT_NO_THROW(run.run()) << "seed " << seed << "\nmembers:" << run.group().describe();
    }
}

// Runs a group without faults until it has a leader with a lease.
replica_group::host& wait_for_leader(replica_group& group)
{
    for (int i = 0; i < 200 && group.leader() == nullptr; ++i) {
        group.net.run_for(50ms);
    }
    testing::replica_checker::require(group.leader() != nullptr, "no leader", 0);
    return *group.leader();
}

// Guards against idle traffic of a leader, sent and received, that exceeds the traffic budget of a control
// VM.
TEST(replica, an_idle_leader_of_seven_uses_less_than_3_kilobytes_a_second)
{
    replica_group group(1, 7);
    group.reads_enabled = false;
    const endpoint leader_address = wait_for_leader(group).address;
    group.net.run_for(5s);
    const auto before = group.net.traffic_of(leader_address);
    group.net.run_for(60s);
    const auto& after = group.net.traffic_of(leader_address);
    const auto bytes = after.bytes_out + after.bytes_in - before.bytes_out - before.bytes_in;
    EXPECT_EQ(group.leader()->address, leader_address);
    EXPECT_LT(bytes / 60, 3000U);
    RecordProperty("bytes_per_second", static_cast<int>(bytes / 60));
}

// Guards against a member that causes an election when it returns from a long partition or reports a recent
// quorum while it is cut off, and against a leader on the minority side that still accepts proposals.
TEST(replica, long_partitions_do_not_disturb_the_majority)
{
    replica_group group(2, 5);
    const endpoint leader_address = wait_for_leader(group).address;
    auto& follower = *std::find_if(group.hosts.begin(), group.hosts.end(),
                                   [&](auto& h) { return h.address != leader_address; });
    const auto isolate = [&](const endpoint& isolated) {
        for (const auto& h : group.hosts) {
            group.net.cut_groups({isolated}, {h.address}, true);
        }
    };
    const auto term = group.leader()->process->term();
    isolate(follower.address);
    group.net.run_for(300s);
    EXPECT_GE(follower.process->quorum_age(group.net.now()), 299s);
    group.net.heal_all();
    group.net.run_for(10s);
    EXPECT_EQ(group.leader()->address, leader_address);
    EXPECT_EQ(group.leader()->process->term(), term);
    EXPECT_LE(follower.process->quorum_age(group.net.now()), 1s);

    replica_group::host& former_leader = *group.leader();
    isolate(leader_address);
    group.net.run_for(1700ms);
    const auto refused = former_leader.process->propose(group.net.now(), "x");
    ASSERT_FALSE(has_value(refused));
    EXPECT_EQ(failure(refused).code, error_code::no_quorum);
    group.net.run_for(6s);
    EXPECT_FALSE(former_leader.process->is_leader());
    EXPECT_NE(wait_for_leader(group).address, leader_address);
}

// Guards against one sync per entry, entries above the datagram size that are never delivered, and entries
// that are lost when many are proposed between two flushes on a network with packet loss.
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
    group.net.dispatch(l.address, out);
    EXPECT_EQ(l.process->counts().get(event::syncs), syncs + 1);
    EXPECT_FALSE(has_value(l.process->propose(group.net.now(), std::string(max_change_data + 1, 'x'))));
    group.net.run_for(20s);
    for (const auto& h : group.hosts) {
        EXPECT_GE(h.applied, 1000);
    }
}

// Guards against a process that, after a power loss of the whole group, returns none of the committed entries
// on its disk until a leader is elected.
TEST(replica, committed_entries_are_known_after_a_restart_without_a_leader)
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

// Guards against a restarted group that elects a leader only after the lease of the former leader has ended,
// and against a new leader that accepts proposals while that lease may still be valid.
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

// Guards against a member that lacks committed entries but reports a recent quorum, so that its table counts
// as current and a balancer denies a flow whose target joined with one of those entries.
TEST(replica, a_member_that_lacks_entries_does_not_report_a_recent_quorum)
{
    replica_group group(7, 3);
    replica_group::host& l = wait_for_leader(group);
    group.net.run_for(2s);
    auto& follower = *std::ranges::find_if(group.hosts, [&](const auto& h) { return &h != &l; });
    wire::append_request request;
    request.term = l.process->term();
    request.leader = l.disk->folder();
    request.previous_index = l.process->commit_index();
    request.previous_term = l.process->term();
    request.commit = l.process->commit_index() + 5;
    request.round = 0;
    request.quorum_age_ms = 0;
    group.kill(follower, false);
    group.start(follower);
    outbox out;
    follower.process->on_message(group.net.now(), l.address, request, out);
    EXPECT_GT(follower.process->quorum_age(group.net.now()), 1h);
}

// Guards against a removed member that rejoins by itself or takes part in elections.
TEST(replica, a_removed_member_does_not_rejoin)
{
    replica_group group(4, 5);
    replica_group::host& l = wait_for_leader(group);
    group.net.run_for(2s);
    auto& removed = *std::find_if(group.hosts.begin(), group.hosts.end(), [&](auto& h) { return &h != &l; });
    ASSERT_TRUE(has_value(l.process->remove_member(group.net.now(), removed.name)));
    const auto second_removal = l.process->remove_member(group.net.now(), l.name);
    ASSERT_FALSE(has_value(second_removal));
    EXPECT_EQ(failure(second_removal).code, error_code::member_change_pending);
    const auto term = l.process->term();
    group.net.run_for(60s);
    EXPECT_EQ(wait_for_leader(group).process->term(), term);
    EXPECT_EQ(l.process->members().size(), 4U);
    EXPECT_FALSE(has_value(removed.process->propose(group.net.now(), "x")));
}

}  // namespace
}  // namespace peridotcleat

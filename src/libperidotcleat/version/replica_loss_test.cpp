#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include "peridotcleat/replica.h"
#include "testing/loss_run.h"

namespace peridotcleat {
namespace {

using namespace std::chrono_literals;
using testing::loss;
using testing::loss_run;
using testing::loss_tolerance;
using testing::replica_group;

replica_timing fast_timing()
{
    replica_timing t;
    t.heartbeat_interval = 120ms;
    t.min_election_timeout = 600ms;
    t.max_election_timeout = 1200ms;
    t.leader_lease = 480ms;
    t.silence_before_rejoin = 1800ms;
    return t;
}

std::uint64_t environment_number(const char* name, std::uint64_t default_value)
{
    const char* text = std::getenv(name);  // NOLINT(concurrency-mt-unsafe): one thread
    return text == nullptr ? default_value : std::stoull(text);
}

#ifdef __OPTIMIZE__
constexpr std::uint64_t default_seeds = 100;
#else
constexpr std::uint64_t default_seeds = 10;
#endif

// Groups of one deployment each; the first two are those of the platform.
constexpr std::array<loss_tolerance, 7> all_tolerances{{{9, 5, 2, 6000ms},
                                                        {5, 5, 1, 4000ms},
                                                        {3, 3, 1, 4000ms},
                                                        {5, 3, 1, 4000ms},
                                                        {5, 5, 2, 6000ms},
                                                        {7, 5, 2, 6000ms},
                                                        {9, 7, 3, 6000ms}}};

loss_tolerance tolerance_for(std::uint64_t seed) { return all_tolerances.at(seed % all_tolerances.size()); }

void run_seed(std::uint64_t seed, const std::vector<loss>& kinds)
{
    loss_run run(seed, kinds, tolerance_for(seed), fast_timing());
    try {
        run.run();
    } catch (const std::exception& e) {
        ADD_FAILURE() << "seed " << seed << ": " << e.what() << "\nfaults:" << run.fault_log()
                      << "\nmembers:" << run.group().describe();
    }
}

void run_seeds(const std::vector<loss>& kinds)
{
    const auto first = environment_number("PERIDOTCLEAT_FIRST_SEED", 1);
    const auto seeds = environment_number("PERIDOTCLEAT_SEEDS", default_seeds);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        run_seed(seed, kinds);
    }
}

// Guards against a group that elects no leader, or accepts no change, although never more members were lost
// at the same time than it tolerates.
TEST(replica_loss, a_group_accepts_changes_after_losses_within_its_tolerance)
{
    run_seeds({loss::disk, loss::disk, loss::power, loss::kill, loss::freeze, loss::cut, loss::full_disk,
               loss::slow_sync});
}

// Guards against a group that elects no leader, or accepts no change, after members lost their disks one
// after the other.
TEST(replica_loss, a_group_accepts_changes_after_disks_were_lost_in_turn) { run_seeds({loss::disk}); }

// Guards against a group that refuses changes for good after the disks of its members were full for some
// seconds each.
TEST(replica_loss, a_group_accepts_changes_after_disks_were_full_in_turn) { run_seeds({loss::full_disk}); }

const std::vector<loss> all_kinds{loss::disk,        loss::power,       loss::kill,
                                  loss::freeze,      loss::cut,         loss::full_disk,
                                  loss::slow_sync,   loss::split,       loss::replacement,
                                  loss::replacement, loss::replacement, loss::planned_replacement};

// Guards against a group that stands still for good, or in which members that are lost permanently keep their
// votes, after losses of all kinds.
TEST(replica_loss, a_group_accepts_changes_after_losses_of_all_kinds) { run_seeds(all_kinds); }

// Guards against members that are replaced one after the other faster than the leaders take their votes, and
// against the loss of a member that has just taken the vote of another one.
TEST(replica_loss, a_group_accepts_changes_after_members_were_replaced) { run_seeds({loss::replacement}); }

// Guards against voters that are stopped as planned, several at once or one after the other, and take their
// votes with them although standby members run.
TEST(replica_loss, a_group_accepts_changes_after_planned_replacements)
{
    run_seeds({loss::planned_replacement});
}

// Guards against a member that is stopped as planned during a split: seed 3684 gave its vote to the only
// standby member in reach, although a voter that was lost for good needed that one; in seed 3894 it stopped
// before the split had ended, so that one voter of three was left.
TEST(replica_loss, a_member_that_is_stopped_during_a_split_waits_for_its_end)
{
    for (const std::uint64_t seed : {3684U, 3894U}) {
        run_seed(seed, all_kinds);
    }
}

class permanent_loss : public ::testing::Test {
protected:
    explicit permanent_loss(const replica_group::composition& parts = {9, 3, 5})
        : group_(1, parts, fast_timing())
    {
        group_.net.run_for(5s);
    }

    // Removes `h` permanently, and starts a member that replaces it.
    void replace(replica_group::host& h)
    {
        group_.remove_permanently(h);
        group_.start(group_.add_successor({group_.find_running()->address}));
    }

    // Returns a voter other than the leader.
    replica_group::host& follower()
    {
        const auto is_follower = [&](const auto& h) { return h.process && &h != leader() && has_vote(h); };
        return *std::ranges::find_if(group_.hosts, is_follower);
    }

    replica_group::host* leader()
    {
        for (int i = 0; i < 100 && group_.leader() == nullptr; ++i) {
            group_.net.run_for(50ms);
        }
        testing::replica_checker::require(group_.leader() != nullptr, "no leader", 0);
        return group_.leader();
    }

    bool has_vote(const replica_group::host& h)
    {
        return std::ranges::any_of(leader()->process->members(), [&](const wire::member& m) {
            return m.voter && m.folder_id == h.disk->folder();
        });
    }

    void expect_votes_of_running_members_only()
    {
        const auto& members = leader()->process->members();
        EXPECT_TRUE(std::ranges::all_of(members, [&](const wire::member& m) {
            return !m.voter || !group_.find_host(m.folder_id)->removed;
        })) << group_.describe();
    }

    replica_group group_;
};

// Guards against voters that are lost permanently at the same time and keep each other's votes: the leader
// replaced a silent voter only while all other voters responded. The loss of one more voter then left no
// majority.
TEST_F(permanent_loss, voters_that_are_lost_at_the_same_time_lose_their_votes)
{
    replace(follower());
    replace(follower());
    group_.net.run_for(6s);
    replace(follower());
    group_.net.run_for(6s);
    expect_votes_of_running_members_only();
}

// Guards against a member that never joins again after it has lost its disk, because all members that its
// settings name have been replaced.
TEST_F(permanent_loss, a_member_with_an_empty_disk_joins_although_its_seeds_are_gone)
{
    for (const std::size_t seed : {0U, 1U}) {
        replace(group_.hosts[seed]);
        group_.net.run_for(6s);
    }
    auto& h = group_.hosts[2];
    group_.kill(h, false);
    group_.wipe_disk(h);
    group_.start(h);
    group_.net.run_for(6s);
    EXPECT_TRUE(std::ranges::any_of(leader()->process->members(), [&](const wire::member& m) {
        return m.folder_id == h.disk->folder();
    })) << group_.describe();
}

// Guards against the same failure if the leader is among the voters that are stopped at once.
TEST_F(permanent_loss, voters_that_are_stopped_as_planned_hand_their_votes_over)
{
    std::vector<replica_group::host*> stopped{leader(), &follower()};
    for (auto& h : group_.hosts) {
        if (stopped.size() < 3 && h.process && has_vote(h) && std::ranges::count(stopped, &h) == 0) {
            stopped.push_back(&h);
        }
    }
    for (auto* h : stopped) {
        h->process->begin_leave(group_.net.now());
    }
    for (int i = 0; i < 100 && !stopped.empty(); ++i) {
        group_.net.run_for(50ms);
        std::erase_if(stopped, [&](auto* h) {
            const bool stops = h->process->may_stop(group_.net.now());
            if (stops) {
                group_.remove_permanently(*h);
            }
            return stops;
        });
    }
    EXPECT_TRUE(stopped.empty());
    expect_votes_of_running_members_only();
}

// Guards against voters that were only cut off, and have lost their votes meanwhile, but elect a leader of
// their own once they are a majority of the voters that they know.
TEST_F(permanent_loss, voters_that_were_cut_off_in_turn_never_form_a_second_majority)
{
    std::vector<endpoint> rest;
    for (const auto& h : group_.hosts) {
        rest.push_back(h.address);
    }
    std::vector<endpoint> cut_off;
    std::vector<replica_group::host*> former_voters;
    for (auto& h : group_.hosts) {
        if (has_vote(h) && former_voters.size() < 4) {
            former_voters.push_back(&h);
        }
    }
    for (auto* h : former_voters) {
        std::erase(rest, h->address);
        cut_off.push_back(h->address);
        group_.net.heal_all();
        group_.net.cut_groups(cut_off, rest, true);
        if (cut_off.size() % 2 == 0) {
            group_.net.run_for(4s);
        }
    }
    for (int i = 0; i < 200; ++i) {
        group_.net.run_for(50ms);
        for (const auto* h : former_voters) {
            ASSERT_FALSE(h->process->is_leader()) << group_.describe();
        }
    }
    const auto position = group_.propose(*leader(), "by the majority");
    ASSERT_TRUE(position);
    group_.net.heal_all();
    group_.net.run_for(6s);
    for (const auto* h : former_voters) {
        EXPECT_GE(h->process->commit_index(), position->index) << group_.describe();
    }
}

class permanent_loss_of_three : public permanent_loss {
protected:
    permanent_loss_of_three() : permanent_loss({3, 3, 3}) {}
};

// Guards against a member that is lost as soon as it has the vote of the member that it replaces: the list
// then had two lost voters of four.
TEST_F(permanent_loss_of_three, a_member_that_has_just_got_a_vote_may_be_lost)
{
    // Longer than a step, so that the list with the successor is not committed yet when the successor is
    // lost.
    group_.net.set_default_quality({20ms, 0ms, 0, 0});
    replace(follower());
    auto& successor = group_.hosts.back();
    for (int i = 0; i < 1000 && !has_vote(successor); ++i) {
        group_.net.run_for(5ms);
    }
    ASSERT_TRUE(has_vote(successor));
    replace(successor);
    group_.net.run_for(6s);
    expect_votes_of_running_members_only();
}

// Guards against a new leader that waits for the whole limit again before it takes the votes of members that
// were silent already. Four seconds are the time after which further members may be lost.
TEST_F(permanent_loss, a_new_leader_knows_which_voters_are_silent)
{
    replace(follower());
    group_.net.run_for(1s);
    replace(*leader());
    group_.net.run_for(3s);
    expect_votes_of_running_members_only();
}

}  // namespace
}  // namespace peridotcleat

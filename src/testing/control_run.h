#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "testing/control_checker.h"
#include "testing/control_cluster.h"

namespace peridotcleat::testing {

/// One randomised run of a cluster: competing operators that resend patches, faults of all kinds, and then a
/// calm phase without partitions, freezes or crashes and with 2 % datagram loss, in which the whole cluster
/// must converge. Throws `control_violation`.
class control_run {
public:
    /// Which control processes vote.
    enum class voting : std::uint8_t {
        all,
        /// Three or five. The others are on standby, and processes are also replaced permanently.
        some,
    };

    explicit control_run(std::uint64_t seed, voting v = voting::all)
        : random_(seed ^ 0x5eedU), cluster_(seed, random_shape(v)), operators_(3)
    {
        cluster_.net().set_quality([this, loss = static_cast<double>(random_below(5)) * 0.01,
                                    duplication = static_cast<double>(random_below(3)) *
                                                  0.01](const endpoint& a, const endpoint& b) {
            const bool same_zone = cluster_.zone_of(a) == cluster_.zone_of(b);
            return link_quality{same_zone ? milliseconds(1) : milliseconds(5),
                                milliseconds(same_zone ? 1 : 4), calm_ ? 0.02 : loss, duplication};
        });
        cluster_.on_control_event = [this](control_process& process) { observe_control(process); };
        for (auto& node : cluster_.nodes()) {
            node->on_event = [this](node_process& observed) { checker_.on_node(observed); };
        }
        process_generations_.resize(cluster_.controls().size());
    }

    void run()
    {
        cluster_.start_all();
        run_for(seconds(5));
        for (int step = 0; step < 15; ++step) {
            run_for(milliseconds(400));
            run_operators();
        }
        for (int step = 0; step < 250; ++step) {
            run_for(milliseconds(50 + random_below(400)));
            run_operators();
            inject_fault();
        }
        heal_cluster();
        calm_ = true;
        run_for(seconds(75));
        check_converged();
        check_drain();
        const auto before = identities();
        node_process& leaving = check_leaving();
        node_process& lost = check_node_loss();
        node_process& flapping = check_flapping();
        run_for(seconds(14));
        check_converged();
        check_identities_kept(before, {&leaving, &lost, &flapping});
    }

    [[nodiscard]] const control_checker& checker() const noexcept { return checker_; }
    /// Number of injected faults.
    [[nodiscard]] std::size_t faults() const noexcept { return faults_; }
    /// Number of answers with status `s`, to show that the runs produce each status.
    [[nodiscard]] std::size_t answers(patch_status s) const { return answers_[static_cast<std::size_t>(s)]; }
    /// Sum of a counter over all processes.
    [[nodiscard]] std::uint64_t total(event e)
    {
        std::uint64_t sum = 0;
        for (const auto& process : cluster_.controls()) {
            sum += process->counted.get(e);
        }
        for (const auto& node : cluster_.nodes()) {
            sum += node->counted.get(e);
        }
        return sum;
    }

private:
    using milliseconds = std::chrono::milliseconds;
    using seconds = std::chrono::seconds;

    // An operator with at most one patch at a time and at most one pending attempt to submit it.
    struct simulated_operator {
        std::optional<wire::patch> patch;
        std::size_t process_index = 0;
        std::uint64_t process_generation = 0;
        ticket pending_ticket;
        time_point submitted_at;
        int attempts = 0;
        /// Time for which the operator waits for an answer before it submits the patch again.
        std::chrono::milliseconds resend_timeout{3000};
        /// The outcome of the patch is known, but the operator submits the patch again.
        bool outcome_known = false;
    };

    std::size_t random_below(std::size_t bound) { return random_() % bound; }
    bool chance(std::size_t percent) { return random_below(100) < percent; }

    cluster_shape random_shape(voting v)
    {
        cluster_shape shape;
        shape.controls = 3 + random_below(5);
        if (v == voting::some) {
            shape.initial_controls = 3;
            shape.voters = shape.controls > 5 ? 3 + (2 * random_below(2)) : 3;
        }
        shape.balancers = 2 + random_below(4);
        shape.zones = std::min<std::size_t>(shape.balancers, 2 + random_below(2));
        shape.agents = 4 + random_below(7);
        shape.services = 1 + random_below(3);
        shape.snapshot_after = static_cast<std::int64_t>(10 + random_below(100));
        shape.answer_timeout = milliseconds(1000 + random_below(9000));
        return shape;
    }

    void run_for(std::chrono::microseconds duration)
    {
        cluster_.net().run_for(duration);
        if (auto* leader = cluster_.leader(); leader != nullptr && checker_.highest_version() > 0) {
            const auto s =
                leader->role->status(cluster_.net().now(), config_version{checker_.highest_version()});
            checker_.on_status(s, cluster_.nodes(), leader->role->table());
        }
    }

    [[nodiscard]] std::size_t index_of(const control_process& process)
    {
        const auto& all = cluster_.controls();
        return static_cast<std::size_t>(
            std::ranges::find_if(all, [&](const auto& p) { return p.get() == &process; }) - all.begin());
    }

    void observe_control(control_process& process)
    {
        const std::size_t process_index = index_of(process);
        checker_.on_control(cluster_.net().now(), process_index, process.role->table());
        for (const operator_answer& a : process.role->take_answers()) {
            for (simulated_operator& submitter : operators_) {
                if (submitter.pending_ticket == a.id && submitter.process_index == process_index &&
                    submitter.process_generation == process_generations_[process_index] && submitter.patch) {
                    on_answer(submitter, a.patch);
                }
            }
            if (drain_ticket_ == a.id && a.id.valid()) {
                drain_answer_ = a.patch;
            }
        }
    }

    void on_answer(simulated_operator& submitter, const patch_answer& a)
    {
        checker_.on_answer(*submitter.patch, a);
        ++answers_[static_cast<std::size_t>(a.status)];
        submitter.pending_ticket = {};
        const bool done = a.status != patch_status::outcome_unknown && a.status != patch_status::not_accepted;
        // Some operators submit a patch again whose outcome they know, as a script does that lost its state.
        submitter.outcome_known = done;
        if (done && !chance(25)) {
            submitter.patch.reset();
        }
    }

    void run_operators()
    {
        for (simulated_operator& submitter : operators_) {
            if (submitter.pending_ticket.valid() &&
                cluster_.net().now() - submitter.submitted_at > submitter.resend_timeout) {
                submitter.pending_ticket = {};
            }
            if (submitter.pending_ticket.valid() || !chance(60)) {
                continue;
            }
            if (!submitter.patch || (submitter.attempts > 8 && chance(20))) {
                choose_new_patch(submitter);
            }
            submit_patch_attempt(submitter);
        }
    }

    void choose_new_patch(simulated_operator& submitter)
    {
        wire::patch p;
        p.patch_id = "patch-" + std::to_string(next_patch_++);
        const auto& process = *cluster_.controls()[random_below(cluster_.controls().size())];
        p.base =
            process.role ? process.role->table().version().value : static_cast<std::int64_t>(random_below(5));
        wire::patch_operation op;
        const std::size_t number = random_below(cluster_.shape().services + 3);
        op.name = control_cluster::service_name(number);
        const bool exists = process.role && process.role->table().find_service(op.name).has_value();
        const bool needed = number < cluster_.shape().services;
        op.kind = static_cast<std::int8_t>(!exists ? 1 : (needed || chance(60) ? 2 : 3));
        if (op.kind != 3) {
            wire::service_entry value;
            value.name = op.name;
            // Services with adjacent numbers share some of these addresses, so that overlaps and quarantines
            // occur.
            const auto address = static_cast<std::uint32_t>((number * 4) + random_below(5));
            value.addresses.push_back(to_wire(endpoint{0x0a000000U + address, 80}));
            op.__set_value(value);
        }
        p.operations.push_back(op);
        submitter.patch = p;
        submitter.attempts = 0;
        submitter.outcome_known = false;
    }

    void submit_patch_attempt(simulated_operator& submitter)
    {
        submitter.process_index = random_below(cluster_.controls().size());
        if (auto* leader = cluster_.leader();
            leader != nullptr && chance(submitter.outcome_known ? 20 : 70)) {
            submitter.process_index = index_of(*leader);
        }
        control_process& process = *cluster_.controls()[submitter.process_index];
        if (!process.role || !cluster_.net().is_alive(process.address)) {
            return;
        }
        submitter.process_generation = process_generations_[submitter.process_index];
        submitter.submitted_at = cluster_.net().now();
        submitter.resend_timeout = milliseconds(2000 + random_below(10000));
        checker_.on_attempt(*submitter.patch);
        submitter.pending_ticket = process.role->submit_patch(submitter.submitted_at, skewed_wall(),
                                                              *submitter.patch, submitter.attempts++ == 0);
        cluster_.flush_control(process);
    }

    // The wall clocks of the control processes differ and may jump back, by up to 20 s.
    wall_time skewed_wall() { return cluster_.wall() - milliseconds(random_below(20000)); }

    void inject_fault()
    {
        if (!chance(45)) {
            return;
        }
        ++faults_;
        auto& net = cluster_.net();
        auto& nodes = cluster_.nodes();
        node_process& node = *nodes[random_below(nodes.size())];
        const std::size_t process_index = random_below(cluster_.controls().size());
        switch (random_below(12)) {
        case 0: stop_or_start_control(process_index); break;
        case 1: start_all_stopped(); break;
        case 2: stop_or_start(node); break;
        case 3: net.freeze(node.address, net.now() + milliseconds(random_below(9000))); break;
        case 4:
            net.freeze(cluster_.controls()[process_index]->address,
                       net.now() + milliseconds(random_below(5000)));
            break;
        case 5: cut_zone(random_below(cluster_.shape().zones)); break;
        case 6: cut_at_random(); break;
        case 7:
        case 8: net.heal_all(); break;
        case 9: lose_disk(process_index); break;
        case 10:
            if (node.link) {
                node.link->set_state(chance(50) ? node_state::draining : node_state::leaving);
            }
            break;
        default:
            if (auto* leader = cluster_.leader(); leader != nullptr) {
                if (chance(50)) {
                    stop_or_start_control(index_of(*leader));
                } else {
                    net.freeze(leader->address, net.now() + milliseconds(random_below(20000)));
                }
            }
        }
    }

    void start_control(std::size_t i)
    {
        ++process_generations_[i];
        checker_.on_control_started(i);
        cluster_.start_control(i, false);
    }

    void stop_or_start_control(std::size_t i)
    {
        if (cluster_.controls()[i]->role) {
            cluster_.kill_control(i);
        } else {
            start_control(i);
        }
    }

    void stop_or_start(node_process& node)
    {
        if (node.link) {
            cluster_.kill_node(node);
        } else {
            cluster_.start_node(node);
        }
    }

    // Returns true if `members` has the folders of all disks and as many voters as the settings require.
    [[nodiscard]] bool is_complete(const std::vector<wire::member>& members)
    {
        const auto voters = static_cast<std::size_t>(std::ranges::count_if(members, &wire::member::voter));
        const std::size_t required = cluster_.shape().voters;
        return voters >= (required == 0 ? cluster_.controls().size() : required) &&
               members.size() == cluster_.controls().size() &&
               std::ranges::all_of(cluster_.controls(), [&](const auto& process) {
                   return std::ranges::any_of(members, [&](const wire::member& m) {
                       return m.folder_id == process->disk->folder();
                   });
               });
    }

    // Wipes the disk of process `i` and restarts it, or replaces the process, but only if the previous loss
    // is repaired: all processes run and know a complete list of members. A group with five voters of more
    // members may lose two processes at once.
    void lose_disk(std::size_t i)
    {
        const auto& controls = cluster_.controls();
        for (const auto& process : controls) {
            if (!process->role || !cluster_.net().is_alive(process->address) ||
                !is_complete(process->role->log().members())) {
                return;
            }
        }
        lose_disk_now(i);
        if (cluster_.shape().voters == 5 && chance(50)) {
            lose_disk_now((i + 1 + random_below(controls.size() - 1)) % controls.size());
        }
    }

    void lose_disk_now(std::size_t i)
    {
        if (cluster_.shape().voters != 0 && chance(60)) {
            cluster_.replace_control(i);
        } else {
            cluster_.kill_control(i);
            cluster_.controls()[i]->disk->wipe();
        }
        start_control(i);
    }

    std::vector<endpoint> all_addresses()
    {
        std::vector<endpoint> all;
        for (const auto& process : cluster_.controls()) {
            all.push_back(process->address);
        }
        for (const auto& node : cluster_.nodes()) {
            all.push_back(node->address);
        }
        return all;
    }

    void cut_zone(std::size_t zone)
    {
        std::vector<endpoint> inside;
        std::vector<endpoint> outside;
        for (const endpoint& address : all_addresses()) {
            (cluster_.zone_of(address) == zone ? inside : outside).push_back(address);
        }
        cluster_.net().cut_groups(inside, outside, true);
    }

    void cut_at_random()
    {
        const auto all = all_addresses();
        for (std::size_t i = 0; i < all.size(); ++i) {
            cluster_.net().cut(all[random_below(all.size())], all[random_below(all.size())], true);
        }
    }

    void start_all_stopped()
    {
        for (std::size_t i = 0; i < cluster_.controls().size(); ++i) {
            if (!cluster_.controls()[i]->role) {
                start_control(i);
            }
        }
        for (auto& node : cluster_.nodes()) {
            if (!node->link) {
                cluster_.start_node(*node);
            }
        }
    }

    void heal_cluster()
    {
        cluster_.net().heal_all();
        for (auto& node : cluster_.nodes()) {
            // Nodes that were told to drain or leave are stopped, as if they had left.
            if (node->link && node->link->state() != node_state::active) {
                cluster_.kill_node(*node);
            }
        }
        start_all_stopped();
    }

    control_process& require_leader()
    {
        auto* leader = cluster_.leader();
        control_checker::require(leader != nullptr, "no leader in a calm network", 0);
        return *leader;
    }

    void check_converged()
    {
        control_process& leader = require_leader();
        const table_state& table = leader.role->table();
        checker_.check_accepted_versions(table);
        const auto& members = leader.role->log().members();
        control_checker::require(is_complete(members), "a lost process is still a member, or too few vote",
                                 static_cast<std::int64_t>(members.size()));
        for (const auto& node : cluster_.nodes()) {
            const bool has_service =
                node->kind == node_role::balancer || table.find_service(node->service).has_value();
            control_checker::require(!has_service || node->link->ready(),
                                     node->name + ": not ready at the end",
                                     node->link->table().current_revision().value);
        }
        for (const auto& process : cluster_.controls()) {
            control_checker::require(process->role->table().current_revision() == table.current_revision(),
                                     process->name + ": not at the leader's revision at the end",
                                     process->role->table().current_revision().value);
        }
        for (const auto& node : cluster_.nodes()) {
            control_checker::require(node->link->table().current_revision() == table.current_revision(),
                                     node->name + ": not at the leader's revision at the end",
                                     node->link->table().current_revision().value);
        }
        const auto s = leader.role->status(cluster_.net().now(), table.version());
        control_checker::require(s.known, "the leader does not know the status at the end", 0);
        control_checker::require(s.lagging.empty(), "a node lags at the end",
                                 static_cast<std::int64_t>(s.lagging.size()));
        control_checker::require(s.unreachable.empty(), "a node is unreachable at the end",
                                 static_cast<std::int64_t>(s.unreachable.size()));
        control_checker::require(s.everywhere, "the version is not in force everywhere at the end", 0);
    }

    // A target must be draining in, or absent from, the tables of all ready nodes 5 s after its drain was
    // accepted.
    void check_drain()
    {
        control_process& leader = require_leader();
        const auto& targets = leader.role->table().targets();
        const auto active = std::ranges::find_if(targets, [](const auto& t) { return !t.second.draining; });
        if (active == targets.end()) {
            return;
        }
        const incarnation id = active->first;
        drain_answer_.reset();
        drain_ticket_ = leader.role->submit_drain(cluster_.net().now(), cluster_.wall(), active->second.name);
        cluster_.flush_control(leader);
        for (int i = 0; i < 200 && !drain_answer_; ++i) {
            cluster_.net().run_for(milliseconds(20));
        }
        control_checker::require(drain_answer_ && drain_answer_->status == patch_status::accepted,
                                 "a drain was not accepted in a calm network", id.value);
        run_for(seconds(5));
        for (const auto& node : cluster_.nodes()) {
            const auto& seen = node->link->table().targets();
            const auto it = seen.find(id);
            control_checker::require(!node->link->ready() || it == seen.end() || it->second.draining,
                                     node->name + ": still offers a target 5 s after its drain was accepted",
                                     id.value);
        }
    }

    // An agent that restarts continuously for 30 s may join after 0, 1, 3, 7, 15 and 31 s, and once more for
    // a join that was already in progress.
    node_process& check_flapping()
    {
        node_process& node = agent(0);
        if (!require_leader().role->table().find_service(node.service)) {
            return node;
        }
        const std::size_t before = checker_.joins_of(node.address);
        const time_point end = cluster_.net().now() + seconds(30);
        while (cluster_.net().now() < end) {
            cluster_.kill_node(node);
            cluster_.start_node(node);
            run_for(milliseconds(1200 + random_below(600)));
        }
        const std::size_t joins = checker_.joins_of(node.address) - before;
        control_checker::require(joins >= 1 && joins <= 7,
                                 "wrong number of joins of a flapping target in 30 s",
                                 static_cast<std::int64_t>(joins));
        run_for(seconds(60));
        return node;
    }

    node_process& agent(std::size_t i) { return *cluster_.nodes()[cluster_.shape().balancers + i]; }

    bool registered(incarnation id)
    {
        const table_state& table = require_leader().role->table();
        return id.valid() && (table.targets().contains(id) || table.nodes().contains(id));
    }

    // A node that leaves must be out of the table within 5 s.
    node_process& check_leaving()
    {
        node_process& node = agent(1);
        const incarnation id = node.link->id();
        node.link->set_state(node_state::leaving);
        run_for(seconds(5));
        control_checker::require(!registered(id), node.name + ": registered 5 s after it began to leave",
                                 id.value);
        cluster_.kill_node(node);
        cluster_.start_node(node);
        return node;
    }

    // A lost node must stay in the table for its lease of 6 s, and must be removed at most 4 s later, which
    // allows for lost reports.
    node_process& check_node_loss()
    {
        node_process& node = agent(2);
        const incarnation id = node.link->id();
        const bool before = registered(id);
        cluster_.kill_node(node);
        run_for(milliseconds(4500));
        control_checker::require(!before || registered(id), node.name + ": expired too early", id.value);
        run_for(milliseconds(5500));
        control_checker::require(!registered(id), node.name + ": registered 10 s after it was lost",
                                 id.value);
        cluster_.start_node(node);
        return node;
    }

    std::map<const node_process*, incarnation> identities()
    {
        std::map<const node_process*, incarnation> ids;
        for (const auto& node : cluster_.nodes()) {
            ids[node.get()] = node->link->id();
        }
        return ids;
    }

    // In a calm network no node may lose its registration because of an expired lease.
    void check_identities_kept(const std::map<const node_process*, incarnation>& before,
                               const std::set<const node_process*>& disturbed)
    {
        for (const auto& [node, id] : before) {
            control_checker::require(!id.valid() || disturbed.contains(node) || node->link->id() == id,
                                     node->name + ": lost its registration in a calm network", id.value);
        }
    }

    std::mt19937_64 random_;
    control_cluster cluster_;
    control_checker checker_;
    std::vector<simulated_operator> operators_;
    std::vector<std::uint64_t> process_generations_;
    std::size_t next_patch_ = 1;
    std::size_t faults_ = 0;
    std::array<std::size_t, 6> answers_{};
    bool calm_ = false;
    ticket drain_ticket_;
    std::optional<patch_answer> drain_answer_;
};

}  // namespace peridotcleat::testing

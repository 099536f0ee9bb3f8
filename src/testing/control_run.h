#pragma once

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

/// One randomised run of a cluster: operators that race and resend, faults of all kinds, then a calm phase in
/// which everything must converge. Throws `control_violation`.
class control_run {
public:
    explicit control_run(std::uint64_t seed)
        : random_(seed ^ 0x5eedU), cluster_(seed, random_shape()), operators_(3)
    {
        cluster_.net().set_quality(
            [this, loss = static_cast<double>(pick(5)) * 0.01,
             repeat = static_cast<double>(pick(3)) * 0.01](const endpoint& a, const endpoint& b) {
                const bool near = cluster_.zone_of(a) == cluster_.zone_of(b);
                return link_quality{near ? milliseconds(1) : milliseconds(5), milliseconds(near ? 1 : 4),
                                    calm_ ? 0.02 : loss, repeat};
            });
        cluster_.on_control_event = [this](control_process& c) { observe_control(c); };
        for (auto& n : cluster_.nodes()) {
            n->on_event = [this](node_process& host) { checker_.on_node(host); };
        }
        generations_.resize(cluster_.controls().size());
    }

    void run()
    {
        cluster_.start_all();
        advance(seconds(5));
        for (int step = 0; step < 15; ++step) {
            advance(milliseconds(400));
            act();
        }
        for (int step = 0; step < 250; ++step) {
            advance(milliseconds(50 + pick(400)));
            act();
            disturb();
        }
        heal();
        calm_ = true;
        advance(seconds(75));
        check_converged();
        check_drain();
        const auto before = identities();
        node_process& leaving = check_leaving();
        node_process& lost = check_loss();
        node_process& flapping = check_flapping();
        advance(seconds(14));
        check_converged();
        check_undisturbed(before, {&leaving, &lost, &flapping});
    }

    [[nodiscard]] const control_checker& checker() const noexcept { return checker_; }
    [[nodiscard]] std::size_t faults() const noexcept { return faults_; }
    /// Answers of each status, to show that a run brings all of them about.
    [[nodiscard]] std::size_t answers(patch_status s) const { return answers_[static_cast<std::size_t>(s)]; }
    /// Sum of a counter over all processes.
    [[nodiscard]] std::uint64_t total(event e)
    {
        std::uint64_t sum = 0;
        for (const auto& c : cluster_.controls()) {
            sum += c->counted.get(e) + (c->role ? c->role->log().counts().get(e) : 0);
        }
        for (const auto& n : cluster_.nodes()) {
            sum += n->counted.get(e);
        }
        return sum;
    }

private:
    using milliseconds = std::chrono::milliseconds;
    using seconds = std::chrono::seconds;

    // One operator: at most one patch in work, and one attempt for it at a time.
    struct patch_operator {
        std::optional<wire::patch> patch;
        std::size_t process = 0;
        std::uint64_t generation = 0;
        ticket waiting;
        time_point asked;
        int attempts = 0;
        /// How long the operator waits for an answer before it sends the patch again.
        std::chrono::milliseconds patience{3000};
        /// The fate of the patch is known, but it is sent again.
        bool known = false;
    };

    std::size_t pick(std::size_t n) { return random_() % n; }
    bool chance(std::size_t percent) { return pick(100) < percent; }

    cluster_shape random_shape()
    {
        cluster_shape shape;
        shape.controls = 3 + pick(5);
        shape.balancers = 2 + pick(4);
        shape.zones = std::min<std::size_t>(shape.balancers, 2 + pick(2));
        shape.agents = 4 + pick(7);
        shape.services = 1 + pick(3);
        shape.snapshot_after = static_cast<std::int64_t>(10 + pick(100));
        shape.answer_timeout = milliseconds(1000 + pick(9000));
        return shape;
    }

    void advance(std::chrono::microseconds d)
    {
        cluster_.net().run_for(d);
        if (auto* leader = cluster_.leader(); leader != nullptr && checker_.highest_version() > 0) {
            const auto s =
                leader->role->status(cluster_.net().now(), config_version{checker_.highest_version()});
            checker_.on_status(s, cluster_.nodes(), leader->role->table());
        }
    }

    [[nodiscard]] static std::size_t index_of(const control_process& c)
    {
        return (c.address.address & 0xffffU) - 1;
    }

    void observe_control(control_process& c)
    {
        const std::size_t process = index_of(c);
        checker_.on_control(cluster_.net().now(), process, c.role->table());
        for (const operator_answer& a : c.role->take_answers()) {
            for (patch_operator& o : operators_) {
                if (o.waiting == a.id && o.process == process && o.generation == generations_[process] &&
                    o.patch) {
                    take_answer(o, a.patch);
                }
            }
            if (drain_ticket_ == a.id && a.id.valid()) {
                drain_answer_ = a.patch;
            }
        }
    }

    void take_answer(patch_operator& o, const patch_answer& a)
    {
        checker_.on_answer(*o.patch, a);
        ++answers_[static_cast<std::size_t>(a.status)];
        o.waiting = {};
        const bool done = a.status != patch_status::outcome_unknown && a.status != patch_status::not_accepted;
        // Some operators ask again for what they know, as a script does that lost its notes.
        o.known = done;
        if (done && !chance(25)) {
            o.patch.reset();
        }
    }

    void act()
    {
        for (patch_operator& o : operators_) {
            if (o.waiting.valid() && cluster_.net().now() - o.asked > o.patience) {
                o.waiting = {};
            }
            if (o.waiting.valid() || !chance(60)) {
                continue;
            }
            if (!o.patch || (o.attempts > 8 && chance(20))) {
                new_patch(o);
            }
            attempt(o);
        }
    }

    void new_patch(patch_operator& o)
    {
        wire::patch p;
        p.patch_id = "patch-" + std::to_string(next_patch_++);
        const auto& c = *cluster_.controls()[pick(cluster_.controls().size())];
        p.base = c.role ? c.role->table().version().value : static_cast<std::int64_t>(pick(5));
        wire::patch_operation op;
        const std::size_t number = pick(cluster_.shape().services + 3);
        op.name = control_cluster::service_name(number);
        const bool exists = c.role && c.role->table().find_service(op.name).has_value();
        const bool needed = number < cluster_.shape().services;
        op.kind = static_cast<std::int8_t>(!exists ? 1 : (needed || chance(60) ? 2 : 3));
        if (op.kind != 3) {
            wire::service_entry value;
            value.name = op.name;
            // Neighbouring services share some of these addresses, so that overlap and quarantine occur.
            const auto address = static_cast<std::uint32_t>((number * 4) + pick(5));
            value.addresses.push_back(to_wire(endpoint{0x0a000000U + address, 80}));
            op.__set_value(value);
        }
        p.operations.push_back(op);
        o.patch = p;
        o.attempts = 0;
        o.known = false;
    }

    void attempt(patch_operator& o)
    {
        o.process = pick(cluster_.controls().size());
        if (auto* leader = cluster_.leader(); leader != nullptr && chance(o.known ? 20 : 70)) {
            o.process = index_of(*leader);
        }
        control_process& c = *cluster_.controls()[o.process];
        if (!c.role || !cluster_.net().is_alive(c.address)) {
            return;
        }
        o.generation = generations_[o.process];
        o.asked = cluster_.net().now();
        o.patience = milliseconds(2000 + pick(10000));
        checker_.on_attempt(*o.patch);
        o.waiting = c.role->submit_patch(o.asked, skewed_wall(), *o.patch, o.attempts++ == 0);
        cluster_.flush_control(c);
    }

    // Clocks of the control processes differ, and may jump back.
    wall_time skewed_wall() { return cluster_.wall() - milliseconds(pick(20000)); }

    void disturb()
    {
        if (!chance(45)) {
            return;
        }
        ++faults_;
        auto& net = cluster_.net();
        auto& nodes = cluster_.nodes();
        node_process& node = *nodes[pick(nodes.size())];
        const std::size_t process = pick(cluster_.controls().size());
        switch (pick(12)) {
        case 0: stop_or_start_control(process); break;
        case 1: start_all_stopped(); break;
        case 2: stop_or_start(node); break;
        case 3: net.freeze(node.address, net.now() + milliseconds(pick(9000))); break;
        case 4:
            net.freeze(cluster_.controls()[process]->address, net.now() + milliseconds(pick(5000)));
            break;
        case 5: cut_zone(pick(cluster_.shape().zones)); break;
        case 6: cut_at_random(); break;
        case 7:
        case 8: net.heal_all(); break;
        case 9: lose_disk(process); break;
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
                    net.freeze(leader->address, net.now() + milliseconds(pick(20000)));
                }
            }
        }
    }

    void start_control(std::size_t i)
    {
        ++generations_[i];
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

    void stop_or_start(node_process& n)
    {
        if (n.link) {
            cluster_.kill_node(n);
        } else {
            cluster_.start_node(n);
        }
    }

    // A disk may be lost only when the last loss is repaired: all processes vote and agree on the members.
    void lose_disk(std::size_t i)
    {
        for (const auto& c : cluster_.controls()) {
            if (!c->role || !cluster_.net().is_alive(c->address)) {
                return;
            }
            const auto& members = c->role->log().members();
            for (const auto& other : cluster_.controls()) {
                if (std::ranges::none_of(members, [&](const wire::member& m) {
                        return m.voter && m.folder_id == other->disk->folder();
                    })) {
                    return;
                }
            }
        }
        cluster_.kill_control(i);
        cluster_.controls()[i]->disk->wipe();
        start_control(i);
    }

    std::vector<endpoint> all_hosts()
    {
        std::vector<endpoint> all;
        for (const auto& c : cluster_.controls()) {
            all.push_back(c->address);
        }
        for (const auto& n : cluster_.nodes()) {
            all.push_back(n->address);
        }
        return all;
    }

    void cut_zone(std::size_t zone)
    {
        std::vector<endpoint> inside;
        std::vector<endpoint> outside;
        for (const endpoint& at : all_hosts()) {
            (cluster_.zone_of(at) == zone ? inside : outside).push_back(at);
        }
        cluster_.net().cut_groups(inside, outside, true);
    }

    void cut_at_random()
    {
        const auto all = all_hosts();
        for (std::size_t i = 0; i < all.size(); ++i) {
            cluster_.net().cut(all[pick(all.size())], all[pick(all.size())], true);
        }
    }

    void start_all_stopped()
    {
        for (std::size_t i = 0; i < cluster_.controls().size(); ++i) {
            if (!cluster_.controls()[i]->role) {
                start_control(i);
            }
        }
        for (auto& n : cluster_.nodes()) {
            if (!n->link) {
                cluster_.start_node(*n);
            }
        }
    }

    void heal()
    {
        cluster_.net().heal_all();
        for (auto& n : cluster_.nodes()) {
            // Nodes that were told to leave have done so.
            if (n->link && n->link->state() != node_state::active) {
                cluster_.kill_node(*n);
            }
        }
        start_all_stopped();
    }

    control_process& calm_leader()
    {
        auto* leader = cluster_.leader();
        control_checker::require(leader != nullptr, "no leader in a calm network", 0);
        return *leader;
    }

    void check_converged()
    {
        control_process& leader = calm_leader();
        const table_state& table = leader.role->table();
        checker_.at_end(table);
        for (const auto& n : cluster_.nodes()) {
            const bool has_service =
                n->kind == node_role::balancer || table.find_service(n->service).has_value();
            control_checker::require(!has_service || n->link->ready(), n->name + ": not ready at the end",
                                     n->link->table().current_revision().value);
        }
        for (const auto& c : cluster_.controls()) {
            control_checker::require(c->role->table().current_revision() == table.current_revision(),
                                     c->name + ": not at the leader's revision at the end",
                                     c->role->table().current_revision().value);
        }
        for (const auto& n : cluster_.nodes()) {
            control_checker::require(n->link->table().current_revision() == table.current_revision(),
                                     n->name + ": not at the leader's revision at the end",
                                     n->link->table().current_revision().value);
        }
        const auto s = leader.role->status(cluster_.net().now(), table.version());
        control_checker::require(s.known, "a leader does not know the status at the end", 0);
        control_checker::require(s.lagging.empty(), "a node lags at the end",
                                 static_cast<std::int64_t>(s.lagging.size()));
        control_checker::require(s.unreachable.empty(), "a node is unreachable at the end",
                                 static_cast<std::int64_t>(s.unreachable.size()));
        control_checker::require(s.everywhere, "status is not in force everywhere at the end", 0);
    }

    // A drained target must be out of all ready tables within 5 s of the acceptance.
    void check_drain()
    {
        control_process& leader = calm_leader();
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
        advance(seconds(5));
        for (const auto& n : cluster_.nodes()) {
            const auto& seen = n->link->table().targets();
            const auto it = seen.find(id);
            control_checker::require(!n->link->ready() || it == seen.end() || it->second.draining,
                                     n->name + ": offers a target 5 s after its drain", id.value);
        }
    }

    // An agent that restarts all the time for 30 s may join at 0, 1, 3, 7, 15 and 31 s, and once more for a
    // join that was on its way.
    node_process& check_flapping()
    {
        node_process& n = agent(0);
        if (!calm_leader().role->table().find_service(n.service)) {
            return n;
        }
        const std::size_t before = checker_.joins_of(n.address);
        const time_point end = cluster_.net().now() + seconds(30);
        while (cluster_.net().now() < end) {
            cluster_.kill_node(n);
            cluster_.start_node(n);
            advance(milliseconds(1200 + pick(600)));
        }
        const std::size_t joins = checker_.joins_of(n.address) - before;
        control_checker::require(joins >= 1 && joins <= 7, "joins of a flapping target in 30 s",
                                 static_cast<std::int64_t>(joins));
        advance(seconds(60));
        return n;
    }

    node_process& agent(std::size_t i) { return *cluster_.nodes()[cluster_.shape().balancers + i]; }

    bool registered(incarnation id)
    {
        const table_state& table = calm_leader().role->table();
        return id.valid() && (table.targets().contains(id) || table.nodes().contains(id));
    }

    // A node that leaves is out of the table within 5 s.
    node_process& check_leaving()
    {
        node_process& n = agent(1);
        const incarnation id = n.link->id();
        n.link->set_state(node_state::leaving);
        advance(seconds(5));
        control_checker::require(!registered(id), n.name + ": registered 5 s after it began to leave",
                                 id.value);
        cluster_.kill_node(n);
        cluster_.start_node(n);
        return n;
    }

    // A node that is lost keeps its place for its lease of 6 s; 4 s more allow for reports that are lost.
    node_process& check_loss()
    {
        node_process& n = agent(2);
        const incarnation id = n.link->id();
        const bool before = registered(id);
        cluster_.kill_node(n);
        advance(milliseconds(4500));
        control_checker::require(!before || registered(id), n.name + ": expired too early", id.value);
        advance(milliseconds(5500));
        control_checker::require(!registered(id), n.name + ": registered 10 s after it was lost", id.value);
        cluster_.start_node(n);
        return n;
    }

    std::map<const node_process*, incarnation> identities()
    {
        std::map<const node_process*, incarnation> ids;
        for (const auto& n : cluster_.nodes()) {
            ids[n.get()] = n->link->id();
        }
        return ids;
    }

    // In a calm network no node loses its place because of its lease.
    void check_undisturbed(const std::map<const node_process*, incarnation>& before,
                           const std::set<const node_process*>& disturbed)
    {
        for (const auto& [n, id] : before) {
            control_checker::require(!id.valid() || disturbed.contains(n) || n->link->id() == id,
                                     n->name + ": lost its place in a calm network", id.value);
        }
    }

    std::mt19937_64 random_;
    control_cluster cluster_;
    control_checker checker_;
    std::vector<patch_operator> operators_;
    std::vector<std::uint64_t> generations_;
    std::size_t next_patch_ = 1;
    std::size_t faults_ = 0;
    std::array<std::size_t, 6> answers_{};
    bool calm_ = false;
    ticket drain_ticket_;
    std::optional<patch_answer> drain_answer_;
};

}  // namespace peridotcleat::testing

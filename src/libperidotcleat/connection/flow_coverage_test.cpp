#include "peridotcleat/flow_coverage.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "peridotcleat/segment_agent.h"
#include "testing/fake_segments.h"

namespace peridotcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::decode_fake;
using testing::fake_packet;

constexpr endpoint balancer_address{0x0a010009, 7000};
constexpr endpoint target_address{0x0a010001, 8080};
constexpr endpoint route_address{0xc6120001, 443};
constexpr milliseconds announcement_interval{1200};
constexpr milliseconds max_flow_age{60000};
constexpr milliseconds step{50};

#ifdef __OPTIMIZE__
constexpr std::uint64_t default_seeds = 200;
#else
constexpr std::uint64_t default_seeds = 10;
#endif

std::uint64_t environment_number(const char* name, std::uint64_t default_value)
{
    const char* text = std::getenv(name);  // NOLINT(concurrency-mt-unsafe): one thread
    return text == nullptr ? default_value : std::stoull(text);
}

// Runs one target and the agent beside it, and knows which flows the target holds. The target crashes, leaves
// and starts again, under its former id or a new one; its clock is set; its messages are delayed; the agent
// is killed; another program announces a later start. Throws if the agent denies or resets a flow that the
// target holds.
class target_simulation {
public:
    explicit target_simulation(std::uint64_t seed) : random_(seed)
    {
        if (random_below(2) == 0) {
            start_target();
        }
        start_agent();
    }

    void run()
    {
        for (int i = 0; i < 4000; ++i) {
            now_ += step;
            deliver_messages();
            run_target();
            run_agent();
            use_flows();
        }
    }

    [[nodiscard]] std::size_t opened() const noexcept { return opened_; }
    [[nodiscard]] std::size_t denied() const noexcept { return denied_; }

private:
    struct flow {
        time_point opened_at;
        std::uint32_t target_sequence = 0;
    };

    // A message of the target to the run of the agent at which it was sent.
    struct pending_message {
        std::uint64_t agent_run = 0;
        bool leaves = false;
        target_announcement announcement;
    };

    std::uint64_t random_below(std::uint64_t n) { return random_() % n; }
    // Returns true once in `period` on average.
    bool happens_every(milliseconds period)
    {
        return random_below(static_cast<std::uint64_t>(period / step)) == 0;
    }

    // Target.

    void start_target()
    {
        running_ = true;
        draining_ = false;
        if (random_below(2) == 0) {
            ++id_;
        }
        started_ms_ = clock_ms();
        sequence_ = 0;
        // Some targets have accepted flows before their first announcement.
        next_announcement_ = now_ + milliseconds(random_below(800));
        stop_at_.reset();
    }

    [[nodiscard]] std::int64_t clock_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch() + clock_offset_).count();
    }

    void run_target()
    {
        if (happens_every(seconds(15))) {
            clock_offset_ = milliseconds(random_below(8000)) - seconds(4);
        }
        if (!running_) {
            if (happens_every(milliseconds(700))) {
                start_target();
            }
            return;
        }
        if (happens_every(seconds(12)) || (stop_at_ && now_ >= *stop_at_)) {
            running_ = false;
            held_.clear();
            offered_.clear();
            return;
        }
        if (!draining_ && happens_every(seconds(20))) {
            draining_ = true;
        }
        if (draining_ && !stop_at_ && happens_every(seconds(3))) {
            stop_at_ = now_ + milliseconds(random_below(300));
            send_message(true);
        }
        if (!stop_at_ && now_ >= next_announcement_) {
            next_announcement_ = now_ + announcement_interval;
            send_message(false);
        }
    }

    void send_message(bool leaves)
    {
        if (!agent_) {
            return;
        }
        pending_message m;
        m.agent_run = agent_run_;
        m.leaves = leaves;
        m.announcement.id = "i-" + std::to_string(id_);
        m.announcement.service = "live";
        m.announcement.address = target_address;
        m.announcement.started_ms = started_ms_;
        m.announcement.age = milliseconds(clock_ms() - started_ms_);
        m.announcement.sequence = ++sequence_;
        m.announcement.slots = 100;
        m.announcement.draining = draining_;
        const milliseconds delay(random_below(10) == 0 ? random_below(5000) : random_below(20));
        messages_.emplace(now_ + delay, std::move(m));
    }

    void deliver_messages()
    {
        while (!messages_.empty() && messages_.begin()->first <= now_) {
            const pending_message m = messages_.extract(messages_.begin()).mapped();
            if (!agent_ || m.agent_run != agent_run_) {
                continue;
            }
            if (m.leaves) {
                (void)agent_->on_target_left(now_, m.announcement.id, out_);
            } else {
                (void)agent_->on_announcement(now_, m.announcement, out_);
            }
            carry_out();
        }
    }

    void on_target(const std::string& packet)
    {
        if (!running_) {
            return;
        }
        segment s = *decode_fake(packet);
        segment answer;
        answer.key = reversed(s.key);
        answer.acknowledges = true;
        if (s.opens) {
            answer.opens = true;
            answer.sequence = 5000;
        } else if (held_.contains(s.key) || offered_.contains(s.key)) {
            if (offered_.erase(s.key) != 0) {
                held_[s.key] = {now_, 5000};
                ++opened_;
            }
            answer.sequence = 5001;
        } else {
            s.returned = true;
            agent_->on_target_packet(now_, fake_packet(s), out_);
            return;
        }
        if (s.opens) {
            offered_.insert(s.key);
        }
        agent_->on_target_packet(now_, fake_packet(answer, s.opens ? "" : "answer"), out_);
    }

    // Agent.

    void start_agent()
    {
        ++agent_run_;
        segment_agent_settings s;
        s.service = "live";
        s.target = target_address;
        s.caller_port = 8172;
        s.format = testing::fake_format;
        s.announcement_interval = announcement_interval;
        s.max_flow_age = max_flow_age;
        agent_ = std::make_unique<segment_agent>(s, now_, counted_);
        if (!running_) {
            agent_->on_port_closed_at_start();
        }
    }

    void run_agent()
    {
        if (!agent_) {
            if (happens_every(milliseconds(500))) {
                start_agent();
            }
            return;
        }
        if (happens_every(seconds(20))) {
            agent_.reset();
            out_.clear();
            return;
        }
        if (happens_every(seconds(30))) {
            announce_other_start();
        }
        if (agent_->needs_port_check() && !running_) {
            agent_->on_port_closed(now_, out_);
        }
        agent_->on_tick(now_, out_);
        carry_out();
    }

    // Another program announces a start of a target at this address that does not exist.
    void announce_other_start()
    {
        target_announcement a;
        a.id = "i-other";
        a.service = "live";
        a.address = target_address;
        a.started_ms = clock_ms() + static_cast<std::int64_t>(random_below(20'000)) - 10'000;
        a.age = milliseconds(random_below(2000));
        a.sequence = static_cast<std::int64_t>(1 + random_below(3));
        a.slots = 100;
        (void)agent_->on_announcement(now_, a, out_);
        carry_out();
    }

    // Carries out what the agent has sent, until it sends nothing more.
    void carry_out()
    {
        while (!out_.packets.empty()) {
            const auto packets = std::exchange(out_.packets, {});
            for (const packet_send& p : packets) {
                if (p.to == target_address) {
                    on_target(p.packet);
                } else if (const segment s = *decode_fake(p.packet); s.resets) {
                    check_not_held(reversed(s.key), "was reset");
                }
            }
        }
        for (const send_action& s : out_.sends) {
            if (const auto* answers = std::get_if<wire::segment_answers>(&s.body)) {
                for (const wire::segment_answer& a : answers->flows) {
                    check_answer(from_wire(a.key), a.outcome);
                }
            } else if (const auto* report = std::get_if<wire::segment_report>(&s.body)) {
                check_answer(from_wire(report->key), report->outcome);
            }
        }
        out_.clear();
    }

    void check_answer(const flow_key& key, std::int8_t outcome)
    {
        if (outcome == static_cast<std::int8_t>(segment_outcome::absent)) {
            ++denied_;
            check_not_held(key, "was denied");
        }
    }

    void check_not_held(const flow_key& key, const std::string& event) const
    {
        const auto it = held_.find(key);
        if (it != held_.end() && now_ - it->second.opened_at < max_flow_age) {
            throw std::runtime_error("flow of a running target " + event + " at " +
                                     std::to_string(now_.time_since_epoch() / milliseconds(1)));
        }
    }

    // Flows.

    void use_flows()
    {
        if (!agent_) {
            return;
        }
        if (random_below(4) == 0) {
            keys_.push_back({{0x64400000 + next_caller_++, 1024}, route_address});
            forward(keys_.back(), segment_purpose::place, true);
            if (random_below(4) != 0) {
                forward(keys_.back(), segment_purpose::held, false);
            }
        }
        if (keys_.empty()) {
            return;
        }
        const std::size_t recent = std::min<std::size_t>(keys_.size(), 200);
        const flow_key key = keys_[keys_.size() - 1 - random_below(recent)];
        switch (random_below(4)) {
        case 0: forward(key, segment_purpose::held, false); break;
        case 1: forward(key, segment_purpose::search, false); break;
        default: query(key);
        }
    }

    void forward(const flow_key& key, segment_purpose purpose, bool opens)
    {
        segment s;
        s.key = key;
        s.opens = opens;
        s.ack_number = opens ? 0 : 5001;
        wire::segment_forward m;
        m.packet = fake_packet(s, opens ? "" : "request");
        m.service_key = service_key("live");
        m.purpose = static_cast<std::int8_t>(purpose);
        agent_->on_message(now_, balancer_address, m, out_);
        carry_out();
    }

    void query(const flow_key& key)
    {
        wire::segment_question question;
        question.key = to_wire(key);
        question.acknowledged = 5001;
        wire::segment_query q;
        q.service_key = service_key("live");
        q.flows = {question};
        agent_->on_message(now_, balancer_address, q, out_);
        carry_out();
    }

    std::mt19937_64 random_;
    time_point now_{seconds(1000)};
    counters counted_;
    outbox out_;
    std::unique_ptr<segment_agent> agent_;
    std::uint64_t agent_run_ = 0;
    std::multimap<time_point, pending_message> messages_;

    bool running_ = false;
    bool draining_ = false;
    std::uint64_t id_ = 1;
    std::int64_t started_ms_ = 0;
    std::int64_t sequence_ = 0;
    time_point next_announcement_;
    std::optional<time_point> stop_at_;
    milliseconds clock_offset_{0};

    std::vector<flow_key> keys_;
    std::uint32_t next_caller_ = 0;
    std::set<flow_key> offered_;
    std::map<flow_key, flow> held_;
    std::size_t opened_ = 0;
    std::size_t denied_ = 0;
};

// Guards against an agent that denies or resets a flow that its target holds (rule FLOW), whatever it is told
// of starts, ends and times.
TEST(flow_coverage, a_flow_of_a_running_target_is_never_denied)
{
    const auto first = environment_number("PERIDOTCLEAT_FIRST_SEED", 1);
    const auto seeds = environment_number("PERIDOTCLEAT_SEEDS", default_seeds);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        target_simulation simulation(seed);
        try {
            simulation.run();
        } catch (const std::exception& e) {
            ADD_FAILURE() << "seed " << seed << ": " << e.what();
            continue;
        }
        EXPECT_GT(simulation.opened(), 50U) << "in the run of seed " << seed;
        EXPECT_GT(simulation.denied(), 20U) << "in the run of seed " << seed;
    }
}

}  // namespace
}  // namespace peridotcleat

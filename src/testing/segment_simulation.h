#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peridotcleat/hash.h"
#include "peridotcleat/segment_agent.h"
#include "peridotcleat/segment_balancer.h"
#include "testing/fake_segments.h"

namespace peridotcleat::testing {

/// Size of a simulated fleet and the work of its requests.
struct segment_fleet {
    std::size_t balancers = 17;
    std::size_t targets = 44;
    std::size_t zones = 3;
    std::uint32_t slots = 2;
    /// Requests that a target queues while its slots are taken; it sheds further ones.
    std::size_t queue = 8;
    std::chrono::microseconds work{43000};
    std::chrono::microseconds delay_in_zone{200};
    std::chrono::microseconds delay_between_zones{3900};
    std::chrono::microseconds delay_to_caller{1000};
};

/// Runs balancers and agents in simulated time, with targets that have slots and a queue, and with callers
/// that open one flow for each request. A caller resends an opening packet after 200 and 600 ms and does not
/// retry.
class segment_simulation {
public:
    enum class target_fault : std::uint8_t { none, fails_at_once, slow, dark };

    /// Outcomes of the requests that began in one period.
    struct outcome {
        std::size_t sent = 0;
        std::size_t served = 0;
        /// Requests that reached a target and were shed there.
        std::size_t shed = 0;
        /// Flows that were reset before a target had the request.
        std::size_t refused = 0;
        /// Requests that a target failed.
        std::size_t failed = 0;
        /// Times from the first opening packet to the answer.
        std::vector<std::chrono::microseconds> latencies;
        /// Time until a refusal, at most.
        std::chrono::microseconds slowest_refusal{0};
        /// Requests by target.
        std::vector<std::size_t> arrivals;

        [[nodiscard]] std::chrono::microseconds latency(double quantile)
        {
            std::ranges::sort(latencies);
            return latencies.empty() ? std::chrono::microseconds(0)
                                     : latencies[static_cast<std::size_t>(
                                           quantile * static_cast<double>(latencies.size() - 1))];
        }
        [[nodiscard]] double shed_share() const
        {
            return sent == 0 ? 0 : static_cast<double>(shed) / static_cast<double>(sent);
        }
    };

    explicit segment_simulation(segment_fleet fleet, std::uint64_t seed = 1) : fleet_(fleet), random_(seed)
    {
        build_table();
        for (std::size_t i = 0; i < fleet_.targets; ++i) {
            targets_.push_back(std::make_unique<target_host>(agent_settings(i), now_, counted_));
        }
        for (std::size_t i = 0; i < fleet_.balancers; ++i) {
            segment_balancer_settings s;
            s.zone = zone_name(i);
            s.caller_port = caller_port;
            s.format = fake_format;
            balancers_.push_back(std::make_unique<segment_balancer>(s, counted_));
            balancers_.back()->set_routes(flow_routes::build(table_));
        }
        for (std::size_t i = 0; i < fleet_.targets; ++i) {
            // Ticks of different nodes are not aligned.
            schedule(random_below(50'000), [this, i] { tick_target(i); });
            schedule(random_below(700'000), [this, i] { announce(i); });
            announce_now(i);
        }
        for (std::size_t i = 0; i < fleet_.balancers; ++i) {
            schedule(random_below(50'000), [this, i] { tick_balancer(i); });
        }
    }

    /// Sends `per_second` requests a second for `duration`, then waits for their outcomes.
    outcome run(double per_second, std::chrono::milliseconds duration)
    {
        outcome result;
        result.arrivals.resize(fleet_.targets);
        current_ = &result;
        const time_point end = now_ + duration;
        std::exponential_distribution<double> gap(per_second);
        for (time_point at = now_; at < end;) {
            at += std::chrono::microseconds(static_cast<std::int64_t>(gap(random_) * 1e6) + 1);
            events_.emplace(at, [this] { begin_request(); });
        }
        run_until(end + std::chrono::seconds(2));
        current_ = nullptr;
        return result;
    }

    void set_fault(std::size_t target, target_fault fault) { targets_[target]->fault = fault; }

private:
    static constexpr std::uint16_t caller_port = 8172;
    static constexpr endpoint service_address{0xc6120001, 443};

    struct request {
        time_point began;
        std::size_t balancer = 0;
        std::size_t zone = 0;
        bool accepted = false;
        bool finished = false;
    };

    struct target_host {
        target_host(const segment_agent_settings& s, time_point now, counters& counted)
            : agent(s, now, counted)
        {
        }
        segment_agent agent;
        target_fault fault = target_fault::none;
        std::uint32_t running = 0;
        std::deque<flow_key> queue;
        std::int64_t announcements = 0;
    };

    [[nodiscard]] std::size_t zone_of(std::size_t index) const { return index % fleet_.zones; }
    [[nodiscard]] std::string zone_name(std::size_t index) const
    {
        return "zone-" + std::to_string(zone_of(index));
    }
    static endpoint agent_address(std::size_t i)
    {
        return {0x0a010000 + static_cast<std::uint32_t>(i), 7000};
    }
    static endpoint target_address(std::size_t i)
    {
        return {0x0a010000 + static_cast<std::uint32_t>(i), 8080};
    }
    static endpoint balancer_address(std::size_t i)
    {
        return {0x0a020000 + static_cast<std::uint32_t>(i), 7000};
    }

    std::int64_t random_below(std::int64_t n)
    {
        return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(n));
    }

    segment_agent_settings agent_settings(std::size_t i) const
    {
        segment_agent_settings s;
        s.service = "live";
        s.target = target_address(i);
        s.caller_port = caller_port;
        s.format = fake_format;
        s.announcement_interval = std::chrono::milliseconds(770);
        return s;
    }

    void build_table()
    {
        wire::change description;
        description.time_ms = 1000;
        wire::replacement r;
        r.version = 1;
        r.services = {"live"};
        wire::replacement_route route;
        route.address = to_wire(service_address);
        wire::route_backend b;
        b.service_id = 0;
        b.weight = 1;
        route.backends.push_back(b);
        r.routes.push_back(route);
        description.__set_replace(r);
        table_.apply(revision{++revision_}, description);
        for (std::size_t i = 0; i < fleet_.targets; ++i) {
            wire::change c;
            wire::target_join j;
            j.value.service_id = table_.find_service("live")->value;
            j.value.agent = to_wire(agent_address(i));
            j.value.zone = zone_name(i);
            j.value.slots = static_cast<std::int32_t>(fleet_.slots);
            j.value.connections = 2000;
            j.value.nonce = static_cast<std::int64_t>(i) + 1;
            j.value.name = "side-" + std::to_string(i);
            c.__set_join_target(j);
            table_.apply(revision{++revision_}, c);
        }
    }

    void schedule(std::int64_t delay_us, std::function<void()> action)
    {
        events_.emplace(now_ + std::chrono::microseconds(delay_us), std::move(action));
    }
    void schedule(std::chrono::microseconds delay, std::function<void()> action)
    {
        schedule(delay.count(), std::move(action));
    }

    void run_until(time_point end)
    {
        while (!events_.empty() && events_.begin()->first <= end) {
            auto event = events_.extract(events_.begin());
            now_ = std::max(now_, event.key());
            event.mapped()();
        }
        now_ = end;
    }

    [[nodiscard]] std::chrono::microseconds delay(std::size_t zone_a, std::size_t zone_b) const
    {
        return zone_a == zone_b ? fleet_.delay_in_zone : fleet_.delay_between_zones;
    }

    void tick_target(std::size_t i)
    {
        outbox out;
        targets_[i]->agent.on_tick(now_, out);
        dispatch_target(i, out);
        schedule(50'000, [this, i] { tick_target(i); });
    }

    void tick_balancer(std::size_t i)
    {
        outbox out;
        balancers_[i]->on_tick(now_, std::chrono::milliseconds(100), out);
        dispatch_balancer(i, out);
        schedule(50'000, [this, i] { tick_balancer(i); });
    }

    void announce(std::size_t i)
    {
        announce_now(i);
        schedule(770'000, [this, i] { announce(i); });
    }

    void announce_now(std::size_t i)
    {
        if (targets_[i]->fault == target_fault::dark) {
            return;
        }
        target_announcement a;
        a.id = "i-" + std::to_string(i);
        a.service = "live";
        a.address = target_address(i);
        a.started_ms = 1;
        a.sequence = ++targets_[i]->announcements;
        a.slots = fleet_.slots;
        outbox out;
        (void)targets_[i]->agent.on_announcement(now_, a, out);
        dispatch_target(i, out);
    }

    void begin_request()
    {
        const auto balancer =
            static_cast<std::size_t>(random_below(static_cast<std::int64_t>(balancers_.size())));
        const auto number = static_cast<std::uint32_t>(next_request_++);
        const flow_key key{
            {0x64400000 + (number / 50'000), static_cast<std::uint16_t>(1024 + (number % 50'000))},
            service_address};
        requests_[key] = {now_, balancer, zone_of(balancer)};
        ++current_->sent;
        for (const std::int64_t resent_after_us : {0, 200'000, 600'000}) {
            schedule(resent_after_us + fleet_.delay_to_caller.count(), [this, key] {
                if (!requests_[key].accepted && !requests_[key].finished) {
                    send_from_caller(key, true, 0);
                }
            });
        }
    }

    void send_from_caller(const flow_key& key, bool opens, std::uint32_t ack_number)
    {
        segment s;
        s.key = key;
        s.opens = opens;
        s.acknowledges = !opens;
        s.ack_number = ack_number;
        outbox out;
        const std::size_t i = requests_[key].balancer;
        balancers_[i]->on_packet(now_, fake_packet(s, opens ? "" : "request"), std::chrono::milliseconds(100),
                                 out);
        dispatch_balancer(i, out);
    }

    void dispatch_balancer(std::size_t i, outbox& out)
    {
        balancers_[i]->send_queries(now_, out);
        for (send_action& s : out.sends) {
            const std::size_t t = s.to.address - agent_address(0).address;
            schedule(delay(zone_of(i), zone_of(t)), [this, i, t, m = std::move(s.body)] {
                outbox reaction;
                targets_[t]->agent.on_message(now_, balancer_address(i), m, reaction);
                dispatch_target(t, reaction);
            });
        }
        for (const packet_send& p : out.packets) {
            deliver_to_caller(p.packet, 0);
        }
    }

    void dispatch_target(std::size_t t, outbox& out)
    {
        for (send_action& s : out.sends) {
            const std::size_t i = s.to.address - balancer_address(0).address;
            schedule(delay(zone_of(i), zone_of(t)), [this, i, t, m = std::move(s.body)] {
                outbox reaction;
                balancers_[i]->on_message(now_, agent_address(t), m, reaction);
                dispatch_balancer(i, reaction);
            });
        }
        for (const packet_send& p : out.packets) {
            if (p.to == target_address(t)) {
                on_target(t, *decode_fake(p.packet));
            } else {
                deliver_to_caller(p.packet, t);
            }
        }
    }

    void on_target(std::size_t t, const segment& s)
    {
        target_host& host = *targets_[t];
        if (host.fault == target_fault::dark) {
            return;
        }
        if (s.opens) {
            send_from_target(t, s.key, true, "");
        } else if (s.length > 0) {
            ++current_->arrivals[t];
            if (host.fault == target_fault::fails_at_once) {
                send_from_target(t, s.key, false, "failed");
            } else if (host.running < fleet_.slots) {
                start_work(t, s.key);
            } else if (host.queue.size() < fleet_.queue) {
                host.queue.push_back(s.key);
            } else {
                send_from_target(t, s.key, false, "shed");
            }
        }
    }

    void start_work(std::size_t t, const flow_key& key)
    {
        ++targets_[t]->running;
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        const double factor = spread(random_) * (targets_[t]->fault == target_fault::slow ? 5 : 1);
        schedule(static_cast<std::int64_t>(static_cast<double>(fleet_.work.count()) * factor),
                 [this, t, key] {
                     target_host& host = *targets_[t];
                     --host.running;
                     send_from_target(t, key, false, "answer");
                     if (!host.queue.empty()) {
                         const flow_key next = host.queue.front();
                         host.queue.pop_front();
                         start_work(t, next);
                     }
                 });
    }

    void send_from_target(std::size_t t, const flow_key& key, bool opens, const std::string& data)
    {
        segment s;
        s.key = reversed(key);
        s.opens = opens;
        s.acknowledges = true;
        s.finishes = !opens;
        s.sequence = 1000 + static_cast<std::uint32_t>(t << 24U);
        outbox out;
        targets_[t]->agent.on_target_packet(now_, fake_packet(s, data), out);
        dispatch_target(t, out);
    }

    void deliver_to_caller(const std::string& packet, std::size_t t)
    {
        schedule(fleet_.delay_to_caller + (delay(0, 0)), [this, packet, t] { on_caller(packet, t); });
    }

    void on_caller(const std::string& packet, std::size_t /*t*/)
    {
        const segment s = *decode_fake(packet);
        const flow_key key = reversed(s.key);
        request& r = requests_[key];
        if (r.finished || current_ == nullptr) {
            return;
        }
        const std::string data = packet.substr(sizeof(segment));
        if (s.resets) {
            r.finished = true;
            ++current_->refused;
            current_->slowest_refusal = std::max(current_->slowest_refusal, elapsed(r));
        } else if (s.opens && !r.accepted) {
            r.accepted = true;
            schedule(fleet_.delay_to_caller,
                     [this, key, first = s.sequence] { send_from_caller(key, false, first + 1); });
        } else if (!data.empty()) {
            r.finished = true;
            current_->served += data == "answer" ? 1 : 0;
            current_->shed += data == "shed" ? 1 : 0;
            current_->failed += data == "failed" ? 1 : 0;
            if (data == "answer") {
                current_->latencies.push_back(elapsed(r));
            }
        }
    }

    [[nodiscard]] std::chrono::microseconds elapsed(const request& r) const
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(now_ - r.began);
    }

    segment_fleet fleet_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::seconds(1000)};
    std::multimap<time_point, std::function<void()>> events_;
    counters counted_;
    table_state table_;
    std::int64_t revision_ = 0;
    std::vector<std::unique_ptr<target_host>> targets_;
    std::vector<std::unique_ptr<segment_balancer>> balancers_;
    std::unordered_map<flow_key, request, flow_key_hash> requests_;
    std::uint64_t next_request_ = 0;
    outcome* current_ = nullptr;
};

}  // namespace peridotcleat::testing

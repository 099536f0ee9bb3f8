// Stand-in for the callers of one service: keeps flows open, sends notes (not idempotent) and pulls charts
// (idempotent, answered in parts), and checks each answer.

#include <Poco/JSON/Object.h>
#include <Poco/Net/DatagramSocket.h>

#include <array>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

#include "peridotcleat/caller.h"
#include "peridotcleat/daemon.h"
#include "peridotcleat/event_loop.h"
#include "peridotcleat/net_address.h"
#include "peridotcleat/settings.h"

namespace {

using namespace peridotcleat;
using namespace std::chrono_literals;

constexpr const char* usage = R"(Stand-in for the callers of one service.

Usage:
  peridotcleat-caller --service=A --name=S --local=A --summary=F [options]

Options:
  --service=A     Address of the service.
  --name=S        Name of the service; part of each request's body.
  --local=A       First local address; each caller takes the next one, and ports from the given one.
  --summary=F     File that gets the results as JSON.
  --callers=N     Number of callers, each with one long flow [default: 20].
  --seconds=N     Time during which requests are sent [default: 20].
  --interval-ms=N Mean time between two requests of a caller [default: 200].
  --deadline-ms=N Deadline of a request [default: 5000].
  --seed=N        Seed [default: 1].
  --help          Prints this text.
  --version       Prints the version.
)";

// What the callers saw.
struct summary {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t failed = 0;
    std::uint64_t outcome_unknown = 0;
    std::uint64_t short_answers = 0;
    std::uint64_t broken_flows = 0;
    std::uint64_t opened = 0;
    std::map<std::string, std::uint64_t> reasons;
    std::vector<std::string> answered_notes;
    std::vector<std::string> refused_notes;
};

struct pending {
    std::string body;
    bool chart = false;
};

std::string expected_chart(const std::string& name)
{
    std::string text;
    while (text.size() < 20000) {
        text += name + '.';
    }
    text.resize(20000);
    return text;
}

class session {
public:
    session(caller role, endpoint local, endpoint service, std::string name)
        : role_(std::move(role)), local_(local), service_(service), name_(std::move(name))
    {
    }

    void send(const std::vector<caller_send>& packets)
    {
        for (const caller_send& p : packets) {
            auto it = sockets_.find(p.port);
            if (it == sockets_.end()) {
                auto socket = std::make_unique<Poco::Net::DatagramSocket>();
                socket->bind(to_socket_address({local_.address, p.port}), false);
                it = sockets_.emplace(p.port, std::move(socket)).first;
            }
            try {
                it->second->sendTo(p.payload.data(), static_cast<int>(p.payload.size()),
                                   to_socket_address(service_));
            } catch (const Poco::Exception&) {
                // A lost packet; the role retransmits.
            }
        }
    }

    void receive(time_point now)
    {
        std::array<char, max_datagram> buffer{};
        std::vector<caller_send> out;
        for (auto& [port, socket] : sockets_) {
            while (socket->poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
                try {
                    const int n = socket->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                    role_.on_payload(now, port, {buffer.data(), static_cast<std::size_t>(std::max(n, 0))},
                                     out);
                } catch (const Poco::Exception&) {
                    break;
                }
            }
        }
        role_.on_tick(now, out);
        send(out);
        for (const std::uint16_t port : role_.take_released_ports()) {
            sockets_.erase(port);
        }
    }

    void open(time_point now)
    {
        std::vector<caller_send> out;
        role_.open(now, out);
        send(out);
    }

    void close(time_point now)
    {
        std::vector<caller_send> out;
        role_.close(now, out);
        send(out);
    }

    void submit(time_point now, const std::string& id, bool chart, std::chrono::milliseconds deadline)
    {
        std::vector<caller_send> out;
        const std::string body = name_ + ':' + id;
        const auto number = role_.submit(now, {chart ? "chart" : "note", body, chart, deadline}, out);
        pending_[number] = {body, chart};
        send(out);
    }

    void collect(summary& s)
    {
        for (const finished_request& f : role_.take_finished()) {
            const auto it = pending_.find(f.id);
            if (it == pending_.end()) {
                continue;
            }
            count(f, it->second, s);
            pending_.erase(it);
        }
    }

    [[nodiscard]] bool idle() const { return pending_.empty(); }
    [[nodiscard]] const caller& role() const { return role_; }

private:
    static void count(const finished_request& f, const pending& p, summary& s)
    {
        if (f.status != request_status::answered) {
            ++s.reasons[std::string(to_string(f.status)) + '_' + to_string(f.reason)];
        }
        switch (f.status) {
        case request_status::answered: {
            ++s.answered;
            const std::string wanted = p.chart ? expected_chart(p.body) : "done " + p.body;
            s.short_answers += f.body == wanted ? 0 : 1;
            if (!p.chart) {
                s.answered_notes.push_back(p.body);
            }
            break;
        }
        case request_status::not_run:
            ++s.not_run;
            if (!p.chart) {
                s.refused_notes.push_back(p.body);
            }
            break;
        case request_status::failed: ++s.failed; break;
        case request_status::outcome_unknown: ++s.outcome_unknown; break;
        }
    }

    caller role_;
    endpoint local_;
    endpoint service_;
    std::string name_;
    std::map<std::uint16_t, std::unique_ptr<Poco::Net::DatagramSocket>> sockets_;
    std::map<std::uint64_t, pending> pending_;
};

void write_summary(const summary& s, const counters& counted, const std::string& file)
{
    Poco::JSON::Object o(Poco::JSON_PRESERVE_KEY_ORDER);
    o.set("requests", s.requests);
    o.set("answered", s.answered);
    o.set("not_run", s.not_run);
    o.set("failed", s.failed);
    o.set("outcome_unknown", s.outcome_unknown);
    o.set("short_answers", s.short_answers);
    o.set("broken_flows", s.broken_flows);
    o.set("opened", s.opened);
    Poco::JSON::Object reasons;
    for (const auto& [reason, n] : s.reasons) {
        reasons.set(reason, n);
    }
    o.set("reasons", reasons);
    Poco::JSON::Array answered;
    for (const std::string& body : s.answered_notes) {
        answered.add(body);
    }
    o.set("answered_notes", answered);
    Poco::JSON::Array refused;
    for (const std::string& body : s.refused_notes) {
        refused.add(body);
    }
    o.set("refused_notes", refused);
    Poco::JSON::Object counts;
    for (const auto& [name, n] : counted.snapshot()) {
        counts.set(name, n);
    }
    o.set("counters", counts);
    std::ofstream out(file);
    o.stringify(out);
}

struct caller_options {
    endpoint service;
    std::string name;
    endpoint local;
    std::string file;
    std::int64_t callers = 1;
    std::chrono::seconds time{1};
    std::chrono::milliseconds interval{1};
    std::chrono::milliseconds deadline{1};
    std::uint64_t seed = 1;
};

std::vector<session> open_sessions(const caller_options& o, counters& counted)
{
    std::vector<session> sessions;
    for (std::int64_t i = 0; i < o.callers; ++i) {
        caller_settings c;
        c.local = {o.local.address + static_cast<std::uint32_t>(i), o.local.port};
        c.service = o.service;
        c.seed = o.seed * 1000 + static_cast<std::uint64_t>(i);
        auto role = caller::create(c, counted);
        if (!has_value(role)) {
            throw std::runtime_error(failure(role).message);
        }
        sessions.emplace_back(value(std::move(role)), c.local, c.service, o.name);
        sessions.back().open(event_loop::now());
    }
    return sessions;
}

// Sends requests until the time is over, then waits for the last outcomes.
summary drive(const caller_options& o, counters& counted)
{
    std::mt19937_64 random(o.seed);
    summary s;
    std::vector<session> sessions = open_sessions(o, counted);
    const time_point start = event_loop::now();
    std::vector<time_point> next(sessions.size(), start);
    for (;;) {
        const time_point now = event_loop::now();
        const bool sending = now - start < o.time;
        bool idle = true;
        for (std::size_t i = 0; i < sessions.size(); ++i) {
            session& one = sessions[i];
            if (sending && now >= next[i]) {
                const bool chart = random() % 4 == 0;
                one.submit(now, std::to_string(i) + '.' + std::to_string(s.requests), chart, o.deadline);
                ++s.requests;
                next[i] = now + std::chrono::microseconds(
                                    random() % (2000U * static_cast<std::uint64_t>(o.interval.count())));
            }
            one.receive(now);
            one.collect(s);
            idle = idle && one.idle();
        }
        if (!sending && (idle || now - start > o.time + o.deadline + 2s)) {
            break;
        }
        std::this_thread::sleep_for(1ms);
    }
    for (session& one : sessions) {
        s.broken_flows += one.role().broken_flows();
        s.opened += one.role().is_open() ? 1 : 0;
        one.close(event_loop::now());
    }
    return s;
}

int run(settings& s)
{
    caller_options o;
    o.service = s.address("--service");
    o.name = s.text("--name");
    o.local = s.address("--local");
    o.file = s.text("--summary");
    o.callers = s.integer("--callers", 1, 2000);
    o.time = std::chrono::seconds(s.integer("--seconds", 1, 3600));
    o.interval = s.milliseconds("--interval-ms", 1ms, 60000ms);
    o.deadline = s.milliseconds("--deadline-ms", 10ms, 60000ms);
    o.seed = static_cast<std::uint64_t>(s.integer("--seed", 0, INT32_MAX));
    if (!s.report()) {
        return 2;
    }
    counters counted;
    write_summary(drive(o, counted), counted, o.file);
    return 0;
}

}  // namespace

int main(int argc, char** argv) { return run_daemon(argc, argv, usage, "peridotcleat-caller", run); }

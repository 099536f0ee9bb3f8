// Stand-in for the callers of one service: keeps flows open, sends note requests (not idempotent) and chart
// requests (idempotent, answered in parts), and checks each answer.

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

// Results of all requests and flows, as the callers saw them.
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

// A request without a result yet.
struct pending_request {
    std::string body;
    bool chart = false;
};

// Returns the answer that the stand-in upstream gives to a chart request with the body `name`.
std::string expected_chart(const std::string& name)
{
    std::string text;
    while (text.size() < 20000) {
        text += name + '.';
    }
    text.resize(20000);
    return text;
}

// A caller with its sockets, and the requests of which it waits for results.
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
                // The packet counts as lost; the caller retransmits it.
            }
        }
    }

    // Handles all datagrams that have arrived, and the timers of the caller.
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
        const auto request_number = role_.submit(now, {chart ? "chart" : "note", body, chart, deadline}, out);
        pending_[request_number] = {body, chart};
        send(out);
    }

    // Adds the requests that have finished to `s`.
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
    static void count(const finished_request& f, const pending_request& p, summary& s)
    {
        if (f.status != request_status::answered) {
            ++s.reasons[std::string(to_string(f.status)) + '_' + to_string(f.reason)];
        }
        switch (f.status) {
        case request_status::answered: {
            ++s.answered;
            const std::string expected = p.chart ? expected_chart(p.body) : "done " + p.body;
            s.short_answers += f.body == expected ? 0 : 1;
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
    std::map<std::uint64_t, pending_request> pending_;
};

void write_summary(const summary& s, const counters& counted, const std::string& summary_file)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("requests", s.requests);
    object.set("answered", s.answered);
    object.set("not_run", s.not_run);
    object.set("failed", s.failed);
    object.set("outcome_unknown", s.outcome_unknown);
    object.set("short_answers", s.short_answers);
    object.set("broken_flows", s.broken_flows);
    object.set("opened", s.opened);
    Poco::JSON::Object reasons;
    for (const auto& [reason, n] : s.reasons) {
        reasons.set(reason, n);
    }
    object.set("reasons", reasons);
    Poco::JSON::Array answered;
    for (const std::string& body : s.answered_notes) {
        answered.add(body);
    }
    object.set("answered_notes", answered);
    Poco::JSON::Array refused;
    for (const std::string& body : s.refused_notes) {
        refused.add(body);
    }
    object.set("refused_notes", refused);
    Poco::JSON::Object counts;
    for (const auto& [name, n] : counted.snapshot()) {
        counts.set(name, n);
    }
    object.set("counters", counts);
    std::ofstream out(summary_file);
    object.stringify(out);
}

struct caller_options {
    endpoint service;
    std::string name;
    endpoint local;
    std::string summary_file;
    std::int64_t callers = 1;
    std::chrono::seconds duration{1};
    std::chrono::milliseconds interval{1};
    std::chrono::milliseconds deadline{1};
    std::uint64_t seed = 1;
};

std::vector<session> open_sessions(const caller_options& options, counters& counted)
{
    std::vector<session> sessions;
    for (std::int64_t i = 0; i < options.callers; ++i) {
        caller_settings c;
        c.local = {options.local.address + static_cast<std::uint32_t>(i), options.local.port};
        c.service = options.service;
        c.seed = options.seed * 1000 + static_cast<std::uint64_t>(i);
        auto role = caller::create(c, counted);
        if (!has_value(role)) {
            throw std::runtime_error(failure(role).message);
        }
        sessions.emplace_back(value(std::move(role)), c.local, c.service, options.name);
        sessions.back().open(event_loop::now());
    }
    return sessions;
}

// Sends requests for the time in the options, then waits for the results of the last ones, at most 2 s beyond
// their deadline.
summary run_callers(const caller_options& options, counters& counted)
{
    std::mt19937_64 random(options.seed);
    summary s;
    std::vector<session> sessions = open_sessions(options, counted);
    const time_point start = event_loop::now();
    std::vector<time_point> next(sessions.size(), start);
    for (;;) {
        const time_point now = event_loop::now();
        const bool sending = now - start < options.duration;
        bool idle = true;
        for (std::size_t i = 0; i < sessions.size(); ++i) {
            session& current = sessions[i];
            if (sending && now >= next[i]) {
                const bool chart = random() % 4 == 0;
                current.submit(now, std::to_string(i) + '.' + std::to_string(s.requests), chart,
                               options.deadline);
                ++s.requests;
                next[i] =
                    now + std::chrono::microseconds(
                              random() % (2000U * static_cast<std::uint64_t>(options.interval.count())));
            }
            current.receive(now);
            current.collect(s);
            idle = idle && current.idle();
        }
        if (!sending && (idle || now - start > options.duration + options.deadline + 2s)) {
            break;
        }
        std::this_thread::sleep_for(1ms);
    }
    for (session& current : sessions) {
        s.broken_flows += current.role().broken_flows();
        s.opened += current.role().is_open() ? 1 : 0;
        current.close(event_loop::now());
    }
    return s;
}

int run(settings& s)
{
    caller_options options;
    options.service = s.address("--service");
    options.name = s.text("--name");
    options.local = s.address("--local");
    options.summary_file = s.text("--summary");
    options.callers = s.integer("--callers", 1, 2000);
    options.duration = std::chrono::seconds(s.integer("--seconds", 1, 3600));
    options.interval = s.milliseconds("--interval-ms", 1ms, 60000ms);
    options.deadline = s.milliseconds("--deadline-ms", 10ms, 60000ms);
    options.seed = static_cast<std::uint64_t>(s.integer("--seed", 0, INT32_MAX));
    if (!s.report()) {
        return 2;
    }
    counters counted;
    write_summary(run_callers(options, counted), counted, options.summary_file);
    return 0;
}

}  // namespace

int main(int argc, char** argv) { return run_daemon(argc, argv, usage, "peridotcleat-caller", run); }

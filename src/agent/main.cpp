// Daemon of the agent role: binds it to an event loop, to the upstream beside it (HTTP), and to the fabric.

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <mutex>
#include <optional>
#include <sstream>
#include <thread>

#include "peridotcleat/agent.h"
#include "peridotcleat/daemon.h"
#include "peridotcleat/upstream_client.h"

namespace {

using namespace peridotcleat;
using namespace std::chrono_literals;

std::string usage()
{
    return std::string(R"(Stands beside one upstream: holds its flows and admits its requests.

Usage:
  peridotcleat-agent [options]

Options:
  --parents=A       Balancers of the zone to take the table from, separated by commas.
  --fabric=A        Address of the fabric that takes packets to callers.
  --ramp-ms=N       Time from the first to all slots after a cold start [default: 10000].
  --queue=N         Requests that may wait for each slot [default: 4].
  --idle-ms=N       Time after which a silent flow is closed [default: 3600000].
  --stop-ms=N       Longest time that a stop waits for requests and flows [default: 10000].)") +
           daemon_options();
}

// Connects the role, which belongs to the loop's thread, with the threads of the HTTP server and client.
class agent_host {
public:
    agent_host(agent& role, event_loop& loop, const endpoint& fabric, std::string id_prefix)
        : role_(role), loop_(loop), fabric_(fabric), id_prefix_(std::move(id_prefix))
    {
    }

    admin_response handle(const admin_request& r, const counters& counted)
    {
        if (auto answer = answer_metrics(r, counted)) {
            return *answer;
        }
        if (r.path == "/status") {
            return loop_.call([this](time_point, outbox&) { return admin_response{200, render()}; });
        }
        if (r.method == "POST" && r.path == "/v1/upstream") {
            return offer(r.body);
        }
        if (r.method == "POST" && r.path == "/v1/upstream/drain") {
            return loop_.call([this](time_point now, outbox& out) {
                role_.on_upstream_draining(now, out);
                return admin_response{200, "{}"};
            });
        }
        if (r.method == "POST" && r.path == "/v1/push") {
            return push(r.body);
        }
        return admin_error(404, {error_code::message_unknown_kind, "no such path: " + r.path});
    }

    // Carries out the actions that are not messages.
    void on_actions(outbox& out)
    {
        for (caller_reply& reply : out.replies) {
            wire::return_packet p;
            p.key = to_wire(reply.key);
            p.payload = encode(reply.body);
            out.send(fabric_, p);
        }
        const std::scoped_lock lock(mutex_);
        for (upstream_call& c : out.calls) {
            if (client_) {
                client_->call(std::move(c));
            }
        }
        for (const upstream_cancel& c : out.cancels) {
            if (client_) {
                client_->cancel(c);
            }
        }
    }

    // Logs changes of the agent's place in the table.
    void log_changes()
    {
        const agent_status now = role_.status();
        if (now.draining != logged_.draining || now.empty != logged_.empty) {
            log_event(log_level::info, "state_changed",
                      {{"draining", now.draining ? "true" : "false"},
                       {"empty", now.empty ? "true" : "false"},
                       {"flows", as_field(now.flows)}});
        }
        logged_ = now;
    }

    void take_results(time_point now, outbox& out)
    {
        std::vector<upstream_result> results;
        {
            const std::scoped_lock lock(mutex_);
            if (client_) {
                results = client_->take_results();
            }
        }
        for (const upstream_result& r : results) {
            role_.on_upstream_result(now, r, out);
        }
    }

private:
    static std::int64_t as_field(std::size_t n) { return static_cast<std::int64_t>(n); }

    admin_response offer(const std::string& body)
    {
        const auto o = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
        const auto address = parse_endpoint(o->getValue<std::string>("address"));
        if (!has_value(address)) {
            return admin_error(400, failure(address));
        }
        target_offer t;
        t.service_name = o->getValue<std::string>("service");
        t.slots = o->getValue<std::uint32_t>("slots");
        t.connections = o->getValue<std::uint32_t>("connections");
        if (t.slots == 0 || t.connections == 0 || t.service_name.empty()) {
            return admin_error(400,
                               {error_code::invalid_setting, "service, slots and connections must be set"});
        }
        {
            // Workers of the former client end after the lock is released.
            std::unique_ptr<upstream_client> former;
            const std::scoped_lock lock(mutex_);
            former = std::move(client_);
            upstream_client_settings u;
            u.upstream = value(address);
            u.slots = t.slots;
            u.id_prefix = id_prefix_ + '-' + std::to_string(++clients_);
            auto client = upstream_client::create(u, [this] { loop_.post([](auto, auto&) {}); });
            if (!has_value(client)) {
                return admin_error(500, failure(client));
            }
            client_ = value(std::move(client));
        }
        return loop_.call([this, t](time_point now, outbox& out) {
            role_.on_upstream_offer(now, t, out);
            return admin_response{200, "{}"};
        });
    }

    admin_response push(const std::string& body)
    {
        const auto o = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
        const flow_token token{std::stoll(o->getValue<std::string>("token"))};
        auto bytes = o->getValue<std::string>("body");
        return loop_.call([this, token, bytes](time_point now, outbox& out) {
            const auto pushed = role_.push(now, token, bytes, out);
            return has_value(pushed) ? admin_response{200, "{}"} : admin_error(409, failure(pushed));
        });
    }

    [[nodiscard]] std::string render() const
    {
        const agent_status a = role_.status();
        Poco::JSON::Object o(Poco::JSON_PRESERVE_KEY_ORDER);
        o.set("role", std::string("agent"));
        o.set("incarnation", a.id.value);
        o.set("revision", role_.link().table().current_revision().value);
        o.set("config_version", role_.link().table().version().value);
        o.set("flows", a.flows);
        o.set("directory_entries", a.directory_entries);
        o.set("requests_in_progress", a.requests_in_progress);
        o.set("draining", a.draining);
        o.set("empty", a.empty);
        std::ostringstream text;
        o.stringify(text);
        return text.str();
    }

    agent& role_;
    event_loop& loop_;
    endpoint fabric_;
    std::string id_prefix_;
    int clients_ = 0;
    agent_status logged_;
    // Guards `client_`; held while calling into the client, whose own lock comes after it.
    std::mutex mutex_;
    std::unique_ptr<upstream_client> client_;
};

// Ends the loop once the role may stop, or after `limit`.
void stop_gracefully(event_loop& loop, agent& role, std::chrono::milliseconds limit)
{
    wait_for_stop_signal();
    loop.post([&role](time_point now, outbox& out) { role.begin_stop(now, out); });
    const time_point end = event_loop::now() + limit;
    std::atomic<bool> may_stop{false};
    while (!may_stop && event_loop::now() < end) {
        std::this_thread::sleep_for(20ms);
        loop.post([&](time_point now, outbox&) { may_stop = role.may_stop(now); });
    }
    log_event(may_stop ? log_level::info : log_level::warning, "stopping",
              {{"empty", may_stop ? "true" : "false"}});
    loop.stop();
}

int run(settings& s)
{
    const daemon_settings d = read_daemon_settings(s);
    agent_settings a;
    a.link = link_settings(d, node_role::target, s.addresses("--parents"));
    const endpoint fabric = s.address("--fabric");
    a.requests.ramp = s.milliseconds("--ramp-ms", 0ms, 600000ms);
    a.requests.queue_per_slot = static_cast<std::uint32_t>(s.integer("--queue", 0, 1000));
    a.idle_timeout = s.milliseconds("--idle-ms", 1000ms, 86400000ms);
    const auto stop_limit = s.milliseconds("--stop-ms", 0ms, 3600000ms);
    if (!s.report()) {
        return 2;
    }
    if (d.check_only) {
        return 0;
    }
    block_stop_signals();
    start_logging(d.name, d.lowest_log_level);
    counters counted;
    auto role = agent::create(a, counted);
    if (!has_value(role)) {
        return report_failure(failure(role));
    }
    auto loop = event_loop::create(d.listen, d.cluster, counted);
    if (!has_value(loop)) {
        return report_failure(failure(loop));
    }
    agent& r = value(role);
    agent_host host(r, *value(loop), fabric, d.name + '-' + std::to_string(d.seed));
    auto admin = admin_server::start(
        d.admin, [&](const admin_request& request) { return host.handle(request, counted); });
    if (!has_value(admin)) {
        return report_failure(failure(admin));
    }
    const auto metrics = start_metrics(d, counted);
    if (!has_value(metrics)) {
        return report_failure(failure(metrics));
    }
    loop_handlers handlers;
    handlers.on_message = [&](time_point now, const endpoint& from, const message& m, outbox& out) {
        r.on_message(now, from, m, out);
    };
    handlers.on_tick = [&](time_point now, outbox& out) { r.on_tick(now, out); };
    handlers.on_batch_end = [&](time_point now, outbox& out) {
        host.take_results(now, out);
        host.log_changes();
    };
    handlers.on_actions = [&](time_point, outbox& out) { host.on_actions(out); };
    log_event(log_level::info, "started", {{"listen", to_string(d.listen)}});
    std::thread signals([&] { stop_gracefully(*value(loop), r, stop_limit); });
    value(loop)->run(handlers);
    signals.join();
    log_event(log_level::info, "stopped");
    return 0;
}

}  // namespace

int main(int argc, char** argv) { return run_daemon(argc, argv, usage(), "peridotcleat-agent", run); }

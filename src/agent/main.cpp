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
    return std::string(R"(Runs beside one upstream: holds its flows and admits its requests.

Usage:
  peridotcleat-agent [options]

Options:
  --parents=A       Balancers of the zone from which to receive the table, separated by commas.
  --fabric=A        Address of the fabric that delivers packets to callers.
  --ramp-ms=N       Time in which the usable slots grow from one to all after a cold start [default: 10000].
  --queue=N         Requests that may wait for each slot [default: 4].
  --idle-ms=N       Time without packets after which a flow is closed [default: 3600000].
  --stop-ms=N       Longest time that a graceful stop waits for requests and flows [default: 10000].)") +
           daemon_options();
}

// Connects the role, which runs on the loop's thread, with the threads of the HTTP server and the HTTP
// client.
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
            return handle_upstream_offer(r.body);
        }
        if (r.method == "POST" && r.path == "/v1/upstream/drain") {
            return loop_.call([this](time_point now, outbox& out) {
                role_.on_upstream_draining(now, out);
                return admin_response{200, "{}"};
            });
        }
        if (r.method == "POST" && r.path == "/v1/push") {
            return handle_push(r.body);
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

    // Logs when the agent starts or ends draining, and when it becomes empty or is no longer empty.
    void log_state_changes()
    {
        const agent_status current = role_.status();
        if (current.draining != logged_status_.draining || current.empty != logged_status_.empty) {
            log_event(log_level::info, "state_changed",
                      {{"draining", current.draining ? "true" : "false"},
                       {"empty", current.empty ? "true" : "false"},
                       {"flows", as_field(current.flows)}});
        }
        logged_status_ = current;
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

    admin_response handle_upstream_offer(const std::string& body)
    {
        const auto request = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
        const auto address = parse_endpoint(request->getValue<std::string>("address"));
        if (!has_value(address)) {
            return admin_error(400, failure(address));
        }
        target_offer offer;
        offer.service_name = request->getValue<std::string>("service");
        offer.slots = request->getValue<std::uint32_t>("slots");
        offer.connections = request->getValue<std::uint32_t>("connections");
        if (offer.slots == 0 || offer.connections == 0 || offer.service_name.empty()) {
            return admin_error(400,
                               {error_code::invalid_setting, "service, slots and connections must be set"});
        }
        {
            // Declared before the lock, so that the previous client's threads are joined after the lock is
            // released.
            std::unique_ptr<upstream_client> previous;
            const std::scoped_lock lock(mutex_);
            previous = std::move(client_);
            upstream_client_settings client_settings;
            client_settings.upstream = value(address);
            client_settings.slots = offer.slots;
            client_settings.id_prefix = id_prefix_ + '-' + std::to_string(++client_count_);
            auto client =
                upstream_client::create(client_settings, [this] { loop_.post([](auto, auto&) {}); });
            if (!has_value(client)) {
                return admin_error(500, failure(client));
            }
            client_ = value(std::move(client));
        }
        return loop_.call([this, offer](time_point now, outbox& out) {
            role_.on_upstream_offer(now, offer, out);
            return admin_response{200, "{}"};
        });
    }

    admin_response handle_push(const std::string& body)
    {
        const auto request = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
        const flow_token token{std::stoll(request->getValue<std::string>("token"))};
        auto bytes = request->getValue<std::string>("body");
        return loop_.call([this, token, bytes](time_point now, outbox& out) {
            const auto pushed = role_.push(now, token, bytes, out);
            return has_value(pushed) ? admin_response{200, "{}"} : admin_error(409, failure(pushed));
        });
    }

    [[nodiscard]] std::string render() const
    {
        const agent_status status = role_.status();
        Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
        object.set("role", std::string("agent"));
        object.set("incarnation", status.id.value);
        object.set("revision", role_.link().table().current_revision().value);
        object.set("config_version", role_.link().table().version().value);
        object.set("flows", status.flows);
        object.set("directory_entries", status.directory_entries);
        object.set("requests_in_progress", status.requests_in_progress);
        object.set("draining", status.draining);
        object.set("empty", status.empty);
        std::ostringstream text;
        object.stringify(text);
        return text.str();
    }

    agent& role_;
    event_loop& loop_;
    endpoint fabric_;
    std::string id_prefix_;
    int client_count_ = 0;
    agent_status logged_status_;
    // Guards `client_`. Held while the client is called, so that the client's own mutex is always locked
    // after this one.
    std::mutex mutex_;
    std::unique_ptr<upstream_client> client_;
};

// Waits for a stop signal, begins to stop the role, and ends the loop once the role may stop, but after
// `limit` at the latest.
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
    const daemon_settings common = read_daemon_settings(s);
    agent_settings role_settings;
    role_settings.link = link_settings(common, node_role::target, s.addresses("--parents"));
    const endpoint fabric = s.address("--fabric");
    role_settings.requests.ramp = s.milliseconds("--ramp-ms", 0ms, 600000ms);
    role_settings.requests.queue_per_slot = static_cast<std::uint32_t>(s.integer("--queue", 0, 1000));
    role_settings.idle_timeout = s.milliseconds("--idle-ms", 1000ms, 86400000ms);
    const auto stop_timeout = s.milliseconds("--stop-ms", 0ms, 3600000ms);
    if (!s.report()) {
        return 2;
    }
    if (common.check_only) {
        return 0;
    }
    block_stop_signals();
    start_logging(common.name, common.lowest_log_level);
    counters counted;
    auto created = agent::create(role_settings, counted);
    if (!has_value(created)) {
        return report_failure(failure(created));
    }
    auto loop = event_loop::create(common.listen, common.cluster, counted);
    if (!has_value(loop)) {
        return report_failure(failure(loop));
    }
    agent& role = value(created);
    agent_host host(role, *value(loop), fabric, common.name + '-' + std::to_string(common.seed));
    auto admin = admin_server::start(
        common.admin, [&](const admin_request& request) { return host.handle(request, counted); });
    if (!has_value(admin)) {
        return report_failure(failure(admin));
    }
    const auto metrics = start_metrics(common, counted);
    if (!has_value(metrics)) {
        return report_failure(failure(metrics));
    }
    loop_handlers handlers;
    handlers.on_message = [&](time_point now, const endpoint& from, const message& m, outbox& out) {
        role.on_message(now, from, m, out);
    };
    handlers.on_tick = [&](time_point now, outbox& out) { role.on_tick(now, out); };
    handlers.on_batch_end = [&](time_point now, outbox& out) {
        host.take_results(now, out);
        host.log_state_changes();
    };
    handlers.on_actions = [&](time_point, outbox& out) { host.on_actions(out); };
    log_event(log_level::info, "started", {{"listen", to_string(common.listen)}});
    std::thread signals([&] { stop_gracefully(*value(loop), role, stop_timeout); });
    value(loop)->run(handlers);
    signals.join();
    log_event(log_level::info, "stopped");
    return 0;
}

}  // namespace

int main(int argc, char** argv) { return run_daemon(argc, argv, usage(), "peridotcleat-agent", run); }

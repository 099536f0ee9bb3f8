// Daemon of the balancer role: binds its control side to an event loop and its data path to worker threads.

#include <Poco/JSON/Object.h>

#include <mutex>
#include <sstream>
#include <thread>

#include "peridotcleat/daemon.h"
#include "peridotcleat/forwarder.h"

namespace {

using namespace peridotcleat;
using namespace std::chrono_literals;

std::string usage()
{
    return std::string(R"(Forwards callers' packets to the agents beside the upstreams.

Usage:
  peridotcleat-balancer [options]

Options:
  --data=A        Address for callers' packets from the fabric (UDP).
  --parents=A     Control processes to take the table from, separated by commas.
  --workers=N     Threads that forward packets [default: 2].
  --leave-ms=N    Time between announcing the stop and stopping [default: 1000].)") +
           daemon_options();
}

// What the HTTP interface shows; written by the loop's thread.
struct shown_status {
    std::mutex mutex;
    std::string text = "{}";
};

std::string render(const balancer& role)
{
    Poco::JSON::Object o(Poco::JSON_PRESERVE_KEY_ORDER);
    o.set("role", std::string("balancer"));
    o.set("incarnation", role.link().id().value);
    o.set("revision", role.link().table().current_revision().value);
    o.set("config_version", role.link().table().version().value);
    o.set("ready", role.link().ready());
    o.set("routes_digest", role.routes() ? std::to_string(role.routes()->digest()) : "none");
    std::ostringstream text;
    o.stringify(text);
    return text.str();
}

int run(settings& s)
{
    const daemon_settings d = read_daemon_settings(s);
    const endpoint data = s.address("--data");
    const auto parents = s.addresses("--parents");
    const auto workers = static_cast<unsigned>(s.integer("--workers", 1, 64));
    const auto leave_time = s.milliseconds("--leave-ms", 0ms, 60000ms);
    if (!s.report()) {
        return 2;
    }
    if (d.check_only) {
        return 0;
    }
    block_stop_signals();
    start_logging(d.name, d.lowest_log_level);
    counters counted;
    auto role = balancer::create({link_settings(d, node_role::balancer, parents)}, counted);
    if (!has_value(role)) {
        return report_failure(failure(role));
    }
    balancer& b = value(role);
    auto loop = event_loop::create(d.listen, d.cluster, counted);
    if (!has_value(loop)) {
        return report_failure(failure(loop));
    }
    auto path = forwarder::start(data, d.listen, d.cluster, workers, counted);
    if (!has_value(path)) {
        return report_failure(failure(path));
    }
    shown_status shown;
    auto admin = admin_server::start(d.admin, [&](const admin_request& r) -> admin_response {
        if (auto answer = answer_metrics(r, counted)) {
            return *answer;
        }
        if (r.path == "/status") {
            const std::scoped_lock lock(shown.mutex);
            return {200, shown.text};
        }
        return unknown_path(r);
    });
    if (!has_value(admin)) {
        return report_failure(failure(admin));
    }
    const auto metrics = start_metrics(d, counted);
    if (!has_value(metrics)) {
        return report_failure(failure(metrics));
    }
    std::shared_ptr<const route_table> in_force;
    loop_handlers handlers;
    handlers.on_message = [&](time_point now, const endpoint& from, const message& m, outbox& out) {
        b.on_message(now, from, m, out);
    };
    handlers.on_tick = [&](time_point now, outbox& out) { b.on_tick(now, out); };
    handlers.on_batch_end = [&](time_point, outbox&) {
        if (b.routes() != in_force) {
            in_force = b.routes();
            value(path)->set_routes(in_force);
            log_event(log_level::info, "routes_in_force",
                      {{"revision", b.link().table().current_revision().value},
                       {"version", b.link().table().version().value}});
            const std::scoped_lock lock(shown.mutex);
            shown.text = render(b);
        }
    };
    log_event(log_level::info, "started", {{"listen", to_string(d.listen)}, {"data", to_string(data)}});
    std::thread signals([&] {
        wait_for_stop_signal();
        value(loop)->post([&b](time_point now, outbox& out) { b.begin_stop(now, out); });
        std::this_thread::sleep_for(leave_time);
        value(loop)->stop();
    });
    value(loop)->run(handlers);
    signals.join();
    value(path)->stop();
    log_event(log_level::info, "stopped");
    return 0;
}

}  // namespace

int main(int argc, char** argv) { return run_daemon(argc, argv, usage(), "peridotcleat-balancer", run); }

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
  --parents=A     Control processes from which to receive the table, separated by commas.
  --workers=N     Threads that forward packets [default: 2].
  --leave-ms=N    Time between announcing the stop and stopping [default: 1000].)") +
           daemon_options();
}

// Status that the HTTP interface returns, as JSON. The loop's thread writes it; HTTP threads read it.
struct rendered_status {
    std::mutex mutex;
    std::string text = "{}";
};

std::string render(const balancer& role)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("role", std::string("balancer"));
    object.set("incarnation", role.link().id().value);
    object.set("revision", role.link().table().current_revision().value);
    object.set("config_version", role.link().table().version().value);
    object.set("ready", role.link().ready());
    object.set("routes_digest", role.routes() ? std::to_string(role.routes()->digest()) : "none");
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

int run(settings& s)
{
    const daemon_settings common = read_daemon_settings(s);
    const endpoint data = s.address("--data");
    const auto parents = s.addresses("--parents");
    const auto workers = static_cast<unsigned>(s.integer("--workers", 1, 64));
    const auto leave_delay = s.milliseconds("--leave-ms", 0ms, 60000ms);
    if (!s.report()) {
        return 2;
    }
    if (common.check_only) {
        return 0;
    }
    block_stop_signals();
    start_logging(common.name, common.lowest_log_level);
    counters counted;
    auto created = balancer::create({link_settings(common, node_role::balancer, parents)}, counted);
    if (!has_value(created)) {
        return report_failure(failure(created));
    }
    balancer& role = value(created);
    auto loop = event_loop::create(common.listen, common.cluster, counted);
    if (!has_value(loop)) {
        return report_failure(failure(loop));
    }
    auto data_path = forwarder::start(data, common.listen, common.cluster, workers, counted);
    if (!has_value(data_path)) {
        return report_failure(failure(data_path));
    }
    rendered_status status;
    auto admin = admin_server::start(common.admin, [&](const admin_request& r) -> admin_response {
        if (auto answer = answer_metrics(r, counted)) {
            return *answer;
        }
        if (r.path == "/status") {
            const std::scoped_lock lock(status.mutex);
            return {200, status.text};
        }
        return unknown_path(r);
    });
    if (!has_value(admin)) {
        return report_failure(failure(admin));
    }
    const auto metrics = start_metrics(common, counted);
    if (!has_value(metrics)) {
        return report_failure(failure(metrics));
    }
    std::shared_ptr<const route_table> routes_in_force;
    loop_handlers handlers;
    handlers.on_message = [&](time_point now, const endpoint& from, const message& m, outbox& out) {
        role.on_message(now, from, m, out);
    };
    handlers.on_tick = [&](time_point now, outbox& out) { role.on_tick(now, out); };
    handlers.on_batch_end = [&](time_point, outbox&) {
        if (role.routes() != routes_in_force) {
            routes_in_force = role.routes();
            value(data_path)->set_routes(routes_in_force);
            log_event(log_level::info, "routes_in_force",
                      {{"revision", role.link().table().current_revision().value},
                       {"version", role.link().table().version().value}});
            const std::scoped_lock lock(status.mutex);
            status.text = render(role);
        }
    };
    log_event(log_level::info, "started", {{"listen", to_string(common.listen)}, {"data", to_string(data)}});
    std::thread signals([&] {
        wait_for_stop_signal();
        value(loop)->post([&role](time_point now, outbox& out) { role.begin_stop(now, out); });
        std::this_thread::sleep_for(leave_delay);
        value(loop)->stop();
    });
    value(loop)->run(handlers);
    signals.join();
    value(data_path)->stop();
    log_event(log_level::info, "stopped");
    return 0;
}

}  // namespace

int main(int argc, char** argv) { return run_daemon(argc, argv, usage(), "peridotcleat-balancer", run); }

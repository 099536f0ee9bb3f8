// Daemon of the control role: binds it to an event loop, a data folder and the operators' HTTP interface.

#include <algorithm>
#include <string>

#include "peridotcleat/control.h"
#include "peridotcleat/control_host.h"
#include "peridotcleat/daemon.h"
#include "peridotcleat/file_storage.h"
#include "peridotcleat/operator_api.h"

namespace {

using namespace peridotcleat;
using namespace std::chrono_literals;

std::string usage()
{
    return std::string(R"(Replicates the table of services and nodes in a group of three to seven processes.

Usage:
  peridotcleat-control [options]

Options:
  --data-folder=S     Folder for the log and snapshots; belongs to this process alone.
  --peers=A           All control processes, this one included, as name=a.b.c.d:port separated by commas.
  --bootstrap         Forms a new cluster if the data folders of all peers are new.
  --snapshot-after=N  Log entries after which a snapshot is written [default: 4096].)") +
           daemon_options();
}

constexpr std::size_t max_peers = 7;

// Reads `name=a.b.c.d:port,...`.
std::vector<wire::member> read_peers(settings& s)
{
    std::vector<wire::member> peers;
    const std::string text = s.text("--peers");
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const std::string entry = text.substr(begin, end - begin);
        const std::size_t equals = entry.find('=');
        const auto address = parse_endpoint(equals == std::string::npos ? "" : entry.substr(equals + 1));
        if (equals == 0 || !has_value(address)) {
            s.reject(error_code::invalid_setting, "--peers", entry, "name=a.b.c.d:port, separated by commas");
        } else {
            wire::member m;
            m.name = entry.substr(0, equals);
            m.address = to_wire(value(address));
            m.voter = true;
            peers.push_back(m);
        }
        begin = end + 1;
    }
    return peers;
}

// Short enough for several ticks within one heartbeat interval.
constexpr std::chrono::milliseconds tick_period{10};

control_settings read_control_settings(settings& s, const daemon_settings& d)
{
    control_settings c;
    c.replica.name = d.name;
    c.replica.address = d.listen;
    c.replica.initial_members = read_peers(s);
    c.replica.bootstrap = s.flag("--bootstrap");
    c.replica.seed = d.seed;
    c.snapshot_after = s.integer("--snapshot-after", 16, 1000000);
    bool contains_this_process = false;
    for (const wire::member& m : c.replica.initial_members) {
        c.replica.peers.push_back(from_wire(m.address));
        contains_this_process =
            contains_this_process || (m.name == d.name && from_wire(m.address) == d.listen);
    }
    if (!contains_this_process) {
        s.reject(error_code::invalid_setting, "--peers", d.name + '=' + to_string(d.listen),
                 "a list that contains this process");
    }
    if (c.replica.peers.size() > max_peers) {
        s.reject(error_code::invalid_setting, "--peers",
                 std::to_string(c.replica.peers.size()) + " processes", "1 to 7");
    }
    return c;
}

int run(settings& s)
{
    const daemon_settings common = read_daemon_settings(s);
    const control_settings role_settings = read_control_settings(s, common);
    const std::string folder = s.text("--data-folder");
    if (!s.report()) {
        return 2;
    }
    if (common.check_only) {
        return 0;
    }
    block_stop_signals();
    start_logging(common.name, common.lowest_log_level);
    counters counted;
    auto storage = file_storage::open(folder, common.cluster, common.name);
    if (!has_value(storage)) {
        return report_failure(failure(storage));
    }
    using control_role = control<file_storage>;
    auto opened = control_role::open(role_settings, value(std::move(storage)), event_loop::now(), counted);
    if (!has_value(opened)) {
        return report_failure(failure(opened));
    }
    control_role& role = value(opened);
    auto loop = event_loop::create(common.listen, common.cluster, counted);
    if (!has_value(loop)) {
        return report_failure(failure(loop));
    }
    operator_api<control_role> api(role, *value(loop), counted);
    auto admin = admin_server::start(
        common.admin, [&api](const admin_request& request) { return api.handle(request); }, 16);
    if (!has_value(admin)) {
        return report_failure(failure(admin));
    }
    const auto metrics = start_metrics(common, counted);
    if (!has_value(metrics)) {
        return report_failure(failure(metrics));
    }
    log_event(log_level::info, "started", {{"listen", to_string(common.listen)}, {"folder", folder}});
    return control_host<control_role>(role, *value(loop), api, counted).run(tick_period);
}

}  // namespace

int main(int argc, char** argv) { return run_daemon(argc, argv, usage(), "peridotcleat-control", run); }

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peridotcleat/admin_server.h"
#include "peridotcleat/counters.h"
#include "peridotcleat/event_loop.h"
#include "peridotcleat/log.h"
#include "peridotcleat/node_link.h"
#include "peridotcleat/settings.h"

namespace peridotcleat {

/// Settings that all daemons share.
struct daemon_settings {
    std::string name;
    std::string zone;
    endpoint listen;
    endpoint admin;
    /// Where metrics are served besides `admin`; may be left out.
    endpoint metrics;
    cluster_id cluster;
    log_level lowest_log_level = log_level::info;
    /// From the system's entropy, different at each start.
    std::uint64_t seed = 0;
    /// Validate the settings and exit.
    bool check_only = false;
};

/// Lines for a daemon's docopt text that describe the shared settings.
const char* daemon_options() noexcept;

/// Reads the shared settings; errors are recorded in `s`.
daemon_settings read_daemon_settings(settings& s);

/// Parses the command line, runs `body` and returns the exit code: 0, 1 (failed) or 2 (bad settings, all of
/// which are printed to standard error).
int run_daemon(int argc, char** argv, const std::string& usage, const std::string& program,
               int (*body)(settings& s));

/// Renders counters as a JSON object.
std::string to_json(const counters& counted);

/// Answers `/counters` (JSON) and `/metrics` (Prometheus text); nothing for other paths.
std::optional<admin_response> answer_metrics(const admin_request& r, const counters& counted);

/// Serves the metrics on their own address, if the settings name one; else returns nothing. Fails with
/// `address_in_use`.
result<std::unique_ptr<admin_server>> start_metrics(const daemon_settings& d, const counters& counted);

/// Answers a path that a process does not serve.
admin_response unknown_path(const admin_request& r);

/// Fills the part of a node link's settings that follows from the daemon's.
node_link_settings link_settings(const daemon_settings& d, node_role role, std::vector<endpoint> parents);

/// Prints an error as `error=<number> name=<name> <message>` to standard error and returns 1.
int report_failure(const error& e);

}  // namespace peridotcleat

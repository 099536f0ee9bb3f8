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
    /// Additional address on which the metrics are served. Optional: `admin` always serves them.
    endpoint metrics;
    cluster_id cluster;
    log_level lowest_log_level = log_level::info;
    /// Seed of the process's random numbers, from the operating system's entropy; different at each start.
    std::uint64_t seed = 0;
    /// Only validate the settings, then exit.
    bool check_only = false;
};

/// Returns the part of a daemon's docopt usage text that describes the shared settings.
const char* daemon_options() noexcept;

/// Reads the shared settings; errors are recorded in `s`.
daemon_settings read_daemon_settings(settings& s);

/// Parses the command line, calls `run` and returns the exit code: 0, 1 (failed) or 2 (bad settings, all of
/// which are printed to standard error).
int run_daemon(int argc, char** argv, const std::string& usage, const std::string& program,
               int (*run)(settings& s));

/// Renders counters as a JSON object.
std::string to_json(const counters& counted);

/// Answers `/counters` (JSON) and `/metrics` (Prometheus text). Returns nothing for other paths.
std::optional<admin_response> answer_metrics(const admin_request& r, const counters& counted);

/// Starts a server for the metrics on `d.metrics`. Returns null if the settings do not name that address.
/// Fails with `address_in_use`.
result<std::unique_ptr<admin_server>> start_metrics(const daemon_settings& d, const counters& counted);

/// Answers a request for a path that the process does not serve, with status 404.
admin_response unknown_path(const admin_request& r);

/// Returns settings for a node link with those parts filled in that follow from the daemon's settings.
node_link_settings link_settings(const daemon_settings& d, node_role role, std::vector<endpoint> parents);

/// Prints an error as `error=<number> name=<name> <message>` to standard error and returns 1.
int report_failure(const error& e);

}  // namespace peridotcleat

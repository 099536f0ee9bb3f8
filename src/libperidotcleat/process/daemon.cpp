#include "peridotcleat/daemon.h"

#include <Poco/JSON/Object.h>

#include <exception>
#include <iostream>
#include <random>
#include <sstream>

#include "peridotcleat/metrics.h"

namespace peridotcleat {

namespace {

constexpr std::size_t max_name_length = 64;

log_level read_level(settings& s)
{
    const std::string text = s.text("--log");
    if (text == "debug") {
        return log_level::debug;
    }
    if (text == "warning") {
        return log_level::warning;
    }
    if (text == "error") {
        return log_level::error;
    }
    if (text != "info") {
        s.reject(error_code::invalid_setting, "--log", text, "debug, info, warning or error");
    }
    return log_level::info;
}

std::string read_name(settings& s, const std::string& flag)
{
    std::string text = s.text(flag);
    if (text.size() > max_name_length) {
        s.reject(error_code::invalid_setting, flag, text, "1 to 64 characters");
    }
    return text;
}

}  // namespace

const char* daemon_options() noexcept
{
    return R"(
  --name=S        Name of this process, unique in the cluster.
  --zone=S        Availability zone of this process.
  --listen=A      Address for messages of other processes, a.b.c.d:port (UDP).
  --admin=A       Address of the HTTP interface.
  --metrics=A     Additional address for /metrics, which --admin always serves.
  --cluster=N     Id of the cluster; messages of other clusters are refused [default: 1].
  --log=S         Lowest level that is logged: debug, info, warning or error [default: info].
  --check         Validates the settings and exits.
  --help          Prints this text.
  --version       Prints the version.

Each flag can be given as an environment variable instead: --data-folder as PERIDOTCLEAT_DATA_FOLDER.
)";
}

daemon_settings read_daemon_settings(settings& s)
{
    daemon_settings d;
    d.name = read_name(s, "--name");
    d.zone = read_name(s, "--zone");
    d.listen = s.address("--listen");
    d.admin = s.address("--admin");
    d.metrics = s.address("--metrics", false);
    d.cluster = cluster_id{s.integer("--cluster", 1, INT64_MAX)};
    d.lowest_log_level = read_level(s);
    // The seed is not a setting: nonces are generated from it, and a process must not repeat a nonce after a
    // restart.
    std::random_device device;
    d.seed = (std::uint64_t{device()} << 32U) | device();
    d.check_only = s.flag("--check");
    if (d.listen.valid() && d.listen == d.admin) {
        s.reject(error_code::invalid_setting, "--admin", to_string(d.admin),
                 "an address other than --listen");
    }
    return d;
}

int report_failure(const error& e)
{
    std::cerr << "error=" << static_cast<int>(e.code) << " name=" << to_string(e.code) << ' ' << e.message
              << '\n';
    return 1;
}

int run_daemon(int argc, char** argv, const std::string& usage, const std::string& program,
               int (*run)(settings& s))
{
    try {
        auto parsed = settings::parse(usage, {argv + 1, argv + argc}, program + " 0.1.0");
        if (!has_value(parsed)) {
            report_failure(failure(parsed));
            std::cerr << usage << '\n';
            return 2;
        }
        return run(value(parsed));
    } catch (const std::exception& e) {
        std::cerr << program << ": " << e.what() << '\n';
        return 1;
    }
}

std::string to_json(const counters& counted)
{
    Poco::JSON::Object o;
    for (const auto& [name, n] : counted.snapshot()) {
        o.set(name, n);
    }
    std::ostringstream text;
    o.stringify(text);
    return text.str();
}

std::optional<admin_response> answer_metrics(const admin_request& r, const counters& counted)
{
    if (r.path == "/counters") {
        return admin_response{200, to_json(counted)};
    }
    if (r.path == "/metrics") {
        return admin_response{200, to_metrics(counted), {}, "text/plain; version=0.0.4"};
    }
    return std::nullopt;
}

result<std::unique_ptr<admin_server>> start_metrics(const daemon_settings& d, const counters& counted)
{
    if (!d.metrics.valid()) {
        return std::unique_ptr<admin_server>();
    }
    return admin_server::start(
        d.metrics,
        [&counted](const admin_request& r) { return answer_metrics(r, counted).value_or(unknown_path(r)); },
        1);
}

admin_response unknown_path(const admin_request& r)
{
    return admin_error(404, {error_code::message_unknown_kind, "no such path: " + r.path});
}

node_link_settings link_settings(const daemon_settings& d, node_role role, std::vector<endpoint> parents)
{
    node_link_settings l;
    l.role = role;
    l.name = d.name;
    l.zone = d.zone;
    l.address = d.listen;
    l.parents = std::move(parents);
    l.seed = d.seed;
    return l;
}

}  // namespace peridotcleat

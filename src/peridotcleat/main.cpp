// The operators' command: talks HTTP to any control process and to the HTTP interfaces of other processes.

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/UUIDGenerator.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "peridotcleat/admin_server.h"
#include "peridotcleat/daemon.h"
#include "peridotcleat/settings.h"

namespace {

using namespace peridotcleat;
using namespace std::chrono_literals;

const std::string usage = R"(Describes services, changes them and shows what is in force.

Usage:
  peridotcleat describe [options]
  peridotcleat patch <file> [options]
  peridotcleat apply <file> [options]
  peridotcleat history [options]
  peridotcleat status [<version>] [options]
  peridotcleat drain <upstream> [options]
  peridotcleat upstreams [options]
  peridotcleat nodes [options]
  peridotcleat members [options]
  peridotcleat remove-member <name> [options]
  peridotcleat counters [options]
  peridotcleat --help
  peridotcleat --version

Commands:
  describe       Prints the services and the version in force.
  patch          Submits a patch file against the version that it names.
  apply          Computes the patch from the version in force to a description file, and submits it.
  history        Lists the accepted patches.
  status         Says whether a version (default: the current one) is in force everywhere, and what lags.
  drain          Takes an upstream (name of its agent) out of service gracefully.
  upstreams      Lists the upstreams that have announced themselves.
  nodes          Lists all nodes with the revision that each has confirmed.
  members        Lists the control processes.
  remove-member  Removes a control process that is gone for good.
  counters       Prints the counters of the process at --node, or of the control process that answers.

Options:
  --control=A    HTTP addresses of the control processes, separated by commas [default: 127.0.0.1:7000].
  --node=A       HTTP address of one process, for counters.
  --wait=N       Seconds to wait: patch and apply until the version is in force everywhere, drain until the
                 upstream has left; 0 does not wait [default: 0].
  --timeout=N    Seconds after which an unanswered request is given up [default: 15].
  --json         Prints the answer as JSON as it came.
  --help         Prints this text.
  --version      Prints the version.

Exit codes: 0 done; 1 refused or failed; 2 bad command line; 3 outcome unknown; 4 not in force in time.
)";

constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_outcome_unknown = 3;
constexpr int exit_not_in_force = 4;

using json = Poco::JSON::Object::Ptr;

struct command_options {
    std::vector<endpoint> controls;
    std::chrono::seconds wait{0};
    std::chrono::seconds timeout{15};
    bool as_json = false;
};

json parse_object(const std::string& text)
{
    return Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
}

// Sends the request to the control processes in turn until the leader answers it with a quorum. A request
// that one of them may have received is sent again to the next one, which is safe: patches carry an id, and
// the other requests may be repeated.
result<http_answer> request_any_control(const command_options& options, const std::string& method,
                                        const std::string& path, const std::string& body)
{
    const auto end = std::chrono::steady_clock::now() + options.timeout;
    error last_error{error_code::no_quorum, "no control process answered"};
    bool may_be_received = false;
    while (std::chrono::steady_clock::now() < end) {
        for (const endpoint& control : options.controls) {
            auto answer = http_call(control, method, path, body, 5s);
            if (!has_value(answer)) {
                may_be_received = may_be_received || failure(answer).code == error_code::outcome_unknown;
                last_error = failure(answer);
                continue;
            }
            // 421: not the leader. 503: no quorum at the moment, and nothing was started.
            if (value(answer).status != 421 && value(answer).status != 503) {
                return answer;
            }
            last_error = {error_code::no_quorum, value(answer).body};
        }
        std::this_thread::sleep_for(200ms);
    }
    if (may_be_received && method == "POST") {
        last_error.code = error_code::outcome_unknown;
    }
    return last_error;
}

int print_failure(const error& e)
{
    report_failure(e);
    return e.code == error_code::outcome_unknown ? exit_outcome_unknown : exit_refused;
}

// Prints the objects in the array `name` of an answer, each as a line of key=value pairs.
void print_rows(const json& answer, const std::string& name)
{
    const auto rows = answer->getArray(name);
    for (std::size_t i = 0; rows && i < rows->size(); ++i) {
        const auto row = rows->getObject(static_cast<unsigned>(i));
        std::string line;
        for (const auto& key : row->getNames()) {
            line += (line.empty() ? "" : " ") + key + '=' + row->get(key).toString();
        }
        std::cout << line << '\n';
    }
}

int show(const command_options& options, const std::string& path, const std::string& array)
{
    const auto answer = request_any_control(options, "GET", path, "");
    if (!has_value(answer)) {
        return print_failure(failure(answer));
    }
    if (options.as_json || value(answer).status != 200 || array.empty()) {
        std::cout << value(answer).body << '\n';
    } else {
        print_rows(parse_object(value(answer).body), array);
    }
    return value(answer).status == 200 ? 0 : exit_refused;
}

int show_status(const command_options& options, const std::string& version)
{
    const auto answer = request_any_control(
        options, "GET", "/v1/status" + (version.empty() ? "" : "?version=" + version), "");
    if (!has_value(answer)) {
        return print_failure(failure(answer));
    }
    std::cout << value(answer).body << '\n';
    if (value(answer).status != 200) {
        return exit_refused;
    }
    return parse_object(value(answer).body)->getValue<bool>("everywhere") ? 0 : exit_not_in_force;
}

int wait_in_force(const command_options& options, std::int64_t version)
{
    const auto end = std::chrono::steady_clock::now() + options.wait;
    std::string last_status;
    while (std::chrono::steady_clock::now() < end) {
        const auto answer =
            request_any_control(options, "GET", "/v1/status?version=" + std::to_string(version), "");
        if (has_value(answer) && value(answer).status == 200) {
            last_status = value(answer).body;
            if (parse_object(last_status)->getValue<bool>("everywhere")) {
                std::cout << "version=" << version << " in_force=everywhere\n";
                return 0;
            }
        }
        std::this_thread::sleep_for(200ms);
    }
    std::cout << "version=" << version << " in_force=not_confirmed status=" << last_status << '\n';
    return exit_not_in_force;
}

int submit(const command_options& options, const std::string& path, const std::string& body)
{
    const auto answer = request_any_control(options, "POST", path, body);
    if (!has_value(answer)) {
        return print_failure(failure(answer));
    }
    std::cout << value(answer).body << '\n';
    const json parsed = parse_object(value(answer).body);
    const auto status = parsed->optValue<std::string>("status", "");
    if (status == "outcome_unknown") {
        return exit_outcome_unknown;
    }
    if (status != "accepted" && status != "already_accepted") {
        return exit_refused;
    }
    const auto version = parsed->optValue<std::int64_t>("version", 0);
    return options.wait.count() > 0 && version > 0 ? wait_in_force(options, version) : 0;
}

result<std::string> read_file(const std::string& name)
{
    std::ifstream in(name, std::ios::binary);
    if (!in) {
        return error{error_code::description_malformed, "cannot read file \"" + name + "\""};
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

int submit_patch(const command_options& options, const std::string& file)
{
    const auto text = read_file(file);
    return has_value(text) ? submit(options, "/v1/patches", value(text)) : print_failure(failure(text));
}

int apply_description(const command_options& options, const std::string& file)
{
    const auto text = read_file(file);
    if (!has_value(text)) {
        return print_failure(failure(text));
    }
    // Because of the id, the description is applied once even if the request is received repeatedly.
    const std::string id = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    return submit(options, "/v1/description?patch_id=" + id, value(text));
}

int drain(const command_options& options, const std::string& name)
{
    Poco::JSON::Object body;
    body.set("upstream", name);
    std::ostringstream text;
    body.stringify(text);
    command_options without_wait = options;
    without_wait.wait = 0s;
    const int code = submit(without_wait, "/v1/drain", text.str());
    if (code != 0 || options.wait.count() == 0) {
        return code;
    }
    const auto end = std::chrono::steady_clock::now() + options.wait;
    while (std::chrono::steady_clock::now() < end) {
        const auto answer = request_any_control(options, "GET", "/v1/upstreams", "");
        if (has_value(answer) && value(answer).status == 200 &&
            value(answer).body.find('"' + name + '"') == std::string::npos) {
            std::cout << "upstream=" << name << " left=yes\n";
            return 0;
        }
        std::this_thread::sleep_for(200ms);
    }
    std::cout << "upstream=" << name << " left=no\n";
    return exit_not_in_force;
}

int show_counters(const command_options& options, const endpoint& node)
{
    const auto answer = node.valid() ? http_call(node, "GET", "/counters", "", 5s)
                                     : request_any_control(options, "GET", "/counters", "");
    if (!has_value(answer)) {
        return print_failure(failure(answer));
    }
    if (options.as_json) {
        std::cout << value(answer).body << '\n';
        return 0;
    }
    const json parsed = parse_object(value(answer).body);
    for (const auto& name : parsed->getNames()) {
        std::cout << name << '=' << parsed->get(name).toString() << '\n';
    }
    return 0;
}

int remove_member(const command_options& options, const std::string& name)
{
    Poco::JSON::Object body;
    body.set("member", name);
    std::ostringstream text;
    body.stringify(text);
    return submit(options, "/v1/members/remove", text.str());
}

int run(settings& s)
{
    command_options options;
    options.controls = s.addresses("--control");
    options.wait = std::chrono::seconds(s.integer("--wait", 0, 3600));
    options.timeout = std::chrono::seconds(s.integer("--timeout", 1, 3600));
    options.as_json = s.flag("--json");
    const endpoint node = s.address("--node", false);
    if (!s.report()) {
        return exit_usage;
    }
    if (s.flag("describe")) {
        return show(options, "/v1/description", "");
    }
    if (s.flag("patch")) {
        return submit_patch(options, s.text("<file>"));
    }
    if (s.flag("apply")) {
        return apply_description(options, s.text("<file>"));
    }
    if (s.flag("history")) {
        return show(options, "/v1/history", "patches");
    }
    if (s.flag("status")) {
        return show_status(options, s.text("<version>", false));
    }
    if (s.flag("drain")) {
        return drain(options, s.text("<upstream>"));
    }
    if (s.flag("upstreams")) {
        return show(options, "/v1/upstreams", "upstreams");
    }
    if (s.flag("nodes")) {
        return show(options, "/v1/nodes", "nodes");
    }
    if (s.flag("members")) {
        return show(options, "/v1/members", "members");
    }
    if (s.flag("remove-member")) {
        return remove_member(options, s.text("<name>"));
    }
    return show_counters(options, node);
}

}  // namespace

int main(int argc, char** argv) { return run_daemon(argc, argv, usage, "peridotcleat", run); }

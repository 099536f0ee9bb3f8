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
constexpr int exit_unknown = 3;
constexpr int exit_lagging = 4;

using json = Poco::JSON::Object::Ptr;

struct command_options {
    std::vector<endpoint> controls;
    std::chrono::seconds wait{0};
    std::chrono::seconds timeout{15};
    bool raw = false;
};

json parse_object(const std::string& text)
{
    return Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
}

// Asks the control processes in turn until one with authority answers. A request that may have been received
// is sent again to the next one: patches carry an id, and the other requests may be repeated.
result<http_answer> ask(const command_options& o, const std::string& method, const std::string& path,
                        const std::string& body)
{
    const auto end = std::chrono::steady_clock::now() + o.timeout;
    error last{error_code::no_quorum, "no control process answered"};
    bool sent = false;
    while (std::chrono::steady_clock::now() < end) {
        for (const endpoint& e : o.controls) {
            auto answer = http_call(e, method, path, body, 5s);
            if (!has_value(answer)) {
                sent = sent || failure(answer).code == error_code::outcome_unknown;
                last = failure(answer);
                continue;
            }
            // 421: not the leader; 503: no quorum at the moment, nothing was started.
            if (value(answer).status != 421 && value(answer).status != 503) {
                return answer;
            }
            last = {error_code::no_quorum, value(answer).body};
        }
        std::this_thread::sleep_for(200ms);
    }
    if (sent && method == "POST") {
        last.code = error_code::outcome_unknown;
    }
    return last;
}

int print_failure(const error& e)
{
    report_failure(e);
    return e.code == error_code::outcome_unknown ? exit_unknown : exit_refused;
}

// Prints the members of an answer's array as lines of key=value pairs.
void print_rows(const json& o, const std::string& name)
{
    const auto rows = o->getArray(name);
    for (std::size_t i = 0; rows && i < rows->size(); ++i) {
        const auto row = rows->getObject(static_cast<unsigned>(i));
        std::string line;
        for (const auto& key : row->getNames()) {
            line += (line.empty() ? "" : " ") + key + '=' + row->get(key).toString();
        }
        std::cout << line << '\n';
    }
}

int show(const command_options& o, const std::string& path, const std::string& array)
{
    const auto answer = ask(o, "GET", path, "");
    if (!has_value(answer)) {
        return print_failure(failure(answer));
    }
    if (o.raw || value(answer).status != 200 || array.empty()) {
        std::cout << value(answer).body << '\n';
    } else {
        print_rows(parse_object(value(answer).body), array);
    }
    return value(answer).status == 200 ? 0 : exit_refused;
}

int show_status(const command_options& o, const std::string& version)
{
    const auto answer = ask(o, "GET", "/v1/status" + (version.empty() ? "" : "?version=" + version), "");
    if (!has_value(answer)) {
        return print_failure(failure(answer));
    }
    std::cout << value(answer).body << '\n';
    if (value(answer).status != 200) {
        return exit_refused;
    }
    return parse_object(value(answer).body)->getValue<bool>("everywhere") ? 0 : exit_lagging;
}

int wait_in_force(const command_options& o, std::int64_t version)
{
    const auto end = std::chrono::steady_clock::now() + o.wait;
    std::string last;
    while (std::chrono::steady_clock::now() < end) {
        const auto answer = ask(o, "GET", "/v1/status?version=" + std::to_string(version), "");
        if (has_value(answer) && value(answer).status == 200) {
            last = value(answer).body;
            if (parse_object(last)->getValue<bool>("everywhere")) {
                std::cout << "version=" << version << " in_force=everywhere\n";
                return 0;
            }
        }
        std::this_thread::sleep_for(200ms);
    }
    std::cout << "version=" << version << " in_force=not_confirmed status=" << last << '\n';
    return exit_lagging;
}

int submit(const command_options& o, const std::string& path, const std::string& body)
{
    const auto answer = ask(o, "POST", path, body);
    if (!has_value(answer)) {
        return print_failure(failure(answer));
    }
    std::cout << value(answer).body << '\n';
    const json parsed = parse_object(value(answer).body);
    const auto status = parsed->optValue<std::string>("status", "");
    if (status == "outcome_unknown") {
        return exit_unknown;
    }
    if (status != "accepted" && status != "already_accepted") {
        return exit_refused;
    }
    const auto version = parsed->optValue<std::int64_t>("version", 0);
    return o.wait.count() > 0 && version > 0 ? wait_in_force(o, version) : 0;
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

int submit_patch(const command_options& o, const std::string& file)
{
    const auto text = read_file(file);
    return has_value(text) ? submit(o, "/v1/patches", value(text)) : print_failure(failure(text));
}

int apply_description(const command_options& o, const std::string& file)
{
    const auto text = read_file(file);
    if (!has_value(text)) {
        return print_failure(failure(text));
    }
    // The id makes repeated deliveries of this one call count once.
    const std::string id = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    return submit(o, "/v1/description?patch_id=" + id, value(text));
}

int drain(const command_options& o, const std::string& name)
{
    Poco::JSON::Object body;
    body.set("upstream", name);
    std::ostringstream text;
    body.stringify(text);
    command_options once = o;
    once.wait = 0s;
    const int code = submit(once, "/v1/drain", text.str());
    if (code != 0 || o.wait.count() == 0) {
        return code;
    }
    const auto end = std::chrono::steady_clock::now() + o.wait;
    while (std::chrono::steady_clock::now() < end) {
        const auto answer = ask(o, "GET", "/v1/upstreams", "");
        if (has_value(answer) && value(answer).status == 200 &&
            value(answer).body.find('"' + name + '"') == std::string::npos) {
            std::cout << "upstream=" << name << " left=yes\n";
            return 0;
        }
        std::this_thread::sleep_for(200ms);
    }
    std::cout << "upstream=" << name << " left=no\n";
    return exit_lagging;
}

int counters_of(const command_options& o, const endpoint& node)
{
    const auto answer =
        node.valid() ? http_call(node, "GET", "/counters", "", 5s) : ask(o, "GET", "/counters", "");
    if (!has_value(answer)) {
        return print_failure(failure(answer));
    }
    if (o.raw) {
        std::cout << value(answer).body << '\n';
        return 0;
    }
    const json parsed = parse_object(value(answer).body);
    for (const auto& name : parsed->getNames()) {
        std::cout << name << '=' << parsed->get(name).toString() << '\n';
    }
    return 0;
}

int remove_member(const command_options& o, const std::string& name)
{
    Poco::JSON::Object body;
    body.set("member", name);
    std::ostringstream text;
    body.stringify(text);
    return submit(o, "/v1/members/remove", text.str());
}

int run(settings& s)
{
    command_options o;
    o.controls = s.addresses("--control");
    o.wait = std::chrono::seconds(s.integer("--wait", 0, 3600));
    o.timeout = std::chrono::seconds(s.integer("--timeout", 1, 3600));
    o.raw = s.flag("--json");
    const endpoint node = s.address("--node", false);
    if (!s.report()) {
        return exit_usage;
    }
    if (s.flag("describe")) {
        return show(o, "/v1/description", "");
    }
    if (s.flag("patch")) {
        return submit_patch(o, s.text("<file>"));
    }
    if (s.flag("apply")) {
        return apply_description(o, s.text("<file>"));
    }
    if (s.flag("history")) {
        return show(o, "/v1/history", "patches");
    }
    if (s.flag("status")) {
        return show_status(o, s.text("<version>", false));
    }
    if (s.flag("drain")) {
        return drain(o, s.text("<upstream>"));
    }
    if (s.flag("upstreams")) {
        return show(o, "/v1/upstreams", "upstreams");
    }
    if (s.flag("nodes")) {
        return show(o, "/v1/nodes", "nodes");
    }
    if (s.flag("members")) {
        return show(o, "/v1/members", "members");
    }
    if (s.flag("remove-member")) {
        return remove_member(o, s.text("<name>"));
    }
    return counters_of(o, node);
}

}  // namespace

int main(int argc, char** argv) { return run_daemon(argc, argv, usage, "peridotcleat", run); }

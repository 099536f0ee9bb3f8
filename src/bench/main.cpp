// Runs the benchmarks. Each figure gives one line: name, value, unit, bound, baseline, seed and verdict.

#include <array>

#include "bench.h"
#include "peridotcleat/daemon.h"
#include "peridotcleat/settings.h"

namespace {

using namespace peridotcleat;
using namespace peridotcleat::bench;

const std::string usage = R"(Measures the parts of peridotcleat and prints one line for each figure.

Usage:
  peridotcleat-bench [options] [<subject>...]

Subjects: forward, table, control, flows, requests, scale. Without one, all are measured. "scale" measures how traffic, CPU time and memory of the control
processes and nodes grow with nodes, upstreams, addresses and changes. The exit code is 1 if a figure misses its bound.

Options:
  --seed=N   Seed [default: 1].
  --help     Prints this text.
  --version  Prints the version.
)";

struct subject {
    const char* name;
    void (*run)(std::uint64_t seed);
};

constexpr std::array<subject, 6> subjects{{{"forward", bench_forward},
                                           {"table", bench_table},
                                           {"control", bench_control},
                                           {"flows", bench_flows},
                                           {"requests", bench_requests},
                                           {"scale", bench_scale}}};

int run(settings& s)
{
    const auto seed = static_cast<std::uint64_t>(s.integer("--seed", 0, INT64_MAX));
    if (!s.report()) {
        return 2;
    }
    // docopt gives the repeated argument <subject> as one list, which the settings join with commas.
    std::string unmeasured_subjects = ',' + s.text("<subject>", false) + ',';
    const bool all = unmeasured_subjects == ",,";
    for (const subject& known : subjects) {
        const std::string name = std::string(known.name) + ',';
        if (const std::size_t position = unmeasured_subjects.find(',' + name);
            all || position != std::string::npos) {
            known.run(seed);
            unmeasured_subjects.erase(all ? unmeasured_subjects.size() : position + 1, name.size());
        }
    }
    if (!all && unmeasured_subjects != ",") {
        s.reject(error_code::invalid_setting, "<subject>", unmeasured_subjects, "a subject of --help");
        return s.report() ? 0 : 2;
    }
    return missed_bounds() == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) { return run_daemon(argc, argv, usage, "peridotcleat-bench", run); }

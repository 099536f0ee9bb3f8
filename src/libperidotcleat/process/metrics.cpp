#include "peridotcleat/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "peridotcleat/log.h"

namespace peridotcleat {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr const char* prefix = "peridotcleat_";

MetricFamily make_family(const std::string& name, const std::string& help, MetricType type)
{
    MetricFamily f;
    f.name = prefix + name;
    f.help = help;
    f.type = type;
    return f;
}

ClientMetric make_counter(std::uint64_t value)
{
    ClientMetric m;
    m.counter.value = static_cast<double>(value);
    return m;
}

ClientMetric make_counter_with_reason(const std::string& reason, std::uint64_t value)
{
    ClientMetric m = make_counter(value);
    m.label.push_back({"reason", reason});
    return m;
}

// Returns the reason from a counter's name of the form <kind>_<reason>, or nothing if the counter is of
// another kind.
std::optional<std::string> reason_of(const std::string& name, const std::string& kind)
{
    return name.starts_with(kind + '_') ? std::optional(name.substr(kind.size() + 1)) : std::nullopt;
}

ClientMetric make_histogram(const distribution::summary& s)
{
    ClientMetric m;
    m.histogram.sample_count = s.count;
    m.histogram.sample_sum = s.sum;
    for (const distribution::cumulative_bin& bin : s.bins) {
        m.histogram.bucket.push_back({bin.count, bin.upper});
    }
    return m;
}

}  // namespace

std::string to_metrics(const counters& counted)
{
    MetricFamily refused = make_family("refusals_total", "Refusals by reason", MetricType::Counter);
    MetricFamily retried = make_family("retries_total", "Retries by reason", MetricType::Counter);
    std::vector<MetricFamily> families;
    for (const auto& [name, value] : counted.snapshot()) {
        if (const auto refusal = reason_of(name, "refused")) {
            refused.metric.push_back(make_counter_with_reason(*refusal, value));
        } else if (const auto retry = reason_of(name, "retried")) {
            retried.metric.push_back(make_counter_with_reason(*retry, value));
        } else {
            families.push_back(make_family(name + "_total", "Events of this kind", MetricType::Counter));
            families.back().metric.push_back(make_counter(value));
        }
    }
    for (const auto& [name, value] : {std::pair("log_lines_left_out", log_lines_left_out()),
                                      std::pair("log_lines_lost", log_lines_lost())}) {
        families.push_back(make_family(std::string(name) + "_total", "Log lines that were not written",
                                       MetricType::Counter));
        families.back().metric.push_back(make_counter(value));
    }
    families.push_back(std::move(refused));
    families.push_back(std::move(retried));
    for (std::size_t i = 0; i < static_cast<std::size_t>(latency::count); ++i) {
        const auto l = static_cast<latency>(i);
        if (counted.durations(l).count() > 0) {
            families.push_back(make_family(std::string(to_string(l)) + "_ms", "Duration in milliseconds",
                                           MetricType::Histogram));
            families.back().metric.push_back(make_histogram(counted.durations(l).summarize()));
        }
    }
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, families);
    return text.str();
}

}  // namespace peridotcleat

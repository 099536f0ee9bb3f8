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

MetricFamily family(const std::string& name, const std::string& help, MetricType type)
{
    MetricFamily f;
    f.name = prefix + name;
    f.help = help;
    f.type = type;
    return f;
}

ClientMetric counter(std::uint64_t value)
{
    ClientMetric m;
    m.counter.value = static_cast<double>(value);
    return m;
}

ClientMetric with_reason(const std::string& reason, std::uint64_t value)
{
    ClientMetric m = counter(value);
    m.label.push_back({"reason", reason});
    return m;
}

// Takes the reason from a counter's name of the form <kind>_<reason>, or nothing if it is of another kind.
std::optional<std::string> reason_of(const std::string& name, const std::string& kind)
{
    return name.starts_with(kind + '_') ? std::optional(name.substr(kind.size() + 1)) : std::nullopt;
}

ClientMetric histogram(const distribution::summary& s)
{
    ClientMetric m;
    m.histogram.sample_count = s.count;
    m.histogram.sample_sum = s.sum;
    for (const distribution::step& step : s.steps) {
        m.histogram.bucket.push_back({step.count, step.upper});
    }
    return m;
}

}  // namespace

std::string to_metrics(const counters& counted)
{
    MetricFamily refused = family("refusals_total", "Refusals by reason", MetricType::Counter);
    MetricFamily retried = family("retries_total", "Retries by reason", MetricType::Counter);
    std::vector<MetricFamily> all;
    for (const auto& [name, value] : counted.snapshot()) {
        if (const auto refusal = reason_of(name, "refused")) {
            refused.metric.push_back(with_reason(*refusal, value));
        } else if (const auto retry = reason_of(name, "retried")) {
            retried.metric.push_back(with_reason(*retry, value));
        } else {
            all.push_back(family(name + "_total", "Events of this kind", MetricType::Counter));
            all.back().metric.push_back(counter(value));
        }
    }
    for (const auto& [name, value] : {std::pair("log_lines_left_out", log_lines_left_out()),
                                      std::pair("log_lines_lost", log_lines_lost())}) {
        all.push_back(
            family(std::string(name) + "_total", "Log lines that were not written", MetricType::Counter));
        all.back().metric.push_back(counter(value));
    }
    all.push_back(std::move(refused));
    all.push_back(std::move(retried));
    for (std::size_t i = 0; i < static_cast<std::size_t>(latency::count); ++i) {
        const auto l = static_cast<latency>(i);
        if (counted.durations(l).count() > 0) {
            all.push_back(
                family(std::string(to_string(l)) + "_ms", "Duration in milliseconds", MetricType::Histogram));
            all.back().metric.push_back(histogram(counted.durations(l).summarize()));
        }
    }
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, all);
    return text.str();
}

}  // namespace peridotcleat

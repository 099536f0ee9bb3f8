#include "peridotcleat/metrics.h"

#include <gtest/gtest.h>

namespace peridotcleat {
namespace {

using namespace std::chrono_literals;

// Guards against counters, reasons and histograms that are missing from the metrics of a process, and against
// histogram buckets that are not cumulative.
TEST(metrics, show_counters_reasons_and_histograms)
{
    counters counted;
    counted.add(event::flows_opened, 3);
    counted.count_refusal(error_code::draining);
    counted.count_retry(error_code::shed_by_upstream);
    counted.record(latency::offer, 1500us);
    counted.record(latency::offer, 90s);
    const std::string text = to_metrics(counted);
    const auto expect_contains = [&](const std::string& part) {
        EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
    };
    expect_contains("peridotcleat_flows_opened_total 3\n");
    expect_contains("peridotcleat_refusals_total{reason=\"draining\"} 1\n");
    expect_contains("peridotcleat_retries_total{reason=\"shed_by_upstream\"} 1\n");
    expect_contains("# TYPE peridotcleat_offer_ms histogram\n");
    expect_contains("peridotcleat_offer_ms_count 2\n");
    expect_contains("peridotcleat_offer_ms_bucket{le=\"+Inf\"} 2\n");
    EXPECT_EQ(text.find("peridotcleat_search_ms"), std::string::npos);
}

}  // namespace
}  // namespace peridotcleat

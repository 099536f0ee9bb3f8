#pragma once

#include <string>

#include "peridotcleat/counters.h"

namespace peridotcleat {

/// Renders counters and latency histograms in the Prometheus text format. Names begin with `peridotcleat_`;
/// the reason of a refusal or retry is a label.
std::string to_metrics(const counters& counted);

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace peridotcleat {

/// Histogram of a duration or a load with logarithmic bins. Thread-safe.
class distribution {
public:
    /// Creates a histogram over [`low`, `high`) with `bins` logarithmic bins. `low` must be positive.
    distribution(double low, double high, unsigned bins);
    ~distribution();
    distribution(const distribution&) = delete;
    distribution& operator=(const distribution&) = delete;
    distribution(distribution&&) = delete;
    distribution& operator=(distribution&&) = delete;

    /// Adds one observation.
    void record(double value);
    /// Adds one duration as an observation in milliseconds.
    void record(std::chrono::microseconds value);

    /// Returns the number of observations.
    [[nodiscard]] std::uint64_t count() const;
    /// Returns the upper edge of the bin that holds the quantile `q` (0 to 1), or 0 without observations.
    [[nodiscard]] double quantile(double q) const;

    /// The number of observations in one bin and all lower ones.
    struct cumulative_bin {
        /// Upper edge of the bin; infinite for the last bin, which counts values from `high` up.
        double upper = 0;
        std::uint64_t count = 0;
    };
    /// Observations by bin, cumulative, with the number of all observations and the sum of their values.
    struct summary {
        std::vector<cumulative_bin> bins;
        std::uint64_t count = 0;
        double sum = 0;
    };
    /// Returns a summary of all observations so far.
    [[nodiscard]] summary summarize() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace peridotcleat

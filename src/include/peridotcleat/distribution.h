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
    /// Adds one observation in milliseconds.
    void record(std::chrono::microseconds value);

    /// Returns the number of observations.
    [[nodiscard]] std::uint64_t count() const;
    /// Returns the upper edge of the bin that holds the quantile `q` (0 to 1), or 0 without observations.
    [[nodiscard]] double quantile(double q) const;

    /// All observations up to an edge between two bins.
    struct step {
        double upper = 0;
        std::uint64_t count = 0;
    };
    /// Observations by bin, summed up, and what they add up to.
    struct summary {
        std::vector<step> steps;
        std::uint64_t count = 0;
        double sum = 0;
    };
    [[nodiscard]] summary summarize() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace peridotcleat

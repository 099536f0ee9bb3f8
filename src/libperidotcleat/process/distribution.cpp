#include "peridotcleat/distribution.h"

#include <boost/histogram.hpp>
#include <mutex>

namespace peridotcleat {

namespace {

using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using histogram = decltype(boost::histogram::make_histogram(std::declval<axis>()));

}  // namespace

struct distribution::impl {
    mutable std::mutex mutex;
    histogram bins;
    std::uint64_t total = 0;
    double sum = 0;
};

distribution::distribution(double low, double high, unsigned bins)
    : impl_(new impl{{}, boost::histogram::make_histogram(axis(bins, low, high)), 0, 0})
{
}

distribution::~distribution() = default;

void distribution::record(double value)
{
    const std::scoped_lock lock(impl_->mutex);
    impl_->bins(value);
    ++impl_->total;
    impl_->sum += value;
}

void distribution::record(std::chrono::microseconds value)
{
    record(static_cast<double>(value.count()) / 1000.0);
}

std::uint64_t distribution::count() const
{
    const std::scoped_lock lock(impl_->mutex);
    return impl_->total;
}

double distribution::quantile(double q) const
{
    const std::scoped_lock lock(impl_->mutex);
    if (impl_->total == 0) {
        return 0;
    }
    const double rank = q * static_cast<double>(impl_->total);
    double seen = 0;
    double upper_edge = 0;
    for (auto&& bin : boost::histogram::indexed(impl_->bins, boost::histogram::coverage::all)) {
        seen += static_cast<double>(*bin);
        upper_edge = bin.bin().upper();
        if (seen >= rank) {
            break;
        }
    }
    return upper_edge;
}

distribution::summary distribution::summarize() const
{
    const std::scoped_lock lock(impl_->mutex);
    summary s;
    s.count = impl_->total;
    s.sum = impl_->sum;
    std::uint64_t seen = 0;
    for (auto&& bin : boost::histogram::indexed(impl_->bins, boost::histogram::coverage::all)) {
        seen += static_cast<std::uint64_t>(*bin);
        s.bins.push_back({bin.bin().upper(), seen});
    }
    return s;
}

}  // namespace peridotcleat

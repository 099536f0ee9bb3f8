#include "peridotcleat/counters.h"

namespace peridotcleat {

namespace {

// Range of the latency histograms in milliseconds: from a delivery within one machine to the time limit of a
// request. 20 bins give four bins per decade.
constexpr double lowest_latency_ms = 0.1;
constexpr double highest_latency_ms = 10000;
constexpr unsigned latency_bins = 20;

}  // namespace

const char* to_string(event e) noexcept
{
    switch (e) {
    case event::packets_in: return "packets_in";
    case event::packets_forwarded: return "packets_forwarded";
    case event::packets_delivered: return "packets_delivered";
    case event::packets_dropped: return "packets_dropped";
    case event::messages_in: return "messages_in";
    case event::messages_out: return "messages_out";
    case event::bytes_in: return "bytes_in";
    case event::bytes_out: return "bytes_out";
    case event::flows_opened: return "flows_opened";
    case event::flows_closed: return "flows_closed";
    case event::flows_reset: return "flows_reset";
    case event::flows_redirected: return "flows_redirected";
    case event::flows_offered: return "flows_offered";
    case event::flows_offer_declined: return "flows_offer_declined";
    case event::requests_admitted: return "requests_admitted";
    case event::requests_answered: return "requests_answered";
    case event::requests_cancelled: return "requests_cancelled";
    case event::requests_resent: return "requests_resent";
    case event::parts_resent: return "parts_resent";
    case event::handovers_started: return "handovers_started";
    case event::handovers_completed: return "handovers_completed";
    case event::handovers_timed_out: return "handovers_timed_out";
    case event::stale_notices: return "stale_notices";
    case event::changes_applied: return "changes_applied";
    case event::pages_sent: return "pages_sent";
    case event::pages_applied: return "pages_applied";
    case event::full_tables_sent: return "full_tables_sent";
    case event::digest_mismatches: return "digest_mismatches";
    case event::parent_changes: return "parent_changes";
    case event::joins: return "joins";
    case event::leaves: return "leaves";
    case event::leases_expired: return "leases_expired";
    case event::elections_started: return "elections_started";
    case event::elections_won: return "elections_won";
    case event::elections_failed: return "elections_failed";
    case event::leader_step_downs: return "leader_step_downs";
    case event::entries_appended: return "entries_appended";
    case event::syncs: return "syncs";
    case event::snapshots_written: return "snapshots_written";
    case event::snapshots_installed: return "snapshots_installed";
    case event::patches_accepted: return "patches_accepted";
    case event::patches_resent: return "patches_resent";
    case event::pushes_delivered: return "pushes_delivered";
    case event::count: break;
    }
    return "unknown";
}

const char* to_string(latency l) noexcept
{
    switch (l) {
    case latency::offer: return "offer";
    case latency::search: return "search";
    case latency::exchange: return "exchange";
    case latency::acceptance: return "acceptance";
    case latency::flush: return "flush";
    case latency::count: break;
    }
    return "unknown";
}

counters::counters()
{
    for (std::size_t i = 0; i < static_cast<std::size_t>(latency::count); ++i) {
        latencies_.emplace_back(lowest_latency_ms, highest_latency_ms, latency_bins);
    }
}

void counters::record(latency l, std::chrono::microseconds duration)
{
    latencies_[static_cast<std::size_t>(l)].record(duration);
}

void counters::add(event e, std::uint64_t n) noexcept
{
    events_[static_cast<std::size_t>(e)].fetch_add(n, std::memory_order_relaxed);
}

void counters::count_refusal(error_code code) noexcept
{
    refusals_[static_cast<std::size_t>(code) % code_count].fetch_add(1, std::memory_order_relaxed);
}

void counters::count_retry(error_code code) noexcept
{
    retries_[static_cast<std::size_t>(code) % code_count].fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t counters::get(event e) const noexcept
{
    return events_[static_cast<std::size_t>(e)].load(std::memory_order_relaxed);
}

std::uint64_t counters::refusals(error_code code) const noexcept
{
    return refusals_[static_cast<std::size_t>(code) % code_count].load(std::memory_order_relaxed);
}

std::uint64_t counters::retries(error_code code) const noexcept
{
    return retries_[static_cast<std::size_t>(code) % code_count].load(std::memory_order_relaxed);
}

std::map<std::string, std::uint64_t> counters::snapshot() const
{
    std::map<std::string, std::uint64_t> values;
    for (std::size_t i = 0; i < events_.size(); ++i) {
        if (const auto n = get(static_cast<event>(i)); n != 0) {
            values[to_string(static_cast<event>(i))] = n;
        }
    }
    for (std::size_t i = 0; i < code_count; ++i) {
        const auto code = static_cast<error_code>(i);
        if (const auto n = refusals(code); n != 0) {
            values[std::string("refused_") + to_string(code)] = n;
        }
        if (const auto n = retries(code); n != 0) {
            values[std::string("retried_") + to_string(code)] = n;
        }
    }
    return values;
}

}  // namespace peridotcleat

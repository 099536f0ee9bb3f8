#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "peridotcleat/distribution.h"
#include "peridotcleat/result.h"

namespace peridotcleat {

/// Events that are counted, one counter each, besides refusals and retries.
enum class event : std::uint8_t {
    packets_in,
    packets_forwarded,
    packets_delivered,
    packets_dropped,
    messages_in,
    messages_out,
    bytes_in,
    bytes_out,
    flows_opened,
    flows_closed,
    flows_reset,
    flows_redirected,
    flows_offered,
    flows_offer_declined,
    requests_admitted,
    requests_answered,
    requests_cancelled,
    requests_resent,
    parts_resent,
    handovers_started,
    handovers_completed,
    handovers_timed_out,
    stale_notices,
    changes_applied,
    pages_sent,
    pages_applied,
    full_tables_sent,
    digest_mismatches,
    parent_changes,
    joins,
    leaves,
    leases_expired,
    elections_started,
    elections_won,
    elections_failed,
    leader_step_downs,
    entries_appended,
    syncs,
    snapshots_written,
    snapshots_installed,
    patches_accepted,
    patches_resent,
    pushes_delivered,
    count
};

/// Returns the stable name of `e`.
const char* to_string(event e) noexcept;

/// Durations that are measured, one histogram each.
enum class latency : std::uint8_t {
    /// From sending an opening packet to a target until the target offers to take the flow (balancer).
    offer,
    /// From the first packet of an unknown flow until the target that holds it is found, or until it is
    /// certain that no target holds it (balancer).
    search,
    /// From data of a caller until the first data that the target sends in answer (agent).
    exchange,
    /// From the arrival of an operator's change until its answer (control).
    acceptance,
    /// Writing and syncing one batch (control).
    flush,
    count
};

/// Returns the stable name of `l`.
const char* to_string(latency l) noexcept;

/// Counters and latency histograms of one role. Thread-safe; increments are relaxed atomic operations.
class counters {
public:
    counters();

    /// Adds `n` to the counter of `e`.
    void add(event e, std::uint64_t n = 1) noexcept;
    /// Counts one refusal with reason `code`.
    void count_refusal(error_code code) noexcept;
    /// Counts one retry with reason `code`.
    void count_retry(error_code code) noexcept;
    /// Adds one duration to the histogram of `l`.
    void record(latency l, std::chrono::microseconds duration);

    /// Returns the value of the counter of `e`.
    [[nodiscard]] std::uint64_t get(event e) const noexcept;
    /// Returns how often `code` was the reason of a refusal.
    [[nodiscard]] std::uint64_t refusals(error_code code) const noexcept;
    /// Returns how often `code` was the reason of a retry.
    [[nodiscard]] std::uint64_t retries(error_code code) const noexcept;

    /// Returns the histogram of `l`, in milliseconds.
    [[nodiscard]] const distribution& durations(latency l) const
    {
        return latencies_[static_cast<std::size_t>(l)];
    }

    /// Returns all counters that are not zero, as `name`, `refused_<reason>` and `retried_<reason>`.
    [[nodiscard]] std::map<std::string, std::uint64_t> snapshot() const;

private:
    // All values of `error_code` are below this.
    static constexpr std::size_t code_count = 700;
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(event::count)> events_{};
    std::array<std::atomic<std::uint64_t>, code_count> refusals_{};
    std::array<std::atomic<std::uint64_t>, code_count> retries_{};
    std::deque<distribution> latencies_;
};

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "peridotcleat/message.h"

namespace peridotcleat {

/// Send queue of the pushes of one flow. Keeps each push until it is acknowledged, and resends it until then.
class push_sender {
public:
    /// Queues a push. Returns false if `limit` pushes are already waiting for their acknowledgement.
    bool add(time_point now, std::string bytes, std::size_t limit);
    /// Appends the pushes that are due to be sent or resent to `out`. Only the first `window` unacknowledged
    /// pushes are considered.
    void append_due(time_point now, flow_token token, std::vector<wire::push>& out);
    /// Handles a cumulative acknowledgement: all pushes up to and including `sequence` have arrived.
    void acknowledge(std::int64_t sequence);
    [[nodiscard]] bool empty() const noexcept { return waiting_.empty(); }
    /// Time at which the oldest unacknowledged push was queued. The queue must not be empty.
    [[nodiscard]] time_point oldest_queued_at() const { return waiting_.front().queued_at; }

private:
    static constexpr std::size_t window = 16;
    static constexpr std::chrono::milliseconds first_resend_interval{250};
    static constexpr std::chrono::milliseconds max_resend_interval{2000};

    struct waiting_push {
        std::string bytes;
        time_point queued_at;
        time_point next_send;
        std::chrono::milliseconds resend_interval;
    };

    std::deque<waiting_push> waiting_;
    std::int64_t first_sequence_ = 1;
};

/// Receives the pushes of one flow: puts them into order and drops duplicates.
class push_receiver {
public:
    /// Takes a push and appends the bytes of all pushes that are now in order to `out`. Returns the sequence
    /// to acknowledge cumulatively.
    std::int64_t take(const wire::push& p, std::vector<std::string>& out);

private:
    static constexpr std::int64_t window = 64;

    std::map<std::int64_t, std::string> out_of_order_;
    std::int64_t next_sequence_ = 1;
};

}  // namespace peridotcleat

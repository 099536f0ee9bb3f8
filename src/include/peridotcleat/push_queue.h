#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "peridotcleat/message.h"

namespace peridotcleat {

/// Pushes of one flow that wait for their acknowledgement, in order.
class push_sender {
public:
    /// Queues bytes. Returns false if `limit` pushes wait already.
    bool add(time_point now, std::string bytes, std::size_t limit);
    /// Appends the pushes that are due, at most `window` from the first unacknowledged one on.
    void due(time_point now, flow_token token, std::vector<wire::push>& out);
    /// Takes a cumulative acknowledgement: each push up to `sequence` has arrived.
    void acknowledge(std::int64_t sequence);
    [[nodiscard]] bool empty() const noexcept { return waiting_.empty(); }
    /// Time at which the oldest waiting push was queued; only if not empty.
    [[nodiscard]] time_point oldest() const { return waiting_.front().queued; }

private:
    static constexpr std::size_t window = 16;
    static constexpr std::chrono::milliseconds resend_after{250};
    static constexpr std::chrono::milliseconds resend_limit{2000};

    struct waiting_push {
        std::string bytes;
        time_point queued;
        time_point next_send;
        std::chrono::milliseconds interval;
    };

    std::deque<waiting_push> waiting_;
    std::int64_t first_ = 1;
};

/// Brings the pushes of one flow into order and drops repeated ones.
class push_receiver {
public:
    /// Takes a push and appends the ones that are now in order to `out`. Returns the sequence to acknowledge.
    std::int64_t take(const wire::push& p, std::vector<std::string>& out);

private:
    static constexpr std::int64_t window = 64;

    std::map<std::int64_t, std::string> early_;
    std::int64_t next_ = 1;
};

}  // namespace peridotcleat

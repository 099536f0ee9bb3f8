#include "peridotcleat/push_queue.h"

#include <algorithm>
#include <utility>

namespace peridotcleat {

bool push_sender::add(time_point now, std::string bytes, std::size_t limit)
{
    if (waiting_.size() >= limit) {
        return false;
    }
    waiting_.push_back({std::move(bytes), now, now, resend_after});
    return true;
}

void push_sender::due(time_point now, flow_token token, std::vector<wire::push>& out)
{
    const std::size_t n = std::min(window, waiting_.size());
    for (std::size_t i = 0; i < n; ++i) {
        waiting_push& w = waiting_[i];
        if (w.next_send > now) {
            continue;
        }
        w.next_send = now + w.interval;
        w.interval = std::min(w.interval * 2, resend_limit);
        wire::push p;
        p.token = token.value;
        p.sequence = first_ + static_cast<std::int64_t>(i);
        p.bytes = w.bytes;
        out.push_back(std::move(p));
    }
}

void push_sender::acknowledge(std::int64_t sequence)
{
    while (!waiting_.empty() && first_ <= sequence) {
        waiting_.pop_front();
        ++first_;
    }
}

std::int64_t push_receiver::take(const wire::push& p, std::vector<std::string>& out)
{
    if (p.sequence >= next_ && p.sequence < next_ + window) {
        early_.emplace(p.sequence, p.bytes);
    }
    for (auto it = early_.find(next_); it != early_.end(); it = early_.find(next_)) {
        out.push_back(std::move(it->second));
        early_.erase(it);
        ++next_;
    }
    return next_ - 1;
}

}  // namespace peridotcleat

#include "peridotcleat/push_queue.h"

#include <algorithm>
#include <utility>

namespace peridotcleat {

bool push_sender::add(time_point now, std::string bytes, std::size_t limit)
{
    if (waiting_.size() >= limit) {
        return false;
    }
    waiting_.push_back({std::move(bytes), now, now, first_resend_interval});
    return true;
}

void push_sender::append_due(time_point now, flow_token token, std::vector<wire::push>& out)
{
    const std::size_t n = std::min(window, waiting_.size());
    for (std::size_t i = 0; i < n; ++i) {
        waiting_push& queued_push = waiting_[i];
        if (queued_push.next_send > now) {
            continue;
        }
        queued_push.next_send = now + queued_push.resend_interval;
        queued_push.resend_interval = std::min(queued_push.resend_interval * 2, max_resend_interval);
        wire::push p;
        p.token = token.value;
        p.sequence = first_sequence_ + static_cast<std::int64_t>(i);
        p.bytes = queued_push.bytes;
        out.push_back(std::move(p));
    }
}

void push_sender::acknowledge(std::int64_t sequence)
{
    while (!waiting_.empty() && first_sequence_ <= sequence) {
        waiting_.pop_front();
        ++first_sequence_;
    }
}

std::int64_t push_receiver::take(const wire::push& p, std::vector<std::string>& out)
{
    if (p.sequence >= next_sequence_ && p.sequence < next_sequence_ + window) {
        out_of_order_.emplace(p.sequence, p.bytes);
    }
    for (auto it = out_of_order_.find(next_sequence_); it != out_of_order_.end();
         it = out_of_order_.find(next_sequence_)) {
        out.push_back(std::move(it->second));
        out_of_order_.erase(it);
        ++next_sequence_;
    }
    return next_sequence_ - 1;
}

}  // namespace peridotcleat

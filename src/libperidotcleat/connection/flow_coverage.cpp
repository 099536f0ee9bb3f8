#include "peridotcleat/flow_coverage.h"

namespace peridotcleat {

namespace {

// For packets that a previous agent sent just before this one started.
constexpr std::chrono::milliseconds in_flight_margin{5000};

}  // namespace

flow_coverage::flow_coverage(time_point started, std::chrono::milliseconds max_flow_age) noexcept
    : started_(started), max_flow_age_(max_flow_age)
{
}

// A closed port shows that no target ran when the agent started, so every flow of a later target passes the
// agent. The sequence number must agree: a target may run with its port closed, for example while it drains.
// The sequence number alone shows nothing, because a target that restarts beside a previous agent accepts
// flows before its first announcement.
void flow_coverage::on_first_announcement(std::int64_t sequence) noexcept
{
    complete_ = complete_ || (port_closed_at_start_ && sequence == 1);
}

bool flow_coverage::complete(time_point now) const noexcept
{
    return complete_ || now - started_ >= max_flow_age_ + in_flight_margin;
}

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "peridotcleat/counters.h"
#include "peridotcleat/outbox.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat {

/// A child of a relay or control process as last heard.
struct child_state {
    incarnation id;
    endpoint address;
    revision confirmed;
    time_point heard;
};

/// Serves pulls from a table, remembers the children, notifies them of changes and reports them upwards.
/// Used by balancers (towards agents) and by control (towards balancers).
class relay {
public:
    /// `parent_reports` is false for control, which has no parent.
    relay(bool parent_reports, counters& counted);

    /// Answers pull_request. `age` is the age of `table`.
    void on_pull(time_point now, const endpoint& from, const wire::pull_request& request,
                 const table_state& table, std::chrono::milliseconds age, outbox& out);
    /// Sends change_notice to children that lag behind `table`, after it has changed.
    void on_table_changed(time_point now, const table_state& table, outbox& out);
    /// Passes announce and announce_reply between children and `parent`.
    void on_announce(time_point now, const wire::announce& request, const endpoint& parent, outbox& out);
    /// Sends the report that is due to `parent`, under the relay's own incarnation.
    void on_tick(time_point now, incarnation own, const endpoint& own_address, const endpoint& parent,
                 outbox& out);
    void on_report_reply(time_point now, const wire::relay_report_reply& reply);

    [[nodiscard]] const std::vector<child_state>& children() const noexcept { return children_; }

private:
    std::vector<child_state> children_;
};

}  // namespace peridotcleat

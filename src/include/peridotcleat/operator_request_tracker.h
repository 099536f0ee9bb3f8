#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "peridotcleat/replica.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat {

/// Ticket of an operator's request that waits for its answer.
using ticket = pvt::strong_id<struct ticket_tag>;

/// Answer to an operator's request.
struct operator_answer {
    ticket id;
    patch_answer patch;
};

namespace pvt {

/// A patch, a whole description, or the name of a target to drain.
struct operator_request {
    ticket id;
    std::optional<wire::patch> patch;
    std::optional<wire::replacement> replacement;
    std::string drain;
    /// No other process can have proposed this request before.
    bool first_attempt = false;
    time_point deadline;
};

/// A request that is not in the log yet.
struct waiting_request {
    operator_request request;
    /// Read that confirms the table on which the request is decided.
    std::optional<read_ticket> read;
    bool decided = false;
};

/// Latest time in a snapshot, in milliseconds since the Unix epoch.
std::int64_t latest_time(const wire::table_snapshot& snapshot);

/// Keeps operators' requests until their answers are certain.
///
/// `conflict` and `invalid` are given only from a table that a quorum confirmed and that reflects all entries
/// of earlier terms, or from an entry that was applied. A request whose proposal may still be committed is
/// answered from its fate, or `outcome_unknown` at its deadline.
class operator_request_tracker {
public:
    /// Adds a request and returns its ticket.
    ticket add(operator_request request);
    /// Requests that are not decided yet, oldest first.
    std::vector<waiting_request>& waiting() noexcept { return waiting_; }
    /// Removes the requests that were decided.
    void remove_decided();

    /// Decides on a request from a confirmed table: answers it, or returns the change to propose.
    std::optional<wire::change> decide(waiting_request& w, const table_state& table, wall_time now);
    /// Notes where the change of `w` stands in the log.
    void proposed(waiting_request& w, std::int64_t index, std::int64_t term);
    /// Answers a request whose change could not be proposed, after `decide`.
    void refuse_confirmed(waiting_request& w, const error& reason);
    /// Answers a waiting request without knowledge of the table.
    void refuse(ticket id, const error& reason);

    /// Answers the request whose change stood at the place of `entry`, which is now applied.
    void on_applied(const wire::log_entry& entry, const apply_outcome& outcome, const table_state& table,
                    wall_time now);
    /// Answers requests whose place in the log was skipped by a snapshot.
    void on_snapshot(const table_state& table, wall_time now);
    /// Answers waiting requests; proposed ones wait for their fate.
    void on_leadership_lost();
    /// Answers requests whose deadline has passed.
    void on_time(time_point now);
    /// Answers all requests because the process stops.
    void fail_all(const error& reason);

    /// Returns the answers since the last call.
    std::vector<operator_answer> take_answers();

private:
    struct proposed_request {
        operator_request request;
        std::int64_t term = 0;
    };

    void answer(const operator_request& request, patch_answer value);
    void refuse(waiting_request& w, const error& reason);
    std::optional<wire::change> decide_drain(waiting_request& w, const table_state& table);
    void answer_skipped(const operator_request& request, const table_state& table, wall_time now,
                        bool certainly_dead);

    std::int64_t last_ticket_ = 0;
    std::vector<waiting_request> waiting_;
    // By index in the log.
    std::map<std::int64_t, proposed_request> proposed_;
    std::vector<operator_answer> answers_;
};

}  // namespace pvt
}  // namespace peridotcleat

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

/// Identifies an operator's request until it has been answered.
using ticket = pvt::strong_id<struct ticket_tag>;

/// Answer to an operator's request.
struct operator_answer {
    ticket id;
    patch_answer patch;
};

namespace pvt {

/// An operator's request: a patch, a replacement of the whole description, or the name of a target to drain.
struct operator_request {
    ticket id;
    std::optional<wire::patch> patch;
    std::optional<wire::replacement> replacement;
    std::string drain_target_name;
    /// True if no process can have proposed this request before.
    bool first_attempt = false;
    time_point deadline;
};

/// A request that has not been proposed to the log yet.
struct waiting_request {
    operator_request request;
    /// Quorum read that confirms the table on which the request is decided.
    std::optional<read_ticket> read;
    bool decided = false;
};

/// Returns the latest time of any entry that is visible in `snapshot`, in milliseconds since the Unix epoch.
std::int64_t latest_entry_time_ms(const wire::table_snapshot& snapshot);

/// Tracks operators' requests until their outcomes are certain.
///
/// A request is answered `conflict` or `invalid` only from a table that a quorum confirmed and that reflects
/// all entries of earlier terms, or from an applied entry. A request whose proposal may still be committed is
/// answered once it is known whether the proposal was committed, or with `outcome_unknown` at its deadline.
class operator_request_tracker {
public:
    /// Adds a request and returns its ticket.
    ticket add(operator_request request);
    /// Requests that have not been proposed or answered yet, oldest first.
    std::vector<waiting_request>& waiting() noexcept { return waiting_; }
    /// Removes the decided requests from `waiting`.
    void remove_decided();

    /// Decides on a request from a confirmed table: answers it and returns nothing, or returns the change to
    /// propose. `now` is the wall time against which quarantines are checked.
    std::optional<wire::change> decide(waiting_request& pending, const table_state& table, wall_time now);
    /// Records the log position at which the change of `pending` was proposed.
    void on_proposed(waiting_request& pending, std::int64_t index, std::int64_t term);
    /// Answers a request for which `decide` returned a change that could not be proposed.
    void on_proposal_failed(waiting_request& pending, const error& reason);
    /// Refuses a waiting request without consulting the table: `not_accepted` if it is a first attempt, else
    /// `outcome_unknown`.
    void refuse(ticket id, const error& reason);

    /// Answers the request whose change was proposed at the log index of `entry`, which has just been
    /// applied.
    void on_applied(const wire::log_entry& entry, const apply_outcome& outcome, const table_state& table,
                    wall_time now);
    /// Answers the requests whose log index is covered by an installed snapshot.
    void on_snapshot(const table_state& table, wall_time now);
    /// Refuses the waiting requests. Proposed ones remain until their outcome is known or their deadline
    /// passes.
    void on_leadership_lost();
    /// Answers the requests whose deadline has passed.
    void expire(time_point now);
    /// Answers all requests with `reason`, because the process stops.
    void fail_all(const error& reason);

    /// Returns and removes the answers that were given since the last call.
    std::vector<operator_answer> take_answers();

private:
    struct proposed_request {
        operator_request request;
        std::int64_t term = 0;
    };

    void answer(const operator_request& request, patch_answer value);
    void refuse(waiting_request& pending, const error& reason);
    std::optional<wire::change> decide_drain(waiting_request& pending, const table_state& table);
    void answer_from_table(const operator_request& request, const table_state& table, wall_time now,
                           bool certainly_not_committed);

    std::int64_t last_ticket_ = 0;
    std::vector<waiting_request> waiting_;
    // Proposed requests by their index in the log.
    std::map<std::int64_t, proposed_request> proposed_;
    std::vector<operator_answer> answers_;
};

}  // namespace pvt
}  // namespace peridotcleat

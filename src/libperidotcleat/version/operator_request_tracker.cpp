#include "peridotcleat/operator_request_tracker.h"

#include <algorithm>
#include <utility>

namespace peridotcleat::pvt {

namespace {

patch_answer outcome_unknown_answer(const error& reason)
{
    patch_answer a;
    a.status = patch_status::outcome_unknown;
    a.reason = reason;
    return a;
}

// An address quarantine ends by itself, so a refusal because of one is final only for this attempt.
patch_answer downgrade_temporary_refusal(patch_answer a)
{
    if (a.status == patch_status::invalid && a.reason.code == error_code::address_quarantined) {
        a.status = patch_status::not_accepted;
    }
    return a;
}

// Returns the answer to a description that is obsolete because the table holds a version at least as high, or
// nothing if it is not obsolete.
std::optional<patch_answer> superseded_answer(const wire::replacement& replacement, const table_state& table)
{
    if (replacement.version > table.document().version) {
        return std::nullopt;
    }
    patch_answer a;
    a.status = patch_status::already_accepted;
    a.version = config_version{table.document().version};
    return a;
}

}  // namespace

std::int64_t latest_entry_time_ms(const wire::table_snapshot& snapshot)
{
    std::int64_t latest = 0;
    for (const wire::patch_record& record : snapshot.patches) {
        latest = std::max(latest, record.time_ms);
    }
    const std::int64_t quarantine_ms = std::chrono::milliseconds(table_state::quarantine_time).count();
    for (const wire::quarantine& q : snapshot.quarantined) {
        latest = std::max(latest, q.until_ms - quarantine_ms);
    }
    return latest;
}

ticket operator_request_tracker::add(operator_request request)
{
    request.id = ticket{++last_ticket_};
    waiting_.push_back({std::move(request), std::nullopt, false});
    return ticket{last_ticket_};
}

void operator_request_tracker::remove_decided()
{
    std::erase_if(waiting_, [](const waiting_request& pending) { return pending.decided; });
}

void operator_request_tracker::answer(const operator_request& request, patch_answer value)
{
    answers_.push_back({request.id, std::move(value)});
}

std::optional<wire::change> operator_request_tracker::decide(waiting_request& pending,
                                                             const table_state& table, wall_time now)
{
    pending.decided = true;
    if (pending.request.replacement) {
        if (auto a = superseded_answer(*pending.request.replacement, table)) {
            answer(pending.request, std::move(*a));
            return std::nullopt;
        }
        wire::change change;
        change.__set_replace(*pending.request.replacement);
        return change;
    }
    if (!pending.request.patch) {
        return decide_drain(pending, table);
    }
    patch_answer a = downgrade_temporary_refusal(table.check(*pending.request.patch, now));
    if (a.status != patch_status::accepted) {
        answer(pending.request, std::move(a));
        return std::nullopt;
    }
    wire::change change;
    change.__set_new_patch(*pending.request.patch);
    return change;
}

std::optional<wire::change> operator_request_tracker::decide_drain(waiting_request& pending,
                                                                   const table_state& table)
{
    patch_answer a;
    a.version = table.version();
    const auto& targets = table.targets();
    const auto target = std::find_if(targets.rbegin(), targets.rend(), [&](const auto& entry) {
        return entry.second.name == pending.request.drain_target_name;
    });
    if (target == targets.rend()) {
        a.status = patch_status::invalid;
        a.reason = {error_code::target_unknown,
                    "no target is called \"" + pending.request.drain_target_name + "\""};
        answer(pending.request, std::move(a));
        return std::nullopt;
    }
    if (target->second.draining) {
        a.status = patch_status::already_accepted;
        a.entry_revision = revision{target->second.revision};
        answer(pending.request, std::move(a));
        return std::nullopt;
    }
    wire::change change;
    change.__set_drain_target(target->first.value);
    return change;
}

void operator_request_tracker::on_proposed(waiting_request& pending, std::int64_t index, std::int64_t term)
{
    // An earlier proposal at this index must have been truncated from the log: otherwise its outcome would be
    // known.
    if (const auto it = proposed_.find(index); it != proposed_.end()) {
        answer(it->second.request,
               outcome_unknown_answer({error_code::outcome_unknown, "the leadership was lost"}));
    }
    proposed_[index] = {std::move(pending.request), term};
}

void operator_request_tracker::on_proposal_failed(waiting_request& pending, const error& reason)
{
    const bool patch_already_proposed =
        pending.request.patch && std::ranges::any_of(proposed_, [&](const auto& p) {
            return p.second.request.patch &&
                   p.second.request.patch->patch_id == pending.request.patch->patch_id;
        });
    if (patch_already_proposed) {
        answer(pending.request, outcome_unknown_answer(reason));
        return;
    }
    patch_answer a;
    // The size of a change does not depend on when it is proposed, so this refusal is final.
    a.status =
        reason.code == error_code::message_too_large ? patch_status::invalid : patch_status::not_accepted;
    a.reason = reason;
    answer(pending.request, std::move(a));
}

void operator_request_tracker::refuse(waiting_request& pending, const error& reason)
{
    patch_answer a = outcome_unknown_answer(reason);
    if (pending.request.first_attempt) {
        a.status = patch_status::not_accepted;
    }
    answer(pending.request, std::move(a));
    pending.decided = true;
}

void operator_request_tracker::refuse(ticket id, const error& reason)
{
    for (waiting_request& pending : waiting_) {
        if (pending.request.id == id && !pending.decided) {
            refuse(pending, reason);
        }
    }
    remove_decided();
}

void operator_request_tracker::on_applied(const wire::log_entry& entry, const apply_outcome& outcome,
                                          const table_state& table, wall_time now)
{
    const auto it = proposed_.find(entry.index);
    if (it == proposed_.end()) {
        return;
    }
    const operator_request request = std::move(it->second.request);
    const bool same_entry = it->second.term == entry.term;
    proposed_.erase(it);
    if (!same_entry) {
        answer_from_table(request, table, now, true);
    } else if (request.patch || request.replacement) {
        answer(request, outcome.patch ? downgrade_temporary_refusal(*outcome.patch)
                                      : outcome_unknown_answer({error_code::outcome_unknown,
                                                                "the applied entry has no patch outcome"}));
    } else {
        patch_answer a;
        a.status = outcome.refused ? patch_status::invalid : patch_status::accepted;
        a.version = table.version();
        a.entry_revision = revision{entry.index};
        a.reason = outcome.refused.value_or(error{});
        answer(request, std::move(a));
    }
}

// Answers a request from the table because its own entry cannot tell the outcome: its log index holds another
// entry (`certainly_not_committed`), or is covered by a snapshot.
void operator_request_tracker::answer_from_table(const operator_request& request, const table_state& table,
                                                 wall_time now, bool certainly_not_committed)
{
    if (request.replacement) {
        if (auto a = superseded_answer(*request.replacement, table)) {
            answer(request, std::move(*a));
            return;
        }
    }
    if (request.patch) {
        patch_answer a = table.check(*request.patch, now);
        // The record of this patch, or of another patch on the same base version, makes the outcome final.
        if (a.status == patch_status::already_accepted ||
            (a.status == patch_status::conflict && request.patch->base < table.version().value)) {
            answer(request, std::move(a));
            return;
        }
    }
    patch_answer a = outcome_unknown_answer({error_code::outcome_unknown, "the leadership was lost"});
    if (certainly_not_committed) {
        a.status = patch_status::not_accepted;
        a.reason = {error_code::not_leader,
                    "an entry of another leader was committed at the log index of this change"};
    }
    answer(request, std::move(a));
}

void operator_request_tracker::on_snapshot(const table_state& table, wall_time now)
{
    while (!proposed_.empty() && proposed_.begin()->first <= table.current_revision().value) {
        answer_from_table(proposed_.begin()->second.request, table, now, false);
        proposed_.erase(proposed_.begin());
    }
}

void operator_request_tracker::on_leadership_lost()
{
    for (waiting_request& pending : waiting_) {
        refuse(pending, {error_code::not_leader, "the leadership was lost"});
    }
    remove_decided();
}

void operator_request_tracker::expire(time_point now)
{
    for (waiting_request& pending : waiting_) {
        if (now >= pending.request.deadline) {
            refuse(pending, {error_code::no_quorum, "no quorum confirmed the table before the deadline"});
        }
    }
    remove_decided();
    std::erase_if(proposed_, [&](const auto& p) {
        if (now < p.second.request.deadline) {
            return false;
        }
        answer(p.second.request,
               outcome_unknown_answer(
                   {error_code::outcome_unknown, "the commit was not confirmed before the deadline"}));
        return true;
    });
}

void operator_request_tracker::fail_all(const error& reason)
{
    for (waiting_request& pending : waiting_) {
        refuse(pending, reason);
    }
    remove_decided();
    for (const auto& [index, p] : proposed_) {
        answer(p.request, outcome_unknown_answer(reason));
    }
    proposed_.clear();
}

std::vector<operator_answer> operator_request_tracker::take_answers() { return std::exchange(answers_, {}); }

}  // namespace peridotcleat::pvt

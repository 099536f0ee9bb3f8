#include "peridotcleat/operator_request_tracker.h"

#include <algorithm>
#include <utility>

namespace peridotcleat::pvt {

namespace {

patch_answer unknown(const error& reason)
{
    patch_answer a;
    a.status = patch_status::outcome_unknown;
    a.reason = reason;
    return a;
}

// A quarantine ends by itself, so a refusal because of one holds only for this attempt.
patch_answer lasting(patch_answer a)
{
    if (a.status == patch_status::invalid && a.reason.code == error_code::address_quarantined) {
        a.status = patch_status::not_accepted;
    }
    return a;
}

// The answer to a description that a version at least as high has made obsolete, if any has.
std::optional<patch_answer> superseded(const wire::replacement& wanted, const table_state& table)
{
    if (wanted.version > table.document().version) {
        return std::nullopt;
    }
    patch_answer a;
    a.status = patch_status::already_accepted;
    a.version = config_version{table.document().version};
    return a;
}

}  // namespace

std::int64_t latest_time(const wire::table_snapshot& snapshot)
{
    std::int64_t latest = 0;
    for (const wire::patch_record& record : snapshot.patches) {
        latest = std::max(latest, record.time_ms);
    }
    const std::int64_t reserved = std::chrono::milliseconds(table_state::quarantine_time).count();
    for (const wire::quarantine& q : snapshot.quarantined) {
        latest = std::max(latest, q.until_ms - reserved);
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
    std::erase_if(waiting_, [](const waiting_request& w) { return w.decided; });
}

void operator_request_tracker::answer(const operator_request& request, patch_answer value)
{
    answers_.push_back({request.id, std::move(value)});
}

std::optional<wire::change> operator_request_tracker::decide(waiting_request& w, const table_state& table,
                                                             wall_time now)
{
    w.decided = true;
    if (w.request.replacement) {
        if (auto a = superseded(*w.request.replacement, table)) {
            answer(w.request, std::move(*a));
            return std::nullopt;
        }
        wire::change change;
        change.__set_replace(*w.request.replacement);
        return change;
    }
    if (!w.request.patch) {
        return decide_drain(w, table);
    }
    patch_answer a = lasting(table.check(*w.request.patch, now));
    if (a.status != patch_status::accepted) {
        answer(w.request, std::move(a));
        return std::nullopt;
    }
    wire::change change;
    change.__set_new_patch(*w.request.patch);
    return change;
}

std::optional<wire::change> operator_request_tracker::decide_drain(waiting_request& w,
                                                                   const table_state& table)
{
    patch_answer a;
    a.version = table.version();
    const auto& targets = table.targets();
    const auto named = std::find_if(targets.rbegin(), targets.rend(),
                                    [&](const auto& entry) { return entry.second.name == w.request.drain; });
    if (named == targets.rend()) {
        a.status = patch_status::invalid;
        a.reason = {error_code::target_unknown, "no target is called \"" + w.request.drain + "\""};
        answer(w.request, std::move(a));
        return std::nullopt;
    }
    if (named->second.draining) {
        a.status = patch_status::already_accepted;
        a.entry_revision = revision{named->second.revision};
        answer(w.request, std::move(a));
        return std::nullopt;
    }
    wire::change change;
    change.__set_drain_target(named->first.value);
    return change;
}

void operator_request_tracker::proposed(waiting_request& w, std::int64_t index, std::int64_t term)
{
    // An earlier proposal at this index was truncated from the log, or its fate would be known.
    if (const auto it = proposed_.find(index); it != proposed_.end()) {
        answer(it->second.request, unknown({error_code::outcome_unknown, "the leadership was lost"}));
    }
    proposed_[index] = {std::move(w.request), term};
}

void operator_request_tracker::refuse_confirmed(waiting_request& w, const error& reason)
{
    const bool in_log =
        w.request.patch && std::ranges::any_of(proposed_, [&](const auto& p) {
            return p.second.request.patch && p.second.request.patch->patch_id == w.request.patch->patch_id;
        });
    if (in_log) {
        answer(w.request, unknown(reason));
        return;
    }
    patch_answer a;
    a.status = patch_status::not_accepted;
    a.reason = reason;
    answer(w.request, std::move(a));
}

void operator_request_tracker::refuse(waiting_request& w, const error& reason)
{
    patch_answer a = unknown(reason);
    if (w.request.first_attempt) {
        a.status = patch_status::not_accepted;
    }
    answer(w.request, std::move(a));
    w.decided = true;
}

void operator_request_tracker::refuse(ticket id, const error& reason)
{
    for (waiting_request& w : waiting_) {
        if (w.request.id == id && !w.decided) {
            refuse(w, reason);
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
    const bool same = it->second.term == entry.term;
    proposed_.erase(it);
    if (!same) {
        answer_skipped(request, table, now, true);
    } else if (request.patch || request.replacement) {
        answer(request, outcome.patch ? lasting(*outcome.patch)
                                      : unknown({error_code::outcome_unknown, "no outcome"}));
    } else {
        patch_answer a;
        a.status = outcome.refused ? patch_status::invalid : patch_status::accepted;
        a.version = table.version();
        a.entry_revision = revision{entry.index};
        a.reason = outcome.refused.value_or(error{});
        answer(request, std::move(a));
    }
}

// Answers a request whose place in the log holds another entry (`certainly_dead`), or cannot be seen any
// more.
void operator_request_tracker::answer_skipped(const operator_request& request, const table_state& table,
                                              wall_time now, bool certainly_dead)
{
    if (request.replacement) {
        if (auto a = superseded(*request.replacement, table)) {
            answer(request, std::move(*a));
            return;
        }
    }
    if (request.patch) {
        patch_answer a = table.check(*request.patch, now);
        // The record of the patch, or of another one on the same base, decides for good.
        if (a.status == patch_status::already_accepted ||
            (a.status == patch_status::conflict && request.patch->base < table.version().value)) {
            answer(request, std::move(a));
            return;
        }
    }
    patch_answer a = unknown({error_code::outcome_unknown, "the leadership was lost"});
    if (certainly_dead) {
        a.status = patch_status::not_accepted;
        a.reason = {error_code::not_leader, "another leader's entry took its place"};
    }
    answer(request, std::move(a));
}

void operator_request_tracker::on_snapshot(const table_state& table, wall_time now)
{
    while (!proposed_.empty() && proposed_.begin()->first <= table.current_revision().value) {
        answer_skipped(proposed_.begin()->second.request, table, now, false);
        proposed_.erase(proposed_.begin());
    }
}

void operator_request_tracker::on_leadership_lost()
{
    for (waiting_request& w : waiting_) {
        refuse(w, {error_code::not_leader, "the leadership was lost"});
    }
    remove_decided();
}

void operator_request_tracker::on_time(time_point now)
{
    for (waiting_request& w : waiting_) {
        if (now >= w.request.deadline) {
            refuse(w, {error_code::no_quorum, "no quorum confirmed the table in time"});
        }
    }
    remove_decided();
    std::erase_if(proposed_, [&](const auto& p) {
        if (now < p.second.request.deadline) {
            return false;
        }
        answer(p.second.request, unknown({error_code::outcome_unknown, "no quorum in time"}));
        return true;
    });
}

void operator_request_tracker::fail_all(const error& reason)
{
    for (waiting_request& w : waiting_) {
        refuse(w, reason);
    }
    remove_decided();
    for (const auto& [index, p] : proposed_) {
        answer(p.request, unknown(reason));
    }
    proposed_.clear();
}

std::vector<operator_answer> operator_request_tracker::take_answers() { return std::exchange(answers_, {}); }

}  // namespace peridotcleat::pvt

#pragma once

#include <Poco/JSON/Object.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "peridotcleat/admin_server.h"
#include "peridotcleat/control.h"
#include "peridotcleat/counters.h"
#include "peridotcleat/daemon.h"
#include "peridotcleat/description.h"
#include "peridotcleat/event_loop.h"

namespace peridotcleat {

/// Answer to a request for which an HTTP thread waits while the loop's thread determines it. Thread-safe.
class pending_answer {
public:
    /// Sets the answer, so that `wait` returns. Later calls are ignored.
    void set(admin_response answer);
    /// Waits for the answer. Returns status 504 with `outcome_unknown` if there is none after `limit`.
    admin_response wait(std::chrono::milliseconds limit);

private:
    std::mutex mutex_;
    std::condition_variable done_;
    std::optional<admin_response> answer_;
};

/// Renders the answer to a patch or a drain as JSON.
admin_response render(const patch_answer& answer);
/// Renders the status of a version as JSON.
admin_response render(const in_force_status& status);
/// Renders accepted patches, oldest first.
admin_response render_history(const table_state& table);
/// Renders targets with their service names.
admin_response render_upstreams(const table_state& table);
/// Renders all registered nodes.
admin_response render_nodes(const std::vector<node_report>& nodes);
/// Renders the control members.
admin_response render_members(const std::vector<wire::member>& members, bool leading, std::int64_t term);
/// Parses `{"<key>":"text"}` and returns the text. Fails with `description_malformed`, and with
/// `description_unknown_field` if `key` is not the only field.
result<std::string> parse_single_field(const std::string& body, const std::string& key);

/// The operators' HTTP interface of one control process.
///
/// `handle`, `replace` and `document` are called on HTTP threads and post their work to the loop's thread, on
/// which everything else runs.
template <class Control>
class operator_api {
public:
    /// Each request is answered within `limit`, with `outcome_unknown` if its result is not known by then.
    operator_api(Control& role, event_loop& loop, counters& counted,
                 std::chrono::milliseconds limit = std::chrono::seconds(12))
        : role_(role), loop_(loop), counted_(counted), limit_(limit)
    {
    }

    /// Submits a replacement of the whole description. If this process is not the leader, returns status 421
    /// and in `location` the address of the leader, if one is known.
    admin_response replace(wire::replacement replacement)
    {
        return run([this, replacement = std::move(replacement)](time_point now, const auto& answer) mutable {
            log_event(log_level::info, "replacement_received",
                      {{"version", replacement.version},
                       {"routes", static_cast<std::int64_t>(replacement.routes.size())},
                       {"in_force", role_.table().document().version},
                       {"leading", role_.leading() ? "true" : "false"}});
            if (!role_.leading()) {
                answer->set(not_leader());
                return;
            }
            submitted_[role_.submit_replacement(now, wall_now(), std::move(replacement))] = {answer, now};
        });
    }

    /// Returns the document of the description in force, compressed, once a quorum has confirmed that it is
    /// the newest one. Returns status 404 if there is none.
    admin_response document()
    {
        return run([this](time_point now, const auto& answer) {
            if (!role_.leading()) {
                answer->set(not_leader());
                return;
            }
            read(now, answer, [this, answer](time_point) {
                const stored_document& stored = role_.table().document();
                answer->set(stored.version == 0
                                ? admin_error(404, {error_code::version_conflict, "no description"})
                                : admin_response{200, stored.bytes});
            });
        });
    }

    /// Answers one request of an operator.
    admin_response handle(const admin_request& r)
    {
        if (auto answer = answer_metrics(r, counted_)) {
            return *answer;
        }
        return run([this, r](time_point now, const auto& answer) { dispatch(now, r, answer); });
    }

    /// Answers the requests whose results have become known. Call after each batch of events.
    void advance(time_point now)
    {
        for (operator_answer& answered : role_.take_answers()) {
            if (const auto it = submitted_.find(answered.id); it != submitted_.end()) {
                counted_.record(latency::acceptance, std::chrono::duration_cast<std::chrono::microseconds>(
                                                         now - it->second.arrived));
                log_event(log_level::info, "change_answered",
                          {{"status", to_string(answered.patch.status)},
                           {"version", answered.patch.version.value},
                           {"revision", answered.patch.entry_revision.value},
                           {"code", static_cast<std::int64_t>(answered.patch.reason.code)},
                           {"reason", answered.patch.reason.message},
                           {"waited_ms",
                            std::chrono::duration_cast<std::chrono::milliseconds>(now - it->second.arrived)
                                .count()}});
                it->second.answer->set(render(answered.patch));
                submitted_.erase(it);
            }
        }
        std::erase_if(reads_, [&](pending_read& read) { return finish_read(now, read); });
    }

private:
    // A read that waits for a quorum to confirm that this process is the leader.
    struct pending_read {
        read_ticket read;
        time_point deadline;
        std::shared_ptr<pending_answer> answer;
        std::function<void(time_point)> on_confirmed;
    };

    // A submitted change whose result is not known yet.
    struct submitted_change {
        std::shared_ptr<pending_answer> answer;
        time_point arrived;
    };

    // Runs `task` on the loop's thread and waits until the answer that `task` receives is set.
    admin_response run(std::function<void(time_point, const std::shared_ptr<pending_answer>&)> task)
    {
        auto answer = std::make_shared<pending_answer>();
        loop_.post([answer, task = std::move(task)](time_point now, outbox&) { task(now, answer); });
        return answer->wait(limit_);
    }

    [[nodiscard]] admin_response not_leader() const
    {
        admin_response response =
            admin_error(421, {error_code::not_leader, "this process is not the leader"});
        if (const auto leader = role_.leader()) {
            response.location = to_string(*leader);
        }
        return response;
    }

    // Starts to work on a request, on the loop's thread. The answer may be set later.
    void dispatch(time_point now, const admin_request& r, const std::shared_ptr<pending_answer>& answer)
    {
        if (r.path == "/v1/members" && r.method == "GET") {
            answer->set(render_members(role_.log().members(), role_.leading(), role_.log().term()));
            return;
        }
        if (!role_.leading()) {
            answer->set(not_leader());
            return;
        }
        if (r.method == "POST") {
            dispatch_post(now, r, answer);
            return;
        }
        read(now, answer,
             [this, r, answer](time_point confirmed_at) { answer->set(answer_read(confirmed_at, r)); });
    }

    void dispatch_post(time_point now, const admin_request& r, const std::shared_ptr<pending_answer>& answer)
    {
        if (r.path == "/v1/patches") {
            const auto patch = parse_patch(r.body);
            has_value(patch) ? submit_patch(now, value(patch), answer) : answer->set(refused(failure(patch)));
        } else if (r.path == "/v1/description") {
            // The patch is computed from a table that a quorum has confirmed to be up to date.
            read(now, answer,
                 [this, r, answer](time_point confirmed_at) { submit_description(confirmed_at, r, answer); });
        } else if (r.path == "/v1/drain") {
            const auto name = parse_single_field(r.body, "upstream");
            if (!has_value(name)) {
                answer->set(refused(failure(name)));
                return;
            }
            submitted_[role_.submit_drain(now, wall_now(), value(name))] = {answer, now};
        } else if (r.path == "/v1/members/remove") {
            const auto name = parse_single_field(r.body, "member");
            if (!has_value(name)) {
                answer->set(refused(failure(name)));
                return;
            }
            const auto removal = role_.remove_member(now, value(name));
            answer->set(has_value(removal) ? admin_response{200, R"({"status":"accepted"})"}
                                           : refused(failure(removal)));
        } else {
            answer->set(admin_error(404, {error_code::message_unknown_kind, "no such path: " + r.path}));
        }
    }

    static admin_response refused(const error& e)
    {
        return render(patch_answer{patch_status::invalid, {}, {}, e});
    }

    void submit_patch(time_point now, const wire::patch& patch, const std::shared_ptr<pending_answer>& answer)
    {
        submitted_[role_.submit_patch(now, wall_now(), patch)] = {answer, now};
    }

    // Computes the patch from the table to the description in the request, and submits it.
    void submit_description(time_point now, const admin_request& r,
                            const std::shared_ptr<pending_answer>& answer)
    {
        const std::string id = r.query("patch_id");
        // If an accepted description is sent again, the patch to it would be empty. The repeated request gets
        // the answer of the first one instead.
        for (const auto& [version, record] : role_.table().patches()) {
            if (record.patch_id == id) {
                answer->set(render(
                    patch_answer{patch_status::already_accepted, version, revision{record.revision}, {}}));
                return;
            }
        }
        const auto description = parse_description(r.body);
        if (!has_value(description)) {
            answer->set(refused(failure(description)));
            return;
        }
        const auto patch = plan_patch(role_.table(), value(description), id);
        has_value(patch) ? submit_patch(now, value(patch), answer) : answer->set(refused(failure(patch)));
    }

    admin_response answer_read(time_point now, const admin_request& r)
    {
        if (r.path == "/v1/description") {
            return {200, print_table(role_.table())};
        }
        if (r.path == "/v1/history") {
            return render_history(role_.table());
        }
        if (r.path == "/v1/upstreams") {
            return render_upstreams(role_.table());
        }
        if (r.path == "/v1/nodes") {
            return render_nodes(role_.nodes(now));
        }
        if (r.path == "/v1/status") {
            const std::string text = r.query("version");
            const auto version = text.empty() ? role_.table().version() : config_version{std::stoll(text)};
            if (version.value < 0 || version > role_.table().version()) {
                return admin_error(
                    404, {error_code::version_conflict, "version " + std::to_string(version.value) +
                                                            " does not exist; current is " +
                                                            std::to_string(role_.table().version().value)});
            }
            return render(role_.status(now, version));
        }
        return admin_error(404, {error_code::message_unknown_kind, "no such path: " + r.path});
    }

    // Calls `on_confirmed` once a quorum has confirmed that this process is still the leader.
    void read(time_point now, const std::shared_ptr<pending_answer>& answer,
              std::function<void(time_point)> on_confirmed)
    {
        auto started = role_.begin_read(now);
        if (!has_value(started)) {
            log_read_failed(failure(started));
            answer->set(admin_error(503, failure(started)));
            return;
        }
        reads_.push_back({value(started), now + limit_, answer, std::move(on_confirmed)});
    }

    static void log_read_failed(const error& reason)
    {
        log_event(log_level::info, "read_failed",
                  {{"code", static_cast<std::int64_t>(reason.code)}, {"reason", reason.message}});
    }

    // Answers a read that a quorum has confirmed, or that has failed or timed out. Returns true if it was
    // answered.
    bool finish_read(time_point now, pending_read& pending)
    {
        const auto ready = role_.read_ready(pending.read);
        if (!has_value(ready)) {
            log_read_failed(failure(ready));
            pending.answer->set(not_leader());
            return true;
        }
        if (!value(ready)) {
            if (now < pending.deadline) {
                return false;
            }
            const error unconfirmed{error_code::no_quorum, "no quorum confirmed the read"};
            log_read_failed(unconfirmed);
            pending.answer->set(admin_error(503, unconfirmed));
            return true;
        }
        try {
            pending.on_confirmed(now);
        } catch (const std::exception& e) {
            pending.answer->set(admin_error(400, {error_code::message_malformed, e.what()}));
        }
        return true;
    }

    Control& role_;
    event_loop& loop_;
    counters& counted_;
    std::chrono::milliseconds limit_;
    std::map<ticket, submitted_change> submitted_;
    std::vector<pending_read> reads_;
};

}  // namespace peridotcleat

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

/// Answer that an HTTP thread waits for while the loop's thread works on it. Thread-safe.
class pending_answer {
public:
    /// Gives the answer; later calls are ignored.
    void set(admin_response answer);
    /// Waits for the answer; after `limit` returns status 504 with `outcome_unknown`.
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
/// Parses `{"<key>":"text"}` and returns the text. Fails with `description_malformed`.
result<std::string> parse_single(const std::string& body, const std::string& key);

/// The operators' HTTP interface of one control process.
///
/// `handle` runs on HTTP threads; everything else runs on the loop's thread, to which `handle` posts.
template <class Control>
class operator_api {
public:
    /// Requests are answered within `limit`, with `outcome_unknown` if nothing better is known.
    operator_api(Control& role, event_loop& loop, counters& counted,
                 std::chrono::milliseconds limit = std::chrono::seconds(12))
        : role_(role), loop_(loop), counted_(counted), limit_(limit)
    {
    }

    /// Submits a whole description. Status 421 names the leader in `location`, if one is known.
    admin_response replace(wire::replacement wanted)
    {
        return run([this, wanted = std::move(wanted)](time_point now, const auto& answer) mutable {
            log_event(log_level::info, "replacement_received",
                      {{"version", wanted.version},
                       {"routes", static_cast<std::int64_t>(wanted.routes.size())},
                       {"in_force", role_.table().document().version},
                       {"leading", role_.leading() ? "true" : "false"}});
            if (!role_.leading()) {
                answer->set(not_leader());
                return;
            }
            submitted_[role_.submit_replacement(now, wall_now(), std::move(wanted))] = {answer, now};
        });
    }

    /// Returns the document of the description in force, compressed, once a quorum has confirmed that it is
    /// the newest one; 404 if there is none.
    admin_response document()
    {
        return run([this](time_point now, const auto& answer) {
            if (!role_.leading()) {
                answer->set(not_leader());
                return;
            }
            read(now, answer, [this, answer](time_point) {
                const stored_document& d = role_.table().document();
                answer->set(d.version == 0
                                ? admin_error(404, {error_code::version_conflict, "no description"})
                                : admin_response{200, d.bytes});
            });
        });
    }

    /// Answers one request of an operator.
    admin_response handle(const admin_request& r)
    {
        if (auto answer = answer_metrics(r, counted_)) {
            return *answer;
        }
        return run([this, r](time_point now, const auto& answer) { start(now, r, answer); });
    }

    /// Gives answers that have become known. Call after each batch of events.
    void advance(time_point now)
    {
        for (operator_answer& a : role_.take_answers()) {
            if (const auto it = submitted_.find(a.id); it != submitted_.end()) {
                counted_.record(latency::acceptance, std::chrono::duration_cast<std::chrono::microseconds>(
                                                         now - it->second.arrived));
                log_event(log_level::info, "change_answered",
                          {{"status", to_string(a.patch.status)},
                           {"version", a.patch.version.value},
                           {"revision", a.patch.entry_revision.value},
                           {"waited_ms",
                            std::chrono::duration_cast<std::chrono::milliseconds>(now - it->second.arrived)
                                .count()}});
                it->second.answer->set(render(a.patch));
                submitted_.erase(it);
            }
        }
        std::erase_if(reads_, [&](waiting_read& w) { return finish_read(now, w); });
    }

private:
    struct waiting_read {
        read_ticket read;
        time_point deadline;
        std::shared_ptr<pending_answer> answer;
        std::function<void(time_point)> then;
    };

    // A change whose answer is not known yet.
    struct submitted_change {
        std::shared_ptr<pending_answer> answer;
        time_point arrived;
    };

    // Runs `task` on the loop's thread and waits for the answer that it gives.
    admin_response run(std::function<void(time_point, const std::shared_ptr<pending_answer>&)> task)
    {
        auto answer = std::make_shared<pending_answer>();
        loop_.post([answer, task = std::move(task)](time_point now, outbox&) { task(now, answer); });
        return answer->wait(limit_);
    }

    [[nodiscard]] admin_response not_leader() const
    {
        admin_response r = admin_error(421, {error_code::not_leader, "this process is not the leader"});
        if (const auto leader = role_.leader()) {
            r.location = to_string(*leader);
        }
        return r;
    }

    void start(time_point now, const admin_request& r, const std::shared_ptr<pending_answer>& answer)
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
            start_post(now, r, answer);
            return;
        }
        read(now, answer, [this, r, answer](time_point at) { answer->set(show(at, r)); });
    }

    void start_post(time_point now, const admin_request& r, const std::shared_ptr<pending_answer>& answer)
    {
        if (r.path == "/v1/patches") {
            const auto patch = parse_patch(r.body);
            has_value(patch) ? submit(now, value(patch), answer) : answer->set(refused(failure(patch)));
        } else if (r.path == "/v1/description") {
            // The patch is computed from a table that a quorum has confirmed.
            read(now, answer, [this, r, answer](time_point at) { plan(at, r, answer); });
        } else if (r.path == "/v1/drain") {
            const auto name = parse_single(r.body, "upstream");
            if (!has_value(name)) {
                answer->set(refused(failure(name)));
                return;
            }
            submitted_[role_.submit_drain(now, wall_now(), value(name))] = {answer, now};
        } else if (r.path == "/v1/members/remove") {
            const auto name = parse_single(r.body, "member");
            if (!has_value(name)) {
                answer->set(refused(failure(name)));
                return;
            }
            const auto place = role_.remove_member(now, value(name));
            answer->set(has_value(place) ? admin_response{200, R"({"status":"accepted"})"}
                                         : refused(failure(place)));
        } else {
            answer->set(admin_error(404, {error_code::message_unknown_kind, "no such path: " + r.path}));
        }
    }

    static admin_response refused(const error& e)
    {
        return render(patch_answer{patch_status::invalid, {}, {}, e});
    }

    void submit(time_point now, const wire::patch& patch, const std::shared_ptr<pending_answer>& answer)
    {
        submitted_[role_.submit_patch(now, wall_now(), patch)] = {answer, now};
    }

    void plan(time_point now, const admin_request& r, const std::shared_ptr<pending_answer>& answer)
    {
        const std::string id = r.query("patch_id");
        // A resend of an accepted description would plan an empty patch; it gets the first answer instead.
        for (const auto& [version, record] : role_.table().patches()) {
            if (record.patch_id == id) {
                answer->set(render(
                    patch_answer{patch_status::already_accepted, version, revision{record.revision}, {}}));
                return;
            }
        }
        const auto wanted = parse_description(r.body);
        if (!has_value(wanted)) {
            answer->set(refused(failure(wanted)));
            return;
        }
        const auto patch = plan_patch(role_.table(), value(wanted), id);
        has_value(patch) ? submit(now, value(patch), answer) : answer->set(refused(failure(patch)));
    }

    admin_response show(time_point now, const admin_request& r)
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
            const auto wanted = text.empty() ? role_.table().version() : config_version{std::stoll(text)};
            if (wanted.value < 0 || wanted > role_.table().version()) {
                return admin_error(
                    404, {error_code::version_conflict, "version " + std::to_string(wanted.value) +
                                                            " does not exist; current is " +
                                                            std::to_string(role_.table().version().value)});
            }
            return render(role_.status(now, wanted));
        }
        return admin_error(404, {error_code::message_unknown_kind, "no such path: " + r.path});
    }

    // Runs `then` once a quorum has confirmed that this process still leads.
    void read(time_point now, const std::shared_ptr<pending_answer>& answer,
              std::function<void(time_point)> then)
    {
        auto started = role_.begin_read(now);
        if (!has_value(started)) {
            answer->set(admin_error(503, failure(started)));
            return;
        }
        reads_.push_back({value(started), now + limit_, answer, std::move(then)});
    }

    // Returns true if the read is over.
    bool finish_read(time_point now, waiting_read& w)
    {
        const auto ready = role_.read_ready(w.read);
        if (!has_value(ready)) {
            w.answer->set(not_leader());
            return true;
        }
        if (!value(ready)) {
            if (now < w.deadline) {
                return false;
            }
            w.answer->set(admin_error(503, {error_code::no_quorum, "no quorum confirmed the read"}));
            return true;
        }
        try {
            w.then(now);
        } catch (const std::exception& e) {
            w.answer->set(admin_error(400, {error_code::message_malformed, e.what()}));
        }
        return true;
    }

    Control& role_;
    event_loop& loop_;
    counters& counted_;
    std::chrono::milliseconds limit_;
    std::map<ticket, submitted_change> submitted_;
    std::vector<waiting_read> reads_;
};

}  // namespace peridotcleat

#pragma once

#include <chrono>
#include <cstdlib>
#include <optional>
#include <thread>

#include "peridotcleat/daemon.h"
#include "peridotcleat/event_loop.h"
#include "peridotcleat/log.h"
#include "peridotcleat/operator_api.h"
#include "peridotcleat/table_log.h"

namespace peridotcleat {

/// Binds a control process to its event loop, and logs what it comes to believe: who leads, who is in the
/// table.
template <class Control>
class control_host {
public:
    control_host(Control& role, event_loop& loop, operator_api<Control>& api, counters& counted)
        : role_(role), loop_(loop), api_(api), counted_(counted)
    {
    }

    /// Runs until a stop signal or until the storage fails. Returns the exit code.
    int run(std::chrono::milliseconds tick)
    {
        loop_handlers handlers;
        handlers.tick_period = tick;
        handlers.on_message = [this](time_point now, const endpoint& from, const message& m, outbox& out) {
            role_.on_message(now, from, m, out);
        };
        handlers.on_tick = [this](time_point now, outbox& out) { role_.on_tick(now, wall_now(), out); };
        handlers.on_batch_end = [this](time_point now, outbox& out) { end_batch(now, out); };
        std::thread signals([this] {
            wait_for_stop_signal([] { log_event(log_level::info, "reloaded"); });
            log_event(log_level::info, "stopping");
            loop_.stop();
        });
        loop_.run(handlers);
        if (code_ != 0) {
            // The waiting thread has no other way to end.
            std::quick_exit(code_);  // NOLINT(concurrency-mt-unsafe)
        }
        signals.join();
        log_event(log_level::info, "stopped");
        return code_;
    }

private:
    void end_batch(time_point now, outbox& out)
    {
        const auto syncs = role_.log().counts().get(event::syncs);
        const time_point started = event_loop::now();
        if (const auto flushed = role_.flush(now, out); !has_value(flushed)) {
            // What failed to become durable must not be acknowledged: nothing of this batch is sent.
            log_event(log_level::error, "storage_failed",
                      {{"code", static_cast<std::int64_t>(failure(flushed).code)},
                       {"reason", failure(flushed).message}});
            out.clear();
            code_ = report_failure(failure(flushed));
            loop_.stop();
        }
        if (role_.log().counts().get(event::syncs) != syncs) {
            counted_.record(latency::flush, std::chrono::duration_cast<std::chrono::microseconds>(
                                                event_loop::now() - started));
        }
        api_.advance(now);
        changes_.log_changes(role_.table());
        log_leadership(now);
    }

    void log_leadership(time_point now)
    {
        const auto age = role_.log().quorum_age(now).count();
        if (role_.leading() != was_leading_) {
            was_leading_ = role_.leading();
            log_event(log_level::info, was_leading_ ? "leadership_started" : "leadership_ended",
                      {{"term", role_.log().term()},
                       {"version", role_.table().document().version},
                       {"quorum_age_ms", age}});
        }
        const auto leader = role_.log().leader();
        if (leader == leader_) {
            return;
        }
        leader_ = leader;
        if (leader) {
            log_event(log_level::info, "leader_known",
                      {{"leader", to_string(*leader)}, {"term", role_.log().term()}, {"quorum_age_ms", age}});
        } else {
            log_event(log_level::warning, "leader_lost",
                      {{"term", role_.log().term()}, {"quorum_age_ms", age}});
        }
    }

    Control& role_;
    event_loop& loop_;
    operator_api<Control>& api_;
    counters& counted_;
    table_log changes_;
    bool was_leading_ = false;
    std::optional<endpoint> leader_;
    int code_ = 0;
};

}  // namespace peridotcleat

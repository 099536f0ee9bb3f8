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

/// Connects a control process to its event loop and logs the changes that the process sees in the leadership
/// and in the table.
template <class Control>
class control_host {
public:
    control_host(Control& role, event_loop& loop, operator_api<Control>& api, counters& counted)
        : role_(role), loop_(loop), api_(api), counted_(counted)
    {
    }

    /// Runs until a stop signal arrives or the storage fails. Returns the exit code of the program. `tick` is
    /// the period between two ticks of the control process.
    int run(std::chrono::milliseconds tick)
    {
        loop_handlers handlers;
        handlers.tick_period = tick;
        handlers.on_message = [this](time_point now, const endpoint& from, const message& m, outbox& out) {
            role_.on_message(now, from, m, out);
        };
        handlers.on_tick = [this](time_point now, outbox& out) { on_tick(now, out); };
        handlers.on_batch_end = [this](time_point now, outbox& out) { end_batch(now, out); };
        std::thread signals([this] {
            wait_for_stop_signal([] { log_event(log_level::info, "reloaded"); });
            log_event(log_level::info, "stopping");
            loop_.post([this](time_point now, outbox&) {
                leaving_ = true;
                role_.begin_leave(now);
            });
        });
        loop_.run(handlers);
        if (exit_code_ != 0) {
            // The thread that waits for a stop signal cannot be ended otherwise.
            std::quick_exit(exit_code_);  // NOLINT(concurrency-mt-unsafe)
        }
        signals.join();
        log_event(log_level::info, "stopped");
        return exit_code_;
    }

private:
    // A process that is about to stop goes on until another member has its vote.
    void on_tick(time_point now, outbox& out)
    {
        role_.on_tick(now, wall_now(), out);
        if (leaving_ && role_.may_stop(now)) {
            loop_.stop();
        }
    }

    void end_batch(time_point now, outbox& out)
    {
        const auto syncs_before = role_.log().counts().get(event::syncs);
        const time_point flush_started = event_loop::now();
        if (const auto flushed = role_.flush(now, out); !has_value(flushed)) {
            // Changes that are not durable must not be acknowledged, so no message of this batch is sent.
            log_event(log_level::error, "storage_failed",
                      {{"code", static_cast<std::int64_t>(failure(flushed).code)},
                       {"reason", failure(flushed).message}});
            out.clear();
            exit_code_ = report_failure(failure(flushed));
            loop_.stop();
        }
        if (role_.log().counts().get(event::syncs) != syncs_before) {
            counted_.record(latency::flush, std::chrono::duration_cast<std::chrono::microseconds>(
                                                event_loop::now() - flush_started));
        }
        api_.advance(now);
        table_log_.log_changes(role_.table());
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
    table_log table_log_;
    bool leaving_ = false;
    bool was_leading_ = false;
    std::optional<endpoint> leader_;
    int exit_code_ = 0;
};

}  // namespace peridotcleat

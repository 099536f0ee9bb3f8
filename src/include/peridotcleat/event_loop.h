#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

#include "peridotcleat/admin_server.h"
#include "peridotcleat/counters.h"
#include "peridotcleat/outbox.h"

namespace peridotcleat {

/// What a role does on each kind of event. All handlers run on the thread that calls `event_loop::run`.
struct loop_handlers {
    std::function<void(time_point, const endpoint&, const message&, outbox&)> on_message;
    std::function<void(time_point, outbox&)> on_tick;
    /// Runs after each batch of events, before its messages are sent; may add messages.
    std::function<void(time_point, outbox&)> on_batch_end;
    /// Takes replies to callers, upstream calls and cancellations.
    std::function<void(time_point, outbox&)> on_actions;
    /// Time between two ticks.
    std::chrono::milliseconds tick_period{10};
};

/// Takes one datagram of a socket that does not carry messages. `from` is its sender.
using datagram_handler =
    std::function<void(time_point, const endpoint& from, std::string_view bytes, outbox&)>;

/// Binds one role to one UDP socket and the steady clock.
///
/// `post` and `stop` are thread-safe; everything else belongs to the thread that calls `run`.
class event_loop {
public:
    /// Binds `at`. Fails with `address_in_use`.
    static result<std::unique_ptr<event_loop>> create(const endpoint& at, cluster_id cluster,
                                                      counters& counted);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    /// Binds a further UDP socket whose datagrams go to `handle`. Call before `run`. Fails with
    /// `address_in_use`.
    result<success> listen(const endpoint& at, datagram_handler handle);

    /// Runs `task` on the loop's thread soon.
    void post(std::function<void(time_point, outbox&)> task);
    /// Runs `task` on the loop's thread and waits for its answer; `outcome_unknown` with status 504 after 5
    /// s.
    admin_response call(std::function<admin_response(time_point, outbox&)> task);
    /// Handles events until `stop`.
    void run(const loop_handlers& handlers);
    /// Ends `run` after the current batch.
    void stop();

    /// Reads the clock of all loops.
    static time_point now();

private:
    struct impl;
    explicit event_loop(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

/// Reads the time of day.
wall_time wall_now();

/// Blocks SIGINT, SIGTERM and SIGHUP in the calling thread and those that it starts. Call first in `main`.
void block_stop_signals();
/// Waits until SIGINT or SIGTERM arrives. Calls `on_reload`, if given, each time SIGHUP arrives.
void wait_for_stop_signal(const std::function<void()>& on_reload = {});

}  // namespace peridotcleat

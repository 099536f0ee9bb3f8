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

/// Handlers by which an event loop calls its role. All of them run on the thread that calls
/// `event_loop::run`.
struct loop_handlers {
    /// Handles a message from the given endpoint.
    std::function<void(time_point, const endpoint&, const message&, outbox&)> on_message;
    /// Runs once in each `tick_period`.
    std::function<void(time_point, outbox&)> on_tick;
    /// Runs after each batch of events, before its messages are sent; may add messages.
    std::function<void(time_point, outbox&)> on_batch_end;
    /// Carries out the actions in the outbox that the loop does not: replies to callers, upstream calls and
    /// cancellations. Runs after `on_batch_end`.
    std::function<void(time_point, outbox&)> on_actions;
    /// Time between two ticks.
    std::chrono::milliseconds tick_period{10};
};

/// Handles one datagram from a socket that does not carry messages. `from` is its sender.
using datagram_handler =
    std::function<void(time_point, const endpoint& from, std::string_view bytes, outbox&)>;

/// Runs one role: receives and sends its messages on one UDP socket, and passes it the time of the steady
/// clock.
///
/// `post`, `call` and `stop` may be called on any thread, `call` on any but the one that calls `run`. All
/// other members may only be used by the thread that calls `run`.
class event_loop {
public:
    /// Binds the UDP socket to `address`. Messages of clusters other than `cluster` are refused. Fails with
    /// `address_in_use`.
    static result<std::unique_ptr<event_loop>> create(const endpoint& address, cluster_id cluster,
                                                      counters& counted);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    /// Binds an additional UDP socket to `address` and passes its datagrams to `handle`. Call before `run`.
    /// Fails with `address_in_use`.
    result<success> listen(const endpoint& address, datagram_handler handle);

    /// Queues `task` to run on the loop's thread in its next batch. After the end of `run` the task is
    /// dropped.
    void post(std::function<void(time_point, outbox&)> task);
    /// Runs `task` on the loop's thread and waits for its answer. Returns `stopped` with status 503 if `run`
    /// ends without running it, and `outcome_unknown` with status 504 if there is no answer after 5 s; the
    /// task may run later then, so it must not refer to locals of the caller.
    admin_response call(std::function<admin_response(time_point, outbox&)> task);
    /// Handles events until `stop` is called.
    void run(const loop_handlers& handlers);
    /// Ends `run` after the current batch.
    void stop();

    /// Returns the present time of the steady clock, which all loops use.
    static time_point now();

private:
    struct impl;
    explicit event_loop(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

/// Returns the present time of day.
wall_time wall_now();

/// Blocks SIGINT, SIGTERM and SIGHUP in the calling thread and in the threads that it starts afterwards. Call
/// before the first thread is started.
void block_stop_signals();
/// Waits until the process receives SIGINT or SIGTERM. Calls `on_reload`, if given, each time it receives
/// SIGHUP.
void wait_for_stop_signal(const std::function<void()>& on_reload = {});

}  // namespace peridotcleat

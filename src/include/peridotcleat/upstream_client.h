#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peridotcleat/outbox.h"

namespace peridotcleat {

/// Settings of the connection between an agent and its upstream.
struct upstream_client_settings {
    endpoint upstream;
    /// Maximum number of requests that the agent runs at the same time. The client itself does not enforce
    /// this limit; it starts `slots + extra_workers` worker threads.
    std::uint32_t slots = 1;
    /// Number of worker threads in addition to one for each slot, so that some are free to send cancellations
    /// while all slots are in use.
    std::uint32_t extra_workers = 2;
    /// Prefix of `X-Request-Id`. It must be different for each start of the agent, because tokens start again
    /// at 1.
    std::string id_prefix;
    /// Time limit for connecting; the deadline of the request limits it further.
    std::chrono::milliseconds connect_timeout{1000};
    /// Time after the deadline of a request for which its answer is still awaited.
    std::chrono::milliseconds grace{500};
};

/// Runs requests at an upstream over HTTP/1.1. Thread-safe.
///
/// A call is `POST /requests` with the body of the request and the headers `X-Request-Id`, `X-Deadline-Ms`
/// (remaining time when it is sent), `X-Method` (percent-encoded) and `X-Idempotent` (`true` or `false`); a
/// cancellation is `DELETE /requests/<id>`. Results:
/// - Status 2xx with the complete body: `ok`. The answer must have a `Content-Length` or status 204, because
///   without a length the end of the answer cannot be distinguished from a broken connection.
/// - Status 503: `shed_by_upstream`; no connection: `upstream_unreachable`; cancelled before the request was
///   sent: `cancelled`; past its deadline before the request was sent: `deadline_exceeded`. All four prove
///   that the request did not run.
/// - Any other status: `upstream_failed`.
/// - Anything else after the first byte was sent: `outcome_unknown`.
///
/// Each request uses its own connection: on a reused connection, a request that is lost because the upstream
/// closes the idle connection cannot be distinguished from a request that ran.
class upstream_client {
public:
    /// Starts the worker threads. `wake_up` is called when a result may be ready, from a worker thread or
    /// from the thread that calls `cancel`. Fails with `invalid_setting` if the address of the upstream is
    /// invalid or `slots` is 0.
    static result<std::unique_ptr<upstream_client>> create(const upstream_client_settings& settings,
                                                           std::function<void()> wake_up);
    /// Calls `stop`.
    ~upstream_client();
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;
    upstream_client(upstream_client&&) = delete;
    upstream_client& operator=(upstream_client&&) = delete;

    /// Queues a call. The call has exactly one result, unless the client is stopped before.
    void call(upstream_call c);
    /// Queues a cancellation. Cancellations are sent before queued calls. A call that has not been sent yet
    /// will not be sent.
    void cancel(const upstream_cancel& c);
    /// Returns and clears the results so far.
    std::vector<upstream_result> take_results();
    /// Shuts down the open connections and joins the worker threads. Calls in progress end as
    /// `outcome_unknown`.
    void stop();

private:
    struct impl;

    explicit upstream_client(std::unique_ptr<impl> i);

    std::unique_ptr<impl> impl_;
};

}  // namespace peridotcleat

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
    /// Requests that run at a time.
    std::uint32_t slots = 1;
    /// Worker threads besides one for each slot; they send cancellations while all slots are in use.
    std::uint32_t extra_workers = 2;
    /// Prefix of `X-Request-Id`, different for each start of the agent, whose tokens start again at 1.
    std::string id_prefix;
    std::chrono::milliseconds connect_timeout{1000};
    /// Time after the deadline of a request until its answer is given up.
    std::chrono::milliseconds grace{500};
};

/// Runs requests at an upstream over HTTP/1.1. Thread-safe.
///
/// A call is `POST /requests` with the body of the request and the headers `X-Request-Id`, `X-Deadline-Ms`
/// (remaining time when it is sent), `X-Method` (percent-encoded) and `X-Idempotent` (`true` or `false`); a
/// cancellation is `DELETE /requests/<id>`. Results:
/// - 2xx with the whole body: `ok`. The answer must have a `Content-Length` (or status 204), because the end
///   of another one cannot be told from a broken connection.
/// - 503: `shed_by_upstream`; no connection: `upstream_unreachable`; cancelled or past its deadline before it
///   was sent: `cancelled`, `deadline_exceeded`. All four prove that the request did not run.
/// - another status: `upstream_failed`.
/// - anything else after the first byte was sent: `outcome_unknown`.
///
/// Each request has its own connection: on a reused one, a request that is lost because the upstream closes
/// the idle connection cannot be told from one that ran.
class upstream_client {
public:
    /// Starts the workers. `wake_up` is called from worker threads when a result is ready. Fails with
    /// `invalid_setting`.
    static result<std::unique_ptr<upstream_client>> create(const upstream_client_settings& settings,
                                                           std::function<void()> wake_up);
    /// Stops as `stop` does.
    ~upstream_client();
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;
    upstream_client(upstream_client&&) = delete;
    upstream_client& operator=(upstream_client&&) = delete;

    /// Queues a call; its result comes exactly once, unless the client is stopped before.
    void call(upstream_call c);
    /// Queues a cancellation, ahead of calls.
    void cancel(const upstream_cancel& c);
    /// Returns and clears the results so far.
    std::vector<upstream_result> take_results();
    /// Breaks open connections and joins the workers. Calls in progress end as `outcome_unknown`.
    void stop();

private:
    struct impl;

    explicit upstream_client(std::unique_ptr<impl> i);

    std::unique_ptr<impl> impl_;
};

}  // namespace peridotcleat

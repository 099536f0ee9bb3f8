#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "peridotcleat/counters.h"
#include "peridotcleat/message.h"

namespace peridotcleat {

/// Final outcome of a request as its caller may report it.
enum class request_status : std::uint8_t { answered, not_run, failed, outcome_unknown };

/// Returns the stable name of `s`.
const char* to_string(request_status s) noexcept;

/// Settings of a caller.
struct caller_settings {
    endpoint local;
    endpoint service;
    std::chrono::milliseconds resend_after{250};
    std::chrono::milliseconds open_timeout{10000};
    /// Retries elsewhere, as a share of new requests in percent.
    std::uint32_t retry_percent = 10;
    std::uint64_t seed = 0;
};

/// One request as the application gives it.
struct new_request {
    std::string method;
    std::string body;
    bool idempotent = false;
    std::chrono::milliseconds deadline{5000};
};

/// Outcome of one request.
struct finished_request {
    std::uint64_t id = 0;
    request_status status = request_status::outcome_unknown;
    error_code reason = error_code::ok;
    std::string body;
    std::chrono::milliseconds took{0};
};

/// One payload to the service from source port `port`.
struct caller_send {
    std::uint16_t port = 0;
    std::string payload;
};

/// A caller with one flow that it keeps open, and further flows for retries. Not thread-safe.
///
/// Flows are told apart by their source port; the host binds a socket for each port that appears in a
/// `caller_send`. Ports are counted up from `local.port`.
class caller {
public:
    /// Fails with `invalid_setting`.
    static result<caller> create(const caller_settings& settings, counters& counted);

    /// Opens the flow.
    void open(time_point now, std::vector<caller_send>& out);
    /// Starts a request and returns its id.
    std::uint64_t submit(time_point now, new_request request, std::vector<caller_send>& out);
    void cancel(time_point now, std::uint64_t id, std::vector<caller_send>& out);
    void close(time_point now, std::vector<caller_send>& out);
    /// Takes one payload that arrived at source port `port`.
    void on_payload(time_point now, std::uint16_t port, std::string_view payload,
                    std::vector<caller_send>& out);
    void on_tick(time_point now, std::vector<caller_send>& out);

    /// Returns and clears the finished requests; each id appears once.
    std::vector<finished_request> take_finished();
    /// Returns and clears pushed messages in order, each once.
    std::vector<std::string> take_pushes();
    /// True while the first flow is open.
    [[nodiscard]] bool is_open() const noexcept;
    /// Number of flows that were open and were reset.
    [[nodiscard]] std::uint64_t broken_flows() const noexcept;
    /// Target of the open flow, 0 if none.
    [[nodiscard]] incarnation target() const noexcept;
};

}  // namespace peridotcleat

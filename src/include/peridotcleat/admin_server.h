#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "peridotcleat/types.h"

namespace peridotcleat {

/// One request to an HTTP interface of a process.
struct admin_request {
    std::string method;
    /// Path without the query.
    std::string path;
    /// Value of a query parameter, or empty.
    [[nodiscard]] std::string query(const std::string& name) const;
    std::vector<std::pair<std::string, std::string>> parameters;
    std::string body;
};

/// Answer of an HTTP interface: status code and a body.
struct admin_response {
    int status = 200;
    std::string body;
    /// Where to ask instead, for a redirect.
    std::string location = {};
    std::string content_type = "application/json";
};

/// Builds `{"code":n,"name":"...","message":"..."}` with HTTP status `status`.
admin_response admin_error(int status, const error& e);

/// HTTP/1.1 server for operators and for the upstream beside an agent. The handler runs on several threads.
class admin_server {
public:
    using handler = std::function<admin_response(const admin_request&)>;

    /// Largest body that is read, in bytes; a larger one gets status 413 and `message_too_large`.
    static constexpr std::size_t max_body = 4 << 20;

    /// Starts to listen. Fails with `address_in_use`.
    static result<std::unique_ptr<admin_server>> start(const endpoint& at, handler handle, int threads = 8);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;
    admin_server(admin_server&&) = delete;
    admin_server& operator=(admin_server&&) = delete;

private:
    struct impl;
    explicit admin_server(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

/// Outcome of an HTTP request.
struct http_answer {
    int status = 0;
    std::string body;
};

/// Sends one HTTP request and reads the answer. Fails with `upstream_unreachable` if no connection came about
/// (nothing was sent) and with `outcome_unknown` if the answer is missing.
result<http_answer> http_call(const endpoint& to, const std::string& method, const std::string& path,
                              const std::string& body, std::chrono::milliseconds timeout);

}  // namespace peridotcleat

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
    /// Path without the query string.
    std::string path;
    /// Returns the value of the query parameter `name`, or an empty string if the request does not have it.
    [[nodiscard]] std::string query(const std::string& name) const;
    std::vector<std::pair<std::string, std::string>> parameters;
    std::string body;
};

/// Answer of an HTTP interface: status code, headers and body.
struct admin_response {
    int status = 200;
    std::string body;
    /// Value of the `Location` header, the address to which the request should be sent instead. Not sent if
    /// empty.
    std::string location = {};
    std::string content_type = "application/json";
};

/// Builds `{"code":n,"name":"...","message":"..."}` with HTTP status `status`.
admin_response admin_error(int status, const error& e);

/// HTTP/1.1 server for operators and for the upstream beside an agent. The handler is called on several
/// threads at the same time.
class admin_server {
public:
    using handler = std::function<admin_response(const admin_request&)>;

    /// Largest request body that is accepted, in bytes; a request with a larger one is answered with status
    /// 413 and `message_too_large`.
    static constexpr std::size_t max_body = 4 << 20;

    /// Starts to listen on `address` and to handle requests on up to `threads` threads. Fails with
    /// `address_in_use`.
    static result<std::unique_ptr<admin_server>> start(const endpoint& address, handler handle,
                                                       int threads = 8);
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

/// Answer to an HTTP request.
struct http_answer {
    int status = 0;
    std::string body;
};

/// Sends one HTTP request and reads the answer. Fails with `upstream_unreachable` if no connection was
/// established, so that nothing was sent; with `outcome_unknown` if there was a connection but no complete
/// answer; and with `message_too_large` if the answer's body exceeds `admin_server::max_body`.
result<http_answer> http_call(const endpoint& to, const std::string& method, const std::string& path,
                              const std::string& body, std::chrono::milliseconds timeout);

}  // namespace peridotcleat

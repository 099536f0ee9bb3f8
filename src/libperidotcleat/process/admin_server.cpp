#include "peridotcleat/admin_server.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>

#include <array>
#include <istream>
#include <sstream>
#include <utility>

#include "peridotcleat/log.h"
#include "peridotcleat/net_address.h"

namespace peridotcleat {

namespace {

constexpr std::chrono::seconds receive_timeout{20};

// Reads a body of at most `limit` bytes. Returns false if it has more.
bool read_body(std::istream& in, std::size_t limit, std::string& body)
{
    std::array<char, 8192> block{};
    while (in.read(block.data(), block.size()) || in.gcount() > 0) {
        body.append(block.data(), static_cast<std::size_t>(in.gcount()));
        if (body.size() > limit) {
            return false;
        }
    }
    return true;
}

class request_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit request_handler(const admin_server::handler& handle) : handle_(handle) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override
    {
        admin_request parsed_request;
        parsed_request.method = request.getMethod();
        admin_response answer;
        try {
            const Poco::URI uri(request.getURI());
            parsed_request.path = uri.getPath();
            parsed_request.parameters = uri.getQueryParameters();
            answer = read_body(request.stream(), admin_server::max_body, parsed_request.body)
                         ? handle_(parsed_request)
                         : admin_error(413, {error_code::message_too_large,
                                             "the body exceeds " + std::to_string(admin_server::max_body) +
                                                 " bytes"});
        } catch (const std::exception& e) {
            answer = admin_error(400, {error_code::message_malformed, e.what()});
        }
        response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
        if (!answer.location.empty()) {
            response.set("Location", answer.location);
        }
        response.setContentType(answer.content_type);
        response.setContentLength(static_cast<std::streamsize>(answer.body.size()));
        response.send() << answer.body;
    }

private:
    const admin_server::handler& handle_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(const admin_server::handler& handle) : handle_(handle) {}

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override
    {
        return new request_handler(handle_);
    }

private:
    const admin_server::handler& handle_;
};

}  // namespace

std::string admin_request::query(const std::string& name) const
{
    for (const auto& [key, text] : parameters) {
        if (key == name) {
            return text;
        }
    }
    return {};
}

admin_response admin_error(int status, const error& e)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("code", static_cast<int>(e.code));
    object.set("name", std::string(to_string(e.code)));
    object.set("message", e.message);
    std::ostringstream text;
    object.stringify(text);
    return {status, text.str()};
}

struct admin_server::impl {
    handler handle;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::HTTPServer> server;

    impl(handler h, int max_threads) : handle(std::move(h)), threads(1, max_threads) {}
};

admin_server::admin_server(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

admin_server::~admin_server()
{
    impl_->server->stopAll(true);
    impl_->threads.joinAll();
}

result<std::unique_ptr<admin_server>> admin_server::start(const endpoint& address, handler handle,
                                                          int threads)
{
    auto state = std::make_unique<impl>(std::move(handle), threads + 1);
    try {
        // The socket is bound by a call of `bind`: the constructor that takes an address also sets
        // SO_REUSEPORT, so that a second process could bind the same address and receive part of the
        // requests.
        Poco::Net::ServerSocket socket;
        socket.bind(to_socket_address(address), true, false);
        socket.listen();
        Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
        params->setMaxThreads(threads);
        params->setMaxQueued(256);
        params->setTimeout(Poco::Timespan(receive_timeout.count(), 0));
        params->setKeepAliveTimeout(Poco::Timespan(receive_timeout.count(), 0));
        state->server = std::make_unique<Poco::Net::HTTPServer>(new handler_factory(state->handle),
                                                                state->threads, socket, params);
        state->server->start();
    } catch (const Poco::Exception& e) {
        return error{error_code::address_in_use, to_string(address) + ": " + e.displayText()};
    }
    return std::unique_ptr<admin_server>(new admin_server(std::move(state)));
}

result<http_answer> http_call(const endpoint& to, const std::string& method, const std::string& path,
                              const std::string& body, std::chrono::milliseconds timeout)
{
    bool connected = false;
    try {
        Poco::Net::StreamSocket socket;
        const Poco::Timespan limit(std::chrono::microseconds(timeout).count());
        socket.connect(to_socket_address(to), limit);
        connected = true;
        // HTTPClientSession does not apply its own timeout to a socket that is already connected.
        socket.setReceiveTimeout(limit);
        socket.setSendTimeout(limit);
        Poco::Net::HTTPClientSession session(socket);
        session.setTimeout(limit);
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setHost(to_string(to));
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::istream& in = session.receiveResponse(response);
        http_answer answer;
        answer.status = response.getStatus();
        if (!read_body(in, admin_server::max_body, answer.body)) {
            return error{error_code::message_too_large, "body too large in the answer from " + to_string(to)};
        }
        return answer;
    } catch (const std::exception& e) {
        const auto* poco_error = dynamic_cast<const Poco::Exception*>(&e);
        return error{connected ? error_code::outcome_unknown : error_code::upstream_unreachable,
                     to_string(to) + ": " + (poco_error != nullptr ? poco_error->displayText() : e.what())};
    }
}

}  // namespace peridotcleat

#include "peridotcleat/event_loop.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peridotcleat/log.h"
#include "peridotcleat/net_address.h"

namespace peridotcleat {

namespace {

// A batch ends after this many datagrams, so that a flood cannot keep a role from its timers.
constexpr int max_batch = 256;
constexpr std::chrono::seconds call_limit{5};
constexpr int socket_buffer_bytes = 4 << 20;

}  // namespace

struct event_loop::impl {
    // A socket whose datagrams are no messages.
    struct listener {
        Poco::Net::DatagramSocket socket;
        datagram_handler handle;
    };

    Poco::Net::DatagramSocket socket;
    Poco::Net::SocketAddress own;
    std::vector<listener> listeners;
    std::vector<pollfd> polled;
    cluster_id cluster;
    counters* counted = nullptr;
    std::array<char, max_datagram + 1> buffer{};
    std::string bytes;
    std::atomic<bool> stopping{false};
    // Guards `tasks` only; no other lock is taken while it is held.
    std::mutex mutex;
    std::vector<std::function<void(time_point, outbox&)>> tasks;

    void wake()
    {
        // An empty datagram to the loop's own socket ends its wait.
        try {
            socket.sendTo("", 0, own);
        } catch (const Poco::Exception&) {
            // The loop wakes up at its next tick anyway.
        }
    }

    // Waits until a socket is readable, at most `limit`.
    void wait(std::chrono::microseconds limit)
    {
        polled.clear();
        polled.push_back({socket.impl()->sockfd(), POLLIN, 0});
        for (const listener& l : listeners) {
            polled.push_back({l.socket.impl()->sockfd(), POLLIN, 0});
        }
        const auto ms = std::chrono::ceil<std::chrono::milliseconds>(limit).count();
        // An interrupted wait is as good as one that has timed out.
        (void)::poll(polled.data(), polled.size(), static_cast<int>(ms));
    }

    // Reads what has arrived at the socket `index` of `polled`, and passes each datagram to `take`.
    template <class Take>
    void drain(std::size_t index, Take take)
    {
        if ((polled[index].revents & (POLLIN | POLLERR)) == 0) {
            return;
        }
        for (int i = 0; i < max_batch; ++i) {
            sockaddr_in sender{};
            socklen_t size = sizeof sender;
            const auto length = ::recvfrom(polled[index].fd, buffer.data(), buffer.size(), MSG_DONTWAIT,
                                           reinterpret_cast<sockaddr*>(&sender), &size);
            if (length < 0) {
                if (errno == EAGAIN || errno == EWOULDBLOCK) {
                    return;
                }
                // Linux reports an earlier send's ICMP error on the next receive.
                log_event(log_level::debug, "receive_failed", {{"errno", std::int64_t{errno}}});
                continue;
            }
            if (length > 0) {
                take(endpoint{ntohl(sender.sin_addr.s_addr), ntohs(sender.sin_port)},
                     std::string_view(buffer.data(), static_cast<std::size_t>(length)));
            }
        }
    }

    void receive(time_point now, const loop_handlers& handlers, outbox& out)
    {
        drain(0, [&](const endpoint& from, std::string_view datagram) {
            counted->add(event::messages_in);
            counted->add(event::bytes_in, datagram.size());
            const auto decoded = decode(cluster, datagram);
            if (has_value(decoded)) {
                handlers.on_message(now, from, value(decoded), out);
                return;
            }
            counted->count_refusal(failure(decoded).code);
            log_event(log_level::warning, "message_refused",
                      {{"code", static_cast<std::int64_t>(failure(decoded).code)},
                       {"reason", failure(decoded).message},
                       {"from", to_string(from)}});
        });
        for (std::size_t i = 0; i < listeners.size(); ++i) {
            drain(i + 1, [&](const endpoint& from, std::string_view datagram) {
                counted->add(event::packets_in);
                listeners[i].handle(now, from, datagram, out);
            });
        }
    }

    void send(const endpoint& to, std::string_view datagram)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(to.address);
        address.sin_port = htons(to.port);
        if (::sendto(socket.impl()->sockfd(), datagram.data(), datagram.size(), MSG_DONTWAIT,
                     reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) {
            // Roles retransmit what matters, so a failed send is the same as a lost datagram.
            counted->add(event::packets_dropped);
            log_event(log_level::debug, "send_failed",
                      {{"to", to_string(to)}, {"errno", std::int64_t{errno}}});
        }
    }

    void send_all(outbox& out)
    {
        for (const send_action& s : out.sends) {
            encode_into(cluster, s.body, bytes);
            counted->add(event::messages_out);
            counted->add(event::bytes_out, bytes.size());
            send(s.to, bytes);
        }
        for (const packet_send& p : out.packets) {
            counted->add(event::packets_delivered);
            send(p.to, p.packet);
        }
        out.sends.clear();
        out.packets.clear();
    }
};

event_loop::event_loop(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

event_loop::~event_loop() = default;

result<std::unique_ptr<event_loop>> event_loop::create(const endpoint& at, cluster_id cluster,
                                                       counters& counted)
{
    auto state = std::make_unique<impl>();
    try {
        state->own = to_socket_address(at);
        state->socket.bind(state->own, false);
        state->socket.setReceiveBufferSize(socket_buffer_bytes);
        state->socket.setSendBufferSize(socket_buffer_bytes);
    } catch (const Poco::Exception& e) {
        return error{error_code::address_in_use, to_string(at) + ": " + e.displayText()};
    }
    state->cluster = cluster;
    state->counted = &counted;
    return std::unique_ptr<event_loop>(new event_loop(std::move(state)));
}

result<success> event_loop::listen(const endpoint& at, datagram_handler handle)
{
    try {
        Poco::Net::DatagramSocket socket;
        socket.bind(to_socket_address(at), false);
        socket.setReceiveBufferSize(socket_buffer_bytes);
        impl_->listeners.push_back({socket, std::move(handle)});
    } catch (const Poco::Exception& e) {
        return error{error_code::address_in_use, to_string(at) + ": " + e.displayText()};
    }
    return success{};
}

void event_loop::post(std::function<void(time_point, outbox&)> task)
{
    {
        const std::scoped_lock lock(impl_->mutex);
        impl_->tasks.push_back(std::move(task));
    }
    impl_->wake();
}

admin_response event_loop::call(std::function<admin_response(time_point, outbox&)> task)
{
    struct shared_answer {
        std::mutex mutex;
        std::condition_variable done;
        std::optional<admin_response> answer;
    };
    auto shared = std::make_shared<shared_answer>();
    post([shared, task = std::move(task)](time_point now, outbox& out) {
        auto answer = task(now, out);
        const std::scoped_lock lock(shared->mutex);
        shared->answer = std::move(answer);
        shared->done.notify_all();
    });
    std::unique_lock lock(shared->mutex);
    if (!shared->done.wait_for(lock, call_limit, [&] { return shared->answer.has_value(); })) {
        return admin_error(504, {error_code::outcome_unknown, "the process did not answer within 5 s"});
    }
    return *shared->answer;
}

void event_loop::stop()
{
    impl_->stopping = true;
    impl_->wake();
}

time_point event_loop::now() { return std::chrono::time_point_cast<std::chrono::microseconds>(clock::now()); }

void event_loop::run(const loop_handlers& handlers)
{
    outbox out;
    time_point next_tick = now();
    std::vector<std::function<void(time_point, outbox&)>> tasks;
    while (!impl_->stopping) {
        impl_->wait(std::max(next_tick - now(), std::chrono::microseconds(0)));
        const time_point at = now();
        impl_->receive(at, handlers, out);
        {
            const std::scoped_lock lock(impl_->mutex);
            tasks.swap(impl_->tasks);
        }
        for (const auto& task : tasks) {
            task(at, out);
        }
        tasks.clear();
        if (at >= next_tick) {
            handlers.on_tick(at, out);
            next_tick = at + handlers.tick_period;
        }
        if (handlers.on_batch_end) {
            handlers.on_batch_end(at, out);
        }
        if (handlers.on_actions) {
            handlers.on_actions(at, out);
        }
        impl_->send_all(out);
        out.clear();
    }
}

wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

namespace {

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGHUP);
    return set;
}

}  // namespace

void block_stop_signals()
{
    const sigset_t set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void wait_for_stop_signal(const std::function<void()>& on_reload)
{
    const sigset_t set = stop_signals();
    int signal = SIGHUP;
    while (signal == SIGHUP) {
        sigwait(&set, &signal);
        if (signal == SIGHUP && on_reload) {
            on_reload();
        }
    }
}

}  // namespace peridotcleat

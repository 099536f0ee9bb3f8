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

// Highest number of datagrams that a batch reads from one socket, so that a high packet rate cannot delay the
// timers of a role.
constexpr int max_batch = 256;
constexpr std::chrono::seconds call_timeout{5};
constexpr int socket_buffer_bytes = 4 << 20;

}  // namespace

struct event_loop::impl {
    // An additional socket, whose datagrams are not messages.
    struct listener {
        Poco::Net::DatagramSocket socket;
        datagram_handler handle;
    };

    Poco::Net::DatagramSocket socket;
    Poco::Net::SocketAddress own_address;
    std::vector<listener> listeners;
    std::vector<pollfd> poll_entries;
    cluster_id cluster;
    counters* counted = nullptr;
    std::array<char, max_datagram + 1> buffer{};
    std::string bytes;
    std::atomic<bool> stopping{false};
    // Guards `tasks` and `ended` only; no other lock is taken while it is held.
    std::mutex mutex;
    // `run` has returned; no task runs any more.
    bool ended = false;
    std::vector<std::function<void(time_point, outbox&)>> tasks;

    void wake()
    {
        // An empty datagram to the loop's own socket ends its `poll`.
        try {
            socket.sendTo("", 0, own_address);
        } catch (const Poco::Exception&) {
            // Without the datagram, the loop still continues at its next tick.
        }
    }

    // Waits until a socket is readable, at most `limit`.
    void wait(std::chrono::microseconds limit)
    {
        poll_entries.clear();
        poll_entries.push_back({socket.impl()->sockfd(), POLLIN, 0});
        for (const listener& l : listeners) {
            poll_entries.push_back({l.socket.impl()->sockfd(), POLLIN, 0});
        }
        const auto ms = std::chrono::ceil<std::chrono::milliseconds>(limit).count();
        // The result is ignored: an interrupted `poll` has the same effect as one that has timed out.
        (void)::poll(poll_entries.data(), poll_entries.size(), static_cast<int>(ms));
    }

    // Reads up to `max_batch` datagrams from the socket `index` of `poll_entries`, and passes each one to
    // `handle`.
    template <class Handler>
    void read_datagrams(std::size_t index, Handler handle)
    {
        if ((poll_entries[index].revents & (POLLIN | POLLERR)) == 0) {
            return;
        }
        for (int i = 0; i < max_batch; ++i) {
            sockaddr_in sender{};
            socklen_t size = sizeof sender;
            const auto length = ::recvfrom(poll_entries[index].fd, buffer.data(), buffer.size(), MSG_DONTWAIT,
                                           reinterpret_cast<sockaddr*>(&sender), &size);
            if (length < 0) {
                if (errno == EAGAIN || errno == EWOULDBLOCK) {
                    return;
                }
                // Linux reports the ICMP error that an earlier send caused on the next receive.
                log_event(log_level::debug, "receive_failed", {{"errno", std::int64_t{errno}}});
                continue;
            }
            if (length > 0) {
                handle(endpoint{ntohl(sender.sin_addr.s_addr), ntohs(sender.sin_port)},
                       std::string_view(buffer.data(), static_cast<std::size_t>(length)));
            }
        }
    }

    void receive(time_point now, const loop_handlers& handlers, outbox& out)
    {
        read_datagrams(0, [&](const endpoint& from, std::string_view datagram) {
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
            read_datagrams(i + 1, [&](const endpoint& from, std::string_view datagram) {
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
            // A failed send is treated like a lost datagram: roles retransmit every message that must arrive.
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

result<std::unique_ptr<event_loop>> event_loop::create(const endpoint& address, cluster_id cluster,
                                                       counters& counted)
{
    auto state = std::make_unique<impl>();
    try {
        state->own_address = to_socket_address(address);
        state->socket.bind(state->own_address, false);
        state->socket.setReceiveBufferSize(socket_buffer_bytes);
        state->socket.setSendBufferSize(socket_buffer_bytes);
    } catch (const Poco::Exception& e) {
        return error{error_code::address_in_use, to_string(address) + ": " + e.displayText()};
    }
    state->cluster = cluster;
    state->counted = &counted;
    return std::unique_ptr<event_loop>(new event_loop(std::move(state)));
}

result<success> event_loop::listen(const endpoint& address, datagram_handler handle)
{
    try {
        Poco::Net::DatagramSocket socket;
        socket.bind(to_socket_address(address), false);
        socket.setReceiveBufferSize(socket_buffer_bytes);
        impl_->listeners.push_back({socket, std::move(handle)});
    } catch (const Poco::Exception& e) {
        return error{error_code::address_in_use, to_string(address) + ": " + e.displayText()};
    }
    return success{};
}

void event_loop::post(std::function<void(time_point, outbox&)> task)
{
    {
        const std::scoped_lock lock(impl_->mutex);
        if (impl_->ended) {
            return;
        }
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

        void set(admin_response a)
        {
            const std::scoped_lock lock(mutex);
            if (!answer) {
                answer = std::move(a);
                done.notify_all();
            }
        }
    };
    auto shared = std::make_shared<shared_answer>();
    // Answers when the loop drops the task without running it, because it has ended.
    const auto on_drop = [](shared_answer* s) {
        s->set(admin_error(503, {error_code::stopped, "the process is stopping"}));
    };
    post([shared, task = std::move(task), guard = std::shared_ptr<shared_answer>(shared.get(), on_drop)](
             time_point now, outbox& out) { shared->set(task(now, out)); });
    std::unique_lock lock(shared->mutex);
    if (!shared->done.wait_for(lock, call_timeout, [&] { return shared->answer.has_value(); })) {
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
        const time_point batch_time = now();
        impl_->receive(batch_time, handlers, out);
        {
            const std::scoped_lock lock(impl_->mutex);
            tasks.swap(impl_->tasks);
        }
        for (const auto& task : tasks) {
            task(batch_time, out);
        }
        tasks.clear();
        if (batch_time >= next_tick) {
            handlers.on_tick(batch_time, out);
            next_tick = batch_time + handlers.tick_period;
        }
        if (handlers.on_batch_end) {
            handlers.on_batch_end(batch_time, out);
        }
        if (handlers.on_actions) {
            handlers.on_actions(batch_time, out);
        }
        impl_->send_all(out);
        out.clear();
    }
    {
        const std::scoped_lock lock(impl_->mutex);
        impl_->ended = true;
        tasks.swap(impl_->tasks);
    }
    // Destroyed without the lock, because tasks may answer their callers when they are dropped.
    tasks.clear();
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

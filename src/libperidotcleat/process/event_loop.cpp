#include "peridotcleat/event_loop.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "peridotcleat/log.h"
#include "peridotcleat/net_address.h"

namespace peridotcleat {

namespace {

constexpr std::chrono::milliseconds tick_period{10};
// A batch ends after this many datagrams, so that a flood cannot keep a role from its timers.
constexpr int max_batch = 256;
constexpr int socket_buffer_bytes = 4 << 20;

}  // namespace

struct event_loop::impl {
    Poco::Net::DatagramSocket socket;
    Poco::Net::SocketAddress own;
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

    void receive(time_point now, const loop_handlers& handlers, outbox& out)
    {
        for (int i = 0; i < max_batch && socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
             ++i) {
            Poco::Net::SocketAddress sender;
            const int length = socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
            if (length <= 0) {
                continue;
            }
            counted->add(event::messages_in);
            counted->add(event::bytes_in, static_cast<std::uint64_t>(length));
            const auto decoded = decode(cluster, {buffer.data(), static_cast<std::size_t>(length)});
            if (!has_value(decoded)) {
                counted->refuse(failure(decoded).code);
                log_event(log_level::warning, "message_refused",
                          {{"code", static_cast<std::int64_t>(failure(decoded).code)},
                           {"reason", failure(decoded).message},
                           {"from", sender.toString()}});
                continue;
            }
            handlers.on_message(now, to_endpoint(sender), value(decoded), out);
        }
    }

    void send_all(outbox& out)
    {
        for (const send_action& s : out.sends) {
            encode_into(cluster, s.body, bytes);
            counted->add(event::messages_out);
            counted->add(event::bytes_out, bytes.size());
            try {
                socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), to_socket_address(s.to));
            } catch (const Poco::Exception& e) {
                // Roles retransmit what matters, so a failed send is the same as a lost datagram.
                log_event(log_level::debug, "send_failed",
                          {{"to", to_string(s.to)}, {"reason", e.displayText()}});
            }
        }
        out.sends.clear();
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

void event_loop::post(std::function<void(time_point, outbox&)> task)
{
    {
        const std::scoped_lock lock(impl_->mutex);
        impl_->tasks.push_back(std::move(task));
    }
    impl_->wake();
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
        const auto wait = std::max(next_tick - now(), std::chrono::microseconds(0));
        impl_->socket.poll(Poco::Timespan(wait.count()), Poco::Net::Socket::SELECT_READ);
        const time_point at = now();
        try {
            impl_->receive(at, handlers, out);
        } catch (const Poco::Exception& e) {
            // Linux reports an earlier send's ICMP error on the next receive.
            log_event(log_level::debug, "receive_failed", {{"reason", e.displayText()}});
        }
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
            next_tick = at + tick_period;
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

namespace {

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGTERM);
    return set;
}

}  // namespace

void block_stop_signals()
{
    const sigset_t set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void wait_for_stop_signal()
{
    const sigset_t set = stop_signals();
    int signal = 0;
    sigwait(&set, &signal);
}

}  // namespace peridotcleat

#include "peridotcleat/forwarder.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <mutex>
#include <string>
#include <utility>

#include "peridotcleat/log.h"
#include "peridotcleat/net_address.h"

namespace peridotcleat {

namespace {

constexpr int socket_buffer_bytes = 8 << 20;
// Without traffic, workers check the stop flag at this interval.
constexpr std::chrono::milliseconds receive_timeout{100};

}  // namespace

struct forwarder::impl {
    Poco::Net::DatagramSocket socket;
    endpoint control;
    cluster_id cluster;
    counters* counted = nullptr;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> generation{0};
    // Guards `routes`; workers take it only when the generation has changed.
    std::mutex mutex;
    std::shared_ptr<const route_table> routes;
    std::vector<std::thread> threads;

    std::shared_ptr<const route_table> load_routes()
    {
        const std::scoped_lock lock(mutex);
        return routes;
    }

    void run_worker();
};

namespace {

// Buffers of one worker, reused for each packet.
struct packet_buffers {
    std::array<char, max_datagram> in{};
    std::string out;
    message forwarded{wire::forwarded_packet{}};
};

// Fills `forwarded` from a caller's packet. Returns `ok`, or the reason to drop the packet.
error_code fill_forwarded_packet(const route_table& routes, wire::caller_packet& packet,
                                 const endpoint& control, wire::forwarded_packet& forwarded,
                                 route_decision& decision)
{
    const error_code code = route(routes, from_wire(packet.key), decision);
    if (code != error_code::ok) {
        return code;
    }
    forwarded.key = packet.key;
    forwarded.service_id = decision.service.value;
    forwarded.revision = decision.table_revision.value;
    forwarded.incarnation = decision.owner.value;
    forwarded.hops = 0;
    forwarded.balancer = to_wire(control);
    forwarded.payload.swap(packet.payload);
    return error_code::ok;
}

}  // namespace

void forwarder::impl::run_worker()
{
    packet_buffers buffers;
    std::shared_ptr<const route_table> current_routes = load_routes();
    std::uint64_t seen_generation = generation.load(std::memory_order_acquire);
    while (!stopping.load(std::memory_order_relaxed)) {
        try {
            const int n = socket.receiveBytes(buffers.in.data(), static_cast<int>(buffers.in.size()));
            if (const auto current_generation = generation.load(std::memory_order_acquire);
                current_generation != seen_generation) {
                seen_generation = current_generation;
                current_routes = load_routes();
            }
            counted->add(event::packets_in);
            auto decoded = decode(cluster, {buffers.in.data(), static_cast<std::size_t>(std::max(n, 0))});
            if (!has_value(decoded)) {
                counted->count_refusal(failure(decoded).code);
                continue;
            }
            auto* packet = std::get_if<wire::caller_packet>(&value(decoded));
            if (packet == nullptr) {
                counted->count_refusal(error_code::message_unknown_kind);
                continue;
            }
            route_decision decision;
            const error_code code =
                current_routes
                    ? fill_forwarded_packet(*current_routes, *packet, control,
                                            std::get<wire::forwarded_packet>(buffers.forwarded), decision)
                    : error_code::no_target;
            if (code != error_code::ok) {
                counted->add(event::packets_dropped);
                counted->count_refusal(code);
                continue;
            }
            encode_into(cluster, buffers.forwarded, buffers.out);
            socket.sendTo(buffers.out.data(), static_cast<int>(buffers.out.size()),
                          to_socket_address(decision.agent));
            counted->add(event::packets_forwarded);
        } catch (const Poco::TimeoutException&) {
            continue;
        } catch (const Poco::Exception&) {
            // After a send to a process that has ended, the socket reports an error; the packet is lost.
            counted->add(event::packets_dropped);
        }
    }
}

forwarder::forwarder(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

forwarder::~forwarder() { stop(); }

result<std::unique_ptr<forwarder>> forwarder::start(const endpoint& data, const endpoint& control,
                                                    cluster_id cluster, unsigned workers, counters& counted)
{
    auto state = std::make_unique<impl>();
    try {
        state->socket.bind(to_socket_address(data), false);
        state->socket.setReceiveBufferSize(socket_buffer_bytes);
        state->socket.setReceiveTimeout(Poco::Timespan(std::chrono::microseconds(receive_timeout).count()));
    } catch (const Poco::Exception& e) {
        return error{error_code::address_in_use, to_string(data) + ": " + e.displayText()};
    }
    state->control = control;
    state->cluster = cluster;
    state->counted = &counted;
    for (unsigned i = 0; i < workers; ++i) {
        state->threads.emplace_back([s = state.get()] { s->run_worker(); });
    }
    return std::unique_ptr<forwarder>(new forwarder(std::move(state)));
}

void forwarder::set_routes(std::shared_ptr<const route_table> routes)
{
    {
        const std::scoped_lock lock(impl_->mutex);
        impl_->routes = std::move(routes);
    }
    impl_->generation.fetch_add(1, std::memory_order_release);
}

void forwarder::stop()
{
    impl_->stopping = true;
    for (std::thread& t : impl_->threads) {
        if (t.joinable()) {
            t.join();
        }
    }
}

}  // namespace peridotcleat

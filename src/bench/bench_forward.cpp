// Measures the data path of one balancer on loopback: the packet rate of one worker compared with a bare
// relay, and the rate of new flows and the memory while many flows are open.

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bench.h"
#include "peridotcleat/event_loop.h"
#include "peridotcleat/forwarder.h"
#include "peridotcleat/net_address.h"
#include "peridotcleat/table_state.h"

namespace peridotcleat::bench {

namespace {

using namespace std::chrono_literals;

constexpr cluster_id bench_cluster{1};
constexpr std::chrono::milliseconds round_time{700};
constexpr int rounds = 5;
constexpr std::size_t payload_bytes = 200;

endpoint loopback(std::uint16_t port) { return {0x7f000601U, port}; }

// Counts the datagrams that arrive at one port.
class sink {
public:
    explicit sink(const endpoint& address)
    {
        socket_.bind(to_socket_address(address), false);
        socket_.setReceiveBufferSize(8 << 20);
        socket_.setReceiveTimeout(Poco::Timespan(0, 50000));
        thread_ = std::thread([this] { run(); });
    }
    ~sink()
    {
        stopping_ = true;
        thread_.join();
    }
    sink(const sink&) = delete;
    sink& operator=(const sink&) = delete;
    sink(sink&&) = delete;
    sink& operator=(sink&&) = delete;

    [[nodiscard]] std::uint64_t count() const { return count_; }

private:
    void run()
    {
        std::array<char, 4096> buffer{};
        while (!stopping_) {
            try {
                socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                ++count_;
            } catch (const Poco::TimeoutException&) {
                continue;
            }
        }
    }

    Poco::Net::DatagramSocket socket_;
    std::atomic<std::uint64_t> count_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

// Sends each received datagram on unchanged. Its packet rate shows what the sockets alone cost.
class bare_relay {
public:
    bare_relay(const endpoint& address, const endpoint& to)
    {
        socket_.bind(to_socket_address(address), false);
        socket_.setReceiveBufferSize(8 << 20);
        socket_.setReceiveTimeout(Poco::Timespan(0, 50000));
        thread_ = std::thread([this, to] { run(to); });
    }
    ~bare_relay()
    {
        stopping_ = true;
        thread_.join();
    }
    bare_relay(const bare_relay&) = delete;
    bare_relay& operator=(const bare_relay&) = delete;
    bare_relay(bare_relay&&) = delete;
    bare_relay& operator=(bare_relay&&) = delete;

private:
    void run(const endpoint& to)
    {
        std::array<char, max_datagram> buffer{};
        const auto destination = to_socket_address(to);
        while (!stopping_) {
            try {
                const int n = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                socket_.sendTo(buffer.data(), n, destination);
            } catch (const Poco::Exception&) {
                continue;
            }
        }
    }

    Poco::Net::DatagramSocket socket_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

// Returns one packet for each of `flows` flows of one service, encoded as the fabric sends it.
std::vector<std::string> make_packets(std::size_t flows, std::uint64_t seed)
{
    std::vector<std::string> packets;
    packets.reserve(flows);
    for (std::size_t i = 0; i < flows; ++i) {
        wire::caller_packet p;
        const auto source = static_cast<std::uint32_t>(0x0a000000U + mix(seed + i) % 0xffffffU);
        p.key = to_wire(flow_key{{source, static_cast<std::uint16_t>(1024 + i % 60000)}, loopback(5000), 17});
        p.payload.assign(payload_bytes, 'x');
        packets.push_back(encode(bench_cluster, p));
    }
    return packets;
}

// Returns the routes of one service at port 5000 whose seven targets all have the agent address `agent`.
std::shared_ptr<const route_table> routes_to(const endpoint& agent)
{
    table_state table;
    wire::change add_service;
    wire::patch patch;
    patch.patch_id = "bench";
    wire::patch_operation operation;
    operation.kind = 1;
    operation.name = "bench";
    wire::service_entry service;
    service.name = "bench";
    service.addresses.push_back(to_wire(loopback(5000)));
    operation.__set_value(service);
    patch.operations.push_back(operation);
    add_service.__set_new_patch(patch);
    table.apply(revision{1}, add_service);
    for (int i = 0; i < 7; ++i) {
        wire::change join;
        wire::target_join t;
        t.value.service_id = table.services().begin()->first.value;
        t.value.agent = to_wire(agent);
        t.value.zone = "a";
        t.value.slots = 7;
        t.value.connections = 2000;
        t.value.nonce = i + 1;
        t.value.name = "t" + std::to_string(i);
        join.__set_join_target(t);
        table.apply(revision{2 + i}, join);
    }
    return route_table::build(table);
}

// Sends `packets` to `to` as fast as possible from another thread for one round. Returns the number of
// datagrams per second that reach `receiver`.
double throughput(const std::vector<std::string>& packets, const endpoint& to, const sink& receiver)
{
    std::atomic<bool> stop{false};
    std::thread sender([&] {
        Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress::IPv4);
        const auto destination = to_socket_address(to);
        for (std::size_t i = 0; !stop; i = (i + 1) % packets.size()) {
            try {
                socket.sendTo(packets[i].data(), static_cast<int>(packets[i].size()), destination);
            } catch (const Poco::Exception&) {
                continue;
            }
        }
    });
    std::this_thread::sleep_for(100ms);
    const auto before = receiver.count();
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(round_time);
    const auto received = receiver.count() - before;
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    stop = true;
    sender.join();
    // Datagrams that are still queued must not count for the next round.
    std::this_thread::sleep_for(200ms);
    return static_cast<double>(received) / elapsed.count();
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

double resident_megabytes()
{
    std::ifstream in("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    in >> total >> resident;
    return static_cast<double>(resident) * 4096.0 / 1e6;
}

void bench_packet_rate(std::uint64_t seed)
{
    const auto packets = make_packets(1000, seed);
    const sink receiver(loopback(6100));
    const bare_relay relay(loopback(6101), loopback(6100));
    counters counted;
    auto started = forwarder::start(loopback(6102), loopback(6103), bench_cluster, 1, counted);
    if (!has_value(started)) {
        std::fprintf(stderr, "%s\n", failure(started).message.c_str());
        return;
    }
    value(started)->set_routes(routes_to(loopback(6100)));
    std::vector<double> bare;
    std::vector<double> forwarded;
    for (int i = 0; i < rounds; ++i) {
        bare.push_back(throughput(packets, loopback(6101), receiver));
        forwarded.push_back(throughput(packets, loopback(6102), receiver));
    }
    print({"forward_packets_per_second", median(forwarded), "1/s", 0, median(bare), bound_kind::none}, seed);
    print({"forward_ratio_to_bare_relay", median(forwarded) / median(bare), "ratio", 0.7, 1,
           bound_kind::at_least},
          seed);
}

void bench_new_flows(std::uint64_t seed)
{
    constexpr std::size_t open_flows = 300000;
    const sink receiver(loopback(6110));
    counters counted;
    const double before = resident_megabytes();
    auto started = forwarder::start(loopback(6112), loopback(6113), bench_cluster, 1, counted);
    if (!has_value(started)) {
        std::fprintf(stderr, "%s\n", failure(started).message.c_str());
        return;
    }
    value(started)->set_routes(routes_to(loopback(6110)));
    {
        const auto packets = make_packets(open_flows, seed);
        throughput(packets, loopback(6112), receiver);
    }
    // Each packet that is counted now is the first of a flow that the balancer has not seen.
    const double rate = throughput(make_packets(open_flows, seed + 7777), loopback(6112), receiver);
    print({"new_flows_per_second_300000_open", rate, "1/s", 5000, 0, bound_kind::at_least}, seed);
    print({"balancer_memory_300000_open", resident_megabytes() - before, "MB", 64, 0}, seed);
}

}  // namespace

void bench_forward(std::uint64_t seed)
{
    bench_packet_rate(seed);
    bench_new_flows(seed);
}

}  // namespace peridotcleat::bench

// The data path of one balancer on loopback: packets forwarded by one worker against a bare relay, and new
// flows while many are open.

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

endpoint local(std::uint16_t port) { return {0x7f000601U, port}; }

// Counts datagrams that arrive at one port.
class sink {
public:
    explicit sink(const endpoint& at)
    {
        socket_.bind(to_socket_address(at), false);
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

// Receives and sends each datagram unchanged: what the sockets alone cost.
class bare_relay {
public:
    bare_relay(const endpoint& at, const endpoint& to)
    {
        socket_.bind(to_socket_address(at), false);
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
        const auto target = to_socket_address(to);
        while (!stopping_) {
            try {
                const int n = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                socket_.sendTo(buffer.data(), n, target);
            } catch (const Poco::Exception&) {
                continue;
            }
        }
    }

    Poco::Net::DatagramSocket socket_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

// Packets of `flows` flows of one service, encoded as the fabric sends them.
std::vector<std::string> packets(std::size_t flows, std::uint64_t seed)
{
    std::vector<std::string> out;
    out.reserve(flows);
    for (std::size_t i = 0; i < flows; ++i) {
        wire::caller_packet p;
        const auto source = static_cast<std::uint32_t>(0x0a000000U + mix(seed + i) % 0xffffffU);
        p.key = to_wire(flow_key{{source, static_cast<std::uint16_t>(1024 + i % 60000)}, local(5000), 17});
        p.payload.assign(payload_bytes, 'x');
        out.push_back(encode(bench_cluster, p));
    }
    return out;
}

std::shared_ptr<const route_table> routes_to(const endpoint& agent)
{
    table_state table;
    wire::change add;
    wire::patch patch;
    patch.patch_id = "bench";
    wire::patch_operation op;
    op.kind = 1;
    op.name = "bench";
    wire::service_entry service;
    service.name = "bench";
    service.addresses.push_back(to_wire(local(5000)));
    op.__set_value(service);
    patch.operations.push_back(op);
    add.__set_new_patch(patch);
    table.apply(revision{1}, add);
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

// Floods `to` from another thread for one round and returns the datagrams a second that reach `s`.
double throughput(const std::vector<std::string>& load, const endpoint& to, const sink& s)
{
    std::atomic<bool> stop{false};
    std::thread flood([&] {
        Poco::Net::DatagramSocket out(Poco::Net::SocketAddress::IPv4);
        const auto target = to_socket_address(to);
        for (std::size_t i = 0; !stop; i = (i + 1) % load.size()) {
            try {
                out.sendTo(load[i].data(), static_cast<int>(load[i].size()), target);
            } catch (const Poco::Exception&) {
                continue;
            }
        }
    });
    std::this_thread::sleep_for(100ms);
    const auto before = s.count();
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(round_time);
    const auto n = s.count() - before;
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    stop = true;
    flood.join();
    // What is still queued must not count for the next round.
    std::this_thread::sleep_for(200ms);
    return static_cast<double>(n) / took.count();
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

void bench_ratio(std::uint64_t seed)
{
    const auto load = packets(1000, seed);
    const sink target(local(6100));
    const bare_relay relay(local(6101), local(6100));
    counters counted;
    auto path = forwarder::start(local(6102), local(6103), bench_cluster, 1, counted);
    if (!has_value(path)) {
        std::fprintf(stderr, "%s\n", failure(path).message.c_str());
        return;
    }
    value(path)->set_routes(routes_to(local(6100)));
    std::vector<double> bare;
    std::vector<double> forwarded;
    for (int i = 0; i < rounds; ++i) {
        bare.push_back(throughput(load, local(6101), target));
        forwarded.push_back(throughput(load, local(6102), target));
    }
    print({"forward_packets_per_second", median(forwarded), "1/s", 0, median(bare), bound_kind::none}, seed);
    print({"forward_ratio_to_bare_relay", median(forwarded) / median(bare), "ratio", 0.7, 1,
           bound_kind::at_least},
          seed);
}

void bench_new_flows(std::uint64_t seed)
{
    constexpr std::size_t open_flows = 300000;
    const sink target(local(6110));
    counters counted;
    const double before = resident_megabytes();
    auto path = forwarder::start(local(6112), local(6113), bench_cluster, 1, counted);
    if (!has_value(path)) {
        std::fprintf(stderr, "%s\n", failure(path).message.c_str());
        return;
    }
    value(path)->set_routes(routes_to(local(6110)));
    {
        const auto open = packets(open_flows, seed);
        throughput(open, local(6112), target);
    }
    // Each packet that is counted now is the first of a flow that the balancer has not seen.
    const double rate = throughput(packets(open_flows, seed + 7777), local(6112), target);
    print({"new_flows_per_second_300000_open", rate, "1/s", 5000, 0, bound_kind::at_least}, seed);
    print({"balancer_memory_300000_open", resident_megabytes() - before, "MB", 64, 0}, seed);
}

}  // namespace

void bench_forward(std::uint64_t seed)
{
    bench_ratio(seed);
    bench_new_flows(seed);
}

}  // namespace peridotcleat::bench

// Stand-in for the platform's fabric: receives the callers' datagrams at the service addresses and forwards
// each to a randomly chosen balancer; sends the agents' answers to the callers from the service address.

#include <Poco/JSON/Parser.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "peridotcleat/admin_server.h"
#include "peridotcleat/daemon.h"
#include "peridotcleat/event_loop.h"
#include "peridotcleat/log.h"
#include "peridotcleat/net_address.h"
#include "peridotcleat/settings.h"

namespace {

using namespace peridotcleat;

constexpr const char* usage = R"(Stand-in for the platform's fabric.

Usage:
  peridotcleat-fabric --services=A --balancers=A --returns=A --admin=A [--cluster=N] [--seed=N]

Options:
  --services=A   Service addresses, a.b.c.d:port separated by commas.
  --balancers=A  Data addresses of the balancers, separated by commas.
  --returns=A    Address that receives the agents' answers.
  --admin=A      HTTP address; POST /balancers with {"balancers":["a.b.c.d:port"]} replaces the list.
  --cluster=N    Cluster id [default: 1].
  --seed=N       Seed of the random choice [default: 1].
  --help         Prints this text.
  --version      Prints the version.
)";

class fabric {
public:
    fabric(cluster_id cluster, std::vector<endpoint> balancers, std::uint64_t seed)
        : cluster_(cluster), balancers_(std::move(balancers)), random_(seed)
    {
    }

    void listen(const endpoint& service)
    {
        auto socket = std::make_shared<Poco::Net::DatagramSocket>();
        socket->bind(to_socket_address(service), false);
        socket->setReceiveBufferSize(4 << 20);
        socket->setReceiveTimeout(Poco::Timespan(0, 100000));
        sockets_[service] = socket;
    }

    void start(const endpoint& returns)
    {
        for (const auto& [service, socket] : sockets_) {
            threads_.emplace_back(
                [this, service = service, socket = socket] { forward_to_balancers(service, *socket); });
        }
        return_socket_.bind(to_socket_address(returns), false);
        return_socket_.setReceiveBufferSize(4 << 20);
        return_socket_.setReceiveTimeout(Poco::Timespan(0, 100000));
        threads_.emplace_back([this] { deliver_returns(); });
    }

    void stop()
    {
        stopping_ = true;
        for (std::thread& t : threads_) {
            t.join();
        }
    }

    void set_balancers(std::vector<endpoint> list)
    {
        const std::scoped_lock lock(mutex_);
        balancers_ = std::move(list);
    }

private:
    // Returns a random balancer, or an invalid endpoint if there is none.
    endpoint pick_balancer()
    {
        const std::scoped_lock lock(mutex_);
        return balancers_.empty() ? endpoint{} : balancers_[random_() % balancers_.size()];
    }

    void forward_to_balancers(const endpoint& service, Poco::Net::DatagramSocket& socket)
    {
        Poco::Net::DatagramSocket out(Poco::Net::SocketAddress::IPv4);
        std::array<char, max_datagram> buffer{};
        std::string bytes;
        while (!stopping_) {
            try {
                Poco::Net::SocketAddress sender;
                const int n = socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
                wire::caller_packet p;
                p.key = to_wire(flow_key{to_endpoint(sender), service, 17});
                p.payload.assign(buffer.data(), static_cast<std::size_t>(std::max(n, 0)));
                encode_into(cluster_, p, bytes);
                if (const endpoint to = pick_balancer(); to.valid()) {
                    out.sendTo(bytes.data(), static_cast<int>(bytes.size()), to_socket_address(to));
                }
            } catch (const Poco::Exception&) {
                // After a time-out the loop checks the stop flag. A datagram that cannot be sent counts as
                // lost.
            }
        }
    }

    void deliver_returns()
    {
        std::array<char, max_datagram> buffer{};
        while (!stopping_) {
            try {
                const int n = return_socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                const auto m = decode(cluster_, {buffer.data(), static_cast<std::size_t>(std::max(n, 0))});
                if (!has_value(m) || !std::holds_alternative<wire::return_packet>(value(m))) {
                    continue;
                }
                const auto& p = std::get<wire::return_packet>(value(m));
                const flow_key key = from_wire(p.key);
                if (const auto it = sockets_.find(key.destination); it != sockets_.end()) {
                    it->second->sendTo(p.payload.data(), static_cast<int>(p.payload.size()),
                                       to_socket_address(key.source));
                }
            } catch (const Poco::Exception&) {
                // As in forward_to_balancers().
            }
        }
    }

    cluster_id cluster_;
    std::map<endpoint, std::shared_ptr<Poco::Net::DatagramSocket>> sockets_;
    Poco::Net::DatagramSocket return_socket_;
    std::vector<std::thread> threads_;
    std::atomic<bool> stopping_{false};
    // Guards `balancers_` and `random_`.
    std::mutex mutex_;
    std::vector<endpoint> balancers_;
    std::mt19937_64 random_;
};

admin_response replace_balancers(fabric& f, const std::string& body)
{
    const auto object = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
    const auto array = object->getArray("balancers");
    std::vector<endpoint> list;
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto e = parse_endpoint(array->getElement<std::string>(static_cast<unsigned>(i)));
        if (!has_value(e)) {
            return admin_error(400, failure(e));
        }
        list.push_back(value(e));
    }
    f.set_balancers(std::move(list));
    return {200, "{}"};
}

int run(settings& s)
{
    const auto services = s.addresses("--services");
    const auto balancers = s.addresses("--balancers");
    const endpoint returns = s.address("--returns");
    const endpoint admin = s.address("--admin");
    const cluster_id cluster{s.integer("--cluster", 1, INT64_MAX)};
    const auto seed = static_cast<std::uint64_t>(s.integer("--seed", 0, INT64_MAX));
    if (!s.report()) {
        return 2;
    }
    block_stop_signals();
    start_logging("fabric", log_level::info);
    fabric f(cluster, balancers, seed);
    for (const endpoint& e : services) {
        f.listen(e);
    }
    f.start(returns);
    const auto server = admin_server::start(admin, [&f](const admin_request& r) {
        return r.path == "/balancers" ? replace_balancers(f, r.body) : admin_response{404, "{}"};
    });
    if (!has_value(server)) {
        std::cerr << failure(server).message << '\n';
        return 1;
    }
    wait_for_stop_signal();
    f.stop();
    return 0;
}

}  // namespace

int main(int argc, char** argv) { return run_daemon(argc, argv, usage, "peridotcleat-fabric", run); }

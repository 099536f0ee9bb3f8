#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include "peridotcleat/balancer.h"

namespace peridotcleat {

/// The data path of a balancer: worker threads that share one socket and one immutable route table.
///
/// Workers take no lock for a packet: each keeps its own reference to the route table, and locks only to get
/// a new table when the generation has changed. `set_routes` and `stop` are thread-safe.
class forwarder {
public:
    /// Binds the socket to `data` and starts `workers` threads. Agents send stale_notice to `control`, which
    /// each forwarded packet carries. Fails with `address_in_use`.
    static result<std::unique_ptr<forwarder>> start(const endpoint& data, const endpoint& control,
                                                    cluster_id cluster, unsigned workers, counters& counted);
    ~forwarder();
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;
    forwarder(forwarder&&) = delete;
    forwarder& operator=(forwarder&&) = delete;

    /// Puts a route table in force for all workers. While it is null, packets are dropped and counted.
    void set_routes(std::shared_ptr<const route_table> routes);
    /// Stops the workers after the packets that they are processing, and waits for their threads.
    void stop();

private:
    struct impl;
    explicit forwarder(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

}  // namespace peridotcleat

#include "peridotcleat/port_check.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include "peridotcleat/log.h"
#include "peridotcleat/net_address.h"

namespace peridotcleat {

port_state check_port(const endpoint& address, std::chrono::milliseconds timeout)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(to_socket_address(address),
                       Poco::Timespan(std::chrono::microseconds(timeout).count()));
        return port_state::open;
    } catch (const Poco::Net::ConnectionRefusedException&) {
        return port_state::closed;
    } catch (const Poco::Exception& e) {
        log_event(log_level::warning, "port_check_failed",
                  {{"address", to_string(address)}, {"reason", e.displayText()}});
        return port_state::unknown;
    }
}

}  // namespace peridotcleat

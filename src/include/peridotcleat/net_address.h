#pragma once

#include <Poco/Net/SocketAddress.h>

#include "peridotcleat/types.h"

namespace peridotcleat {

/// Converts to the address type of the socket library.
Poco::Net::SocketAddress to_socket_address(const endpoint& e);

/// Converts from the address type of the socket library. Returns an invalid endpoint for an IPv6 address.
endpoint to_endpoint(const Poco::Net::SocketAddress& a);

}  // namespace peridotcleat

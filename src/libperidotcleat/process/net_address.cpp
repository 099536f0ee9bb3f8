#include "peridotcleat/net_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace peridotcleat {

Poco::Net::SocketAddress to_socket_address(const endpoint& e)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(e.port);
    a.sin_addr.s_addr = htonl(e.address);
    return {reinterpret_cast<const sockaddr*>(&a), sizeof a};
}

endpoint to_endpoint(const Poco::Net::SocketAddress& a)
{
    if (a.family() != Poco::Net::AddressFamily::IPv4) {
        return {};
    }
    const auto* in = reinterpret_cast<const sockaddr_in*>(a.addr());
    return {ntohl(in->sin_addr.s_addr), ntohs(in->sin_port)};
}

}  // namespace peridotcleat

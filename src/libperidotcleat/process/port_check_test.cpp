#include "peridotcleat/port_check.h"

#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>

namespace peridotcleat {
namespace {

// Guards against a running process that is taken for a stopped one, and the reverse.
TEST(port_check, tells_an_open_port_from_a_closed_one)
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    const endpoint address{0x7f000001, listener.address().port()};
    EXPECT_EQ(check_port(address, std::chrono::seconds(2)), port_state::open);
    listener.close();
    EXPECT_EQ(check_port(address, std::chrono::seconds(2)), port_state::closed);
}

}  // namespace
}  // namespace peridotcleat

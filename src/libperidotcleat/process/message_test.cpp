#include "peridotcleat/message.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "testing/fake_network.h"

namespace peridotcleat {
namespace {

constexpr cluster_id test_cluster{7};

message sample_packet(const std::string& payload)
{
    wire::forwarded_packet p;
    p.service_id = 3;
    p.revision = 99;
    p.payload = payload;
    return p;
}

// Guards against a field or a byte of a payload that is lost in encoding or decoding.
RC_GTEST_PROP(message, decode_returns_what_was_encoded, (const std::string& payload, std::int64_t revision))
{
    wire::forwarded_packet p;
    p.revision = revision;
    p.payload = payload;
    const auto decoded = decode(test_cluster, encode(test_cluster, p));
    RC_ASSERT(has_value(decoded));
    RC_ASSERT(std::get<wire::forwarded_packet>(value(decoded)) == p);
}

// Guards against crashes and large allocations in decoding arbitrary bytes.
RC_GTEST_PROP(message, random_bytes_give_an_error_or_a_message, (const std::string& bytes))
{
    const auto m = decode(test_cluster, bytes);
    const auto c = decode_caller(bytes);
    RC_ASSERT((has_value(m) || static_cast<int>(failure(m).code) >= 300));
    RC_ASSERT((has_value(c) || static_cast<int>(failure(c).code) >= 300));
}

// Guards against truncated datagrams that are decoded as if they were complete.
RC_GTEST_PROP(message, each_truncation_is_refused, (const std::string& payload))
{
    const std::string complete = encode(test_cluster, sample_packet(payload));
    const auto length = *rc::gen::inRange<std::size_t>(0, complete.size());
    RC_ASSERT(!has_value(decode(test_cluster, complete.substr(0, length))));
}

// Guards against crashes on a datagram in which one byte was changed.
RC_GTEST_PROP(message, a_flipped_byte_never_crashes, (const std::string& payload, std::uint8_t flip))
{
    std::string bytes = encode(test_cluster, sample_packet(payload));
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] = static_cast<char>(static_cast<std::uint8_t>(bytes[position]) ^ flip);
    (void)decode(test_cluster, bytes);
}

// Guards against messages of one deployment that another one accepts.
TEST(message, other_cluster_is_refused)
{
    const auto decoded = decode(cluster_id{8}, encode(test_cluster, sample_packet("x")));
    ASSERT_FALSE(has_value(decoded));
    EXPECT_EQ(failure(decoded).code, error_code::message_other_cluster);
}

// Guards against trailing bytes that a decoder would silently drop.
TEST(message, trailing_bytes_are_refused)
{
    const auto decoded = decode(test_cluster, encode(test_cluster, sample_packet("x")) + "y");
    ASSERT_FALSE(has_value(decoded));
    EXPECT_EQ(failure(decoded).code, error_code::message_malformed);
}

// Guards against datagrams that are larger than any that a process sends.
TEST(message, oversized_datagram_is_refused)
{
    const auto decoded = decode(test_cluster, std::string(max_datagram + 1, 'x'));
    ASSERT_FALSE(has_value(decoded));
    EXPECT_EQ(failure(decoded).code, error_code::message_too_large);
}

// Guards against a simulated network that delivers messages across a cut, or before the end of a freeze, so
// that tests pass without the fault that they simulate.
TEST(fake_network, cuts_one_direction_and_delivers_after_a_freeze)
{
    testing::fake_network net(1);
    const endpoint a{1, 1};
    const endpoint b{1, 2};
    int received_by_a = 0;
    int received_by_b = 0;
    net.add(
        a, [&](auto, auto&, auto&, auto&) { ++received_by_a; }, [](auto, auto&) {});
    net.add(
        b, [&](auto, auto&, auto&, auto&) { ++received_by_b; }, [](auto, auto&) {});
    net.cut(a, b, true);
    net.send(a, b, sample_packet("lost"));
    net.send(b, a, sample_packet("kept"));
    net.run_for(std::chrono::milliseconds(100));
    EXPECT_EQ(received_by_a, 1);
    EXPECT_EQ(received_by_b, 0);
    net.heal_all();
    net.freeze(b, net.now() + std::chrono::seconds(1));
    net.send(a, b, sample_packet("late"));
    net.run_for(std::chrono::milliseconds(900));
    EXPECT_EQ(received_by_b, 0);
    net.run_for(std::chrono::milliseconds(200));
    EXPECT_EQ(received_by_b, 1);
}

}  // namespace
}  // namespace peridotcleat

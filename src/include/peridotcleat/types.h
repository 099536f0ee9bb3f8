#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "peridotcleat/result.h"
#include "peridotcleat_types.h"

namespace peridotcleat {

/// Clock of all roles. Only daemons and tests read a real clock; roles receive the time as a parameter.
using clock = std::chrono::steady_clock;

/// A point in time with a resolution of one microsecond.
using time_point = std::chrono::time_point<clock, std::chrono::microseconds>;

/// Time since the Unix epoch with a resolution of one millisecond. Used only in replicated entries and logs.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

namespace pvt {

/// An integer that cannot be mixed up with integers of another meaning.
template <class Tag>
struct strong_id {
    std::int64_t value = 0;

    constexpr auto operator<=>(const strong_id&) const = default;
    /// Returns true unless the id is zero, which stands for "none".
    [[nodiscard]] constexpr bool valid() const noexcept { return value != 0; }
};

}  // namespace pvt

/// Log index of the last change that a table reflects.
using revision = pvt::strong_id<struct revision_tag>;
/// Number of accepted patches.
using config_version = pvt::strong_id<struct config_version_tag>;
/// Identity of a service; never reused.
using service_id = pvt::strong_id<struct service_id_tag>;
/// Revision of the entry by which a target or balancer joined; never reused.
using incarnation = pvt::strong_id<struct incarnation_tag>;
/// Identity of a control data folder.
using folder_id = pvt::strong_id<struct folder_id_tag>;
/// Identifies an open flow at its target; a new one is chosen for each flow.
using flow_token = pvt::strong_id<struct flow_token_tag>;

/// IPv4 address and port, both in host byte order.
struct endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
    /// Returns true if neither address nor port is zero.
    [[nodiscard]] bool valid() const noexcept { return address != 0 && port != 0; }
};

/// Parses `a.b.c.d:port`. Fails with `error_code::invalid_setting`.
result<endpoint> parse_endpoint(std::string_view text);

/// Formats `e` as `a.b.c.d:port`.
std::string to_string(const endpoint& e);

/// Source, destination and protocol of a flow, as in the packets that the caller sends.
struct flow_key {
    endpoint source;
    endpoint destination;
    /// IP protocol number; UDP by default.
    std::uint8_t protocol = 17;

    auto operator<=>(const flow_key&) const = default;
};

/// Formats `k` as `source>destination/protocol`.
std::string to_string(const flow_key& k);

/// Converts to and from the wire form.
wire::endpoint to_wire(const endpoint& e) noexcept;
endpoint from_wire(const wire::endpoint& e) noexcept;
wire::flow_key to_wire(const flow_key& k) noexcept;
flow_key from_wire(const wire::flow_key& k) noexcept;

}  // namespace peridotcleat

#pragma once

#include <chrono>

#include "peridotcleat/types.h"

namespace peridotcleat {

/// What an attempt to connect to a TCP port has shown.
enum class port_state {
    /// A process listens at the port.
    open,
    /// The connection was refused: no process listens at the port.
    closed,
    /// Neither is known, for example because nothing answered in time.
    unknown
};

/// Connects to `address` over TCP and closes the connection. Blocks for at most `timeout`.
[[nodiscard]] port_state check_port(const endpoint& address, std::chrono::milliseconds timeout);

}  // namespace peridotcleat

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "peridotcleat/message.h"

namespace peridotcleat::pvt {

/// Joins changes that `replica::propose` has split into parts because they exceed one log entry. Takes the
/// committed entries in order.
class change_assembler {
public:
    /// Returns the data of the change that `entry` completes, or nothing if it completes none.
    std::optional<std::string> add(const wire::log_entry& entry);

    /// True if the last entry was a part of a change that a later entry may complete.
    [[nodiscard]] bool inside_change() const noexcept { return !parts_.empty(); }

private:
    std::string parts_;
    std::int64_t term_ = 0;
};

}  // namespace peridotcleat::pvt

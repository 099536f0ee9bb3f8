#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "peridotcleat/types.h"

namespace peridotcleat {

/// Detects that a file was replaced or written to, by its size and modification time.
class file_watch {
public:
    /// Watches the file at `path`. With an empty path, `changed` always returns false.
    explicit file_watch(std::string path);

    /// Returns true if the file has changed since it was last checked. Checks the file at most every two
    /// seconds; calls in between return false.
    bool changed(time_point now);

private:
    // Size in bytes and modification time.
    using file_stamp = std::pair<std::int64_t, std::int64_t>;

    [[nodiscard]] file_stamp read_stamp() const;

    std::string path_;
    file_stamp last_stamp_;
    time_point next_check_;
};

}  // namespace peridotcleat

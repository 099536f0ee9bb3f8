#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "peridotcleat/types.h"

namespace peridotcleat {

/// Notices that a file was replaced or written, by its size and time of modification.
class file_watch {
public:
    /// Watches `path`; an empty path never changes.
    explicit file_watch(std::string path);

    /// Returns true if the file has changed since the last call that looked. Looks every two seconds at most.
    bool changed(time_point now);

private:
    using stamp = std::pair<std::int64_t, std::int64_t>;

    [[nodiscard]] stamp look() const;

    std::string path_;
    stamp seen_;
    time_point next_look_;
};

}  // namespace peridotcleat

#include "peridotcleat/file_watch.h"

#include <filesystem>
#include <system_error>

namespace peridotcleat {

namespace {

// A settings file changes rarely, and a change need not take effect at once: only the addresses that a node
// can rejoin the cluster through are read from it again.
constexpr std::chrono::milliseconds check_interval{2000};

}  // namespace

file_watch::file_watch(std::string path) : path_(std::move(path)), last_stamp_(read_stamp()) {}

file_watch::file_stamp file_watch::read_stamp() const
{
    std::error_code failed;
    const auto size = std::filesystem::file_size(path_, failed);
    if (failed) {
        // The file may be missing while it is being replaced. The next check reads it again.
        return last_stamp_;
    }
    const auto time = std::filesystem::last_write_time(path_, failed);
    return failed ? last_stamp_
                  : file_stamp{static_cast<std::int64_t>(size), time.time_since_epoch().count()};
}

bool file_watch::changed(time_point now)
{
    if (path_.empty() || now < next_check_) {
        return false;
    }
    next_check_ = now + check_interval;
    const file_stamp current = read_stamp();
    return std::exchange(last_stamp_, current) != current;
}

}  // namespace peridotcleat

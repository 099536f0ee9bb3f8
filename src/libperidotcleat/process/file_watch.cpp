#include "peridotcleat/file_watch.h"

#include <filesystem>
#include <system_error>

namespace peridotcleat {

namespace {

// A settings file changes rarely, and its change is in no hurry: what it names is a way back in.
constexpr std::chrono::milliseconds look_interval{2000};

}  // namespace

file_watch::file_watch(std::string path) : path_(std::move(path)), seen_(look()) {}

file_watch::stamp file_watch::look() const
{
    std::error_code failed;
    const auto size = std::filesystem::file_size(path_, failed);
    if (failed) {
        // A file that is being replaced is looked at again.
        return seen_;
    }
    const auto time = std::filesystem::last_write_time(path_, failed);
    return failed ? seen_ : stamp{static_cast<std::int64_t>(size), time.time_since_epoch().count()};
}

bool file_watch::changed(time_point now)
{
    if (path_.empty() || now < next_look_) {
        return false;
    }
    next_look_ = now + look_interval;
    const stamp present = look();
    return std::exchange(seen_, present) != present;
}

}  // namespace peridotcleat

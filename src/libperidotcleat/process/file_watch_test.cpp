#include "peridotcleat/file_watch.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace peridotcleat {
namespace {

using std::chrono::seconds;

// Guards against a change of a settings file that is never noticed, because no signal is sent, and against a
// change that is reported because the file is missing for a moment.
TEST(file_watch, notices_a_change_once)
{
    const auto path =
        std::filesystem::temp_directory_path() / ("file_watch_test-" + std::to_string(::getpid()));
    std::ofstream(path) << "a";
    time_point now{seconds(100)};
    file_watch watch(path.string());
    EXPECT_FALSE(watch.changed(now));
    std::ofstream(path) << "ab";
    EXPECT_FALSE(watch.changed(now));
    now += seconds(3);
    EXPECT_TRUE(watch.changed(now));
    now += seconds(3);
    EXPECT_FALSE(watch.changed(now));
    std::filesystem::remove(path);
    now += seconds(3);
    EXPECT_FALSE(watch.changed(now));
    EXPECT_FALSE(file_watch("").changed(now));
}

}  // namespace
}  // namespace peridotcleat

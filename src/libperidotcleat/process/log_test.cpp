#include "peridotcleat/log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <string>

#include "peridotcleat/log_rate_limiter.h"

namespace peridotcleat {
namespace {

using namespace std::chrono_literals;
using steady_time = std::chrono::steady_clock::time_point;

// Guards against one frequent event that fills the log, or that suppresses the lines of another event.
TEST(log_rate_limiter, each_event_has_its_own_limit)
{
    log_rate_limiter limiter(3);
    const steady_time now{10s};
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(limiter.admit("flood", now));
    }
    EXPECT_FALSE(limiter.admit("flood", now + 100ms));
    EXPECT_FALSE(limiter.admit("flood", now + 200ms));
    EXPECT_TRUE(limiter.admit("other", now + 300ms));
    EXPECT_TRUE(limiter.take_left_out(now + 400ms).empty());
    const auto left_out = limiter.take_left_out(now + 1s);
    ASSERT_EQ(left_out.size(), 1U);
    EXPECT_EQ(left_out[0].event, "flood");
    EXPECT_EQ(left_out[0].lines, 2);
    EXPECT_TRUE(limiter.take_left_out(now + 1s).empty());
    EXPECT_TRUE(limiter.admit("flood", now + 1s));
    EXPECT_EQ(limiter.left_out(), 2U);
}

// Replaces standard output by a full pipe that nobody reads.
class unread_output {
public:
    unread_output() : saved_(::dup(STDOUT_FILENO))
    {
        (void)::pipe2(ends_.data(), O_NONBLOCK);
        const std::array<char, 4096> block{};
        while (::write(ends_[1], block.data(), block.size()) > 0) {
        }
        // The logger must see a blocking pipe, as standard output is in production; only the loop above needs
        // a non-blocking one.
        (void)::fcntl(ends_[1], F_SETFL, 0);
        (void)::dup2(ends_[1], STDOUT_FILENO);
    }
    ~unread_output()
    {
        (void)::dup2(saved_, STDOUT_FILENO);
        ::close(saved_);
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    unread_output(const unread_output&) = delete;
    unread_output& operator=(const unread_output&) = delete;

    // Reads everything from the pipe, so that writes fit again, and returns it.
    std::string drain()
    {
        std::string all;
        std::array<char, 65536> block{};
        for (ssize_t n = 0; (n = ::read(ends_[0], block.data(), block.size())) > 0;) {
            all.append(block.data(), static_cast<std::size_t>(n));
        }
        return all;
    }

private:
    int saved_;
    std::array<int, 2> ends_{};
};

// Guards against a process that blocks in a write to its log, and so loses packets, because nobody reads the
// log.
TEST(log_event, a_full_pipe_loses_lines_and_does_not_block)
{
    start_logging("test", log_level::info);
    std::string seen;
    {
        unread_output output;
        const auto lost = log_lines_lost();
        for (int i = 0; i < 20; ++i) {
            log_event(log_level::info, "unread", {{"line", std::int64_t{i}}});
        }
        EXPECT_EQ(log_lines_lost(), lost + 20);
        (void)output.drain();
        log_event(log_level::info, "read", {{"text", "a b"}});
        seen = output.drain();
    }
    EXPECT_NE(seen.find("event=read node=test text=\"a b\"\n"), std::string::npos) << seen;
}

}  // namespace
}  // namespace peridotcleat

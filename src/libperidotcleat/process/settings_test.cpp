#include "peridotcleat/settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

namespace peridotcleat {
namespace {

const std::string usage = R"(Test.

Usage:
  test [options] [<file>]

Options:
  --count=N   A number [default: 5].
  --at=A      An address.
  --list=A    Addresses.
  --more=N    A number beside --list [default: 8].
  --check     A switch.
)";

settings parsed(const std::vector<std::string>& arguments)
{
    auto s = settings::parse(usage, arguments, "1");
    return has_value(s) ? value(std::move(s)) : settings{};
}

// Guards against an environment variable that ranks above a flag or below a default.
TEST(settings, flag_ranks_above_environment_above_default)
{
    settings by_default = parsed({});
    EXPECT_EQ(by_default.integer("--count", 0, 100), 5);
    setenv("PERIDOTCLEAT_COUNT", "6", 1);  // NOLINT(concurrency-mt-unsafe)
    settings by_variable = parsed({});
    EXPECT_EQ(by_variable.integer("--count", 0, 100), 6);
    settings by_flag = parsed({"--count=7"});
    EXPECT_EQ(by_flag.integer("--count", 0, 100), 7);
    unsetenv("PERIDOTCLEAT_COUNT");  // NOLINT(concurrency-mt-unsafe)
}

// Guards against a program that reports only the first of several invalid settings.
TEST(settings, all_errors_are_reported_with_setting_value_and_range)
{
    settings s = parsed({"--count=900", "--at=1.2.3:4", "--list=127.0.0.1:1,nonsense"});
    s.integer("--count", 0, 100);
    s.address("--at");
    s.addresses("--list");
    ASSERT_EQ(s.errors().size(), 3U);
    EXPECT_EQ(s.errors()[0].code, error_code::invalid_setting);
    EXPECT_EQ(s.errors()[0].message, "setting=--count value=\"900\" permitted=\"0 to 100\"");
    EXPECT_NE(s.errors()[2].message.find("nonsense"), std::string::npos);
    EXPECT_FALSE(s.report());
}

// Guards against a duration with a fraction that is refused, so that the program does not start, and against
// one that is accepted although it is not a number or out of range.
TEST(settings, durations_may_have_a_fraction)
{
    using namespace std::chrono_literals;
    const auto read = [](const std::string& value_text) {
        settings s = parsed({"--count=" + value_text});
        const auto ms = s.milliseconds("--count", 100ms, 60000ms);
        const auto from_seconds = parsed({"--count=" + value_text}).seconds("--count", 100ms, 60000ms);
        return std::tuple(ms, from_seconds, s.errors().size());
    };
    EXPECT_EQ(read("250.4"), std::tuple(250ms, 100ms, 0U));
    EXPECT_EQ(read("2.5"), std::tuple(100ms, 2500ms, 1U));
    EXPECT_EQ(read("nan"), std::tuple(100ms, 100ms, 1U));
    EXPECT_EQ(read("6s"), std::tuple(100ms, 100ms, 1U));
    EXPECT_EQ(read("1e9"), std::tuple(100ms, 100ms, 1U));
}

// Guards against a default that is assigned to another flag, because the description of its own flag names
// that one.
TEST(settings, a_default_belongs_to_the_flag_of_its_line)
{
    settings s = parsed({});
    EXPECT_EQ(s.integer("--more", 0, 100), 8);
    EXPECT_TRUE(s.addresses("--list", false).empty());
    EXPECT_TRUE(s.errors().empty());
}

// Guards against a program that starts although a setting has no value.
TEST(settings, missing_setting_is_an_error)
{
    settings s = parsed({});
    s.address("--at");
    ASSERT_EQ(s.errors().size(), 1U);
    EXPECT_EQ(s.errors()[0].code, error_code::missing_setting);
}

// Guards against flags that are misspelt and silently ignored.
TEST(settings, unknown_flag_is_an_error)
{
    const auto s = settings::parse(usage, {"--cuont=7"}, "1");
    ASSERT_FALSE(has_value(s));
    EXPECT_EQ(failure(s).code, error_code::unknown_setting);
}

// Guards against endpoints that are read differently from how they are printed.
RC_GTEST_PROP(endpoint_text, parse_returns_what_was_printed, (std::uint32_t address, std::uint16_t port))
{
    RC_PRE(port != 0);
    const endpoint e{address, port};
    const auto reparsed = parse_endpoint(to_string(e));
    RC_ASSERT(has_value(reparsed));
    RC_ASSERT(value(reparsed) == e);
    RC_ASSERT(from_wire(to_wire(e)) == e);
}

// Guards against crashes and against text that is taken for an endpoint by mistake.
RC_GTEST_PROP(endpoint_text, other_text_is_refused, (const std::string& text))
{
    const auto e = parse_endpoint(text);
    RC_ASSERT((!has_value(e) || value(e).port != 0));
}

}  // namespace
}  // namespace peridotcleat

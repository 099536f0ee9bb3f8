#include "peridotcleat/settings.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>

namespace peridotcleat {

namespace {

// A usage text describes each flag at the start of a line.
constexpr std::string_view flag_line_start = "\n  --";

std::string environment_variable_of(const std::string& flag)
{
    std::string name = "PERIDOTCLEAT_";
    for (const char c : flag.substr(flag.find_first_not_of('-'))) {
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

std::optional<std::string> text_of(const docopt::value& v)
{
    if (v.isString()) {
        return v.asString();
    }
    if (v.isBool() && v.asBool()) {
        return "true";
    }
    if (v.isStringList() && !v.asStringList().empty()) {
        std::string joined;
        for (const std::string& s : v.asStringList()) {
            joined += (joined.empty() ? "" : ",") + s;
        }
        return joined;
    }
    return std::nullopt;
}

// Removes the defaults, which the usage text contains as "[default: x]", and returns them by flag. docopt
// then parses the arguments without defaults, so that an environment variable ranks above a default and below
// a flag.
std::map<std::string, std::string> take_defaults(std::string& usage)
{
    static const std::string default_mark = "[default: ";
    std::map<std::string, std::string> defaults;
    for (std::size_t begin = usage.find(default_mark); begin != std::string::npos;
         begin = usage.find(default_mark, begin)) {
        const std::size_t end = usage.find(']', begin);
        // The flag at the start of the line is the one that the default belongs to; its description may name
        // other flags.
        const std::size_t flag_line = usage.rfind(flag_line_start, begin);
        if (end == std::string::npos || flag_line == std::string::npos) {
            break;
        }
        const std::size_t flag_begin = flag_line + flag_line_start.size() - 2;
        const std::string name =
            usage.substr(flag_begin, usage.find_first_of(" =\n", flag_begin) - flag_begin);
        defaults[name] = usage.substr(begin + default_mark.size(), end - begin - default_mark.size());
        usage.erase(begin, end + 1 - begin);
    }
    return defaults;
}

// Returns the flags that a usage text describes, each at the start of its line.
std::vector<std::string> flags_in(const std::string& usage)
{
    std::vector<std::string> flags;
    for (std::size_t line_begin = usage.find(flag_line_start); line_begin != std::string::npos;
         line_begin = usage.find(flag_line_start, line_begin + 1)) {
        const std::size_t begin = line_begin + flag_line_start.size() - 2;
        flags.push_back(usage.substr(begin, usage.find_first_of(" =\n", begin) - begin));
    }
    return flags;
}

std::string trimmed(const std::string& text)
{
    const auto begin = text.find_first_not_of(" \t\r");
    return begin == std::string::npos ? "" : text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

}  // namespace

result<std::map<std::string, std::string>> read_settings_file(const std::string& path)
{
    std::ifstream in(path);
    if (!in) {
        return error{error_code::missing_setting, "cannot read the settings file " + path};
    }
    std::map<std::string, std::string> values;
    std::string line;
    for (int number = 1; std::getline(in, line); ++number) {
        line = trimmed(line);
        const std::size_t equals = line.find('=');
        if (line.empty() || line.front() == '#') {
            continue;
        }
        if (equals == std::string::npos || equals == 0) {
            return error{error_code::invalid_setting,
                         path + " line " + std::to_string(number) + ": not name=value"};
        }
        values["--" + trimmed(line.substr(0, equals))] = trimmed(line.substr(equals + 1));
    }
    return values;
}

const char* settings_file_path() noexcept
{
    // NOLINTNEXTLINE(concurrency-mt-unsafe): nothing changes the environment
    return std::getenv("PERIDOTCLEAT_SETTINGS");
}

result<settings> settings::parse(const std::string& usage, const std::vector<std::string>& arguments,
                                 const std::string& version)
{
    std::string text = usage;
    const auto defaults = take_defaults(text);
    std::map<std::string, docopt::value> parsed;
    if (arguments.empty() && settings_file_path() != nullptr) {
        // Without arguments there is nothing to parse, and if docopt compiled the usage text, the process
        // would take twice as long to start.
        for (const std::string& flag : flags_in(text)) {
            parsed[flag] = {};
        }
    }
    try {
        if (parsed.empty()) {
            parsed = docopt::docopt_parse(text, arguments, true, true);
        }
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage << '\n';
        std::exit(0);  // NOLINT(concurrency-mt-unsafe): no other thread runs yet
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << version << '\n';
        std::exit(0);  // NOLINT(concurrency-mt-unsafe): no other thread runs yet
    } catch (const std::exception& e) {
        return error{error_code::unknown_setting,
                     std::string("arguments do not match the usage: ") + e.what()};
    }
    std::map<std::string, std::string> file_values;
    if (const char* path = settings_file_path()) {
        auto read = read_settings_file(path);
        if (!has_value(read)) {
            return failure(read);
        }
        file_values = value(std::move(read));
    }
    settings out;
    for (const auto& [name, parsed_value] : parsed) {
        if (const auto argument = text_of(parsed_value)) {
            out.values_[name] = *argument;
            continue;
        }
        if (name.rfind("--", 0) != 0) {
            continue;
        }
        // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs yet
        if (const char* variable = std::getenv(environment_variable_of(name).c_str())) {
            out.values_[name] = variable;
        } else if (const auto line = file_values.find(name);
                   line != file_values.end() && !line->second.empty()) {
            out.values_[name] = line->second;
        } else if (const auto it = defaults.find(name); it != defaults.end()) {
            out.values_[name] = it->second;
        }
    }
    return out;
}

void settings::reject(error_code code, const std::string& flag, const std::string& value,
                      const std::string& permitted)
{
    errors_.push_back({code, "setting=" + flag + " value=\"" + value + "\" permitted=\"" + permitted + "\""});
}

std::string settings::text(const std::string& flag, bool required)
{
    const auto it = values_.find(flag);
    if (it == values_.end() || it->second.empty()) {
        if (required) {
            reject(error_code::missing_setting, flag, "", "text that is not empty");
        }
        return {};
    }
    return it->second;
}

std::int64_t settings::integer(const std::string& flag, std::int64_t low, std::int64_t high)
{
    const std::string value_text = text(flag);
    if (value_text.empty()) {
        return low;
    }
    std::int64_t number = 0;
    const auto [ptr, ec] = std::from_chars(value_text.data(), value_text.data() + value_text.size(), number);
    if (ec != std::errc{} || ptr != value_text.data() + value_text.size() || number < low || number > high) {
        reject(error_code::invalid_setting, flag, value_text,
               std::to_string(low) + " to " + std::to_string(high));
        return low;
    }
    return number;
}

double settings::number(const std::string& flag, double low, double high)
{
    const std::string value_text = text(flag);
    if (value_text.empty()) {
        return low;
    }
    double number = 0;
    const auto [ptr, ec] = std::from_chars(value_text.data(), value_text.data() + value_text.size(), number);
    // The comparison is written so that NaN is out of range too.
    const bool in_range = number >= low && number <= high;
    if (ec != std::errc{} || ptr != value_text.data() + value_text.size() || !in_range) {
        reject(error_code::invalid_setting, flag, value_text,
               std::to_string(std::llround(low)) + " to " + std::to_string(std::llround(high)));
        return low;
    }
    return number;
}

std::chrono::milliseconds settings::milliseconds(const std::string& flag, std::chrono::milliseconds low,
                                                 std::chrono::milliseconds high)
{
    return duration(flag, 1, low, high);
}

std::chrono::milliseconds settings::seconds(const std::string& flag, std::chrono::milliseconds low,
                                            std::chrono::milliseconds high)
{
    return duration(flag, 1000, low, high);
}

std::chrono::milliseconds settings::duration(const std::string& flag, double unit_ms,
                                             std::chrono::milliseconds low, std::chrono::milliseconds high)
{
    const std::string value_text = text(flag);
    if (value_text.empty()) {
        return low;
    }
    double number = 0;
    const auto [ptr, ec] = std::from_chars(value_text.data(), value_text.data() + value_text.size(), number);
    const double ms = number * unit_ms;
    // The comparisons are written so that NaN is out of range too.
    const bool in_range = ms >= static_cast<double>(low.count()) && ms <= static_cast<double>(high.count());
    if (ec != std::errc{} || ptr != value_text.data() + value_text.size() || !in_range) {
        const auto bound_text = [unit_ms](std::chrono::milliseconds m) {
            return std::to_string(std::llround(static_cast<double>(m.count()) / unit_ms));
        };
        reject(error_code::invalid_setting, flag, value_text, bound_text(low) + " to " + bound_text(high));
        return low;
    }
    return std::chrono::milliseconds(std::llround(ms));
}

endpoint settings::address(const std::string& flag, bool required)
{
    const std::string value_text = text(flag, required);
    if (value_text.empty()) {
        return {};
    }
    const auto parsed = parse_endpoint(value_text);
    if (!has_value(parsed)) {
        reject(error_code::invalid_setting, flag, value_text, "a.b.c.d:port");
        return {};
    }
    return value(parsed);
}

std::vector<endpoint> settings::addresses(const std::string& flag, bool required)
{
    std::vector<endpoint> out;
    const std::string value_text = text(flag, required);
    std::size_t begin = 0;
    while (begin < value_text.size()) {
        const std::size_t end = std::min(value_text.find(',', begin), value_text.size());
        const std::string item = value_text.substr(begin, end - begin);
        const auto parsed = parse_endpoint(item);
        if (has_value(parsed)) {
            out.push_back(value(parsed));
        } else {
            reject(error_code::invalid_setting, flag, item, "a.b.c.d:port, separated by commas");
        }
        begin = end + 1;
    }
    return out;
}

bool settings::flag(const std::string& name) const
{
    const auto it = values_.find(name);
    return it != values_.end() && (it->second == "1" || it->second == "true");
}

bool settings::report() const
{
    for (const error& e : errors_) {
        std::cerr << "error=" << static_cast<int>(e.code) << " name=" << to_string(e.code) << ' ' << e.message
                  << '\n';
    }
    return errors_.empty();
}

}  // namespace peridotcleat

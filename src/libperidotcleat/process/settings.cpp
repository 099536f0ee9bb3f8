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
constexpr std::string_view flag_mark = "\n  --";

std::string variable_of(const std::string& flag)
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

// Defaults are written in the usage text as "[default: x]". They are taken out before docopt parses the
// arguments, so that an environment variable ranks above a default and below a flag.
std::map<std::string, std::string> take_defaults(std::string& usage)
{
    static const std::string mark = "[default: ";
    std::map<std::string, std::string> defaults;
    for (std::size_t at = usage.find(mark); at != std::string::npos; at = usage.find(mark, at)) {
        const std::size_t end = usage.find(']', at);
        // The text of a flag may name another one.
        const std::size_t line = usage.rfind(flag_mark, at);
        if (end == std::string::npos || line == std::string::npos) {
            break;
        }
        const std::size_t flag = line + flag_mark.size() - 2;
        const std::string name = usage.substr(flag, usage.find_first_of(" =\n", flag) - flag);
        defaults[name] = usage.substr(at + mark.size(), end - at - mark.size());
        usage.erase(at, end + 1 - at);
    }
    return defaults;
}

// Names the flags that a usage text describes, each at the start of its line.
std::vector<std::string> flags_in(const std::string& usage)
{
    std::vector<std::string> flags;
    for (std::size_t at = usage.find(flag_mark); at != std::string::npos;
         at = usage.find(flag_mark, at + 1)) {
        const std::size_t begin = at + flag_mark.size() - 2;
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
        // Without arguments there is nothing to parse; compiling the usage text would double the time that a
        // process takes to start.
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
    std::map<std::string, std::string> in_file;
    if (const char* path = settings_file_path()) {
        auto read = read_settings_file(path);
        if (!has_value(read)) {
            return failure(read);
        }
        in_file = value(std::move(read));
    }
    settings out;
    for (const auto& [name, parsed_value] : parsed) {
        if (const auto given = text_of(parsed_value)) {
            out.values_[name] = *given;
            continue;
        }
        if (name.rfind("--", 0) != 0) {
            continue;
        }
        // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs yet
        if (const char* variable = std::getenv(variable_of(name).c_str())) {
            out.values_[name] = variable;
        } else if (const auto line = in_file.find(name); line != in_file.end() && !line->second.empty()) {
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
    const std::string given = text(flag);
    if (given.empty()) {
        return low;
    }
    std::int64_t number = 0;
    const auto [ptr, ec] = std::from_chars(given.data(), given.data() + given.size(), number);
    if (ec != std::errc{} || ptr != given.data() + given.size() || number < low || number > high) {
        reject(error_code::invalid_setting, flag, given, std::to_string(low) + " to " + std::to_string(high));
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
    const std::string given = text(flag);
    if (given.empty()) {
        return low;
    }
    double number = 0;
    const auto [ptr, ec] = std::from_chars(given.data(), given.data() + given.size(), number);
    const double ms = number * unit_ms;
    // Written so that a value that is no number is out of range too.
    const bool within = ms >= static_cast<double>(low.count()) && ms <= static_cast<double>(high.count());
    if (ec != std::errc{} || ptr != given.data() + given.size() || !within) {
        const auto bound = [unit_ms](std::chrono::milliseconds m) {
            return std::to_string(std::llround(static_cast<double>(m.count()) / unit_ms));
        };
        reject(error_code::invalid_setting, flag, given, bound(low) + " to " + bound(high));
        return low;
    }
    return std::chrono::milliseconds(std::llround(ms));
}

endpoint settings::address(const std::string& flag, bool required)
{
    const std::string given = text(flag, required);
    if (given.empty()) {
        return {};
    }
    const auto parsed = parse_endpoint(given);
    if (!has_value(parsed)) {
        reject(error_code::invalid_setting, flag, given, "a.b.c.d:port");
        return {};
    }
    return value(parsed);
}

std::vector<endpoint> settings::addresses(const std::string& flag, bool required)
{
    std::vector<endpoint> out;
    const std::string given = text(flag, required);
    std::size_t begin = 0;
    while (begin < given.size()) {
        const std::size_t end = std::min(given.find(',', begin), given.size());
        const std::string one = given.substr(begin, end - begin);
        const auto parsed = parse_endpoint(one);
        if (has_value(parsed)) {
            out.push_back(value(parsed));
        } else {
            reject(error_code::invalid_setting, flag, one, "a.b.c.d:port, separated by commas");
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

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "peridotcleat/types.h"

namespace peridotcleat {

/// Reads a settings file: one `name=value` per line, where a name is a flag without its leading dashes; lines
/// that start with `#` are comments. Returns the values by flag, with dashes. Fails with `missing_setting` if
/// the file cannot be read, and with `invalid_setting`.
result<std::map<std::string, std::string>> read_settings_file(const std::string& path);

/// Returns the path of the settings file from `PERIDOTCLEAT_SETTINGS`, or null if the variable is not set.
const char* settings_file_path() noexcept;

/// Values of a program's flags, from the command line, environment variables, a settings file and defaults.
///
/// A flag `--data-folder` that the command line leaves out is taken from `PERIDOTCLEAT_DATA_FOLDER`, then
/// from the settings file, which may also contain settings of other programs, then from the default. The
/// functions that read a value record errors, so that a program can report all of them at once.
class settings {
public:
    /// Parses `arguments` against the docopt text `usage`. Prints help or version and exits as docopt does.
    /// Fails with `unknown_setting`.
    static result<settings> parse(const std::string& usage, const std::vector<std::string>& arguments,
                                  const std::string& version);

    /// Returns the value of `flag`, or an empty string. Records `missing_setting` if there is no value and
    /// `required` is true.
    std::string text(const std::string& flag, bool required = true);
    /// Returns an integer in [`low`, `high`]; for any other value records `invalid_setting` and returns
    /// `low`.
    std::int64_t integer(const std::string& flag, std::int64_t low, std::int64_t high);
    /// Returns a number, with or without a fraction, in [`low`, `high`]; for any other value records
    /// `invalid_setting` and returns `low`.
    double number(const std::string& flag, double low, double high);
    /// Returns a duration given in milliseconds, with or without a fraction, in [`low`, `high`]; for any
    /// other value records `invalid_setting` and returns `low`.
    std::chrono::milliseconds milliseconds(const std::string& flag, std::chrono::milliseconds low,
                                           std::chrono::milliseconds high);
    /// Same as `milliseconds`, for a duration given in seconds.
    std::chrono::milliseconds seconds(const std::string& flag, std::chrono::milliseconds low,
                                      std::chrono::milliseconds high);
    /// Returns an endpoint `a.b.c.d:port`, or records `invalid_setting`.
    endpoint address(const std::string& flag, bool required = true);
    /// Returns endpoints separated by commas, or records `invalid_setting`.
    std::vector<endpoint> addresses(const std::string& flag, bool required = true);
    /// Returns true if the flag is given, or if its environment variable or its line in the settings file is
    /// `1` or `true`.
    [[nodiscard]] bool flag(const std::string& name) const;
    /// Records an error that the program itself has found, such as two settings that contradict each other.
    void reject(error_code code, const std::string& flag, const std::string& value,
                const std::string& permitted);

    /// Returns all errors recorded so far. Each message names the setting, its value and the permitted range.
    [[nodiscard]] const std::vector<error>& errors() const noexcept { return errors_; }
    /// Prints the errors to standard error. Returns true if there are none.
    [[nodiscard]] bool report() const;

private:
    // Reads a duration that is given in units of `unit_ms` milliseconds.
    std::chrono::milliseconds duration(const std::string& flag, double unit_ms, std::chrono::milliseconds low,
                                       std::chrono::milliseconds high);
    std::map<std::string, std::string> values_;
    std::vector<error> errors_;
};

}  // namespace peridotcleat

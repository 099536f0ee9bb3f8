#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "peridotcleat/types.h"

namespace peridotcleat {

/// Reads a settings file: one `name=value` a line, names as flags without dashes, `#` starts a comment line.
/// Fails with `missing_setting` or `invalid_setting`.
result<std::map<std::string, std::string>> read_settings_file(const std::string& path);

/// Path of the settings file from `PERIDOTCLEAT_SETTINGS`, or null.
const char* settings_file_path() noexcept;

/// Values of a program's flags after docopt has parsed them and environment variables have filled gaps.
///
/// A flag `--data-folder` that the command line leaves out is taken from `PERIDOTCLEAT_DATA_FOLDER`, then
/// from the settings file, whose names other programs may use too, then from the default. Readers collect all
/// errors, so that a program reports them at once.
class settings {
public:
    /// Parses `arguments` against the docopt text `usage`. Prints help or version and exits as docopt does.
    /// Fails with `unknown_setting`.
    static result<settings> parse(const std::string& usage, const std::vector<std::string>& arguments,
                                  const std::string& version);

    /// Returns text; records `missing_setting` if there is none and `required` is true.
    std::string text(const std::string& flag, bool required = true);
    /// Returns an integer in [`low`, `high`], or records `invalid_setting`.
    std::int64_t integer(const std::string& flag, std::int64_t low, std::int64_t high);
    /// Returns a duration given in milliseconds, with or without a fraction, in [`low`, `high`], or records
    /// `invalid_setting`.
    std::chrono::milliseconds milliseconds(const std::string& flag, std::chrono::milliseconds low,
                                           std::chrono::milliseconds high);
    /// As `milliseconds`, for a duration given in seconds.
    std::chrono::milliseconds seconds(const std::string& flag, std::chrono::milliseconds low,
                                      std::chrono::milliseconds high);
    /// Returns an endpoint `a.b.c.d:port`, or records `invalid_setting`.
    endpoint address(const std::string& flag, bool required = true);
    /// Returns endpoints separated by commas, or records `invalid_setting`.
    std::vector<endpoint> addresses(const std::string& flag, bool required = true);
    /// Returns true if the flag is given, or its variable is `1` or `true`.
    [[nodiscard]] bool flag(const std::string& name) const;
    /// Records an error of a check between several settings.
    void reject(error_code code, const std::string& flag, const std::string& value,
                const std::string& permitted);

    /// Returns all errors so far, one line each: number, setting, value and permitted range.
    [[nodiscard]] const std::vector<error>& errors() const noexcept { return errors_; }
    /// Prints the errors to standard error. Returns true if there are none.
    [[nodiscard]] bool report() const;

private:
    std::chrono::milliseconds duration(const std::string& flag, double unit_ms, std::chrono::milliseconds low,
                                       std::chrono::milliseconds high);
    std::map<std::string, std::string> values_;
    std::vector<error> errors_;
};

}  // namespace peridotcleat

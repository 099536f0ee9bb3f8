#include "peridotcleat/log.h"

#include <easylogging++.h>

#include <algorithm>
#include <string>

namespace peridotcleat {

namespace {

std::string& node_name()
{
    static std::string name = "-";
    return name;
}

// Set once at start, before any other thread runs.
log_level& lowest_level()
{
    static log_level level = log_level::warning;
    return level;
}

std::string quoted(const std::string& value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
    if (plain) {
        return value;
    }
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c == '\n' || c == '\r' ? ' ' : c;
    }
    return text + '"';
}

}  // namespace

void start_logging(std::string_view node, log_level lowest)
{
    node_name() = std::string(node);
    lowest_level() = lowest;
    el::Configurations config;
    config.setToDefault();
    config.setGlobally(el::ConfigurationType::ToFile, "false");
    config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    config.setGlobally(el::ConfigurationType::Format,
                       "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    el::Loggers::reconfigureAllLoggers(config);
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < lowest_level()) {
        return;
    }
    std::string line = "event=" + std::string(event) + " node=" + quoted(node_name());
    for (const log_field& f : fields) {
        line += ' ';
        line += f.key;
        line += '=';
        line += quoted(f.value);
    }
    switch (level) {
    case log_level::debug: LOG(DEBUG) << line; break;
    case log_level::info: LOG(INFO) << line; break;
    case log_level::warning: LOG(WARNING) << line; break;
    case log_level::error: LOG(ERROR) << line; break;
    }
}

}  // namespace peridotcleat

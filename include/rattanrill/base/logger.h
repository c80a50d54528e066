#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace rattanrill {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

std::string_view name(LogLevel level);

struct LogSettings
{
    LogLevel level = LogLevel::Info;
    /// Empty: standard output.
    std::string file;
    /// Added to every line.
    std::string instance;
    std::string failureDomain;
    std::string program;
};

/// One field of a log line. Keys are standing names: requestId, workspace, revision, upstream,
/// code, detail and the like.
struct LogField
{
    LogField(std::string_view key, std::string_view value)
        : key(key)
        , value(std::string(value))
    {}
    LogField(std::string_view key, const std::string &value)
        : key(key)
        , value(value)
    {}
    LogField(std::string_view key, const char *value)
        : key(key)
        , value(std::string(value))
    {}
    LogField(std::string_view key, bool value)
        : key(key)
        , value(value)
    {}
    LogField(std::string_view key, double value)
        : key(key)
        , value(value)
    {}
    LogField(std::string_view key, std::int64_t value)
        : key(key)
        , value(value)
    {}
    LogField(std::string_view key, std::uint64_t value)
        : key(key)
        , value(static_cast<std::int64_t>(value))
    {}
    LogField(std::string_view key, int value)
        : key(key)
        , value(static_cast<std::int64_t>(value))
    {}

    std::string_view key;
    std::variant<std::string, bool, double, std::int64_t> value;
};

/// Sets the sink of this process. Call once, before threads start.
void initLogging(const LogSettings &settings);

/// Queues one JSON line: time, level, event, instance, failureDomain, program and \a fields.
/// \a event is a fixed lower-case word such as "leader-elected". Never blocks: lines below the
/// level of a warning are left out beyond a rate, and all lines while the writer is far behind;
/// what was left out is counted in a line of its own.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace rattanrill

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

/// Destination of the log of a process, and the fields that are added to every line.
struct LogSettings
{
    LogLevel level = LogLevel::Info;
    /// Path of the log file; empty for standard output.
    std::string file;
    /// This field and the next two are added to every line.
    std::string instance;
    std::string failureDomain;
    std::string program;
};

/// One field of a log line. The key is one of a fixed set of names that all log lines have in
/// common, such as requestId, workspace, revision, upstream, code or detail.
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

/// Configures the log output of this process. Call it once, before any thread starts.
void initLogging(const LogSettings &settings);

/// Queues one JSON line with the members time, level, event, program, instance and failureDomain,
/// followed by \a fields. \a event is a fixed lower-case name such as "leader-elected". Never
/// blocks: debug and info lines beyond a rate limit are dropped, and lines of every level are
/// dropped while the queue of the writer is full. A separate line reports how many lines were
/// dropped.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace rattanrill

#include "rattanrill/base/logger.h"

#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/json.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>
#include <utility>

namespace rattanrill {
namespace {

/// Lines that wait for the writer at most.
constexpr int maxQueuedLines = 2048;
/// Lines below the level of a warning that a process writes over time, and at once.
constexpr double linesPerSecond = 300;
constexpr double burstLines = 1200;

constexpr std::array<EnumName<LogLevel>, 4> levelNames = {{
        {LogLevel::Debug, "debug"},
        {LogLevel::Info, "info"},
        {LogLevel::Warning, "warning"},
        {LogLevel::Error, "error"},
}};

LogSettings &currentSettings()
{
    static LogSettings settings;
    return settings;
}

log4cxx::LoggerPtr sink()
{
    // log4cxx destroys its own statics at exit, while timers and pools may still log.
    static const auto *logger = new log4cxx::LoggerPtr(log4cxx::Logger::getLogger("rattanrill"));
    return *logger;
}

log4cxx::AppenderPtr makeAppender(const LogSettings &settings)
{
    const log4cxx::LayoutPtr layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    if (!settings.file.empty())
        return std::make_shared<log4cxx::FileAppender>(layout, settings.file, true);
    auto console = std::make_shared<log4cxx::ConsoleAppender>();
    console->setLayout(layout);
    console->setTarget("System.out");
    log4cxx::helpers::Pool pool;
    console->activateOptions(pool);
    return console;
}

/// A reader that falls behind costs lines, never time: the appender counts and reports them.
log4cxx::AppenderPtr withoutBlocking(const log4cxx::AppenderPtr &appender)
{
    auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(maxQueuedLines);
    queue->setBlocking(false);
    queue->addAppender(appender);
    return queue;
}

void closeAppenders()
{
    sink()->removeAllAppenders();
}

/// Bounds the lines of a process over time. Errors and warnings always pass.
class LineBudget
{
public:
    /// Returns false for a line that goes without being written.
    bool take(LogLevel level)
    {
        if (level >= LogLevel::Warning)
            return true;
        const absl::Time now = absl::Now();
        absl::MutexLock lock(&m_mutex);
        const double earned = absl::ToDoubleSeconds(now - m_at) * linesPerSecond;
        m_lines = std::min(burstLines, m_lines + std::max(earned, 0.0));
        m_at = now;
        if (m_lines < 1) {
            ++m_dropped;
            return false;
        }
        m_lines -= 1;
        return true;
    }

    /// Lines that were not written since the last call.
    std::int64_t takeDropped()
    {
        absl::MutexLock lock(&m_mutex);
        return m_lines > burstLines / 2 ? std::exchange(m_dropped, 0) : 0;
    }

private:
    absl::Mutex m_mutex;
    double m_lines ABSL_GUARDED_BY(m_mutex) = burstLines;
    absl::Time m_at ABSL_GUARDED_BY(m_mutex) = absl::Now();
    std::int64_t m_dropped ABSL_GUARDED_BY(m_mutex) = 0;
};

LineBudget &lineBudget()
{
    static auto *budget = new LineBudget;
    return *budget;
}

Json fieldValue(const LogField &field)
{
    return std::visit([](const auto &value) { return Json(value); }, field.value);
}

} // namespace

std::string_view name(LogLevel level)
{
    return nameOf(levelNames, level);
}

void initLogging(const LogSettings &settings)
{
    currentSettings() = settings;
    const log4cxx::LoggerPtr logger = sink();
    logger->removeAllAppenders();
    logger->setAdditivity(false);
    logger->addAppender(withoutBlocking(makeAppender(settings)));
    std::atexit(closeAppenders);
    logger->setLevel(log4cxx::Level::getAll());
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const LogSettings &settings = currentSettings();
    if (level < settings.level || settings.program.empty() || !lineBudget().take(level))
        return;
    if (const std::int64_t dropped = lineBudget().takeDropped(); dropped > 0)
        log(LogLevel::Warning, "log-lines-dropped", {{"lines", dropped}});
    nlohmann::ordered_json line;
    line["time"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
    line["level"] = name(level);
    line["event"] = event;
    line["program"] = settings.program;
    line["instance"] = settings.instance;
    line["failureDomain"] = settings.failureDomain;
    for (const LogField &field : fields)
        line[std::string(field.key)] = fieldValue(field);
    const std::string text =
            line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    sink()->info(text);
}

} // namespace rattanrill

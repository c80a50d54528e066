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

/// Maximum number of lines queued for the writing thread.
constexpr int maxQueuedLines = 2048;
/// Limits on the lines below Warning that a process writes: the sustained rate per second, and the
/// number of lines in a burst.
constexpr double maxLinesPerSecond = 300;
constexpr double maxBurstLines = 1200;

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

log4cxx::LoggerPtr outputLogger()
{
    // Never destroyed: timers and pools may still log at exit, after log4cxx has destroyed its own
    // static objects.
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

/// Wraps \a appender so that logging never blocks. When the reader of the output falls behind,
/// lines are dropped; the asynchronous appender counts and reports them.
log4cxx::AppenderPtr makeNonBlocking(const log4cxx::AppenderPtr &appender)
{
    auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(maxQueuedLines);
    queue->setBlocking(false);
    queue->addAppender(appender);
    return queue;
}

void closeAppenders()
{
    outputLogger()->removeAllAppenders();
}

/// Limits the rate of the lines of a process with a token bucket. Warnings and errors always pass.
class LogRateLimiter
{
public:
    /// Returns false when the line exceeds the rate and must be dropped.
    bool tryAcquire(LogLevel level)
    {
        if (level >= LogLevel::Warning)
            return true;
        const absl::Time now = absl::Now();
        absl::MutexLock lock(&m_mutex);
        const double refill = absl::ToDoubleSeconds(now - m_refilledAt) * maxLinesPerSecond;
        m_availableLines = std::min(maxBurstLines, m_availableLines + std::max(refill, 0.0));
        m_refilledAt = now;
        if (m_availableLines < 1) {
            ++m_dropped;
            return false;
        }
        m_availableLines -= 1;
        return true;
    }

    /// Returns the number of lines dropped since it was last reported, or 0 while at most half of
    /// the burst is available: the report waits until the load has fallen.
    std::int64_t takeDropped()
    {
        absl::MutexLock lock(&m_mutex);
        return m_availableLines > maxBurstLines / 2 ? std::exchange(m_dropped, 0) : 0;
    }

private:
    absl::Mutex m_mutex;
    double m_availableLines ABSL_GUARDED_BY(m_mutex) = maxBurstLines;
    absl::Time m_refilledAt ABSL_GUARDED_BY(m_mutex) = absl::Now();
    std::int64_t m_dropped ABSL_GUARDED_BY(m_mutex) = 0;
};

LogRateLimiter &rateLimiter()
{
    static auto *limiter = new LogRateLimiter;
    return *limiter;
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
    const log4cxx::LoggerPtr logger = outputLogger();
    logger->removeAllAppenders();
    logger->setAdditivity(false);
    logger->addAppender(makeNonBlocking(makeAppender(settings)));
    std::atexit(closeAppenders);
    logger->setLevel(log4cxx::Level::getAll());
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const LogSettings &settings = currentSettings();
    if (level < settings.level || settings.program.empty() || !rateLimiter().tryAcquire(level))
        return;
    if (const std::int64_t dropped = rateLimiter().takeDropped(); dropped > 0)
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
    outputLogger()->info(text);
}

} // namespace rattanrill

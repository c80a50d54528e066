#include "rattanrill/base/logger.h"

#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/json.h"

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <memory>

namespace rattanrill {
namespace {

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
    console->setTarget("System.err");
    log4cxx::helpers::Pool pool;
    console->activateOptions(pool);
    return console;
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
    logger->addAppender(makeAppender(settings));
    logger->setLevel(log4cxx::Level::getAll());
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const LogSettings &settings = currentSettings();
    if (level < settings.level || settings.program.empty())
        return;
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

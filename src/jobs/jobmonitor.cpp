#include "jobmonitor.h"

#include "rattanrill/base/logger.h"

#include <algorithm>
#include <utility>

namespace rattanrill::jobs {
namespace {

constexpr absl::Duration reportPeriod = absl::Seconds(1);
/// Time without progress after which an item is reported.
constexpr absl::Duration minStall = absl::Seconds(5);
/// Maximum number of items that one report names.
constexpr std::size_t maxNamedItems = 3;

} // namespace

JobMonitor::JobMonitor(const JobExecutorContext &context, const JobExecutor &executor)
    : m_context(context)
    , m_executor(executor)
    , m_expectedAt(context.clock.now() + reportPeriod)
{
    m_timer = m_context.loop.timers().subscribeEvery(reportPeriod, [this] { report(); });
}

JobMonitor::~JobMonitor()
{
    stop();
}

void JobMonitor::stop()
{
    if (m_timer != 0)
        m_context.loop.timers().unsubscribe(std::exchange(m_timer, 0));
}

std::int64_t JobMonitor::increase(const char *name, std::uint64_t &previous) const
{
    const std::uint64_t value = m_context.metrics.counter(name);
    return static_cast<std::int64_t>(value - std::exchange(previous, value));
}

void JobMonitor::report()
{
    const absl::Time now = m_context.clock.now();
    const absl::Duration delay = std::max(now - m_expectedAt, absl::ZeroDuration());
    m_expectedAt = now + reportPeriod;
    const std::int64_t attempts = increase("rattanrill_batch_attempts_total", m_previousAttempts);
    const std::int64_t preemptions =
            increase("rattanrill_batch_yields_total", m_previousPreemptions);
    const std::int64_t results = increase("rattanrill_batch_results_total", m_previousResults);
    const OpenItemCounts counts = m_executor.openItemCounts();
    m_context.metrics.set("rattanrill_batch_items_held", {}, static_cast<double>(counts.held));
    if (!m_context.replica.isLeader() || m_executor.openItemCount() == 0)
        return;
    const StalledItems stalled = m_executor.stalledItems(minStall, maxNamedItems);
    m_context.metrics.set("rattanrill_batch_items_stalled", {}, static_cast<double>(stalled.count));
    log(LogLevel::Info, "batch-progress",
        {{"waiting", counts.waiting},
         {"running", counts.running},
         {"backingOff", counts.backingOff},
         {"held", counts.held},
         {"attempts", attempts},
         {"yields", preemptions},
         {"results", results},
         {"stalled", stalled.count},
         {"loopDelayMs", absl::ToInt64Milliseconds(delay)}});
    logStalledItems(stalled.longest);
}

void JobMonitor::logStalledItems(const std::vector<StalledItem> &items) const
{
    for (const StalledItem &item : items) {
        log(LogLevel::Info, "item-stalled",
            {{"job", item.job},
             {"item", item.item},
             {"waitsFor", name(item.waitsFor)},
             {"stalledMs", absl::ToInt64Milliseconds(item.stalledFor)},
             {"run", item.attempts},
             {"service", item.service},
             {"version", item.version},
             {"sender", item.sender},
             {"acceptingSlots", m_context.broker.scheduler().slotCount(item.service)},
             {"term", m_context.replica.status().term},
             {"instance", m_context.instance}});
    }
}

} // namespace rattanrill::jobs

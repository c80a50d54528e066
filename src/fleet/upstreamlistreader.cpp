#include "rattanrill/fleet/upstreamlistreader.h"

#include "rattanrill/base/logger.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace rattanrill::fleet {

struct UpstreamListReader::Impl : std::enable_shared_from_this<UpstreamListReader::Impl>
{
    /// One pass over all pages.
    struct Read
    {
        absl::Time startedAt;
        std::vector<wire::FleetUpstream> upstreams;
        std::size_t pages = 0;
        int skipped = 0;
        /// Calls of this read, including those that failed.
        int calls = 0;
        /// Calls for the current page that failed.
        int pageFailures = 0;
    };

    Impl(TimerService &timers, const Clock &clock, UpstreamDiscovery &discovery,
         UpstreamListReaderSettings settings, UpstreamListHandlers handlers)
        : timers(timers)
        , clock(clock)
        , discovery(discovery)
        , settings(settings)
        , handlers(std::move(handlers))
    {}

    void start()
    {
        if (isRunning)
            return;
        isRunning = true;
        beginRead();
    }

    void stop()
    {
        isRunning = false;
        ++generation;
        if (timer != 0)
            timers.unsubscribe(std::exchange(timer, 0));
    }

    void beginRead()
    {
        read = Read();
        read.startedAt = clock.now();
        callPage("");
    }

    void callPage(const std::string &token)
    {
        ++read.calls;
        discovery.readPage(token,
                           [self = shared_from_this(), callGeneration = generation,
                            readAt = read.startedAt, token](const Outcome<UpstreamPage> &outcome) {
                               if (self->isClosed)
                                   return;
                               if (callGeneration != self->generation)
                                   return self->handleLatePage(outcome, readAt);
                               if (outcome.ok())
                                   self->handlePage(outcome.value());
                               else
                                   self->handleFailure(token, outcome.failure());
                           });
    }

    void handleLatePage(const Outcome<UpstreamPage> &outcome, absl::Time readAt) const
    {
        if (outcome.ok())
            handlers.onPageAfterStop(outcome.value(), readAt);
    }

    void handlePage(const UpstreamPage &page)
    {
        failures = 0;
        read.pageFailures = 0;
        read.skipped += page.skipped;
        ++read.pages;
        read.upstreams.insert(read.upstreams.end(), page.upstreams.begin(), page.upstreams.end());
        const std::uint64_t pageGeneration = generation;
        handlers.onPage(page, read.startedAt);
        if (pageGeneration != generation)
            return;
        if (!page.nextPage.empty() && read.pages < settings.maxPages)
            return callPage(page.nextPage);
        logSkipped();
        handlers.onComplete(std::move(read.upstreams), read.startedAt);
        if (pageGeneration == generation)
            scheduleRead(settings.period - (clock.now() - read.startedAt));
    }

    void handleFailure(const std::string &token, const Failure &failure)
    {
        ++failures;
        const absl::Duration delay = delayAfter(failure);
        if (++read.pageFailures < settings.maxPageFailures)
            return schedule(delay, [this, token] { callPage(token); });
        const std::uint64_t readGeneration = generation;
        handlers.onFailed(failure, read.startedAt);
        if (readGeneration == generation)
            scheduleRead(delay);
    }

    absl::Duration delayAfter(const Failure &failure) const
    {
        const bool isThrottled = failure.code == ErrorCode::RateLimited;
        const absl::Duration first = isThrottled ? settings.throttleDelay : settings.retryDelay;
        const absl::Duration limit = isThrottled ? settings.maxThrottleDelay : settings.period;
        // After 5 doublings the delay exceeds the limit. The bound keeps the shift within int.
        return std::min(first * (1 << std::min(failures - 1, 5)), limit);
    }

    void scheduleRead(absl::Duration delay)
    {
        const absl::Time earliest = read.startedAt + read.calls * settings.minCallInterval;
        schedule(std::max(delay, earliest - clock.now()), [this] { beginRead(); });
    }

    void schedule(absl::Duration delay, std::function<void()> action)
    {
        timer = timers.subscribeOnce(std::max(delay, absl::ZeroDuration()),
                                     [self = shared_from_this(), action = std::move(action)] {
                                         self->timer = 0;
                                         action();
                                     });
    }

    void logSkipped()
    {
        if (read.skipped != lastSkipped)
            log(LogLevel::Warning, "instance-entries-skipped", {{"entries", read.skipped}});
        lastSkipped = read.skipped;
    }

    TimerService &timers;
    const Clock &clock;
    UpstreamDiscovery &discovery;
    const UpstreamListReaderSettings settings;
    UpstreamListHandlers handlers;
    Read read;
    TimerService::TimerId timer = 0;
    /// Incremented by stop(), so that pages of earlier reads are recognized.
    std::uint64_t generation = 0;
    bool isRunning = false;
    bool isClosed = false;
    /// Calls that have failed since the last one that succeeded.
    int failures = 0;
    /// Number of skipped entries of the last complete read. A warning is logged when it changes.
    int lastSkipped = 0;
};

UpstreamListReader::UpstreamListReader(TimerService &timers, const Clock &clock,
                                       UpstreamDiscovery &discovery,
                                       UpstreamListReaderSettings settings,
                                       UpstreamListHandlers handlers)
    : m_impl(std::make_shared<Impl>(timers, clock, discovery, settings, std::move(handlers)))
{}

UpstreamListReader::~UpstreamListReader()
{
    stop();
    m_impl->isClosed = true;
}

void UpstreamListReader::start()
{
    m_impl->start();
}

void UpstreamListReader::stop()
{
    m_impl->stop();
}

bool UpstreamListReader::isRunning() const
{
    return m_impl->isRunning;
}

} // namespace rattanrill::fleet

#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/fleet/upstreamdiscovery.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace rattanrill::fleet {

/// Settings of an UpstreamListReader.
struct UpstreamListReaderSettings
{
    /// Interval between the starts of successive reads.
    absl::Duration period = absl::Seconds(1);
    /// Delay after a call that failed; doubles with each further failure, up to the period.
    absl::Duration retryDelay = absl::Milliseconds(100);
    /// Delay after a call that the platform rejected because it got too many; doubles likewise, up
    /// to maxThrottleDelay.
    absl::Duration throttleDelay = absl::Milliseconds(500);
    absl::Duration maxThrottleDelay = absl::Seconds(2);
    /// Number of failed calls for one page after which the read is given up and starts again.
    int maxPageFailures = 3;
    /// Maximum number of pages of one read; further pages are ignored.
    std::size_t maxPages = 200;
    /// Minimum mean interval between the calls of one reader. The platform accepts 40 calls a
    /// second from all processes together, and two readers may be at work at a time: that of the
    /// fleet leader and that of a store whose list is too old.
    absl::Duration minCallInterval = absl::Milliseconds(50);
};

/// Receives what an UpstreamListReader has read. \a readAt is the time at which the read started.
struct UpstreamListHandlers
{
    /// Called for each page as soon as it has arrived, also when a later page fails.
    std::function<void(const UpstreamPage &page, absl::Time readAt)> onPage;
    /// Called with the entries of all pages.
    std::function<void(std::vector<wire::FleetUpstream> upstreams, absl::Time readAt)> onComplete;
    /// Called when a read is given up.
    std::function<void(const Failure &failure, absl::Time readAt)> onFailed;
    /// Called for a page that arrived after stop(). The rest of its read is not performed.
    std::function<void(const UpstreamPage &page, absl::Time readAt)> onPageAfterStop;
};

/// Reads the platform's list of upstreams again and again, one page at a time. A page that can't be
/// read is requested again after a short delay. Used on the event loop only.
class UpstreamListReader
{
public:
    UpstreamListReader(TimerService &timers, const Clock &clock, UpstreamDiscovery &discovery,
                       UpstreamListReaderSettings settings, UpstreamListHandlers handlers);
    /// No handler is called after destruction.
    ~UpstreamListReader();
    UpstreamListReader(const UpstreamListReader &) = delete;
    UpstreamListReader &operator=(const UpstreamListReader &) = delete;

    /// Starts the first read at once. Does nothing while the reader is running.
    void start();
    void stop();
    bool isRunning() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::fleet

#include "rattanrill/fleet/boundedupstreamlist.h"

#include "rattanrill/base/logduration.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/fleet/upstreamlist.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <utility>

namespace rattanrill::fleet {
BoundedUpstreamList::BoundedUpstreamList(TimerService &timers, const Clock &clock,
                                         UpstreamDiscovery &discovery,
                                         BoundedUpstreamListSettings settings)
    : m_timers(timers)
    , m_clock(clock)
    , m_settings(settings)
    , m_reader(timers, clock, discovery, settings.reader, readerHandlers())
{}

BoundedUpstreamList::~BoundedUpstreamList()
{
    setActive(false);
}

UpstreamListHandlers BoundedUpstreamList::readerHandlers()
{
    UpstreamListHandlers handlers;
    handlers.onPage = [this](const UpstreamPage &page, absl::Time) { mark(page.upstreams); };
    handlers.onPageAfterStop = handlers.onPage;
    handlers.onComplete = [this](std::vector<wire::FleetUpstream> upstreams, absl::Time readAt) {
        setReadable(true, Failure());
        if (readAt > m_readAt)
            use(std::move(upstreams), readAt);
    };
    handlers.onFailed = [this](const Failure &failure, absl::Time) { setReadable(false, failure); };
    return handlers;
}

void BoundedUpstreamList::onChange(ChangeListener listener)
{
    m_changeListener = std::move(listener);
}

void BoundedUpstreamList::onConfirmed(ConfirmationListener listener)
{
    m_confirmationListener = std::move(listener);
}

void BoundedUpstreamList::setActive(bool grantsSlots)
{
    if (grantsSlots && !m_isActive)
        m_activeSince = m_clock.now();
    m_isActive = grantsSlots;
    updateReader();
}

void BoundedUpstreamList::setDistributed(const std::vector<wire::FleetUpstream> &upstreams,
                                         absl::Time readAt)
{
    addMarks(upstreams);
    m_distributed = upstreams;
    m_distributedReadAt = readAt;
    // Without a known age, the list is used only in place of one that is too old.
    const bool isAgeKnown = readAt != absl::InfinitePast();
    if (readAt >= m_readAt || (!isAgeKnown && age() > m_settings.maxAge))
        use(upstreams, readAt);
    else
        mark(upstreams);
    updateReader();
}

void BoundedUpstreamList::confirmDistributed(absl::Time readAt)
{
    m_distributedReadAt = std::max(m_distributedReadAt, readAt);
    if (m_isKnown && readAt > m_readAt)
        use(m_distributed, readAt);
    updateReader();
}

absl::Duration BoundedUpstreamList::age() const
{
    return m_clock.now() - m_readAt;
}

void BoundedUpstreamList::use(std::vector<wire::FleetUpstream> upstreams, absl::Time readAt)
{
    std::set<std::string> marked;
    for (auto entry = m_marks.begin(); entry != m_marks.end();) {
        const bool isObsolete = entry->second < readAt;
        if (!isObsolete)
            marked.insert(entry->first);
        entry = isObsolete ? m_marks.erase(entry) : std::next(entry);
    }
    markDraining(upstreams, marked);
    const bool isSame = m_isKnown && sameUpstreams(upstreams, m_upstreams);
    m_isKnown = true;
    m_readAt = readAt;
    m_upstreams = std::move(upstreams);
    if (!isSame)
        logDirectList();
    if (!isSame && m_changeListener)
        m_changeListener(m_upstreams, readAt);
    if (isSame && m_confirmationListener)
        m_confirmationListener(readAt);
}

/// Changes of the list from the fleet leader are logged by FleetClient.
void BoundedUpstreamList::logDirectList() const
{
    if (!m_reader.isRunning())
        return;
    log(LogLevel::Info, "upstream-list-in-force",
        {{"upstreams", static_cast<std::int64_t>(m_upstreams.size())},
         {"draining", static_cast<std::int64_t>(drainingIds(m_upstreams).size())},
         {"ageMs", loggedMilliseconds(age())}});
}

/// Marks the draining upstreams of a list or page that is not used itself.
void BoundedUpstreamList::mark(const std::vector<wire::FleetUpstream> &upstreams)
{
    addMarks(upstreams);
    if (!markDraining(m_upstreams, drainingIds(upstreams)))
        return;
    logDirectList();
    if (m_changeListener)
        m_changeListener(m_upstreams, m_readAt);
}

void BoundedUpstreamList::addMarks(const std::vector<wire::FleetUpstream> &upstreams)
{
    for (const std::string &id : drainingIds(upstreams))
        m_marks[id] = m_clock.now();
}

/// Time from which the platform is read directly. A process that has no list yet waits for the
/// fleet leader first.
absl::Time BoundedUpstreamList::directReadDue() const
{
    return (m_isKnown ? m_distributedReadAt : m_activeSince) + m_settings.maxAge;
}

void BoundedUpstreamList::updateReader()
{
    if (m_timer != 0)
        m_timers.unsubscribe(std::exchange(m_timer, 0));
    const absl::Duration delay = directReadDue() - m_clock.now();
    const bool isDue = m_isActive && delay <= absl::ZeroDuration();
    if (isDue != m_reader.isRunning())
        log(LogLevel::Info, isDue ? "upstream-list-read-directly" : "upstream-list-distributed",
            {{"ageMs", loggedMilliseconds(age())}});
    if (isDue)
        return m_reader.start();
    m_reader.stop();
    if (m_isActive)
        m_timer = m_timers.subscribeOnce(delay, [this] {
            m_timer = 0;
            updateReader();
        });
}

void BoundedUpstreamList::setReadable(bool isReadable, const Failure &failure)
{
    if (std::exchange(m_isReadable, isReadable) == isReadable)
        return;
    log(isReadable ? LogLevel::Info : LogLevel::Warning,
        isReadable ? "upstream-list-regained" : "upstream-list-lost",
        {{"code", isReadable ? "ok" : name(failure.code)}, {"detail", failure.detail}});
}

} // namespace rattanrill::fleet

#pragma once

#include "rattanrill/fleet/upstreamlistreader.h"

#include "absl/time/time.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::fleet {

/// Settings of a BoundedUpstreamList.
struct BoundedUpstreamListSettings
{
    /// The platform is read directly while the list from the fleet leader shows an earlier read
    /// than this long ago. While the leader is in touch, the age stays below the sum of the period
    /// of its reads (1 s), the time for which it holds a poll (0.5 s) and the duration of a read.
    absl::Duration maxAge = absl::Seconds(2);
    UpstreamListReaderSettings reader;
};

/// The list of upstreams by which a process grants slots. Usually it is the list that the leader of
/// the fleet group distributes. While that list is too old, the process reads the platform's list
/// itself and uses the one of the later read. Used on the event loop only.
class BoundedUpstreamList
{
public:
    using ChangeListener = std::function<void(const std::vector<wire::FleetUpstream> &upstreams,
                                              absl::Time readAt)>;
    using ConfirmationListener = std::function<void(absl::Time readAt)>;

    BoundedUpstreamList(TimerService &timers, const Clock &clock, UpstreamDiscovery &discovery,
                        BoundedUpstreamListSettings settings);
    ~BoundedUpstreamList();
    BoundedUpstreamList(const BoundedUpstreamList &) = delete;
    BoundedUpstreamList &operator=(const BoundedUpstreamList &) = delete;

    /// Sets the listener for each change of the list in use. \a readAt is the start of the read
    /// that the list shows, or InfinitePast if unknown; single upstreams may have been marked as
    /// draining later.
    void onChange(ChangeListener listener);
    /// Sets the listener that is called when a later read shows the same list.
    void onConfirmed(ConfirmationListener listener);
    /// \a grantsSlots: whether this process grants slots by the list. The platform is read directly
    /// only while it does.
    void setActive(bool grantsSlots);
    /// Sets the list from the fleet leader; \a readAt as in FleetState::upstreamsReadAt.
    void setDistributed(const std::vector<wire::FleetUpstream> &upstreams, absl::Time readAt);
    /// Reports that the list from the fleet leader was the same in a later read.
    void confirmDistributed(absl::Time readAt);
    /// Time since the start of the read that the list in use shows; infinite if unknown.
    absl::Duration age() const;
    /// Whether the platform is being read directly.
    bool isReadingDirectly() const { return m_reader.isRunning(); }

private:
    UpstreamListHandlers readerHandlers();
    void use(std::vector<wire::FleetUpstream> upstreams, absl::Time readAt);
    void mark(const std::vector<wire::FleetUpstream> &upstreams);
    void addMarks(const std::vector<wire::FleetUpstream> &upstreams);
    absl::Time directReadDue() const;
    void updateReader();
    void logDirectList() const;
    void setReadable(bool isReadable, const Failure &failure);

    TimerService &m_timers;
    const Clock &m_clock;
    const BoundedUpstreamListSettings m_settings;
    ChangeListener m_changeListener;
    ConfirmationListener m_confirmationListener;
    bool m_isActive = false;
    absl::Time m_activeSince;
    bool m_isKnown = false;
    std::vector<wire::FleetUpstream> m_upstreams;
    /// Start of the read that m_upstreams shows.
    absl::Time m_readAt = absl::InfinitePast();
    std::vector<wire::FleetUpstream> m_distributed;
    absl::Time m_distributedReadAt = absl::InfinitePast();
    /// Upstreams that were seen as draining, by id, and the time at which that became known here.
    /// They count until a list whose read started later.
    std::map<std::string, absl::Time> m_marks;
    bool m_isReadable = true;
    TimerService::TimerId m_timer = 0;
    UpstreamListReader m_reader;
};

} // namespace rattanrill::fleet

#pragma once

#include "rattanrill/policy/slotscheduler.h"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::policy {

/// Time by which the platform's list of upstreams lags the upstreams at most.
constexpr absl::Duration maxUpstreamListLag = absl::Seconds(10);

/// Why an upstream no longer counts as leaving.
enum class LeavingEnd {
    /// The list does not contain the upstream more than maxUpstreamListLag after its last
    /// announcement.
    Removed,
    /// The list shows the upstream at another address, likewise.
    Moved,
    /// The list showed the upstream as draining after its last announcement, and then as ready.
    Restarted,
    /// The list shows the upstream as ready more than maxUpstreamListLag after its last
    /// announcement.
    Ready,
};

std::string_view name(LeavingEnd reason);

/// An upstream that no longer counts as leaving.
struct EndedLeaving
{
    std::string upstream;
    LeavingEnd reason = LeavingEnd::Removed;
};

/// Records the upstreams that announced in a response that they leave. An upstream that restarts
/// has the same id, so an announcement ends when the list of upstreams shows that the process that
/// made it is gone.
///
/// Performs no input or output. Not thread-safe.
class LeavingUpstreams
{
public:
    /// Records that the upstream \a id at \a address announced at \a announcedAt that it leaves.
    /// Returns true when it did not count as leaving before.
    bool record(absl::Time announcedAt, const std::string &id, const std::string &address);
    bool isLeaving(const std::string &id, const std::string &address) const;
    /// Time of the upstream's last announcement; InfinitePast for one that is not leaving.
    absl::Time announcedAt(const std::string &id) const;
    /// Ends the announcements that the complete list \a upstreams disproves and returns them.
    /// \a readAt: time, not later than the actual one, at which the list was read from the
    /// platform; InfinitePast when unknown. A list that was read earlier than a list of a previous
    /// call ends none.
    std::vector<EndedLeaving> update(const std::vector<SlotUpstream> &upstreams, absl::Time readAt);

private:
    struct Announcement
    {
        std::string address;
        absl::Time at;
        /// Whether a list that was received after the announcement showed the upstream as draining.
        bool wasListedAsDraining = false;
    };

    static std::optional<LeavingEnd> endOf(const Announcement &announcement,
                                           const SlotUpstream *listed, absl::Time readAt);

    std::map<std::string, Announcement> m_announcements;
    /// Time at which the newest list was read.
    absl::Time m_listReadAt = absl::InfinitePast();
};

} // namespace rattanrill::policy

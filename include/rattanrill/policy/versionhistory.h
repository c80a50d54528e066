#pragma once

#include "rattanrill/policy/slotscheduler.h"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanrill::policy {

/// Remembers which versions of each service were listed, and until when. Not thread-safe.
class VersionHistory
{
public:
    /// Replaces the list of upstreams, which was read at \a readAt or later. InfinitePast means
    /// that the time of the read is not known; nothing is known then from the list.
    void setUpstreams(absl::Time now, const std::vector<SlotUpstream> &upstreams,
                      absl::Time readAt);
    /// Notifies that a read at \a readAt showed the same list.
    void confirm(absl::Time readAt);
    /// Whether the list was read at \a time or later.
    bool isReadSince(absl::Time time) const { return m_readAt >= time; }
    /// Returns the version of all upstreams of \a service that were listed since \a since. Returns
    /// nullopt when there was more than one version or none, or when the list was not known for all
    /// of the time: upstreams may have joined and left between two reads that are far apart.
    std::optional<std::string> onlyVersion(const std::string &service, absl::Time since) const;

private:
    absl::Time m_readAt = absl::InfinitePast();
    /// Time since which the list was read at short intervals.
    absl::Time m_knownSince = absl::InfiniteFuture();
    /// Time until which each version was listed, by service; InfiniteFuture if it still is.
    std::map<std::string, std::map<std::string, absl::Time>> m_listedUntil;
};

} // namespace rattanrill::policy

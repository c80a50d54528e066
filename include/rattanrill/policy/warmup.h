#pragma once

#include "rattanrill/policy/requestlimit.h"
#include "rattanrill/policy/task.h"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace rattanrill::policy {

/// How a service's upstreams warm up after their start.
struct WarmUpSettings
{
    /// Time for which an upstream is cold after its start.
    absl::Duration time;
    /// Requests per second that a cold upstream may get; 0: none; absent: any number.
    std::optional<double> rate;
};

/// How it became known that an upstream is cold.
enum class ColdSource {
    /// The platform's list shows it.
    List,
    /// A response of the upstream reports it.
    Response,
    /// Nothing responded at its address, so it may return cold before the list shows it.
    Suspicion,
};

std::string_view name(ColdSource source);

/// An upstream that is cold.
struct ColdUpstream
{
    std::string upstream;
    /// Longest time for which it remains cold.
    absl::Duration remaining;
    ColdSource source = ColdSource::List;
};

/// Whether one upstream is cold, and how many requests it may get meanwhile. A cold upstream
/// crashes under the load that a warm one carries.
///
/// Load pattern: upstreams return cold in the middle of a burst, before the list, which lags, shows
/// them as cold. A report of the remaining time was measured earlier, so it is an upper bound. Its
/// time counts from its arrival, and later reports can only shorten it, unless they exceed it so
/// far that the upstream must have become cold again.
///
/// Without a rate an upstream is never cold. Performs no input or output.
class WarmUp
{
public:
    WarmUp();

    void configure(absl::Time now, const WarmUpSettings &settings);
    /// Records what the platform's list, which was read at \a readAt, shows: the upstream is cold
    /// for \a remaining, or warm if it is zero. Does nothing when the same figure of the same read
    /// was recorded before.
    void recordListed(absl::Time now, absl::Duration remaining, absl::Time readAt);
    /// Records the remaining time that a response of the upstream reports.
    void recordReported(absl::Time now, absl::Duration remaining);
    /// Records that \a observer found nothing that responds at the upstream's address.
    void suspect(absl::Time now, const std::string &observer);
    /// Discards what \a observer has found, because it is cut off from all upstreams.
    void discard(absl::Time now, const std::string &observer);

    bool isCold(absl::Time now) const;
    /// Time at which the upstream becomes warm.
    absl::Time coldUntil() const;
    ColdSource source() const;
    /// The rate that holds now, in requests per second; absent when there is none.
    std::optional<double> rate(absl::Time now) const;
    /// Whether the upstream may get a request. A batch task leaves one accumulated request to
    /// online tasks, so it gets a slot only if they don't use the rate.
    bool allows(absl::Time now, TaskKind kind) const;
    /// Counts a request that is sent to the upstream.
    void take(absl::Time now);
    /// Time from which a request is allowed; not later than \a now if one is allowed now.
    absl::Time nextAllowed(absl::Time now, TaskKind kind) const;
    /// Drops the accumulated requests.
    void clearAccumulated(absl::Time now);

private:
    bool isOutdated(absl::Time until) const;
    bool recordCold(absl::Time now, absl::Time until, ColdSource source);
    void beginIfWarm(absl::Time now);

    WarmUpSettings m_settings;
    RequestLimit m_limit;
    /// End of the episode that the list or a response has reported.
    absl::Time m_reportedUntil = absl::InfinitePast();
    ColdSource m_reportSource = ColdSource::List;
    /// Time of the last response that reported a remaining time.
    absl::Time m_respondedAt = absl::InfinitePast();
    /// Whether a list has shown the reported episode.
    bool m_isListed = false;
    /// The last figure of the list, and the read that it is from.
    absl::Duration m_listedRemaining = -absl::InfiniteDuration();
    absl::Time m_listReadAt = absl::InfinitePast();
    /// Longest time that a list has shown.
    absl::Duration m_longestListed;
    absl::Time m_suspectedAt = absl::InfinitePast();
    absl::Time m_suspectedUntil = absl::InfinitePast();
    std::set<std::string> m_suspectingObservers;
};

} // namespace rattanrill::policy

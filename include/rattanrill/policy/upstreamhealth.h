#pragma once

#include "rattanrill/policy/outlierdetector.h"

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace rattanrill::policy {

/// Health of one upstream as several observers see it. An observer is a process that sends requests
/// to the upstream.
///
/// What a single observer sees concerns the link between it and the upstream, so its failures eject
/// the upstream for this observer only. The upstream is ejected for all observers once at least
/// minObservers of them have failed there since its last success. An observer that turns out to be
/// cut off from all upstreams is no witness: discard() also ends the ejections that depend on it.
///
/// The system of an upstream that pauses does not answer new connections once its accept queue is
/// full. So a connection without an answer makes this observer's tasks avoid the upstream for
/// unansweredAvoidance, with trafficShare() above 0. It counts as a failure once connections of
/// this observer have remained unanswered for maxUnanswered.
///
/// Performs no input or output. Not thread-safe.
class UpstreamHealth
{
public:
    /// Number of observers that must agree on an ejection for all.
    static constexpr std::size_t minObservers = 2;

    static constexpr absl::Duration unansweredAvoidance = absl::Milliseconds(400);
    /// Time between the first and the last report of unanswered connections without a success in
    /// between. Each report follows an attempt to connect of one second, so pauses of two seconds
    /// are no failures.
    static constexpr absl::Duration maxUnanswered = absl::Seconds(1);

    explicit UpstreamHealth(OutlierSettings settings);

    void succeeded(absl::Time now, const std::string &observer);
    /// Counts a failure. \a isUnreachable: nothing responds at the address, so a further failure
    /// of this kind is not awaited before the upstream is ejected.
    void failed(absl::Time now, const std::string &observer, bool isUnreachable);
    /// Records that a connection of \a observer was neither accepted nor refused.
    void unanswered(absl::Time now, const std::string &observer);
    /// Discards all reports of \a observer.
    void discard(absl::Time now, const std::string &observer);

    /// Whether the upstream is ejected for all observers.
    bool isEjected(absl::Time now) const { return m_shared.ejected(now); }
    /// Whether the upstream is ejected for all observers or for some.
    bool isEjectedForAny(absl::Time now) const;
    /// Whether the upstream is ejected for, or avoided by, \a observer.
    bool isEjectedFor(absl::Time now, const std::string &observer) const;
    /// End of the ejection for all or, if that is later, of the ejection or avoidance for
    /// \a observer.
    absl::Time ejectedUntil(const std::string &observer) const;
    /// Largest fraction of its slots that the upstream gets tasks for, of any sender.
    double trafficShare(absl::Time now) const { return m_shared.trafficShare(now); }
    /// Share of its normal traffic that the upstream may get from \a observer; see
    /// OutlierDetector::trafficShare().
    double trafficShare(absl::Time now, const std::string &observer) const;
    /// Observers that have failed since the last success.
    std::size_t failedObservers() const { return m_failures.size(); }

private:
    struct Failures
    {
        int count = 0;
        bool isUnreachable = false;
        absl::Time lastAt;
    };

    struct Silence
    {
        absl::Time since;
        absl::Time lastAt;
        absl::Time avoidedUntil;
    };

    bool isConclusive() const;
    void forgetOldFailures(absl::Time now);

    OutlierSettings m_settings;
    OutlierDetector m_shared;
    std::map<std::string, OutlierDetector> m_links;
    /// Failures since the last success of any observer.
    std::map<std::string, Failures> m_failures;
    /// Unanswered connections since the last success of the same observer.
    std::map<std::string, Silence> m_silences;
    /// Observers on whose failures the last ejection for all is based.
    std::set<std::string> m_witnesses;
};

} // namespace rattanrill::policy

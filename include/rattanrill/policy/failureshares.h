#pragma once

#include "rattanrill/policy/outlierdetector.h"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanrill::policy {

/// Share of server errors among the recent responses of each upstream of a service. An upstream
/// whose share exceeds the median of the others by a margin is ejected.
///
/// The class is designed for these load patterns:
///
/// - Some upstreams respond with a server error at once. They always have the least load and
///   attract most requests. A median is compared because a mean over all responses would be theirs.
/// - A caller sends requests that fail at every upstream. The upstream where they gather is
///   suspected and passed over, so that the next ones fail elsewhere and raise the median. Where
///   several workspaces use the service, the one with the most errors at an upstream doesn't count
///   there unless its requests succeed elsewhere: they may gather at the upstreams of its own
///   failure domain.
/// - An upstream fails only a part of its requests. Its share outlasts single successes.
///
/// An upstream with errors is first suspected: requests should go to others while these have free
/// slots, at first to those without hasRespondedSinceSuspicion(). It is ejected only when it goes
/// on failing after most others have responded.
///
/// Performs no input or output. Not thread-safe.
class FailureShares
{
public:
    /// Time after which an outcome has half of its weight.
    static constexpr absl::Duration halfLife = absl::Seconds(3);
    /// The same for the shares with which an upstream is compared at the beginning of a burst of
    /// bad requests: the successes before it still outweigh its errors in the longer counts.
    static constexpr absl::Duration burstHalfLife = absl::Milliseconds(500);
    /// Time for which a suspected upstream is passed over, unless it is judged before.
    static constexpr absl::Duration passOverTime = absl::Seconds(3);
    /// Shortest time from the suspicion to the ejection. A burst of bad requests reaches the others
    /// within it.
    static constexpr absl::Duration confirmationTime = absl::Milliseconds(500);
    /// Time without an error after which a suspicion must begin anew: errors further apart are no
    /// common evidence.
    static constexpr absl::Duration suspicionLifetime = absl::Seconds(10);
    /// Number of errors, decayed and since the suspicion began, below which an upstream is not
    /// ejected, so that single errors eject none.
    static constexpr double minErrors = 3;
    /// Largest decayed number of responses. Without it, the errors of an upstream that alone got a
    /// caller's bad requests would outweigh the next hundreds of successes.
    static constexpr double maxResponses = 20;
    /// Excess over the median from which an upstream is an outlier.
    static constexpr double minExcess = 0.25;
    /// The same in standard deviations: when many requests fail everywhere, the shares of a few
    /// responses differ by chance.
    static constexpr double minDeviations = 3;

    /// Records a response to a request of \a workspace that is not a server error.
    void succeeded(absl::Time now, const std::string &upstream, const std::string &workspace);
    /// Records a server error and judges the upstream. Returns true when this ejects it.
    /// \a candidates: upstreams of the service that accept tasks apart from this rule. At most a
    /// third of them, but at least one of two or more, are ejected at the same time.
    bool failed(absl::Time now, const std::string &upstream, const std::string &workspace,
                const std::vector<std::string> &candidates);
    /// Forgets all upstreams that are not in \a upstreams.
    void retain(const std::set<std::string> &upstreams);

    bool isEjected(absl::Time now, const std::string &upstream) const;
    absl::Time ejectedUntil(const std::string &upstream) const;
    /// Share of its normal traffic that the upstream may get; see OutlierDetector::trafficShare().
    double trafficShare(absl::Time now, const std::string &upstream) const;
    /// Fraction of its capacity that the upstream may use: trafficShare(), but 1 while it is
    /// ejected, because it then gets only requests that have no other upstream.
    double usableShare(absl::Time now, const std::string &upstream) const;
    /// Whether some upstream may be suspected.
    bool isAnySuspected(absl::Time now) const { return now < m_passedOverUntil; }
    /// Whether the upstream has failed and too few others have responded since then to judge it.
    bool isSuspected(absl::Time now, const std::string &upstream) const;
    /// Whether the upstream has responded since the last suspicion began. False while none is
    /// suspected.
    bool hasRespondedSinceSuspicion(absl::Time now, const std::string &upstream) const;

private:
    struct Outcomes
    {
        double successes = 0;
        double errors = 0;

        double responses() const { return successes + errors; }
        double share() const { return responses() > 0 ? errors / responses() : 0; }
    };

    struct Counts : Outcomes
    {
        std::map<std::string, Outcomes> workspaces;

        void addSuccess(const std::string &workspace);
        void addError(const std::string &workspace);
        void decay(double weight);
    };

    /// What the other upstreams of the service have shown.
    struct Comparison
    {
        double medianShare = 0;
        double responses = 0;
    };

    struct Record
    {
        /// Decayed with halfLife, as of \a respondedAt.
        Counts recent;
        /// Decayed with burstHalfLife, as of \a respondedAt.
        Counts burst;
        /// Responses since \a suspectedAt, not decayed; empty without a suspicion. A suspected
        /// upstream is passed over, so its recent responses may be older than those of the others.
        Counts sinceSuspicion;
        absl::Time respondedAt = absl::InfinitePast();
        absl::Time failedAt = absl::InfinitePast();
        /// Time at which the suspicion began. Others are compared once they have responded later.
        absl::Time suspectedAt = absl::InfinitePast();
        absl::Time passedOverUntil = absl::InfinitePast();

        bool isSuspected() const { return suspectedAt != absl::InfinitePast(); }
        void endSuspicion();
    };

    Record &decayedRecord(absl::Time now, const std::string &upstream);
    void recordWorkspace(absl::Time now, const std::string &workspace);
    Outcomes attributableOutcomes(absl::Time now, const std::string &upstream,
                                  const Counts &counts) const;
    Outcomes outcomesElsewhere(absl::Time now, const std::string &upstream,
                               const std::string &workspace) const;
    static bool isOutlier(const Outcomes &outcomes, const Comparison &others);
    static void endOldSuspicion(absl::Time now, Record &record);
    void forgetOldEjection(absl::Time now, const std::string &upstream, const Record &record);
    bool judge(absl::Time now, const std::string &upstream, Record &record,
               const std::vector<std::string> &candidates);
    bool hasRespondedSince(absl::Time since, const std::string &upstream) const;
    std::optional<Comparison> compareOthers(absl::Time now, const std::string &upstream,
                                            absl::Time since,
                                            const std::vector<std::string> &candidates) const;
    bool mayEjectFurther(absl::Time now, const std::vector<std::string> &candidates) const;
    const OutlierDetector *ejection(const std::string &upstream) const;

    std::map<std::string, Record> m_records;
    /// Ejections of upstreams that have not recovered; empty in normal operation.
    std::map<std::string, OutlierDetector> m_ejections;
    /// Beginning of the last suspicion.
    absl::Time m_suspectedAt = absl::InfinitePast();
    /// Latest time until which an upstream is passed over.
    absl::Time m_passedOverUntil = absl::InfinitePast();
    /// Workspace of the last response; absent before the first one.
    std::optional<std::string> m_lastWorkspace;
    /// When a response last was to another workspace than the one before.
    absl::Time m_workspaceChangedAt = absl::InfinitePast();
};

} // namespace rattanrill::policy

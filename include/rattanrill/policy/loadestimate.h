#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace rattanrill::policy {

/// Slowest and fastest plausible pace of an upstream, as a multiple of the usual time of its work.
constexpr double minPace = 0.01;
constexpr double maxPace = 100;

/// Position in the order in which equal upstreams are chosen, before the first grant there. Lower
/// positions go first; a grant moves its upstream behind all others. Differs between processes with
/// different seeds, so that those that decide at the same moment choose different upstreams. Zero
/// for the seed 0.
std::int64_t initialTurn(std::string_view id, std::uint64_t seed);

/// What one process knows of the load of one upstream: the last report with its age, and what this
/// process has sent there since.
///
/// Load pattern: several processes send to the same upstreams, and each learns of the requests of
/// the others only from reports that are late. The requests that a report counted end within about
/// the time for which a request holds its slot; others take their place, but not necessarily there.
///
/// Performs no input or output. Not thread-safe.
class LoadEstimate
{
public:
    /// Records that \a requests ran or waited at the upstream at \a at, of which this process had
    /// sent \a ownRequests.
    void loadReported(absl::Time at, std::int64_t requests, std::int64_t ownRequests);
    /// Records the time that work took on the upstream at \a at, as a multiple of the usual time.
    /// Ignores an implausible value.
    void paceReported(absl::Time at, double pace);
    /// Records that this process sends a request. \a turn: greater than that of each earlier grant.
    void granted(std::int64_t turn);

    void setTurn(std::int64_t turn) { m_turn = turn; }
    std::int64_t turn() const { return m_turn; }
    /// Smoothed pace, which approaches 1 as the last report ages; 1 when none was reported.
    double pace(absl::Time now) const;
    /// Whether the last report still describes the upstream at all.
    bool hasReport(absl::Time now) const;
    /// Requests of other senders that the last report counted.
    double reportedRequests() const { return m_foreignRequests; }
    /// Those of them that are expected to run still, when each holds its slot for \a holdTime.
    double remainingRequests(absl::Time now, absl::Duration holdTime) const;
    /// Whether this process has sent as many requests since the last report as it may. False once
    /// the next report is overdue.
    bool hasSentEnough(absl::Time now) const;

private:
    absl::Time m_reportedAt = absl::InfinitePast();
    double m_foreignRequests = 0;
    std::int64_t m_sentSinceReport = 0;
    absl::Time m_paceAt = absl::InfinitePast();
    double m_pace = 1;
    std::int64_t m_turn = 0;
};

/// Number of requests that other processes are expected to have sent since their last reports to
/// the upstreams of one service. An upstream without a report is assumed to have the mean load.
double expectedArrivals(const std::vector<const LoadEstimate *> &upstreams, absl::Time now,
                        absl::Duration holdTime);

/// An upstream that a request may be sent to.
struct LoadCandidate
{
    /// Expected number of requests there, without expectedArrivals().
    double requests = 0;
    double pace = 1;
    /// Number of requests that an upstream without this disadvantage may have more.
    double penalty = 0;
    /// Goes first among equals.
    bool isNear = false;
    /// The lowest goes first among equals.
    std::int64_t turn = 0;
    /// Chosen only when all candidates have it.
    bool hasSentEnough = false;
};

/// Expected time until one more request would end at the candidate, in units of the usual time of
/// a request that runs alone.
double expectedCost(const LoadCandidate &candidate);

/// Returns the index of the candidate for one request. Without \a arrivals that is the one with the
/// least cost. Otherwise the arrivals and the request are spread over the candidates with the least
/// cost until the costs of these are equal, and a candidate is chosen with the probability of its
/// share: other processes decide by the same reports, and if all took the least one, it would get
/// all arrivals. \a draw: random number in [0, 1). Requires a non-empty list.
std::size_t chooseCandidate(const std::vector<LoadCandidate> &candidates, double arrivals,
                            double draw);

} // namespace rattanrill::policy

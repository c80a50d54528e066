#include "rattanrill/policy/loadestimate.h"

#include "rattanrill/base/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace rattanrill::policy {
namespace {

/// Limits within which a reported pace counts.
constexpr double minUsedPace = 0.25;
constexpr double maxUsedPace = 10;
/// Time over which the reported pace is smoothed. It changes many times a second, much faster than
/// requests end.
constexpr absl::Duration paceSmoothing = absl::Milliseconds(200);
/// Least weight of one report in the smoothed pace, for reports that arrive together.
constexpr double minPaceWeight = 0.1;
/// Time in which the distance of the pace from 1 falls to 1/e, so that an upstream which gets no
/// requests because it was slow, and therefore reports nothing, is tried again.
constexpr absl::Duration paceLifetime = absl::Seconds(1);
/// After this time a report says nothing more; all requests that it counted have ended.
constexpr absl::Duration reportMemory = absl::Seconds(10);
/// Number of requests that one process sends to an upstream between two of its reports.
constexpr std::int64_t maxSentBetweenReports = 2;
/// An upstream that has reported nothing for this long is not held back for the lack of a report.
constexpr absl::Duration maxReportInterval = absl::Seconds(1);
/// Fewer expected arrivals leave the order of the candidates as it is.
constexpr double minArrivals = 1;
/// Factor on the expected arrivals. What others sent in answer to earlier reports is not in the
/// last report either, so exact compensation overshoots and the load swings.
constexpr double arrivalsFactor = 1.5;

/// Fraction of a quantity left after \a age when it falls to 1/e within \a lifetime.
double remainingFraction(absl::Duration age, absl::Duration lifetime)
{
    return std::exp(-absl::FDivDuration(std::max(age, absl::ZeroDuration()), lifetime));
}

/// Candidates with a lower rank go first.
auto rankOf(const LoadCandidate &candidate)
{
    return std::tuple(candidate.hasSentEnough, expectedCost(candidate), !candidate.isNear,
                      candidate.turn);
}

/// Spreads \a total requests over the cheapest of the candidates with \a hasSentEnough, until the
/// costs of these are equal. Returns the one in whose share the fraction \a draw of them falls.
std::optional<std::size_t> chooseByShare(const std::vector<LoadCandidate> &candidates,
                                         bool hasSentEnough, double total, double draw)
{
    std::vector<std::pair<double, std::size_t>> costs;
    costs.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].hasSentEnough == hasSentEnough)
            costs.emplace_back(expectedCost(candidates[i]), i);
    }
    std::sort(costs.begin(), costs.end());
    // The cost that the first candidates reach with all requests.
    double level = std::numeric_limits<double>::infinity();
    double requests = total;
    double speed = 0;
    for (auto next = costs.begin(); next != costs.end() && next->first < level; ++next) {
        const double pace = candidates[next->second].pace;
        requests += next->first / pace;
        speed += 1 / pace;
        level = requests / speed;
    }
    double position = draw * total;
    for (const auto &[cost, index] : costs) {
        position -= (level - cost) / candidates[index].pace;
        if (position < 0)
            return index;
    }
    return std::nullopt;
}

} // namespace

std::int64_t initialTurn(std::string_view id, std::uint64_t seed)
{
    return seed == 0 ? 0 : -static_cast<std::int64_t>(stableHash(id, seed) >> 1);
}

void LoadEstimate::loadReported(absl::Time at, std::int64_t requests, std::int64_t ownRequests)
{
    m_reportedAt = at;
    m_foreignRequests = static_cast<double>(std::max<std::int64_t>(requests - ownRequests, 0));
    m_sentSinceReport = 0;
}

void LoadEstimate::paceReported(absl::Time at, double pace)
{
    const bool isPlausible = pace >= minPace && pace <= maxPace;
    if (!isPlausible)
        return;
    // One figure must not fill an upstream or keep it empty.
    const double sample = std::clamp(pace, minUsedPace, maxUsedPace);
    const double weight =
            std::max(minPaceWeight, 1 - remainingFraction(at - m_paceAt, paceSmoothing));
    const double former = this->pace(at);
    m_pace = former + (sample - former) * weight;
    m_paceAt = at;
}

void LoadEstimate::granted(std::int64_t turn)
{
    m_turn = turn;
    ++m_sentSinceReport;
}

double LoadEstimate::pace(absl::Time now) const
{
    if (m_pace == 1)
        return 1;
    return 1 + (m_pace - 1) * remainingFraction(now - m_paceAt, paceLifetime);
}

bool LoadEstimate::hasReport(absl::Time now) const
{
    return now - m_reportedAt < reportMemory;
}

double LoadEstimate::remainingRequests(absl::Time now, absl::Duration holdTime) const
{
    if (!hasReport(now))
        return 0;
    return m_foreignRequests * remainingFraction(now - m_reportedAt, holdTime * pace(now));
}

bool LoadEstimate::hasSentEnough(absl::Time now) const
{
    return now - m_reportedAt < maxReportInterval && m_sentSinceReport >= maxSentBetweenReports;
}

double expectedArrivals(const std::vector<const LoadEstimate *> &upstreams, absl::Time now,
                        absl::Duration holdTime)
{
    double reported = 0;
    double remaining = 0;
    std::size_t reporting = 0;
    for (const LoadEstimate *upstream : upstreams) {
        if (!upstream->hasReport(now))
            continue;
        ++reporting;
        reported += upstream->reportedRequests();
        remaining += upstream->remainingRequests(now, holdTime);
    }
    if (reporting == 0)
        return 0;
    const double mean = reported / static_cast<double>(reporting);
    return mean * static_cast<double>(upstreams.size()) - remaining;
}

double expectedCost(const LoadCandidate &candidate)
{
    return candidate.pace * (candidate.requests + 1 + candidate.penalty);
}

std::size_t chooseCandidate(const std::vector<LoadCandidate> &candidates, double arrivals,
                            double draw)
{
    const auto first = std::min_element(candidates.begin(), candidates.end(),
                                        [](const LoadCandidate &left, const LoadCandidate &right) {
                                            return rankOf(left) < rankOf(right);
                                        });
    const std::size_t best = static_cast<std::size_t>(first - candidates.begin());
    if (arrivals < minArrivals)
        return best;
    return chooseByShare(candidates, first->hasSentEnough, arrivalsFactor * arrivals + 1, draw)
            .value_or(best);
}

} // namespace rattanrill::policy

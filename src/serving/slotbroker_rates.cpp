#include "rattanrill/serving/slotbroker.h"

#include <algorithm>
#include <utility>

namespace rattanrill::serving {
namespace {

/// Time for which a report of held slots may be under way.
constexpr absl::Duration maxReportDelay = absl::Milliseconds(250);

} // namespace

policy::RateContract SlotBroker::contractOf(const Workspace &workspace) const
{
    return {workspace.ratePerSecond * m_share.rateFraction, workspace.burst * m_share.rateFraction};
}

/// Returns the rate bucket with which a broker starts. It holds half of the rate tolerance, at most
/// the burst, because the previous broker may just have granted the whole burst. The entries report
/// what they know to be left of it.
policy::TokenBucket SlotBroker::initialBucket(const policy::RateContract &contract) const
{
    const double window = absl::ToDoubleSeconds(m_settings.rateWindow);
    const double tolerance =
            m_settings.rateToleranceFraction * (contract.ratePerSecond * window + contract.burst)
            + m_settings.rateToleranceRequests * m_share.rateFraction;
    const double level = std::min(contract.burst, tolerance / 2);
    const absl::Duration fillTime = contract.ratePerSecond > 0
                                            ? absl::Seconds(level / contract.ratePerSecond)
                                            : absl::ZeroDuration();
    return policy::TokenBucket(contract, m_clock.now() - fillTime);
}

/// Returns null when the workspace has no rate limit.
const policy::TokenBucket *SlotBroker::bucket(const std::string &workspace) const
{
    const Workspace *configured = m_deployment ? m_deployment->workspace(workspace) : nullptr;
    if (configured == nullptr || configured->ratePerSecond <= 0)
        return nullptr;
    return &m_buckets.at(workspace);
}

policy::TokenBucket *SlotBroker::bucket(const std::string &workspace)
{
    return const_cast<policy::TokenBucket *>(std::as_const(*this).bucket(workspace));
}

/// Time until the workspace's rate allows the request; absent when it allows it now.
std::optional<absl::Duration> SlotBroker::tokenWait(absl::Time now,
                                                    const wire::SlotRequest &request) const
{
    const policy::TokenBucket *rateBucket =
            request.chargesRate ? bucket(request.workspace) : nullptr;
    if (rateBucket == nullptr || rateBucket->level(now) >= 1)
        return std::nullopt;
    return absl::Seconds((1 - rateBucket->level(now)) / rateBucket->contract().ratePerSecond);
}

/// Returns what the grant of \a id took from the workspace's rate. The requester did not receive
/// the grant in time and charges the request to its local share, of which it sends a report.
void SlotBroker::refundRate(const std::string &id)
{
    const auto found = m_online.find(id);
    if (found == m_online.end() || !found->second.isGranted || !found->second.chargesRate)
        return;
    if (policy::TokenBucket *rateBucket = bucket(found->second.workspace))
        rateBucket->refund(m_clock.now(), 1);
}

void SlotBroker::chargeRates(const std::vector<wire::RateCharge> &charges)
{
    const absl::Time now = m_clock.now();
    for (const wire::RateCharge &charge : charges) {
        policy::TokenBucket *rateBucket = bucket(charge.workspace);
        if (rateBucket != nullptr)
            rateBucket->charge(now, static_cast<double>(charge.requests),
                               now - absl::Milliseconds(charge.ageMs));
    }
}

/// Whether the entry took its share of the bucket when another broker granted the rate, or this one
/// before its last reset.
bool SlotBroker::isFromFormerBroker(const wire::RateCharge &charge) const
{
    return charge.levelAgeMs >= 0
           && m_clock.now() - absl::Milliseconds(charge.levelAgeMs) < m_resetAt + maxReportDelay;
}

/// Corrects the level, which was set as if all entries had the shares with which they start.
void SlotBroker::addShare(const wire::RateCharge &charge)
{
    policy::TokenBucket *rateBucket = bucket(charge.workspace);
    if (rateBucket == nullptr)
        return;
    const absl::Time now = m_clock.now();
    if (charge.levelChange > 0)
        rateBucket->refund(now, charge.levelChange);
    else
        rateBucket->charge(now, -charge.levelChange, now);
}

std::vector<std::string> SlotBroker::limitedWorkspaces() const
{
    std::vector<std::string> names;
    if (!m_deployment)
        return names;
    for (const Workspace &workspace : m_deployment->deployment().workspaces) {
        if (workspace.ratePerSecond > 0)
            names.push_back(workspace.name);
    }
    return names;
}

double SlotBroker::rateLevel(const std::string &workspace) const
{
    return bucket(workspace)->level(m_clock.now());
}

double SlotBroker::initialRateLevel(const std::string &workspace) const
{
    return initialBucket(bucket(workspace)->contract()).level(m_clock.now());
}

void SlotBroker::setRateLevel(const std::string &workspace, double level)
{
    bucket(workspace)->setLevel(m_clock.now(), level);
}

} // namespace rattanrill::serving

#include "rateshares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattanrill::serving {
namespace {

/// Time for which a level is known. Meanwhile the broker may have granted requests of others.
constexpr absl::Duration levelLifetime = absl::Milliseconds(500);
/// Time after which parts that were not used are taken anew. An entry without requests does not
/// notice that the broker has returned.
constexpr absl::Duration maxUnusedTime = absl::Seconds(1);

} // namespace

RateShares::RateShares(const Clock &clock, SlotBroker &localBroker)
    : m_clock(clock)
    , m_localBroker(localBroker)
{}

void RateShares::recordLevel(const std::string &workspace, double level)
{
    if (!std::isfinite(level) || !m_localBroker.hasRateLimit(workspace))
        return;
    m_localBroker.setRateLevel(workspace, level * m_localBroker.share().rateFraction);
    m_recordedAt[workspace] = m_clock.now();
}

bool RateShares::isKnown(const std::string &workspace) const
{
    const auto found = m_recordedAt.find(workspace);
    return found != m_recordedAt.end() && found->second >= m_takenAt - levelLifetime;
}

void RateShares::take()
{
    const absl::Time now = m_clock.now();
    const bool isCurrent = m_isTaken && now - m_usedAt <= maxUnusedTime;
    m_usedAt = now;
    if (isCurrent)
        return;
    m_isTaken = true;
    m_takenAt = now;
    for (const std::string &workspace : m_localBroker.limitedWorkspaces()) {
        const double assumed = m_localBroker.initialRateLevel(workspace);
        if (!isKnown(workspace) && m_localBroker.rateLevel(workspace) > assumed)
            m_localBroker.setRateLevel(workspace, assumed);
    }
}

void RateShares::recordGrant(const std::string &workspace)
{
    Share &share = m_shares[workspace];
    if (share.requests++ == 0)
        share.firstGrantedAt = m_clock.now();
}

void RateShares::handleNewBroker()
{
    for (auto &[workspace, share] : m_shares)
        share.requests = 0;
}

/// A report that is kept has the part of the time at which it was made, unless the entry has taken
/// another one since.
std::vector<wire::RateCharge> RateShares::giveBack()
{
    if (std::exchange(m_isTaken, false))
        recordParts();
    m_recordedAt.clear();
    const absl::Time now = m_clock.now();
    std::vector<wire::RateCharge> charges;
    for (const auto &[workspace, share] : std::exchange(m_shares, {})) {
        wire::RateCharge charge;
        charge.workspace = workspace;
        charge.requests = share.requests;
        if (share.requests > 0)
            charge.ageMs = absl::ToInt64Milliseconds(now - share.firstGrantedAt);
        charge.levelChange = share.levelChange;
        if (share.levelAt != absl::InfinitePast())
            charge.levelAgeMs = absl::ToInt64Milliseconds(now - share.levelAt);
        charges.push_back(std::move(charge));
    }
    return charges;
}

/// Records what is left of the parts that differ from the one with which a bucket starts.
void RateShares::recordParts()
{
    for (const std::string &workspace : m_localBroker.limitedWorkspaces()) {
        const bool isHeard = isKnown(workspace);
        if (!isHeard && m_shares.count(workspace) == 0)
            continue;
        Share &share = m_shares[workspace];
        share.levelChange =
                m_localBroker.rateLevel(workspace) - m_localBroker.initialRateLevel(workspace);
        share.levelAt = isHeard ? m_recordedAt.at(workspace) : m_takenAt;
    }
}

void RateShares::keep(const std::vector<wire::RateCharge> &charges, absl::Time reportedAt)
{
    for (const wire::RateCharge &charge : charges) {
        Share &share = m_shares[charge.workspace];
        share.requests += charge.requests;
        if (charge.requests > 0)
            share.firstGrantedAt =
                    std::min(share.firstGrantedAt, reportedAt - absl::Milliseconds(charge.ageMs));
        if (charge.levelAgeMs < 0 || share.levelAt != absl::InfinitePast())
            continue;
        share.levelChange = charge.levelChange;
        share.levelAt = reportedAt - absl::Milliseconds(charge.levelAgeMs);
    }
}

} // namespace rattanrill::serving

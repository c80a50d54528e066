#include "rateshares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattanrill::serving {
namespace {

/// Time for which a level is known. Meanwhile the broker may have granted requests of others.
constexpr absl::Duration levelLifetime = absl::Milliseconds(500);
/// Time after which shares that were not used are taken anew. An entry without requests does not
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
    Report &report = m_reports[workspace];
    if (report.requests++ == 0)
        report.firstGrantedAt = m_clock.now();
}

void RateShares::handleNewBroker()
{
    for (auto &[workspace, report] : m_reports)
        report.requests = 0;
}

/// A report that was kept has the share of the time at which it was made, unless the entry has
/// taken another one since.
std::vector<wire::RateCharge> RateShares::giveBack()
{
    if (std::exchange(m_isTaken, false))
        recordShares();
    m_recordedAt.clear();
    const absl::Time now = m_clock.now();
    std::vector<wire::RateCharge> charges;
    for (const auto &[workspace, report] : std::exchange(m_reports, {})) {
        wire::RateCharge charge;
        charge.workspace = workspace;
        charge.requests = report.requests;
        if (report.requests > 0)
            charge.ageMs = absl::ToInt64Milliseconds(now - report.firstGrantedAt);
        charge.levelChange = report.levelChange;
        if (report.levelAt != absl::InfinitePast())
            charge.levelAgeMs = absl::ToInt64Milliseconds(now - report.levelAt);
        charges.push_back(std::move(charge));
    }
    return charges;
}

/// Records what is left of the shares that differ from the one that a new broker assumes.
void RateShares::recordShares()
{
    for (const std::string &workspace : m_localBroker.limitedWorkspaces()) {
        const bool isHeard = isKnown(workspace);
        if (!isHeard && m_reports.count(workspace) == 0)
            continue;
        Report &report = m_reports[workspace];
        report.levelChange =
                m_localBroker.rateLevel(workspace) - m_localBroker.initialRateLevel(workspace);
        report.levelAt = isHeard ? m_recordedAt.at(workspace) : m_takenAt;
    }
}

void RateShares::keep(const std::vector<wire::RateCharge> &charges, absl::Time reportedAt)
{
    for (const wire::RateCharge &charge : charges) {
        Report &report = m_reports[charge.workspace];
        report.requests += charge.requests;
        if (charge.requests > 0)
            report.firstGrantedAt =
                    std::min(report.firstGrantedAt, reportedAt - absl::Milliseconds(charge.ageMs));
        if (charge.levelAgeMs < 0 || report.levelAt != absl::InfinitePast())
            continue;
        report.levelChange = charge.levelChange;
        report.levelAt = reportedAt - absl::Milliseconds(charge.levelAgeMs);
    }
}

} // namespace rattanrill::serving

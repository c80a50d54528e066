#include "rattanrill/policy/failureshares.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <utility>

namespace rattanrill::policy {
namespace {

/// Inverse of the largest part of the upstreams that are ejected at the same time.
constexpr std::size_t maxEjectedPart = 3;
/// Decayed number of responses below which an upstream has no recent history.
constexpr double minRecentResponses = 1;
/// A workspace with a lower decayed number of responses is forgotten.
constexpr double minWorkspaceResponses = 0.01;
/// Time after an ejection within which the next one is longer. As long as the longest ejection, so
/// that an upstream that fails rarely after its return is not judged anew each time.
constexpr absl::Duration recoveryTime = absl::Seconds(8);

/// The ejections are short because a retry can still be served elsewhere.
constexpr OutlierSettings ejectionSettings()
{
    OutlierSettings settings;
    settings.firstEjection = absl::Seconds(1);
    settings.maxEjection = absl::Seconds(8);
    settings.rampUpTime = absl::Seconds(2);
    return settings;
}

double median(std::vector<double> values)
{
    const auto middle = std::next(values.begin(), static_cast<std::ptrdiff_t>(values.size() / 2));
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1)
        return *middle;
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

} // namespace

void FailureShares::Counts::addSuccess(const std::string &workspace)
{
    ++successes;
    ++workspaces[workspace].successes;
}

void FailureShares::Counts::addError(const std::string &workspace)
{
    ++errors;
    ++workspaces[workspace].errors;
}

void FailureShares::Counts::decay(double weight)
{
    successes *= weight;
    errors *= weight;
    for (auto entry = workspaces.begin(); entry != workspaces.end();) {
        Outcomes &outcomes = entry->second;
        outcomes.successes *= weight;
        outcomes.errors *= weight;
        const bool isOld = outcomes.responses() < minWorkspaceResponses;
        entry = isOld ? workspaces.erase(entry) : std::next(entry);
    }
}

void FailureShares::Record::endSuspicion()
{
    suspectedAt = absl::InfinitePast();
    sinceSuspicion = Counts();
}

void FailureShares::succeeded(absl::Time now, const std::string &upstream,
                              const std::string &workspace)
{
    recordWorkspace(now, workspace);
    Record &record = decayedRecord(now, upstream);
    record.recent.addSuccess(workspace);
    record.burst.addSuccess(workspace);
    endOldSuspicion(now, record);
    if (record.isSuspected())
        record.sinceSuspicion.addSuccess(workspace);
    forgetOldEjection(now, upstream, record);
}

bool FailureShares::failed(absl::Time now, const std::string &upstream,
                           const std::string &workspace, const std::vector<std::string> &candidates)
{
    recordWorkspace(now, workspace);
    Record &record = decayedRecord(now, upstream);
    forgetOldEjection(now, upstream, record);
    endOldSuspicion(now, record);
    record.failedAt = now;
    record.recent.addError(workspace);
    record.burst.addError(workspace);
    if (record.isSuspected())
        record.sinceSuspicion.addError(workspace);
    const bool isCandidate =
            std::find(candidates.begin(), candidates.end(), upstream) != candidates.end();
    const bool isJudged = isCandidate && candidates.size() > 1 && record.recent.errors >= minErrors
                          && !isEjected(now, upstream);
    if (!isJudged)
        return false;
    return judge(now, upstream, record, candidates);
}

void FailureShares::endOldSuspicion(absl::Time now, Record &record)
{
    if (record.isSuspected() && now - record.failedAt > suspicionLifetime)
        record.endSuspicion();
}

/// Ends the stricter treatment of an upstream that was ejected, once it fails few of its requests
/// or has had none for some time.
void FailureShares::forgetOldEjection(absl::Time now, const std::string &upstream,
                                      const Record &record)
{
    const bool isSound =
            record.recent.responses() < minRecentResponses || record.recent.share() < minExcess;
    if (isSound && now > ejectedUntil(upstream) + recoveryTime)
        m_ejections.erase(upstream);
}

void FailureShares::recordWorkspace(absl::Time now, const std::string &workspace)
{
    if (!m_lastWorkspace)
        m_lastWorkspace = workspace;
    if (workspace == *m_lastWorkspace)
        return;
    m_lastWorkspace = workspace;
    m_workspaceChangedAt = now;
}

/// Returns the outcomes without the workspace with the most errors, if several workspaces use the
/// service and its requests do not fare better elsewhere: the errors may be the fault of these.
FailureShares::Outcomes FailureShares::attributableOutcomes(absl::Time now,
                                                            const std::string &upstream,
                                                            const Counts &counts) const
{
    if (now - m_workspaceChangedAt > suspicionLifetime || counts.workspaces.empty())
        return counts;
    const auto most = std::max_element(counts.workspaces.begin(), counts.workspaces.end(),
                                       [](const auto &left, const auto &right) {
                                           return left.second.errors < right.second.errors;
                                       });
    const Outcomes elsewhere = outcomesElsewhere(now, upstream, most->first);
    const bool isFaultOfUpstream = elsewhere.successes >= minErrors
                                   && most->second.share() >= elsewhere.share() + minExcess;
    if (isFaultOfUpstream)
        return counts;
    Outcomes result = counts;
    result.successes = std::max(result.successes - most->second.successes, 0.0);
    result.errors = std::max(result.errors - most->second.errors, 0.0);
    return result;
}

/// Recent responses of the other upstreams to requests of \a workspace.
FailureShares::Outcomes FailureShares::outcomesElsewhere(absl::Time now,
                                                         const std::string &upstream,
                                                         const std::string &workspace) const
{
    Outcomes sum;
    for (const auto &[id, record] : m_records) {
        if (id == upstream || now - record.respondedAt > suspicionLifetime)
            continue;
        const auto found = record.recent.workspaces.find(workspace);
        if (found == record.recent.workspaces.end())
            continue;
        sum.successes += found->second.successes;
        sum.errors += found->second.errors;
    }
    return sum;
}

/// Whether the share of errors exceeds that of the others by more than chance.
bool FailureShares::isOutlier(const Outcomes &outcomes, const Comparison &others)
{
    if (outcomes.responses() <= 0 || others.responses <= 0)
        return false;
    const double expected = (outcomes.errors + others.medianShare * others.responses)
                            / (outcomes.responses() + others.responses);
    const double deviation = std::sqrt(expected * (1 - expected)
                                       * (1 / outcomes.responses() + 1 / others.responses));
    return outcomes.share() >= others.medianShare + std::max(minExcess, minDeviations * deviation);
}

bool FailureShares::judge(absl::Time now, const std::string &upstream, Record &record,
                          const std::vector<std::string> &candidates)
{
    // An upstream that failed until a moment ago does not need to be suspected anew.
    const bool isRelapse = ejection(upstream) != nullptr;
    if (!isRelapse && !record.isSuspected()) {
        record.suspectedAt = m_suspectedAt = now;
        record.sinceSuspicion = Counts();
    }
    const absl::Time since =
            isRelapse ? std::max(record.suspectedAt, now - suspicionLifetime) : record.suspectedAt;
    const std::optional<Comparison> others = compareOthers(now, upstream, since, candidates);
    record.passedOverUntil = others ? now : now + passOverTime;
    m_passedOverUntil = std::max(m_passedOverUntil, record.passedOverUntil);
    if (!others)
        return false;
    const Outcomes recent = attributableOutcomes(now, upstream, record.recent);
    const Outcomes sinceSuspicion = attributableOutcomes(now, upstream, record.sinceSuspicion);
    const bool isConfirmed = isRelapse
                             || (recent.errors >= minErrors && sinceSuspicion.errors >= minErrors
                                 && now - record.suspectedAt >= confirmationTime);
    if (!isConfirmed)
        return false;
    const bool isFailing =
            isOutlier(recent, *others) && (isRelapse || isOutlier(sinceSuspicion, *others));
    if (!isFailing) {
        record.endSuspicion();
        return false;
    }
    if (!mayEjectFurther(now, candidates))
        return false;
    m_ejections.try_emplace(upstream, ejectionSettings()).first->second.failed(now, true);
    return true;
}

void FailureShares::retain(const std::set<std::string> &upstreams)
{
    const auto removeOthers = [&](auto &entries) {
        for (auto entry = entries.begin(); entry != entries.end();) {
            const bool isListed = upstreams.count(entry->first) != 0;
            entry = isListed ? std::next(entry) : entries.erase(entry);
        }
    };
    removeOthers(m_records);
    removeOthers(m_ejections);
}

bool FailureShares::isEjected(absl::Time now, const std::string &upstream) const
{
    return now < ejectedUntil(upstream);
}

absl::Time FailureShares::ejectedUntil(const std::string &upstream) const
{
    const OutlierDetector *detector = ejection(upstream);
    return detector == nullptr ? absl::InfinitePast() : detector->ejectedUntil();
}

double FailureShares::trafficShare(absl::Time now, const std::string &upstream) const
{
    const OutlierDetector *detector = ejection(upstream);
    return detector == nullptr ? 1 : detector->trafficShare(now);
}

double FailureShares::usableShare(absl::Time now, const std::string &upstream) const
{
    return isEjected(now, upstream) ? 1 : trafficShare(now, upstream);
}

bool FailureShares::isSuspected(absl::Time now, const std::string &upstream) const
{
    if (now >= m_passedOverUntil)
        return false;
    const auto found = m_records.find(upstream);
    return found != m_records.end() && now < found->second.passedOverUntil;
}

bool FailureShares::hasRespondedSinceSuspicion(absl::Time now, const std::string &upstream) const
{
    return now < m_passedOverUntil && hasRespondedSince(m_suspectedAt, upstream);
}

bool FailureShares::hasRespondedSince(absl::Time since, const std::string &upstream) const
{
    const auto found = m_records.find(upstream);
    return found != m_records.end() && found->second.respondedAt >= since;
}

FailureShares::Record &FailureShares::decayedRecord(absl::Time now, const std::string &upstream)
{
    Record &record = m_records[upstream];
    // What led to an ejection is no evidence of a relapse.
    if (const absl::Time until = ejectedUntil(upstream); record.respondedAt < until && now >= until)
        record.recent = record.burst = Counts();
    const absl::Duration age = now - record.respondedAt;
    record.burst.decay(std::exp2(-absl::FDivDuration(age, burstHalfLife)));
    record.recent.decay(std::exp2(-absl::FDivDuration(age, halfLife)));
    record.recent.decay(std::min(maxResponses / std::max(record.recent.responses(), 1.0), 1.0));
    record.respondedAt = now;
    return record;
}

/// Compares with the others that have responded since \a since: their median share in the longer or
/// the shorter counts, whichever is higher. Absent unless they are two thirds of the others: at
/// most a third are ejected, so the median is then none of theirs.
std::optional<FailureShares::Comparison>
FailureShares::compareOthers(absl::Time now, const std::string &upstream, absl::Time since,
                             const std::vector<std::string> &candidates) const
{
    Comparison comparison;
    std::vector<double> recent;
    std::vector<double> burst;
    std::size_t others = 0;
    for (const std::string &candidate : candidates) {
        if (candidate == upstream)
            continue;
        const bool isShareKnown = hasRespondedSince(since, candidate);
        // An ejected upstream can't respond.
        others += isShareKnown || !isEjected(now, candidate) ? 1 : 0;
        if (!isShareKnown)
            continue;
        const Record &record = m_records.at(candidate);
        comparison.responses += record.recent.responses();
        recent.push_back(record.recent.share());
        burst.push_back(record.burst.share());
    }
    if (recent.empty() || recent.size() * 3 < others * 2)
        return std::nullopt;
    comparison.medianShare = std::max(median(std::move(recent)), median(std::move(burst)));
    return comparison;
}

bool FailureShares::mayEjectFurther(absl::Time now,
                                    const std::vector<std::string> &candidates) const
{
    const auto ejected = static_cast<std::size_t>(
            std::count_if(candidates.begin(), candidates.end(),
                          [&](const std::string &id) { return isEjected(now, id); }));
    return ejected < std::max<std::size_t>(candidates.size() / maxEjectedPart, 1);
}

const OutlierDetector *FailureShares::ejection(const std::string &upstream) const
{
    if (m_ejections.empty())
        return nullptr;
    const auto found = m_ejections.find(upstream);
    return found == m_ejections.end() ? nullptr : &found->second;
}

} // namespace rattanrill::policy

#include "rattanrill/serving/crashguard.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include <algorithm>
#include <utility>

namespace rattanrill::serving {
namespace {

constexpr absl::Duration reportRetryDelay = absl::Milliseconds(50);
/// Number of crashes that are kept while the leader cannot be reached; further ones are dropped.
constexpr std::size_t maxPendingCrashes = 256;
/// Number of parts of reported crashes whose next response is reported even if the leader does not
/// name them as suspects.
constexpr std::size_t maxOwnSuspects = 1024;

} // namespace

std::string fingerprintOf(const std::string &workspace, const net::Request &request)
{
    const std::string resource =
            concat(request.method, " ", request.headers.value("Host"), request.target);
    return requestFingerprint(workspace, resource, request.body);
}

CrashGuard::CrashGuard(TimerService &timers, const Clock &clock, std::string instance,
                       Reporter reporter)
    : m_timers(timers)
    , m_clock(clock)
    , m_instance(std::move(instance))
    , m_reporter(std::move(reporter))
{}

CrashGuard::~CrashGuard()
{
    if (m_retryTimer != 0)
        m_timers.unsubscribe(m_retryTimer);
}

void CrashGuard::setBlocks(const std::vector<wire::BlockedPrompt> &blocks,
                           const std::vector<std::string> &suspects)
{
    m_blocks.clear();
    for (const wire::BlockedPrompt &block : blocks)
        m_blocks.emplace_back(block.parts.begin(), block.parts.end());
    m_suspects = std::set<std::string>(suspects.begin(), suspects.end());
}

bool CrashGuard::isBlocked(const std::vector<std::string> &parts) const
{
    const std::set<std::string> sorted(parts.begin(), parts.end());
    return std::any_of(m_blocks.begin(), m_blocks.end(), [&sorted](const auto &block) {
        return !block.empty()
               && std::includes(sorted.begin(), sorted.end(), block.begin(), block.end());
    });
}

void CrashGuard::recordCrash(const std::string &upstream, const std::vector<std::string> &parts,
                             absl::Time sentAt, absl::Time crashedAt)
{
    if (parts.empty())
        return;
    if (m_crashes.size() < maxPendingCrashes)
        m_crashes.push_back({upstream, parts, sentAt, crashedAt});
    if (m_ownSuspects.size() + parts.size() <= maxOwnSuspects)
        m_ownSuspects.insert(parts.begin(), parts.end());
    report();
}

void CrashGuard::recordBegun(const std::vector<std::string> &parts)
{
    bool isEvidence = false;
    for (const std::string &part : parts) {
        const bool isOwnSuspect = m_ownSuspects.erase(part) > 0;
        if (!isOwnSuspect && m_suspects.count(part) == 0)
            continue;
        m_begun[part] = m_clock.now();
        isEvidence = true;
    }
    if (isEvidence)
        report();
}

wire::PromptEvidence CrashGuard::makeEvidence() const
{
    const absl::Time now = m_clock.now();
    wire::PromptEvidence evidence;
    evidence.instance = m_instance;
    for (const Crash &crash : m_crashes)
        evidence.crashes.push_back({crash.upstream, crash.parts,
                                    absl::ToInt64Milliseconds(now - crash.sentAt),
                                    absl::ToInt64Milliseconds(now - crash.crashedAt)});
    for (const auto &[part, beganAt] : m_begun)
        evidence.begun.push_back({part, absl::ToInt64Milliseconds(now - beganAt)});
    return evidence;
}

/// Sends all evidence that the leader has not received, one report at a time.
void CrashGuard::report()
{
    if (m_isReporting || m_retryTimer != 0 || (m_crashes.empty() && m_begun.empty()))
        return;
    m_isReporting = true;
    m_reporter(makeEvidence(), [this, alive = std::weak_ptr<bool>(m_alive),
                                crashes = m_crashes.size(), begun = m_begun](bool isReceived) {
        if (!alive.expired())
            handleReported(crashes, begun, isReceived);
    });
}

/// Drops the evidence that the leader has received. The leader counts a crash once even if it is
/// reported again, so a lost response does no harm.
void CrashGuard::handleReported(std::size_t crashes, const std::map<std::string, absl::Time> &begun,
                                bool isReceived)
{
    m_isReporting = false;
    if (!isReceived) {
        m_retryTimer = m_timers.subscribeOnce(reportRetryDelay, [this] {
            m_retryTimer = 0;
            report();
        });
        return;
    }
    const std::size_t received = std::min(crashes, m_crashes.size());
    m_crashes.erase(m_crashes.begin(), m_crashes.begin() + static_cast<std::ptrdiff_t>(received));
    for (const auto &[part, beganAt] : begun) {
        const auto found = m_begun.find(part);
        if (found != m_begun.end() && found->second == beganAt)
            m_begun.erase(found);
    }
    report();
}

} // namespace rattanrill::serving

#include "rattanrill/fleet/retirementmonitor.h"

#include "rattanrill/base/logger.h"

#include "absl/algorithm/container.h"

#include <algorithm>
#include <utility>

namespace rattanrill::fleet {
namespace {

constexpr absl::Duration checkPeriod = absl::Milliseconds(200);

} // namespace

RetirementMonitor::RetirementMonitor(TimerService &timers, MembershipSource readMembership,
                                     std::function<void()> onRetired)
    : m_timers(timers)
    , m_readMembership(std::move(readMembership))
    , m_onRetired(std::move(onRetired))
{}

RetirementMonitor::~RetirementMonitor()
{
    setActive(false);
}

void RetirementMonitor::setActive(bool isActive)
{
    if (m_timer != 0)
        m_timers.unsubscribe(std::exchange(m_timer, 0));
    if (isActive)
        m_timer = m_timers.subscribeEvery(checkPeriod, [this] { check(); });
}

void RetirementMonitor::setRetiringStores(const std::vector<std::string> &replicas)
{
    m_retiring = replicas;
    const auto isCompleted = [&](const std::string &replica) {
        return !absl::c_linear_search(replicas, replica);
    };
    m_retired.erase(std::remove_if(m_retired.begin(), m_retired.end(), isCompleted),
                    m_retired.end());
}

void RetirementMonitor::check()
{
    std::vector<std::string> unknown;
    for (const std::string &replica : m_retiring) {
        if (!absl::c_linear_search(m_retired, replica))
            unknown.push_back(replica);
    }
    if (unknown.empty() || m_isReading)
        return;
    m_isReading = true;
    // A store whose retirement becomes known during the read may have been added after it.
    m_readMembership([weak = weak_from_this(), checked = std::move(unknown)](
                             const Outcome<std::vector<replication::ReplicaId>> &membership) {
        if (const auto self = weak.lock())
            self->handleMembership(checked, membership);
    });
}

void RetirementMonitor::handleMembership(
        const std::vector<std::string> &checked,
        const Outcome<std::vector<replication::ReplicaId>> &membership)
{
    m_isReading = false;
    if (!membership.ok()) {
        const Failure &failure = membership.failure();
        if (std::exchange(m_lastFailure, failure.code) != failure.code)
            log(LogLevel::Info, "retirement-check-failed",
                {{"code", name(failure.code)}, {"detail", failure.detail}});
        return;
    }
    m_lastFailure.reset();
    const std::size_t previousCount = m_retired.size();
    for (const std::string &replica : checked) {
        if (absl::c_linear_search(membership.value(), replica))
            continue;
        m_retired.push_back(replica);
        log(LogLevel::Info, "store-retired",
            {{"replica", replica},
             {"replicas", static_cast<std::int64_t>(membership.value().size())}});
    }
    if (m_retired.size() > previousCount)
        m_onRetired();
}

} // namespace rattanrill::fleet

#include "rattanrill/policy/passoverrule.h"

namespace rattanrill::policy {

PassOverRule::PassOverRule(absl::Time now, const FailureShares &failures)
    : m_now(now)
    , m_failures(failures)
    , m_isActive(failures.isAnySuspected(now))
{}

void PassOverRule::addOpen(const std::string &upstream, bool isIdle)
{
    if (!m_isActive || m_failures.isSuspected(m_now, upstream))
        return;
    m_hasOther = true;
    if (isIdle && !m_failures.hasRespondedSinceSuspicion(m_now, upstream))
        m_hasIdleWithoutResponse = true;
}

bool PassOverRule::isPassedOver(const std::string &upstream) const
{
    if (!m_isActive)
        return false;
    if (m_hasOther && m_failures.isSuspected(m_now, upstream))
        return true;
    return m_hasIdleWithoutResponse && m_failures.hasRespondedSinceSuspicion(m_now, upstream);
}

} // namespace rattanrill::policy

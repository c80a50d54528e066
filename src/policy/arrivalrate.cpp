#include "arrivalrate.h"

#include <cmath>

namespace rattanrill::policy {

ArrivalRate::ArrivalRate(absl::Duration timeConstant)
    : m_timeConstant(timeConstant)
{}

void ArrivalRate::arrived(absl::Time now)
{
    m_rate = perSecond(now) + 1 / absl::ToDoubleSeconds(m_timeConstant);
    m_updated = now;
}

double ArrivalRate::perSecond(absl::Time now) const
{
    if (m_updated == absl::InfinitePast())
        return 0;
    return m_rate * std::exp(-absl::FDivDuration(now - m_updated, m_timeConstant));
}

} // namespace rattanrill::policy

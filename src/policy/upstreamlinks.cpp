#include "rattanrill/policy/upstreamlinks.h"

#include <algorithm>

namespace rattanrill::policy {

bool UpstreamLinks::canConnect() const
{
    const std::size_t limit = std::clamp(m_upstreamCount / 2 + 1, minUpstreams, maxUnreachable);
    return m_unreachable.size() < limit;
}

void UpstreamLinks::received()
{
    m_silent.clear();
}

/// A handshake needs the link in both directions, so it also ends a silence.
void UpstreamLinks::connected()
{
    m_silent.clear();
    m_unreachable.clear();
}

void UpstreamLinks::broken(const std::string &upstream)
{
    m_silent.insert(upstream);
}

void UpstreamLinks::notConnected(const std::string &upstream)
{
    m_unreachable.insert(upstream);
}

} // namespace rattanrill::policy

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
    m_broken.clear();
}

/// A handshake needs the link in both directions, so established connections are expected to work,
/// too.
void UpstreamLinks::connected()
{
    m_broken.clear();
    m_unreachable.clear();
}

void UpstreamLinks::broken(const std::string &upstream)
{
    m_broken.insert(upstream);
}

void UpstreamLinks::unanswered(const std::string &upstream)
{
    m_broken.insert(upstream);
    m_unreachable.insert(upstream);
}

void UpstreamLinks::notConnected(const std::string &upstream)
{
    m_unreachable.insert(upstream);
}

} // namespace rattanrill::policy

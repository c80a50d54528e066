#include "rattanrill/policy/upstreamlinks.h"

#include "rattanrill/base/enumnames.h"

#include <algorithm>
#include <array>

namespace rattanrill::policy {
namespace {

constexpr std::array<EnumName<LinkState>, 3> linkStateNames = {{
        {LinkState::Working, "working"},
        {LinkState::Unanswered, "unanswered"},
        {LinkState::Lost, "lost"},
}};

constexpr std::array<EnumName<LinkEvidence>, 5> linkEvidenceNames = {{
        {LinkEvidence::Acknowledged, "acknowledged"},
        {LinkEvidence::NotAcknowledged, "not_acknowledged"},
        {LinkEvidence::Pending, "pending"},
        {LinkEvidence::Unknown, "unknown"},
        {LinkEvidence::Unavailable, "unavailable"},
}};

} // namespace

std::string_view name(LinkState state)
{
    return nameOf(linkStateNames, state);
}

std::optional<LinkState> linkStateFromName(std::string_view name)
{
    return valueOf(linkStateNames, name);
}

std::string_view name(LinkEvidence evidence)
{
    return nameOf(linkEvidenceNames, evidence);
}

std::optional<LinkEvidence> linkEvidenceFromName(std::string_view name)
{
    return valueOf(linkEvidenceNames, name);
}

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

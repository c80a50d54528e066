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

std::size_t UpstreamLinks::Failures::total() const
{
    const auto isUncertain = [this](const std::string &upstream) {
        return failed.count(upstream) == 0;
    };
    return failed.size()
           + static_cast<std::size_t>(
                   std::count_if(unanswered.begin(), unanswered.end(), isUncertain));
}

void UpstreamLinks::Failures::clear()
{
    failed.clear();
    unanswered.clear();
}

/// Number of upstreams at which new connections fail when the links are lost.
std::size_t UpstreamLinks::maxNotConnected() const
{
    return std::clamp(m_upstreamCount / 2 + 1, minUpstreams, maxUnreachable);
}

LinkState UpstreamLinks::state() const
{
    if (isEstablishedLost() || m_connecting.failed.size() >= maxNotConnected())
        return LinkState::Lost;
    return isCutOff() ? LinkState::Unanswered : LinkState::Working;
}

void UpstreamLinks::received()
{
    m_established.clear();
}

/// A handshake needs the link in both directions, so established connections are expected to work,
/// too.
void UpstreamLinks::connected()
{
    m_established.clear();
    m_connecting.clear();
}

void UpstreamLinks::broken(const std::string &upstream)
{
    m_established.failed.insert(upstream);
}

void UpstreamLinks::unanswered(const std::string &upstream, LinkEvidence evidence)
{
    switch (evidence) {
    case LinkEvidence::Acknowledged:
        received();
        m_connecting.failed.erase(upstream);
        m_connecting.unanswered.erase(upstream);
        break;
    case LinkEvidence::NotAcknowledged:
        m_established.failed.insert(upstream);
        m_connecting.unanswered.insert(upstream);
        break;
    case LinkEvidence::Pending:
        break;
    case LinkEvidence::Unknown:
        m_established.unanswered.insert(upstream);
        m_connecting.unanswered.insert(upstream);
        break;
    case LinkEvidence::Unavailable:
        m_established.failed.insert(upstream);
        m_connecting.failed.insert(upstream);
        break;
    }
}

void UpstreamLinks::notConnected(const std::string &upstream)
{
    m_connecting.failed.insert(upstream);
}

} // namespace rattanrill::policy

#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace rattanrill::policy {

/// What a process knows of its links to the upstreams.
enum class LinkState {
    /// Nothing speaks against new connections.
    Working,
    /// New connections are not answered. The links may be lost, or the upstreams may have paused
    /// and their accept queues be full.
    Unanswered,
    /// Established connections have failed, or new ones are refused.
    Lost,
};

/// What established connections to an upstream show while a new one is not answered.
enum class LinkEvidence {
    /// Something arrived from the upstream's system after the new connection was attempted.
    Acknowledged,
    /// Something that was sent has not been acknowledged in time.
    NotAcknowledged,
    /// Something that was sent has not been acknowledged yet.
    Pending,
    /// Nothing was sent that would have to be acknowledged by now, or there is no connection.
    Unknown,
    /// The own system does not tell.
    Unavailable,
};

std::string_view name(LinkEvidence evidence);
std::optional<LinkEvidence> linkEvidenceFromName(std::string_view name);
std::string_view name(LinkState state);
std::optional<LinkState> linkStateFromName(std::string_view name);

/// Tells whether a process has lost its links to the upstreams, from what happens to its own
/// connections.
///
/// An upstream that fails and a link that is cut look the same to a single attempt. They differ in
/// what other upstreams do meanwhile: a process whose attempts fail at several different ones,
/// without a byte from any upstream in between, takes itself for cut off. Established connections
/// may live on while new ones fail, so both are judged apart. Upstreams that crash together look
/// like a cut for a moment, until a byte arrives or a connection is established.
///
/// The silence of upstreams is no failure: several of them may pause at once, and then continue
/// their responses. It counts only where a new connection fails as well, because the operating
/// system of an upstream that pauses accepts connections.
///
/// A process that knows fewer upstreams than minUpstreams never counts as cut off.
///
/// Performs no input or output. Not thread-safe.
class UpstreamLinks
{
public:
    /// Number of upstreams at which attempts must have failed.
    static constexpr std::size_t minUpstreams = 4;
    /// New connections are few, so that those to upstreams which crashed together may follow each
    /// other. They must fail at more than half of the upstreams, but not at more than this number.
    static constexpr std::size_t maxUnreachable = 8;

    /// Sets the number of upstreams that requests can be sent to.
    void setUpstreamCount(std::size_t count) { m_upstreamCount = count; }
    /// A part of a response arrived.
    void received();
    /// A new connection was established.
    void connected();
    /// An established connection broke.
    void broken(const std::string &upstream);
    /// A new connection was neither established nor refused in time, so nothing responds at all.
    void unanswered(const std::string &upstream);
    /// No connection could be established, which says nothing about established ones.
    void notConnected(const std::string &upstream);

    /// Whether established connections work.
    bool canReceive() const { return m_broken.size() < minUpstreams; }
    /// Whether new connections can be established.
    bool canConnect() const;
    /// Whether requests on new connections are expected to fail.
    bool isCutOff() const { return !canReceive() || !canConnect(); }
    LinkState state() const { return isCutOff() ? LinkState::Lost : LinkState::Working; }
    /// Whether attempts have failed and a new connection would tell whether the links are lost.
    bool isSuspect() const { return m_broken.size() > 1 || m_unreachable.size() > 1; }
    /// Number of upstreams at which attempts on established connections have failed.
    std::size_t brokenCount() const { return m_broken.size(); }
    /// Number of upstreams that could not be connected to.
    std::size_t unreachableCount() const { return m_unreachable.size(); }
    bool hasFailed(const std::string &upstream) const
    {
        return m_broken.count(upstream) != 0 || m_unreachable.count(upstream) != 0;
    }

private:
    std::size_t m_upstreamCount = 0;
    /// Upstreams at which attempts have failed since the last received byte.
    std::set<std::string> m_broken;
    /// Upstreams that could not be connected to since the last established connection.
    std::set<std::string> m_unreachable;
};

} // namespace rattanrill::policy

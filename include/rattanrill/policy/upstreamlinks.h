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
    /// Established connections have broken or are not acknowledged, or new ones are refused.
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
/// their responses. The operating system of an upstream that pauses accepts connections until the
/// accept queue is full; then it answers new ones as little as a link that is cut does, but still
/// acknowledges what is sent on established ones. So a new connection that is not answered is
/// judged by the established ones.
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
    /// A new connection was neither established nor refused in time, or the evidence of the
    /// established ones has changed since.
    void unanswered(const std::string &upstream, LinkEvidence evidence);
    /// No connection could be established, which says nothing about established ones.
    void notConnected(const std::string &upstream);

    /// Whether established connections work, as far as this is known.
    bool canReceive() const { return m_established.total() < minUpstreams; }
    /// Whether established connections have broken or are not acknowledged.
    bool isEstablishedLost() const { return m_established.failed.size() >= minUpstreams; }
    /// Whether new connections can be established.
    bool canConnect() const { return m_connecting.total() < maxNotConnected(); }
    /// Whether requests on new connections are expected to fail.
    bool isCutOff() const { return !canReceive() || !canConnect(); }
    LinkState state() const;
    /// Whether attempts have failed and a new connection would tell whether the links are lost.
    bool isSuspect() const { return m_established.total() > 1 || m_connecting.total() > 1; }
    /// Number of upstreams at which established connections have broken or are not acknowledged.
    std::size_t brokenCount() const { return m_established.failed.size(); }
    /// Number of upstreams that could not be connected to or did not answer.
    std::size_t unreachableCount() const { return m_connecting.total(); }
    bool hasFailed(const std::string &upstream) const
    {
        return m_established.contains(upstream) || m_connecting.contains(upstream);
    }

private:
    /// Upstreams at which connections of one kind do not work.
    struct Failures
    {
        /// Of which this is certain.
        std::set<std::string> failed;
        /// Which do not answer new connections, so that it is possible.
        std::set<std::string> unanswered;

        std::size_t total() const;
        bool contains(const std::string &upstream) const
        {
            return failed.count(upstream) != 0 || unanswered.count(upstream) != 0;
        }
        void clear();
    };

    std::size_t maxNotConnected() const;

    std::size_t m_upstreamCount = 0;
    /// Failures since the last received byte or acknowledgement.
    Failures m_established;
    /// Failures of new connections since the last one that was established.
    Failures m_connecting;
};

} // namespace rattanrill::policy

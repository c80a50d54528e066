#pragma once

#include "rattanrill/peer/transport.h"

#include <string>

namespace rattanrill::peer {

/// Server side of the hello exchange (see ClientHello).
class ServerHello
{
public:
    ServerHello(const PeerIdentity &self, const std::string &clusterSecret);

    /// Processes the next hello envelope and returns the frame to send. Fails with
    /// AuthenticationFailed, UnsupportedVersion or MalformedMessage.
    Result<std::string> receive(const wire::Envelope &envelope);
    bool done() const { return m_state == State::Done; }
    /// Identity of the client. It is authenticated only when done() is true.
    const PeerIdentity &peer() const { return m_peer; }

private:
    enum class State {
        AwaitingOpening,
        AwaitingProof,
        Done,
    };

    std::string makeChallenge(const wire::HelloMessage &opening);
    Result<std::string> verifyProof(const wire::HelloMessage &clientHello);

    const std::string m_clusterSecret;
    wire::HelloMessage m_ownHello;
    std::string m_clientNonce;
    PeerIdentity m_peer;
    State m_state = State::AwaitingOpening;
};

} // namespace rattanrill::peer

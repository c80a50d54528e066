#pragma once

#include "rattanrill/peer/transport.h"

#include <string>

namespace rattanrill::peer {

/// Client end of the hello exchange: opening, challenge, proof, acceptance.
class ClientHello
{
public:
    ClientHello(const PeerIdentity &self, const std::string &clusterSecret);

    /// First frame to send. It contains the nonce of this process.
    std::string opening() const;
    /// Processes the next hello envelope and returns the frame to send, which is empty when the
    /// exchange is complete. Fails with AuthenticationFailed, UnsupportedVersion or
    /// MalformedMessage.
    Result<std::string> receive(const wire::Envelope &envelope);
    bool done() const { return m_state == State::Done; }

private:
    enum class State {
        AwaitingChallenge,
        AwaitingAcceptance,
        Done,
    };

    Result<std::string> prove(const wire::HelloMessage &challenge);

    const std::string m_clusterSecret;
    wire::HelloMessage m_ownHello;
    State m_state = State::AwaitingChallenge;
};

} // namespace rattanrill::peer

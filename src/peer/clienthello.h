#pragma once

#include "rattanrill/peer/transport.h"

#include <string>

namespace rattanrill::peer {

/// Client side of the hello exchange. Its four messages are the opening of the client, the
/// challenge of the server, the proof of the client, and the acceptance of the server.
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

    /// Verifies the proof of the server and returns the frame with the proof of the client.
    Result<std::string> verifyChallenge(const wire::HelloMessage &challenge);

    const std::string m_clusterSecret;
    wire::HelloMessage m_ownHello;
    State m_state = State::AwaitingChallenge;
};

} // namespace rattanrill::peer

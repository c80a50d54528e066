#include "serverhello.h"

#include "helloproof.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

namespace rattanrill::peer {

ServerHello::ServerHello(const PeerIdentity &self, const std::string &clusterSecret)
    : m_clusterSecret(clusterSecret)
    , m_ownHello(makeHello(self))
{}

Result<std::string> ServerHello::receive(const wire::Envelope &envelope)
{
    BOOST_LEAF_AUTO(message, decodeHello(envelope));
    if (m_state == State::AwaitingOpening)
        return makeChallenge(message);
    return verifyProof(message);
}

std::string ServerHello::makeChallenge(const wire::HelloMessage &opening)
{
    m_clientNonce = opening.nonce;
    m_peer = PeerIdentity{opening.instance, opening.failureDomain, opening.role};
    m_ownHello.proof = helloProof(m_clusterSecret, HelloSide::Server, opening.nonce, m_ownHello);
    m_state = State::AwaitingProof;
    return helloFrame(m_ownHello);
}

Result<std::string> ServerHello::verifyProof(const wire::HelloMessage &clientHello)
{
    const std::string expected =
            helloProof(m_clusterSecret, HelloSide::Client, m_ownHello.nonce, clientHello);
    const bool sameNonce = clientHello.nonce == m_clientNonce;
    if (!sameNonce || !constantTimeEquals(expected, clientHello.proof))
        return fail(notRun(ErrorCode::AuthenticationFailed,
                           concat("instance \"", clientHello.instance,
                                  "\" did not prove that it has the cluster secret")));
    m_peer = PeerIdentity{clientHello.instance, clientHello.failureDomain, clientHello.role};
    m_state = State::Done;
    return helloFrame(wire::HelloMessage{});
}

} // namespace rattanrill::peer

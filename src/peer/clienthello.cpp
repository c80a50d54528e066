#include "clienthello.h"

#include "helloproof.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

namespace rattanrill::peer {

ClientHello::ClientHello(const PeerIdentity &self, const std::string &clusterSecret)
    : m_clusterSecret(clusterSecret)
    , m_ownHello(makeHello(self))
{}

std::string ClientHello::opening() const
{
    return helloFrame(m_ownHello);
}

Result<std::string> ClientHello::receive(const wire::Envelope &envelope)
{
    BOOST_LEAF_AUTO(message, decodeHello(envelope));
    if (m_state == State::AwaitingChallenge)
        return verifyChallenge(message);
    m_state = State::Done;
    return std::string();
}

Result<std::string> ClientHello::verifyChallenge(const wire::HelloMessage &challenge)
{
    const std::string expected =
            helloProof(m_clusterSecret, HelloSide::Server, m_ownHello.nonce, challenge);
    if (!constantTimeEquals(expected, challenge.proof))
        return fail(
                notRun(ErrorCode::AuthenticationFailed,
                       concat("instance \"", challenge.instance,
                              "\" did not prove to the client that it has the cluster secret")));
    m_ownHello.proof = helloProof(m_clusterSecret, HelloSide::Client, challenge.nonce, m_ownHello);
    m_state = State::AwaitingAcceptance;
    return helloFrame(m_ownHello);
}

} // namespace rattanrill::peer

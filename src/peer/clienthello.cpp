#include "clienthello.h"

#include "helloproof.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

namespace rattanrill::peer {

ClientHello::ClientHello(const PeerIdentity &self, const std::string &clusterSecret)
    : m_clusterSecret(clusterSecret)
    , m_own(makeHello(self))
{}

std::string ClientHello::opening() const
{
    return helloFrame(m_own);
}

Result<std::string> ClientHello::receive(const wire::Envelope &envelope)
{
    BOOST_LEAF_AUTO(message, helloOf(envelope));
    if (m_state == State::AwaitingChallenge)
        return prove(message);
    m_state = State::Done;
    return std::string();
}

Result<std::string> ClientHello::prove(const wire::HelloMessage &challenge)
{
    const std::string expected =
            helloProof(m_clusterSecret, HelloSide::Server, m_own.nonce, challenge);
    if (!constantTimeEquals(expected, challenge.proof))
        return fail(notRun(ErrorCode::AuthenticationFailed,
                           concat("instance \"", challenge.instance,
                                  "\" did not prove the cluster secret to its client")));
    m_own.proof = helloProof(m_clusterSecret, HelloSide::Client, challenge.nonce, m_own);
    m_state = State::AwaitingAcceptance;
    return helloFrame(m_own);
}

} // namespace rattanrill::peer

#include "clienthello.h"
#include "helloproof.h"
#include "serverhello.h"

#include "rattanrill/wire/codec.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::peer;

namespace {

const PeerIdentity clientIdentity{"entry-1", "d1", "entry"};
const PeerIdentity serverIdentity{"control-1", "d2", "control"};

wire::Envelope envelopeOf(const std::string &frame)
{
    const auto envelope = outcomeOf([&] { return wire::decode<wire::Envelope>(frame); });
    BOOST_REQUIRE(envelope.ok());
    return envelope.value();
}

template <typename Hello>
Outcome<std::string> receive(Hello &hello, const std::string &frame)
{
    return outcomeOf([&] { return hello.receive(envelopeOf(frame)); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(HelloTest)

// Guards against an exchange that does not complete between two processes with the same secret.
BOOST_AUTO_TEST_CASE(equalSecretsAuthenticateBothSides)
{
    ClientHello client(clientIdentity, "secret");
    ServerHello server(serverIdentity, "secret");
    const auto challenge = receive(server, client.opening());
    const auto proof = receive(client, challenge.value());
    const auto acceptance = receive(server, proof.value());
    BOOST_REQUIRE(acceptance.ok());
    BOOST_TEST(server.done());
    BOOST_TEST(server.peer().instance == "entry-1");
    BOOST_TEST(receive(client, acceptance.value()).ok());
    BOOST_TEST(client.done());
}

// Guards against a client that accepts a server without the secret, and against a server that
// accepts a client without it.
BOOST_AUTO_TEST_CASE(eachSideRefusesAProofUnderAnotherSecret)
{
    ClientHello client(clientIdentity, "secret");
    ServerHello wrongServer(serverIdentity, "other");
    const auto challenge = receive(wrongServer, client.opening());
    const auto refused = receive(client, challenge.value());
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST((refused.failure().code == ErrorCode::AuthenticationFailed));

    ServerHello server(serverIdentity, "secret");
    wire::HelloMessage forged = makeHello(clientIdentity);
    BOOST_REQUIRE(receive(server, helloFrame(forged)).ok());
    forged.proof = helloProof("other", HelloSide::Client, "guess", forged);
    const auto unproved = receive(server, helloFrame(forged));
    BOOST_REQUIRE(!unproved.ok());
    BOOST_TEST((unproved.failure().code == ErrorCode::AuthenticationFailed));
    BOOST_TEST(!server.done());
}

// Guards against reflection: an attacker obtains a proof that a server computed on a second
// connection and sends it back as a client with that server's identity.
BOOST_AUTO_TEST_CASE(serverProofIsRefusedAsAClientProof)
{
    ServerHello server(serverIdentity, "secret");
    wire::HelloMessage attacker = makeHello(serverIdentity);
    const auto challenge = receive(server, helloFrame(attacker));
    const auto nonce = outcomeOf([&] { return decodeHello(envelopeOf(challenge.value())); });
    attacker.proof = helloProof("secret", HelloSide::Server, nonce.value().nonce, attacker);
    BOOST_TEST(!receive(server, helloFrame(attacker)).ok());
}

// Guards against a server that accepts an unknown protocol version, and against a refusal that does
// not give the client this reason.
BOOST_AUTO_TEST_CASE(unknownVersionIsRefusedAsUnsupportedVersion)
{
    ServerHello server(serverIdentity, "secret");
    wire::Envelope opening = envelopeOf(ClientHello(clientIdentity, "secret").opening());
    opening.version = wire::protocolVersion + 1;
    const auto refused = outcomeOf([&] { return server.receive(opening); });
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST((refused.failure().code == ErrorCode::UnsupportedVersion));
    ClientHello client(clientIdentity, "secret");
    const auto received = receive(client, refusalFrame(refused.failure()));
    BOOST_TEST((received.failure().code == ErrorCode::UnsupportedVersion));
}

// Guards against requests that are served before the caller is authenticated.
BOOST_AUTO_TEST_CASE(requestBeforeTheProofIsRefused)
{
    ServerHello server(serverIdentity, "secret");
    wire::Envelope request;
    const auto refused = outcomeOf([&] { return server.receive(request); });
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST((refused.failure().code == ErrorCode::AuthenticationFailed));
}

BOOST_AUTO_TEST_SUITE_END()

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
Outcome<std::string> give(Hello &hello, const std::string &frame)
{
    return outcomeOf([&] { return hello.receive(envelopeOf(frame)); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(HelloTest)

BOOST_AUTO_TEST_CASE(equalSecretsAuthenticateBothEnds)
{
    ClientHello client(clientIdentity, "secret");
    ServerHello server(serverIdentity, "secret");
    const auto challenge = give(server, client.opening());
    const auto proof = give(client, challenge.value());
    const auto acceptance = give(server, proof.value());
    BOOST_REQUIRE(acceptance.ok());
    BOOST_TEST(server.done());
    BOOST_TEST(server.peer().instance == "entry-1");
    BOOST_TEST(give(client, acceptance.value()).ok());
    BOOST_TEST(client.done());
}

// Guards against a client that accepts a server without the secret, and the reverse.
BOOST_AUTO_TEST_CASE(eachEndRefusesAProofUnderAnotherSecret)
{
    ClientHello client(clientIdentity, "secret");
    ServerHello wrongServer(serverIdentity, "other");
    const auto challenge = give(wrongServer, client.opening());
    const auto refused = give(client, challenge.value());
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST((refused.failure().code == ErrorCode::AuthenticationFailed));

    ServerHello server(serverIdentity, "secret");
    wire::HelloMessage forged = makeHello(clientIdentity);
    BOOST_REQUIRE(give(server, helloFrame(forged)).ok());
    forged.proof = helloProof("other", HelloSide::Client, "guess", forged);
    const auto unproved = give(server, helloFrame(forged));
    BOOST_REQUIRE(!unproved.ok());
    BOOST_TEST((unproved.failure().code == ErrorCode::AuthenticationFailed));
    BOOST_TEST(!server.done());
}

// Guards against an attacker who lets a server prove its own nonce on a second connection and
// sends that proof back as a client of the same name.
BOOST_AUTO_TEST_CASE(aServersProofIsNoClientsProof)
{
    ServerHello server(serverIdentity, "secret");
    wire::HelloMessage attacker = makeHello(serverIdentity);
    const auto challenge = give(server, helloFrame(attacker));
    const auto nonce = outcomeOf([&] { return helloOf(envelopeOf(challenge.value())); });
    attacker.proof = helloProof("secret", HelloSide::Server, nonce.value().nonce, attacker);
    BOOST_TEST(!give(server, helloFrame(attacker)).ok());
}

BOOST_AUTO_TEST_CASE(unknownVersionIsATypedRefusal)
{
    ServerHello server(serverIdentity, "secret");
    wire::Envelope opening = envelopeOf(ClientHello(clientIdentity, "secret").opening());
    opening.version = wire::protocolVersion + 1;
    const auto refused = outcomeOf([&] { return server.receive(opening); });
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST((refused.failure().code == ErrorCode::UnsupportedVersion));
    ClientHello client(clientIdentity, "secret");
    const auto told = give(client, refusalFrame(refused.failure()));
    BOOST_TEST((told.failure().code == ErrorCode::UnsupportedVersion));
}

// Guards against requests that are served before the caller is known.
BOOST_AUTO_TEST_CASE(aRequestBeforeTheProofIsRefused)
{
    ServerHello server(serverIdentity, "secret");
    wire::Envelope request;
    const auto refused = outcomeOf([&] { return server.receive(request); });
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST((refused.failure().code == ErrorCode::AuthenticationFailed));
}

BOOST_AUTO_TEST_SUITE_END()

#include "helloproof.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/wire/codec.h"

namespace rattanrill::peer {
namespace {

/// Number of random bytes in a nonce.
constexpr std::size_t nonceBytes = 32;

Result<void> checkVersion(std::uint32_t version)
{
    if (version == wire::protocolVersion)
        return {};
    return fail(notRun(ErrorCode::UnsupportedVersion,
                       concat("protocol version ", version,
                              " of the other side is not supported, expected ",
                              wire::protocolVersion)));
}

} // namespace

std::string helloProof(const std::string &clusterSecret, HelloSide side,
                       const std::string &receiverNonce, const wire::HelloMessage &senderHello)
{
    const std::string_view sideName = side == HelloSide::Client ? "client" : "server";
    // Each part is hashed separately, so that two different lists of parts never produce the same
    // text.
    const std::string text =
            concat(sideName, sha256Hex(receiverNonce), sha256Hex(senderHello.nonce),
                   sha256Hex(senderHello.instance), sha256Hex(senderHello.failureDomain),
                   sha256Hex(senderHello.role));
    return hmacSha256Hex(clusterSecret, text);
}

wire::HelloMessage makeHello(const PeerIdentity &self)
{
    wire::HelloMessage message;
    message.instance = self.instance;
    message.failureDomain = self.failureDomain;
    message.role = self.role;
    message.nonce = randomHex(nonceBytes);
    return message;
}

std::string helloFrame(const wire::HelloMessage &message)
{
    wire::Envelope envelope;
    envelope.kind = wire::EnvelopeKind::Hello;
    envelope.method = wire::Method::Hello;
    envelope.body = wire::encode(message);
    return wire::encode(envelope);
}

std::string refusalFrame(const Failure &failure)
{
    wire::Envelope envelope;
    envelope.kind = wire::EnvelopeKind::Hello;
    envelope.method = wire::Method::Hello;
    envelope.failure = wire::toMessage(failure);
    return wire::encode(envelope);
}

Result<wire::HelloMessage> decodeHello(const wire::Envelope &envelope)
{
    // A refusal by the other side is returned before the version is checked, because its detail
    // names the version that the other side expects.
    if (envelope.failure.failed)
        return fail(wire::fromMessage(envelope.failure));
    BOOST_LEAF_CHECK(checkVersion(envelope.version));
    if (envelope.kind != wire::EnvelopeKind::Hello)
        return fail(notRun(ErrorCode::AuthenticationFailed,
                           "message received before the hello exchange was complete"));
    BOOST_LEAF_AUTO(message, wire::decode<wire::HelloMessage>(envelope.body));
    BOOST_LEAF_CHECK(checkVersion(message.version));
    return message;
}

} // namespace rattanrill::peer

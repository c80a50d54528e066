#include "helloproof.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/wire/codec.h"

namespace rattanrill::peer {
namespace {

constexpr std::size_t nonceBytes = 32;

Result<void> checkVersion(std::uint32_t version)
{
    if (version == wire::protocolVersion)
        return {};
    return fail(notRun(ErrorCode::UnsupportedVersion,
                       concat("protocol version ", version, " of the other side, expected ",
                              wire::protocolVersion)));
}

} // namespace

std::string helloProof(const std::string &clusterSecret, HelloSide side,
                       const std::string &otherNonce, const wire::HelloMessage &own)
{
    const std::string_view sideWord = side == HelloSide::Client ? "client" : "server";
    // Each part is hashed by itself, so that no two lists of parts give the same text.
    const std::string text =
            concat(sideWord, sha256Hex(otherNonce), sha256Hex(own.nonce), sha256Hex(own.instance),
                   sha256Hex(own.failureDomain), sha256Hex(own.role));
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

Result<wire::HelloMessage> helloOf(const wire::Envelope &envelope)
{
    // The other side's refusal comes first: it says which version it expects.
    if (envelope.failure.failed)
        return fail(wire::fromMessage(envelope.failure));
    BOOST_LEAF_CHECK(checkVersion(envelope.version));
    if (envelope.kind != wire::EnvelopeKind::Hello)
        return fail(notRun(ErrorCode::AuthenticationFailed, "message before the hello exchange"));
    BOOST_LEAF_AUTO(message, wire::decode<wire::HelloMessage>(envelope.body));
    BOOST_LEAF_CHECK(checkVersion(message.version));
    return message;
}

} // namespace rattanrill::peer

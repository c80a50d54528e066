#pragma once

#include "rattanrill/peer/transport.h"

#include <string>

namespace rattanrill::peer {

/// Side of a connection from which a hello message comes.
enum class HelloSide {
    Client,
    Server,
};

/// Returns the HMAC-SHA256, keyed with the cluster secret, over the sender's side, the receiver's
/// nonce, and the sender's nonce and identity. The side is included so that a proof cannot be
/// reflected to the process that computed it.
std::string helloProof(const std::string &clusterSecret, HelloSide side,
                       const std::string &receiverNonce, const wire::HelloMessage &senderHello);

/// Returns a hello message with the identity of this process and a new nonce, without a proof.
wire::HelloMessage makeHello(const PeerIdentity &self);

/// Encodes \a message as the frame of a hello envelope.
std::string helloFrame(const wire::HelloMessage &message);

/// Returns the frame of a hello envelope that refuses the connection with \a failure.
std::string refusalFrame(const Failure &failure);

/// Decodes the message of a hello envelope. Fails with UnsupportedVersion, with MalformedMessage,
/// with AuthenticationFailed for an envelope of another kind, or with the failure by which the
/// other side refused the connection.
Result<wire::HelloMessage> decodeHello(const wire::Envelope &envelope);

} // namespace rattanrill::peer

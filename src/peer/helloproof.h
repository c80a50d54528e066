#pragma once

#include "rattanrill/peer/transport.h"

#include <string>

namespace rattanrill::peer {

/// Which end of a connection a hello message comes from.
enum class HelloSide {
    Client,
    Server,
};

/// HMAC-SHA256 under the cluster secret of the other side's nonce, the own nonce and the own
/// identity. The side is part of it, so that a proof cannot be reflected to the process that
/// computed it.
std::string helloProof(const std::string &clusterSecret, HelloSide side,
                       const std::string &otherNonce, const wire::HelloMessage &own);

/// Hello message with the identity of this process and a fresh nonce, without a proof.
wire::HelloMessage makeHello(const PeerIdentity &self);

/// Hello envelope as a frame.
std::string helloFrame(const wire::HelloMessage &message);

/// Hello envelope that refuses the connection.
std::string refusalFrame(const Failure &failure);

/// Message of a hello envelope. Fails with UnsupportedVersion, MalformedMessage, or the failure by
/// which the other side refused the connection.
Result<wire::HelloMessage> helloOf(const wire::Envelope &envelope);

} // namespace rattanrill::peer

#pragma once

#include "absl/time/time.h"

namespace rattanrill::net {

/// What the operating system knows of an established connection.
struct TcpState
{
    /// Time since the last segment of the peer arrived, with data or without.
    absl::Duration sinceReceived;
    /// Time for which the peer has not acknowledged something that was sent, or a keep-alive probe;
    /// zero when nothing is unacknowledged.
    absl::Duration unacknowledged;
    /// Whether the peer has acknowledged or sent data. A connection without may be established on
    /// this side only: a peer whose accept queue is full drops the end of the handshake and what
    /// follows it.
    bool isConfirmed = false;
};

} // namespace rattanrill::net

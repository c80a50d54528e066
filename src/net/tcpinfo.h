#pragma once

#include "rattanrill/net/tcpstate.h"

#include <optional>

namespace rattanrill::net {

/// Time without a segment of the peer after which TCP sends a keep-alive probe.
constexpr int keepAliveIdleSeconds = 1;

/// Returns the state of the connection of \a socket, on which data was last written by this process
/// \a sinceWritten ago; nothing if the operating system does not tell.
std::optional<TcpState> tcpStateOf(int socket, absl::Duration sinceWritten);

} // namespace rattanrill::net

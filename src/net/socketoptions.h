#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace rattanrill::net {

/// Makes \a socket non-blocking, disables the delay of small writes, and lets TCP detect within a
/// few seconds that the peer has disappeared without closing the connection. It sends a probe after
/// \a keepAliveIdleSeconds without a segment of the peer.
void prepareSocket(boost::asio::ip::tcp::socket &socket, int keepAliveIdleSeconds);

/// Writes what the non-blocking \a socket accepts immediately and removes it from \a output. The
/// error is would_block when the rest has to wait.
boost::system::error_code sendAvailable(boost::asio::ip::tcp::socket &socket, std::string &output);

} // namespace rattanrill::net

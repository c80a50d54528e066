#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace rattanrill::net {

/// Sends small pieces at once, and notices within a few seconds when the other side is gone
/// without a word.
void prepareSocket(boost::asio::ip::tcp::socket &socket);

/// Writes what the non-blocking \a socket takes at once and removes it from \a output. The error is
/// would_block when the rest has to wait.
boost::system::error_code sendAvailable(boost::asio::ip::tcp::socket &socket, std::string &output);

} // namespace rattanrill::net

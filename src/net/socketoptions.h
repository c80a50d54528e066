#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace rattanrill::net {

/// Sends small pieces at once, and notices within a few seconds when the other side is gone
/// without a word.
void prepareSocket(boost::asio::ip::tcp::socket &socket);

} // namespace rattanrill::net

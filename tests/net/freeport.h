#pragma once

#include <boost/asio.hpp>

namespace rattanrill::net {

/// Returns a port of the loopback address that no socket uses at the moment.
inline unsigned short freePort()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context,
                                                  {boost::asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

} // namespace rattanrill::net

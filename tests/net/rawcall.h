#pragma once

#include <boost/asio.hpp>

#include <string>

namespace rattanrill::net {

/// Sends \a request to \a port on the loopback address and returns everything received until the
/// server closes the connection.
inline std::string rawCall(unsigned short port, const std::string &request)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string response;
    boost::system::error_code error;
    while (!error) {
        char buffer[4096];
        const std::size_t size = socket.read_some(boost::asio::buffer(buffer), error);
        response.append(buffer, size);
    }
    return response;
}

} // namespace rattanrill::net

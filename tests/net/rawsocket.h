#pragma once

#include <boost/asio.hpp>

#include <string>
#include <string_view>

namespace rattanrill::net {

/// Client socket that sends bytes unchanged, so that tests can send malformed requests.
class RawSocket
{
public:
    explicit RawSocket(int port)
        : m_socket(m_context)
    {
        m_socket.connect(
                {boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port)});
    }

    void send(std::string_view bytes)
    {
        boost::asio::write(m_socket, boost::asio::buffer(bytes.data(), bytes.size()));
    }

    /// Reads until the received bytes contain \a end or the server closes the connection. Returns
    /// all bytes received so far.
    std::string readUntil(std::string_view end)
    {
        while (m_received.find(end) == std::string::npos && readSome()) {
        }
        return m_received;
    }

    /// Reads until the server closes the connection. Returns all bytes received so far.
    std::string readAll()
    {
        while (readSome()) {
        }
        return m_received;
    }

    void close() { m_socket.close(); }
    /// Closes the connection by a reset.
    void reset()
    {
        m_socket.set_option(boost::asio::ip::tcp::socket::linger(true, 0));
        m_socket.close();
    }
    /// Closes the sending direction only.
    void shutdownSend() { m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }

private:
    bool readSome()
    {
        char buffer[4096];
        boost::system::error_code error;
        const std::size_t size = m_socket.read_some(boost::asio::buffer(buffer), error);
        m_received.append(buffer, size);
        return !error;
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
};

} // namespace rattanrill::net

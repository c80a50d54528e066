#pragma once

#include <boost/asio.hpp>

#include <string>
#include <thread>
#include <utility>

#include <sys/socket.h>

namespace rattanrill::net {

/// How a CutServer closes its connections.
enum class CloseMode {
    Orderly,
    Reset,
};

/// Server that sends a longer part of one response on each connection: nothing on the first one,
/// the first byte on the second one, and the whole response on the last one. Then it closes the
/// connection.
class CutServer
{
public:
    CutServer(std::string response, CloseMode mode)
        : m_response(std::move(response))
        , m_mode(mode)
        , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this] { serve(); })
    {}
    ~CutServer()
    {
        // Ends the wait for connections that a failed test does not open.
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
    }

    int port() const { return m_acceptor.local_endpoint().port(); }

private:
    using Tcp = boost::asio::ip::tcp;

    void serve()
    {
        for (std::size_t cut = 0; cut <= m_response.size(); ++cut) {
            boost::system::error_code ignored;
            Tcp::socket socket = m_acceptor.accept(ignored);
            if (ignored)
                return;
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                    ignored);
            boost::asio::write(socket, boost::asio::buffer(m_response.data(), cut), ignored);
            if (m_mode == CloseMode::Reset)
                socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            else
                socket.shutdown(Tcp::socket::shutdown_send, ignored);
            socket.close(ignored);
        }
    }

    const std::string m_response;
    const CloseMode m_mode;
    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace rattanrill::net

#pragma once

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <string>
#include <vector>

namespace rattanrill::net {

/// An upstream that responds to the requests that a test tells it to serve, and otherwise stands
/// still: its operating system acknowledges what arrives, and accepts one connection more. Its link
/// can be cut.
class PausableUpstream
{
public:
    using Tcp = boost::asio::ip::tcp;

    PausableUpstream()
    {
        const Tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
        m_acceptor.open(any.protocol());
        m_acceptor.bind(any);
        m_acceptor.listen(0);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// Accepts a connection and responds to the first request on it. The request has no body.
    void serve() { respond(m_accepted.emplace_back(m_acceptor.accept())); }

    /// Fills the accept queue.
    void fill()
    {
        for (Tcp::socket &socket : m_queued) {
            socket.open(Tcp::v4());
            socket.async_connect(m_acceptor.local_endpoint(), [](const auto &) {});
        }
    }

    /// Drops what arrives from now on, on accepted connections and for new ones.
    void cut()
    {
        dropArrivals(m_acceptor.native_handle());
        for (Tcp::socket &socket : m_accepted)
            dropArrivals(socket.native_handle());
    }

private:
    static void respond(Tcp::socket &socket)
    {
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(std::string(
                                           "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")));
    }

    static void dropArrivals(int socket)
    {
        sock_filter instruction = BPF_STMT(BPF_RET | BPF_K, 0);
        const sock_fprog program{1, &instruction};
        BOOST_REQUIRE(setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program))
                      == 0);
    }

    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor{m_context};
    std::vector<Tcp::socket> m_accepted;
    std::array<Tcp::socket, 4> m_queued{Tcp::socket(m_context), Tcp::socket(m_context),
                                        Tcp::socket(m_context), Tcp::socket(m_context)};
};

/// An upstream that stands still and whose accept queue has place for many connections.
class QueueingUpstream
{
public:
    using Tcp = boost::asio::ip::tcp;

    QueueingUpstream()
    {
        const Tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
        m_acceptor.open(any.protocol());
        m_acceptor.bind(any);
        m_acceptor.listen(maxQueued);
        m_acceptor.non_blocking(true);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// Returns the number of connections in the accept queue, and empties it.
    std::size_t countQueued()
    {
        std::size_t count = 0;
        boost::system::error_code error;
        for (;; ++count) {
            const Tcp::socket socket = m_acceptor.accept(error);
            if (error)
                return count;
        }
    }

private:
    static constexpr int maxQueued = 64;

    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor{m_context};
};

} // namespace rattanrill::net

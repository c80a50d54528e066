#pragma once

#include <boost/asio.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace rattanrill::net {

/// A listening socket whose queue of new connections is full, so that the operating system does not
/// answer further ones.
class HangingListener
{
public:
    using Tcp = boost::asio::ip::tcp;

    HangingListener()
    {
        const Tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
        m_acceptor.open(any.protocol());
        m_acceptor.bind(any);
        m_acceptor.listen(0);
        for (Tcp::socket &socket : m_queued) {
            socket.open(any.protocol());
            socket.async_connect(m_acceptor.local_endpoint(), [](const auto &) {});
        }
    }

    /// Accepts the connections that wait, so that further ones are established.
    void drain()
    {
        m_acceptor.non_blocking(true);
        boost::system::error_code error;
        while (!error)
            m_accepted.push_back(m_acceptor.accept(error));
    }

    /// Accepts the connections that wait, and returns the number of those that were not made by the
    /// listener itself, among all that it has accepted.
    std::size_t otherConnections()
    {
        drain();
        return static_cast<std::size_t>(std::count_if(
                m_accepted.begin(), m_accepted.end(),
                [this](const Tcp::socket &peer) { return peer.is_open() && !isOwn(peer); }));
    }

    int port() const { return m_acceptor.local_endpoint().port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

private:
    bool isOwn(const Tcp::socket &peer) const
    {
        boost::system::error_code error;
        const Tcp::endpoint remote = peer.remote_endpoint(error);
        return std::any_of(m_queued.begin(), m_queued.end(), [&](const Tcp::socket &socket) {
            return !error && socket.local_endpoint() == remote;
        });
    }

    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor{m_context};
    std::vector<Tcp::socket> m_accepted;
    std::array<Tcp::socket, 4> m_queued{Tcp::socket(m_context), Tcp::socket(m_context),
                                        Tcp::socket(m_context), Tcp::socket(m_context)};
};

} // namespace rattanrill::net

#pragma once

#include "hanginglistener.h"
#include "proxyfixture.h"

#include <boost/asio.hpp>

#include <array>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rattanrill::serving {

/// A listener that accepts a number of requests and then closes their connections at once.
class ClosingListener
{
public:
    explicit ClosingListener(std::size_t count)
        : m_thread([this, count] { serve(count); })
    {}
    ~ClosingListener() { m_thread.join(); }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    using Tcp = boost::asio::ip::tcp;

    void serve(std::size_t count)
    {
        std::vector<Tcp::socket> sockets;
        while (sockets.size() < count)
            sockets.push_back(m_acceptor.accept());
        for (Tcp::socket &socket : sockets)
            socket.wait(Tcp::socket::wait_read);
    }

    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor{m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::thread m_thread;
};

/// Upstreams that answer no new connection.
class HangingUpstreams
{
public:
    std::vector<std::string> addresses() const
    {
        std::vector<std::string> result;
        for (const net::HangingListener &listener : m_listeners)
            result.push_back(listener.address());
        return result;
    }

private:
    std::array<net::HangingListener, 4> m_listeners;
};

/// Lets the established connections of \a entry to u1 to u4 break, so that its links are lost.
inline void loseLinks(Entry &entry)
{
    constexpr std::size_t count = 4;
    const ClosingListener listener(count);
    entry.thread.run([&] {
        for (std::size_t i = 1; i <= count; ++i) {
            const std::string id = "u" + std::to_string(i);
            net::CallHandlers handlers;
            handlers.onEnd = [](net::CallStatus) {};
            entry.upstreams.call(
                    {id, listener.address()}, [] { return std::string("x"); }, std::move(handlers),
                    id);
        }
    });
    bool canReceive = true;
    while (canReceive) {
        std::this_thread::yield();
        entry.thread.run([&] { canReceive = entry.upstreams.canReceive(); });
    }
}

} // namespace rattanrill::serving

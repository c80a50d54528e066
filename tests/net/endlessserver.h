#pragma once

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rattanrill::net {

/// What an EndlessServer sends on one connection after it has received a request.
struct ServerAnswer
{
    std::string prefix;
    /// Sent after the prefix again and again until the client closes the connection. When empty,
    /// the server closes the connection after the prefix.
    std::string filler;
    /// Time between two fillers.
    absl::Duration pause = absl::ZeroDuration();
};

/// Server that can send bytes without end. Serves one connection after another.
class EndlessServer
{
public:
    /// The n-th connection gets the n-th answer, and all further connections get the last one.
    explicit EndlessServer(std::vector<ServerAnswer> answers)
        : m_answers(std::move(answers))
        , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this] { serve(); })
    {}
    EndlessServer(std::string prefix, std::string filler,
                  absl::Duration pause = absl::ZeroDuration())
        : EndlessServer({ServerAnswer{std::move(prefix), std::move(filler), pause}})
    {}
    ~EndlessServer()
    {
        m_stopped = true;
        m_thread.join();
    }

    int port() const { return m_acceptor.local_endpoint().port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    /// Number of bytes that the operating system has taken from this server.
    std::size_t sentBytes() const { return m_sentBytes; }
    /// Number of connections that have sent a request.
    int requests() const { return m_requests; }
    /// Waits until a client has closed its connection; returns false after 10 s.
    bool awaitClose() const
    {
        for (int i = 0; i < 1000 && m_closedCount == 0; ++i)
            absl::SleepFor(absl::Milliseconds(10));
        return m_closedCount > 0;
    }

private:
    using Tcp = boost::asio::ip::tcp;

    void serve()
    {
        m_acceptor.non_blocking(true);
        while (!m_stopped) {
            Tcp::socket socket(m_context);
            boost::system::error_code error;
            m_acceptor.accept(socket, error);
            if (!error)
                serveConnection(socket);
            else
                absl::SleepFor(absl::Milliseconds(1));
        }
    }

    void serveConnection(Tcp::socket &socket)
    {
        socket.non_blocking(true);
        if (!awaitRequest(socket))
            return;
        const auto last = static_cast<int>(m_answers.size()) - 1;
        const ServerAnswer &answer =
                m_answers[static_cast<std::size_t>(std::min<int>(m_requests, last))];
        ++m_requests;
        bool isOpen = send(socket, answer.prefix);
        while (isOpen && !answer.filler.empty() && !m_stopped) {
            isOpen = send(socket, answer.filler);
            absl::SleepFor(answer.pause);
        }
        m_closedCount += isOpen ? 0 : 1;
    }

    /// Reads the first bytes of a request; returns false when the client closes the connection.
    bool awaitRequest(Tcp::socket &socket)
    {
        char buffer[65536];
        while (!m_stopped) {
            boost::system::error_code error;
            if (socket.read_some(boost::asio::buffer(buffer), error) > 0)
                return true;
            if (error && error != boost::asio::error::would_block)
                return false;
            absl::SleepFor(absl::Milliseconds(1));
        }
        return false;
    }

    /// Returns false when the client has closed the connection.
    bool send(Tcp::socket &socket, const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size() && !m_stopped) {
            boost::system::error_code error;
            const std::size_t size = socket.write_some(
                    boost::asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
            sent += size;
            m_sentBytes += size;
            if (error && error != boost::asio::error::would_block)
                return false;
            if (error)
                absl::SleepFor(absl::Milliseconds(1));
        }
        return true;
    }

    const std::vector<ServerAnswer> m_answers;
    std::atomic<bool> m_stopped{false};
    std::atomic<std::size_t> m_sentBytes{0};
    std::atomic<int> m_requests{0};
    std::atomic<int> m_closedCount{0};
    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace rattanrill::net

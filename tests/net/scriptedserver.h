#pragma once

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rattanrill::net {

/// What a ScriptedServer does with its connection after a response.
enum class ConnectionEnd {
    KeptOpen,
    Closed,
    Reset,
};

/// Response of a ScriptedServer to one request.
struct ScriptedAnswer
{
    std::string bytes;
    ConnectionEnd end = ConnectionEnd::KeptOpen;
    /// Sent before the bytes if the connection has carried an earlier request.
    std::string stale = {};
    /// Sent after lateDelay.
    std::string late = {};
    absl::Duration lateDelay = absl::ZeroDuration();
    /// Responds when the head of the request has arrived, and reads no more of the request.
    bool respondsToHead = false;
};

/// Server whose n-th request gets the n-th answer; all further requests get the last one.
class ScriptedServer
{
public:
    struct ReceivedRequest
    {
        std::string text;
        /// Number of the connection, counted from 0.
        int connection = 0;
    };

    explicit ScriptedServer(std::vector<ScriptedAnswer> answers)
        : m_answers(std::move(answers))
        , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~ScriptedServer()
    {
        m_context.stop();
        m_thread.join();
    }
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    int port() const { return m_acceptor.local_endpoint().port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    std::vector<ReceivedRequest> requests() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_requests;
    }

private:
    using Tcp = boost::asio::ip::tcp;

    struct Connection
    {
        Connection(boost::asio::io_context &context, int number)
            : socket(context)
            , timer(context)
            , number(number)
        {}

        Tcp::socket socket;
        boost::asio::steady_timer timer;
        const int number;
        int requests = 0;
        std::string input;
        std::string output;
        char buffer[65536];
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept()
    {
        auto connection = std::make_shared<Connection>(m_context, m_connectionCount++);
        m_acceptor.async_accept(connection->socket,
                                [this, connection](const boost::system::error_code &error) {
                                    if (error)
                                        return;
                                    read(connection);
                                    accept();
                                });
    }

    void read(const ConnectionPtr &connection)
    {
        connection->socket.async_read_some(
                boost::asio::buffer(connection->buffer),
                [this, connection](const boost::system::error_code &error, std::size_t size) {
                    if (error)
                        return;
                    connection->input.append(connection->buffer, size);
                    handleInput(connection);
                });
    }

    void handleInput(const ConnectionPtr &connection)
    {
        const std::size_t number =
                std::min(static_cast<std::size_t>(m_answerCount), m_answers.size() - 1);
        const ScriptedAnswer &answer = m_answers[number];
        const std::size_t length = requestLength(connection->input, answer.respondsToHead);
        if (length == 0)
            return read(connection);
        ++m_answerCount;
        {
            absl::MutexLock lock(&m_mutex);
            m_requests.push_back({connection->input.substr(0, length), connection->number});
        }
        connection->input.erase(0, length);
        respond(connection, answer);
    }

    /// Length in bytes of the request at the start of \a input, or 0 when it is incomplete.
    static std::size_t requestLength(const std::string &input, bool headOnly)
    {
        const std::size_t headEnd = input.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return 0;
        const std::size_t headLength = headEnd + 4;
        const std::string name = "Content-Length: ";
        const std::size_t field = input.find(name);
        if (headOnly || field == std::string::npos || field > headEnd)
            return headLength;
        const std::size_t length =
                headLength + std::strtoul(input.c_str() + field + name.size(), nullptr, 10);
        return input.size() < length ? 0 : length;
    }

    void respond(const ConnectionPtr &connection, const ScriptedAnswer &answer)
    {
        const bool isKept = connection->requests++ > 0;
        connection->output = (isKept ? answer.stale : std::string()) + answer.bytes;
        boost::asio::async_write(
                connection->socket, boost::asio::buffer(connection->output),
                [this, connection, &answer](const boost::system::error_code &error, std::size_t) {
                    if (error)
                        return;
                    if (answer.late.empty())
                        return end(connection, answer);
                    sendLate(connection, answer);
                });
    }

    void sendLate(const ConnectionPtr &connection, const ScriptedAnswer &answer)
    {
        connection->timer.expires_after(absl::ToChronoNanoseconds(answer.lateDelay));
        connection->timer.async_wait([this, connection,
                                      &answer](const boost::system::error_code &) {
            boost::system::error_code ignored;
            boost::asio::write(connection->socket, boost::asio::buffer(answer.late), ignored);
            end(connection, answer);
        });
    }

    void end(const ConnectionPtr &connection, const ScriptedAnswer &answer)
    {
        boost::system::error_code ignored;
        if (answer.end == ConnectionEnd::Reset)
            connection->socket.set_option(Tcp::socket::linger(true, 0), ignored);
        if (answer.end != ConnectionEnd::KeptOpen)
            connection->socket.close(ignored);
        else if (!answer.respondsToHead)
            handleInput(connection);
        else
            // The rest of the request is never read, but the connection stays open.
            connection->socket.async_wait(
                    Tcp::socket::wait_error,
                    [connection](const boost::system::error_code &) { (void)connection; });
    }

    const std::vector<ScriptedAnswer> m_answers;
    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::thread m_thread;
    int m_connectionCount = 0;
    int m_answerCount = 0;
    mutable absl::Mutex m_mutex;
    std::vector<ReceivedRequest> m_requests;
};

} // namespace rattanrill::net

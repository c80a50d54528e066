#pragma once

#include "rattanrill/fakes/linkfaults.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace rattanrill::fakes {

/// One relayed connection. All members are used on the relay's thread only.
class RelayConnection : public std::enable_shared_from_this<RelayConnection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using Endpoint = boost::asio::ip::tcp::endpoint;

    /// Callbacks from a connection to its relay.
    struct Callbacks
    {
        /// Called once, when both sockets are closed.
        std::function<void()> closed;
        /// Called with the number of bytes when bytes were dropped.
        std::function<void(std::size_t)> bytesLost;
    };

    RelayConnection(boost::asio::io_context &context, Socket client, Endpoint target,
                    Callbacks callbacks);

    /// Connects to the target and relays bytes, subject to \a faults.
    void start(const LinkFaults &faults);
    /// Changes the faults. When both directions are in mode Pass again, a connection that lost data
    /// is reset; otherwise each direction in mode Pass continues.
    void apply(const LinkFaults &faults);

private:
    static constexpr std::size_t readBytes = 16384;

    /// How a sender closed its side, or how the relay closes the connection.
    enum class End {
        None,
        Orderly,
        Reset,
    };

    struct Chunk
    {
        std::chrono::steady_clock::time_point deliverAt;
        std::string bytes;
        End end = End::None;
    };

    struct Direction
    {
        Direction(boost::asio::io_context &context, Socket &from, Socket &to);

        Socket &from;
        Socket &to;
        DirectionFaults faults;
        std::deque<Chunk> queue;
        std::size_t queuedBytes = 0;
        bool readPending = false;
        bool writePending = false;
        bool timerPending = false;
        bool sourceClosed = false;
        /// Whether a write to the source met a reset, which its read then no longer reports.
        bool isSourceReset = false;
        /// Whether sending to the receiver has been shut down.
        bool ended = false;
        /// Whether bytes or the connection attempt were dropped.
        bool lostData = false;
        boost::asio::steady_timer timer;
        std::array<char, readBytes> buffer{};
    };

    static End endOf(const boost::system::error_code &error);
    void connect();
    void resume(Direction &direction);
    void setFaults(Direction &direction, const DirectionFaults &faults);
    void read(Direction &direction);
    void handleEndOfSource(Direction &direction);
    void handleRead(Direction &direction, std::string bytes, End end);
    void deliver(Direction &direction);
    void waitUntil(Direction &direction, std::chrono::steady_clock::time_point time);
    void write(Direction &direction);
    void finishWrite(Direction &direction, const boost::system::error_code &error);
    void end(Direction &direction);
    /// Closes both sockets. A reset instead of an orderly end prevents the peers from mistaking
    /// truncated data for the complete stream.
    void close(End how);
    Direction &opposite(Direction &direction);

    Socket m_client;
    Socket m_server;
    Endpoint m_target;
    Direction m_forward;
    Direction m_backward;
    bool m_connecting = false;
    bool m_connected = false;
    bool m_isClosed = false;
    Callbacks m_callbacks;
};

} // namespace rattanrill::fakes

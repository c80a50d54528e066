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

    /// What a connection tells its relay.
    struct Events
    {
        /// Both sockets are closed; called once.
        std::function<void()> closed;
        /// Bytes were dropped.
        std::function<void(std::size_t)> lost;
    };

    RelayConnection(boost::asio::io_context &context, Socket client, Endpoint target,
                    Events events);

    /// Connects to the target and relays, as far as \a faults let it.
    void start(const LinkFaults &faults);
    /// Changes the faults; a healed direction continues, or resets a connection that lost bytes.
    void apply(const LinkFaults &faults);

private:
    static constexpr std::size_t readBytes = 16384;

    /// How the sender closed its side.
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
        bool reading = false;
        bool writing = false;
        bool waiting = false;
        bool sourceEnded = false;
        bool ended = false;
        bool damaged = false;
        boost::asio::steady_timer timer;
        std::array<char, readBytes> buffer{};
    };

    static End endOf(const boost::system::error_code &error);
    void connect();
    void resume(Direction &direction);
    void set(Direction &direction, const DirectionFaults &faults);
    void read(Direction &direction);
    void take(Direction &direction, std::string bytes, End end);
    void deliver(Direction &direction);
    void waitFor(Direction &direction, std::chrono::steady_clock::time_point time);
    void write(Direction &direction);
    void finishWrite(Direction &direction, bool failed);
    void end(Direction &direction);
    /// A reset rather than an orderly end keeps the peers from taking a part for the whole.
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
    Events m_events;
};

} // namespace rattanrill::fakes

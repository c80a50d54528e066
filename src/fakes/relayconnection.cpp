#include "relayconnection.h"

#include "absl/time/time.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace rattanrill::fakes {
namespace {

using boost::system::error_code;

/// Number of queued bytes in one direction at which the relay stops reading from the sender, so
/// that the sender's socket buffer fills up.
constexpr std::size_t maxQueuedBytes = 1u << 20;

} // namespace

RelayConnection::Direction::Direction(boost::asio::io_context &context, Socket &from, Socket &to)
    : from(from)
    , to(to)
    , timer(context)
{}

RelayConnection::RelayConnection(boost::asio::io_context &context, Socket client, Endpoint target,
                                 Callbacks callbacks)
    : m_client(std::move(client))
    , m_server(context)
    , m_target(std::move(target))
    , m_forward(context, m_client, m_server)
    , m_backward(context, m_server, m_client)
    , m_callbacks(std::move(callbacks))
{
    error_code ignored;
    m_client.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void RelayConnection::start(const LinkFaults &faults)
{
    apply(faults);
}

void RelayConnection::apply(const LinkFaults &faults)
{
    setFaults(m_forward, faults.forward);
    setFaults(m_backward, faults.backward);
    const bool bothPass =
            faults.forward.mode == LinkMode::Pass && faults.backward.mode == LinkMode::Pass;
    if (bothPass && (m_forward.lostData || m_backward.lostData)) {
        close(End::Reset);
        return;
    }
    connect();
    resume(m_forward);
    resume(m_backward);
}

void RelayConnection::close(End how)
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    error_code ignored;
    for (Socket *socket : {&m_client, &m_server}) {
        if (how == End::Reset && socket->is_open())
            socket->set_option(Socket::linger(true, 0), ignored);
        socket->close(ignored);
    }
    m_forward.timer.cancel();
    m_backward.timer.cancel();
    m_callbacks.closed();
}

void RelayConnection::connect()
{
    // The target never learns of a connection that is attempted in mode Drop. It counts as lost
    // data, so that apply() resets the connection instead of connecting late.
    if (m_forward.faults.mode == LinkMode::Drop)
        m_forward.lostData = m_forward.lostData || !m_connected;
    if (m_connecting || m_connected || m_forward.faults.mode != LinkMode::Pass)
        return;
    m_connecting = true;
    m_server.async_connect(m_target, [self = shared_from_this()](const error_code &error) {
        self->m_connecting = false;
        if (error) {
            self->close(End::Reset);
            return;
        }
        error_code ignored;
        self->m_server.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->m_connected = true;
        self->resume(self->m_forward);
        self->resume(self->m_backward);
    });
}

void RelayConnection::resume(Direction &direction)
{
    if (!m_connected)
        return;
    read(direction);
    deliver(direction);
}

void RelayConnection::setFaults(Direction &direction, const DirectionFaults &faults)
{
    direction.faults = faults;
    // A pending write uses the first chunk of the queue, so finishWrite() drops the rest then.
    if (faults.mode != LinkMode::Drop || direction.queue.empty() || direction.writePending)
        return;
    direction.lostData = true;
    m_callbacks.bytesLost(direction.queuedBytes);
    direction.queue.clear();
    direction.queuedBytes = 0;
}

RelayConnection::End RelayConnection::endOf(const error_code &error)
{
    if (!error)
        return End::None;
    return error == boost::asio::error::eof ? End::Orderly : End::Reset;
}

void RelayConnection::read(Direction &direction)
{
    if (direction.readPending || direction.sourceClosed || direction.faults.mode == LinkMode::Hold
        || direction.queuedBytes >= maxQueuedBytes)
        return;
    direction.readPending = true;
    direction.from.async_read_some(
            boost::asio::buffer(direction.buffer),
            [self = shared_from_this(), &direction](const error_code &error, std::size_t size) {
                const End end = endOf(error);
                if (end == End::Orderly)
                    return self->handleEndOfSource(direction);
                direction.readPending = false;
                self->handleRead(direction, std::string(direction.buffer.data(), size), end);
            });
}

/// The operating system reports the error of a socket once. If a write to the source has got it,
/// the handler of that write is queued, and must run first.
void RelayConnection::handleEndOfSource(Direction &direction)
{
    boost::asio::post(direction.from.get_executor(), [self = shared_from_this(), &direction] {
        direction.readPending = false;
        self->handleRead(direction, std::string(),
                         direction.isSourceReset ? End::Reset : End::Orderly);
    });
}

void RelayConnection::handleRead(Direction &direction, std::string bytes, End end)
{
    if (m_isClosed)
        return;
    direction.sourceClosed = direction.sourceClosed || end != End::None;
    if (direction.faults.mode == LinkMode::Drop) {
        direction.lostData = true;
        m_callbacks.bytesLost(bytes.size());
        read(direction);
        return;
    }
    const auto deliverAt =
            std::chrono::steady_clock::now() + absl::ToChronoMicroseconds(direction.faults.delay);
    direction.queuedBytes += bytes.size();
    direction.queue.push_back({deliverAt, std::move(bytes), end});
    deliver(direction);
    read(direction);
}

void RelayConnection::deliver(Direction &direction)
{
    if (direction.writePending || direction.timerPending || direction.queue.empty()
        || direction.faults.mode != LinkMode::Pass)
        return;
    const Chunk &chunk = direction.queue.front();
    if (chunk.deliverAt > std::chrono::steady_clock::now())
        waitUntil(direction, chunk.deliverAt);
    else if (chunk.end == End::Reset)
        close(End::Reset);
    else if (chunk.bytes.empty())
        end(direction);
    else
        write(direction);
}

void RelayConnection::waitUntil(Direction &direction, std::chrono::steady_clock::time_point time)
{
    direction.timerPending = true;
    direction.timer.expires_at(time);
    direction.timer.async_wait([self = shared_from_this(), &direction](const error_code &error) {
        direction.timerPending = false;
        if (!error)
            self->deliver(direction);
    });
}

void RelayConnection::write(Direction &direction)
{
    direction.writePending = true;
    boost::asio::async_write(
            direction.to, boost::asio::buffer(direction.queue.front().bytes),
            [self = shared_from_this(), &direction](const error_code &error, std::size_t) {
                self->finishWrite(direction, error);
            });
}

void RelayConnection::finishWrite(Direction &direction, const error_code &error)
{
    direction.writePending = false;
    if (m_isClosed)
        return;
    // With broken_pipe, the receiver has ended its own direction before, or its read has got the
    // error.
    if (error && error != boost::asio::error::broken_pipe)
        opposite(direction).isSourceReset = true;
    direction.queuedBytes -= direction.queue.front().bytes.size();
    const bool ends = direction.queue.front().end != End::None;
    direction.queue.pop_front();
    if (error || ends) {
        end(direction);
        return;
    }
    // Drops the chunks that setFaults() had to keep while the write was pending.
    if (direction.faults.mode == LinkMode::Drop)
        setFaults(direction, direction.faults);
    deliver(direction);
    read(direction);
}

void RelayConnection::end(Direction &direction)
{
    direction.ended = true;
    direction.sourceClosed = true;
    direction.queue.clear();
    direction.queuedBytes = 0;
    error_code ignored;
    direction.to.shutdown(Socket::shutdown_send, ignored);
    if (opposite(direction).ended)
        close(End::Orderly);
}

RelayConnection::Direction &RelayConnection::opposite(Direction &direction)
{
    return &direction == &m_forward ? m_backward : m_forward;
}

} // namespace rattanrill::fakes

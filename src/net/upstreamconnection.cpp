#include "upstreamconnection.h"

#include "socketoptions.h"
#include "tcpinfo.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/net/address.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <functional>
#include <utility>

namespace rattanrill::net {
namespace {

using Tcp = boost::asio::ip::tcp;

/// Number of requests after which a connection is closed. Bounds the memory of their ids.
constexpr std::size_t maxCarriedRequests = 256;
/// Time between two handshakes of a connection that is not answered. The operating system of a peer
/// whose accept queue is full drops the first segment, and the own one repeats it only after 1 s.
constexpr absl::Duration handshakePeriod = absl::Milliseconds(250);

/// Returns the seconds after "timeout=" in a Keep-Alive header, or nothing if there are none.
std::optional<int> keepAliveSeconds(std::string_view value)
{
    const std::size_t position = value.find("timeout=");
    if (position == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = value.substr(position + std::string_view("timeout=").size());
    int seconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return seconds;
}

/// Resets \a socket. Without the option the operating system continues to deliver the request after
/// the close.
void discard(Tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

UpstreamConnection::UpstreamConnection(boost::asio::io_context &context, std::string address,
                                       ConnectionPoolOptions options, Listener listener)
    : m_socket(context)
    , m_timer(context)
    , m_address(std::move(address))
    , m_options(options)
    , m_listener(std::move(listener))
    , m_keepAlive(options.defaultKeepAlive)
{}

bool UpstreamConnection::isUsable(absl::Time now)
{
    return m_state == State::Idle && now - m_idleSince < m_keepAlive * m_options.keepAliveFraction
           && !hasReadableBytes();
}

std::optional<TcpState> UpstreamConnection::tcpState()
{
    const std::optional<TcpInfo> info = tcpInfoOf(m_socket.native_handle());
    if (!info)
        return std::nullopt;
    const absl::Time now = SystemClock::instance().now();
    ConnectionTimes times;
    times.sinceReceived = now - m_receivedAt;
    if (m_writtenAt > m_receivedAt)
        times.sinceWritten = now - m_writtenAt;
    times.isConfirmed = m_hasRead;
    return tcpStateOf(*info, times);
}

/// Whether the upstream has closed the connection, or has sent bytes that belong to no request.
bool UpstreamConnection::hasReadableBytes()
{
    char byte = 0;
    const ssize_t result =
            ::recv(m_socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return result >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool UpstreamConnection::hasCarried(const std::string &requestId) const
{
    const std::size_t hash = std::hash<std::string>()(requestId);
    return std::find(m_carriedIds.begin(), m_carriedIds.end(), hash) != m_carriedIds.end();
}

void UpstreamConnection::establish(std::function<void(bool isConnected)> done)
{
    m_established = std::move(done);
    m_state = State::Connecting;
    connect();
}

void UpstreamConnection::call(RequestWriter writer, CallHandlers handlers,
                              const std::string &requestId)
{
    m_writer = std::move(writer);
    m_handlers = std::make_shared<CallHandlers>(std::move(handlers));
    const bool isNew = m_state == State::New;
    m_isReused = !m_carriedIds.empty();
    m_carriedIds.push_back(std::hash<std::string>()(requestId));
    ResponseParser::Handlers parserHandlers;
    parserHandlers.onHead = [this](const ResponseHead &head) { return handleHead(head); };
    parserHandlers.onBody = [this](std::string_view bytes) {
        // The copy keeps the handler alive, because it may close the connection while it runs.
        const auto current = m_handlers;
        if (current && current->onBody)
            current->onBody(bytes);
    };
    m_parser.emplace(std::move(parserHandlers));
    m_state = isNew ? State::Connecting : State::Calling;
    if (isNew)
        connect();
    else
        writeRequest();
}

void UpstreamConnection::connect()
{
    const auto parsed = outcomeOf([&] { return parseAddress(m_address); });
    boost::system::error_code error;
    if (parsed.ok())
        m_endpoint = Tcp::endpoint(boost::asio::ip::make_address(parsed.value().host, error),
                                   parsed.value().port);
    m_connectEnd =
            std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(m_options.connectTimeout);
    if (parsed.ok() && !error)
        error = startHandshake();
    if (!parsed.ok() || error) {
        // Deferred, because the caller does not have the id of the call yet.
        boost::asio::post(m_socket.get_executor(),
                          [self = shared_from_this()] { self->fail(CallStatus::NotConnected); });
        return;
    }
    awaitHandshake();
}

boost::system::error_code UpstreamConnection::startHandshake()
{
    const auto socket = std::make_shared<Tcp::socket>(m_socket.get_executor());
    boost::system::error_code error;
    socket->open(m_endpoint.protocol(), error);
    if (error)
        return error;
    prepareSocket(*socket, upstreamKeepAliveIdleSeconds);
    m_handshakes.push_back(socket);
    socket->async_connect(m_endpoint, [self = shared_from_this(),
                                       socket](const boost::system::error_code &result) {
        self->handleConnect(*socket, result);
    });
    return error;
}

void UpstreamConnection::awaitHandshake()
{
    const auto period = absl::ToChronoNanoseconds(handshakePeriod);
    m_timer.expires_at(std::min(m_connectEnd, std::chrono::steady_clock::now() + period));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &timerError) {
        if (timerError || self->m_state != State::Connecting)
            return;
        if (std::chrono::steady_clock::now() >= self->m_connectEnd)
            self->connectTimedOut();
        else
            self->repeatHandshake();
    });
}

/// The handshakes before stay open, because the answer to one of them may take longer than the
/// period.
void UpstreamConnection::repeatHandshake()
{
    const bool isAnswered = std::any_of(m_handshakes.begin(), m_handshakes.end(),
                                        [](const std::shared_ptr<Tcp::socket> &socket) {
                                            boost::system::error_code error;
                                            socket->remote_endpoint(error);
                                            return !error;
                                        });
    // The handler of an answered handshake runs next.
    if (!isAnswered && startHandshake())
        return fail(CallStatus::NotConnected);
    awaitHandshake();
}

void UpstreamConnection::connectTimedOut()
{
    const auto current = m_handlers;
    if (current && current->onUnanswered)
        current->onUnanswered();
    fail(CallStatus::Unanswered);
}

void UpstreamConnection::handleConnect(Tcp::socket &socket, const boost::system::error_code &error)
{
    if (m_state != State::Connecting)
        return;
    m_timer.cancel();
    m_socket = std::move(socket);
    discardHandshakes();
    m_receivedAt = SystemClock::instance().now();
    if (!error && m_established) {
        becomeIdle();
        return std::exchange(m_established, nullptr)(true);
    }
    if (error || (m_handlers->mayBeSent && !m_handlers->mayBeSent()))
        return fail(CallStatus::NotConnected);
    m_state = State::Calling;
    read();
    writeRequest();
}

void UpstreamConnection::writeRequest()
{
    Outcome<std::string> request = std::exchange(m_writer, nullptr)();
    if (!request.ok())
        return failMalformed(request.failure());
    m_output = std::move(request.value());
    m_writtenAt = SystemClock::instance().now();
    send();
}

void UpstreamConnection::send()
{
    const boost::system::error_code error = sendAvailable(m_socket, m_output);
    if (m_output.empty())
        return;
    if (error != boost::asio::error::would_block) {
        // The upstream may have sent its response before the connection failed, so the pending read
        // decides. It may not get the error, which the operating system reports once.
        m_hasSendFailed = true;
        m_output.clear();
        return;
    }
    m_socket.async_wait(Tcp::socket::wait_write,
                        [self = shared_from_this()](const boost::system::error_code &waitError) {
                            if (!waitError && self->m_state == State::Calling)
                                self->send();
                        });
}

void UpstreamConnection::read()
{
    m_socket.async_read_some(
            boost::asio::buffer(m_buffer),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                self->handleRead(error, bytes);
            });
}

/// Waits on an idle connection. Bytes that arrive before the next request belong to no request;
/// they stay in the socket, where hasReadableBytes() finds them.
void UpstreamConnection::awaitBytesOrClose()
{
    m_socket.async_wait(Tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &) {
                            if (self->m_state == State::Idle)
                                self->close();
                            else if (self->m_state == State::Calling)
                                self->read();
                        });
}

void UpstreamConnection::handleRead(const boost::system::error_code &error, std::size_t bytes)
{
    if (m_state == State::Closed)
        return;
    if (bytes > 0) {
        m_receivedAt = SystemClock::instance().now();
        m_hasRead = true;
    }
    const bool isOrderlyEnd = error == boost::asio::error::eof && !m_hasSendFailed;
    if (isOrderlyEnd)
        m_parser->handleEof();
    else if (!error)
        m_parser->feed(std::string_view(m_buffer.data(), bytes));
    if (m_state != State::Calling)
        return;
    if (m_parser->state() == ResponseParser::State::Complete)
        return finish();
    if (m_parser->state() == ResponseParser::State::Broken)
        logFault(m_parser->fault());
    if (error || m_parser->state() == ResponseParser::State::Broken)
        return fail(CallStatus::Broken);
    const bool isMoreAvailable = bytes == m_buffer.size();
    if (m_options.readInterval > absl::ZeroDuration() && !isMoreAvailable)
        readLater();
    else
        read();
}

void UpstreamConnection::readLater()
{
    m_timer.expires_after(absl::ToChronoNanoseconds(m_options.readInterval));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &timerError) {
        if (!timerError && self->m_state == State::Calling)
            self->read();
    });
}

/// Logs faults other than a lost connection, which the sender of the request reports.
void UpstreamConnection::logFault(ResponseFault fault) const
{
    if (fault != ResponseFault::Truncated)
        log(LogLevel::Warning, "response-unreadable",
            {{"peerAddress", m_address}, {"reason", name(fault)}});
}

bool UpstreamConnection::handleHead(const ResponseHead &head)
{
    const std::optional<int> seconds = keepAliveSeconds(head.headers.value("Keep-Alive"));
    m_keepAlive = seconds ? absl::Seconds(*seconds) : m_options.defaultKeepAlive;
    const auto current = m_handlers;
    if (!current)
        return false;
    if (current->ownerOf && !isOwn(current->ownerOf(head)))
        return false;
    if (current->onHead)
        current->onHead(head);
    return true;
}

/// A response of unknown owner belongs to the request if no other request was sent on this
/// connection, and no response to another one was received.
bool UpstreamConnection::isOwn(ResponseOwner owner)
{
    m_isOwnerUnknown = owner == ResponseOwner::Unknown;
    if (!m_isOwnerUnknown)
        return owner == ResponseOwner::ThisRequest;
    const bool isFirst = !m_isReused && !m_parser->hasSkippedResponses();
    if (!isFirst)
        log(LogLevel::Warning, "response-without-id-dropped", {{"peerAddress", m_address}});
    return isFirst;
}

bool UpstreamConnection::isReusable() const
{
    // If the request was not sent completely, the rest would become part of the next request.
    const bool isRequestSent = m_output.empty() && !m_hasSendFailed;
    // After a response to another request, or one of unknown owner, the next response may be one
    // to an earlier request.
    const bool isInStep = !m_parser->hasSkippedResponses() && !m_isOwnerUnknown;
    return m_parser->isKeepAlive() && !m_parser->hasExtraBytes() && isRequestSent && isInStep
           && m_carriedIds.size() < maxCarriedRequests;
}

void UpstreamConnection::finish()
{
    const auto handlers = std::exchange(m_handlers, nullptr);
    if (isReusable()) {
        becomeIdle();
    } else {
        close();
    }
    if (handlers)
        handlers->onEnd(CallStatus::Complete);
}

void UpstreamConnection::becomeIdle()
{
    m_state = State::Idle;
    m_idleSince = SystemClock::instance().now();
    awaitBytesOrClose();
    m_listener(shared_from_this(), true);
}

void UpstreamConnection::fail(CallStatus status)
{
    if (m_state == State::Closed)
        return;
    const auto handlers = std::exchange(m_handlers, nullptr);
    const auto established = std::exchange(m_established, nullptr);
    reset();
    if (handlers)
        handlers->onEnd(status);
    if (established)
        established(false);
}

void UpstreamConnection::failMalformed(const Failure &failure)
{
    log(LogLevel::Warning, "request-malformed",
        {{"peerAddress", m_address}, {"reason", failure.detail}});
    // Deferred, because the caller does not have the id of the call yet.
    boost::asio::post(m_socket.get_executor(),
                      [self = shared_from_this()] { self->fail(CallStatus::Malformed); });
}

void UpstreamConnection::reset()
{
    if (m_state != State::Closed)
        discard(m_socket);
    close();
}

void UpstreamConnection::discardHandshakes()
{
    for (const std::shared_ptr<Tcp::socket> &socket : std::exchange(m_handshakes, {}))
        discard(*socket);
}

void UpstreamConnection::close()
{
    if (m_state == State::Closed)
        return;
    const auto self = shared_from_this();
    m_state = State::Closed;
    m_handlers.reset();
    m_writer = nullptr;
    m_timer.cancel();
    discardHandshakes();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_listener(self, false);
}

} // namespace rattanrill::net

#include "serverconnection.h"

#include "serverexchange.h"
#include "socketoptions.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/logger.h"

#include "absl/strings/str_format.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace rattanrill::net {
namespace {

/// Maximum number of bytes of following requests that are buffered while a request is served.
constexpr std::size_t maxReadAheadBytes = 64 * 1024;
/// Time within which the first request of a new connection is expected. It covers round trips
/// within a region.
constexpr absl::Duration firstRequestDelay = absl::Milliseconds(200);
/// Time within which the next request of a client is expected that sends it as soon as it has read
/// the last response. It covers the round trip and the time that the client needs between both.
constexpr absl::Duration nextRequestDelay = absl::Milliseconds(500);
/// Number of reads after which other connections get their turn.
constexpr int maxReadsAtOnce = 16;
/// Maximum time for which the connection stays open after the last response was sent, so that the
/// client can read the response and close the connection.
constexpr absl::Duration closeTimeout = absl::Seconds(2);
/// The same while the client is still sending a body that was refused.
constexpr absl::Duration maxCloseTime = absl::Seconds(10);
/// Number of bytes of a refused request that are read and dropped beyond two bodies within the
/// limit, so that a client that sends its body before it reads gets the response.
constexpr std::size_t extraDiscardedBytes = std::size_t(64) << 10;
/// Number of received bytes that count as progress of a request. A client that sends single bytes
/// could otherwise hold memory for any time.
constexpr std::size_t minProgressBytes = 4096;
/// Status of a request that was refused before it ran, not because of a fault of it.
constexpr int statusUnavailable = 503;
/// Retry-After of a request that was refused because the process has too little memory for it.
constexpr int memoryRetryAfterSeconds = 1;
/// A client that accepts no bytes of a response for this long is treated as disconnected.
constexpr absl::Duration sendTimeout = absl::Seconds(15);

/// Time without a segment of a client after which TCP sends a keep-alive probe.
constexpr int keepAliveIdleSeconds = 2;

constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace

ServerConnection::ServerConnection(boost::asio::ip::tcp::socket socket,
                                   std::shared_ptr<SharedServerState> shared)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_shared(std::move(shared))
    , m_parser(RequestLimits{m_shared->limits.maxHeaderBytes, m_shared->limits.maxBodyBytes})
{}

void ServerConnection::start()
{
    prepareSocket(m_socket, keepAliveIdleSeconds);
    m_idleSince = SystemClock::instance().now();
    armTimer(m_shared->limits.idleTimeout);
    read();
}

bool ServerConnection::isIdle() const
{
    // The last test needs a system call.
    return m_phase == Phase::Idle && !expectsRequest() && !hasNextRequest();
}

bool ServerConnection::isActive() const
{
    switch (m_phase) {
    case Phase::Idle:
        return hasNextRequest() || expectsRequest();
    case Phase::Header:
    case Phase::Body:
    case Phase::Serving:
        return true;
    case Phase::Closing:
        return !m_output.empty();
    case Phase::Closed:
        return false;
    }
    return false;
}

absl::Time ServerConnection::idleSince() const
{
    return m_phase == Phase::Idle ? m_idleSince : absl::InfiniteFuture();
}

absl::Time ServerConnection::receivingProgressAt() const
{
    const bool isReceiving = m_phase == Phase::Header || m_phase == Phase::Body;
    return isReceiving ? m_progressAt : absl::InfiniteFuture();
}

void ServerConnection::endRequests()
{
    if (m_phase == Phase::Header || m_phase == Phase::Body)
        return refuse(statusUnavailable);
    if (const auto exchange = m_exchange.lock())
        exchange->endWithServer();
}

bool ServerConnection::hasNextRequest() const
{
    return m_parser.state() != RequestParser::State::Idle || hasUnreadBytes();
}

/// Whether the connection is idle for so short a time that a request may be on its way.
bool ServerConnection::expectsRequest() const
{
    const absl::Duration delay = m_hasServed ? nextRequestDelay : firstRequestDelay;
    return SystemClock::instance().now() - m_idleSince < delay;
}

bool ServerConnection::hasUnreadBytes() const
{
    boost::system::error_code error;
    return m_socket.available(error) > 0 && !error;
}

std::shared_ptr<Exchange> ServerConnection::openExchange() const
{
    return m_exchange.lock();
}

void ServerConnection::read()
{
    if (m_reading || m_phase == Phase::Closed || !mayRead())
        return;
    m_reading = true;
    // Bytes stay in the socket until they are parsed, so that hasNextRequest() always sees them. A
    // read could complete earlier than its handler is called.
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &error) {
                            self->m_reading = false;
                            if (self->m_phase == Phase::Closed)
                                return;
                            if (error)
                                return self->handleDisconnect();
                            self->receive();
                            self->read();
                        });
}

/// Reads what has arrived, at most maxReadsAtOnce times the size of the buffer.
void ServerConnection::receive()
{
    bool isMoreAvailable = true;
    for (int reads = 0; isMoreAvailable && reads < maxReadsAtOnce; ++reads) {
        boost::system::error_code error;
        auto &buffer = m_shared->readBuffer;
        const std::size_t bytes = m_socket.read_some(boost::asio::buffer(buffer), error);
        if (error == boost::asio::error::would_block)
            return;
        if (error)
            return handleDisconnect();
        isMoreAvailable = bytes == buffer.size();
        handleBytes(std::string_view(buffer.data(), bytes));
        if (m_phase == Phase::Closed || !mayRead())
            return;
    }
}

/// Whether bytes may be read: not too many of them wait for the end of the current request.
bool ServerConnection::mayRead() const
{
    if (m_phase == Phase::Serving && m_discardedBytes > maxDiscarded())
        return false;
    return m_parser.pendingBytes() <= maxReadAheadBytes;
}

/// Number of bytes of refused requests that are read and dropped. A client that is still sending a
/// body within the limits gets the response.
std::size_t ServerConnection::maxDiscarded() const
{
    return 2 * m_shared->limits.maxBodyBytes + extraDiscardedBytes;
}

void ServerConnection::handleBytes(std::string_view bytes)
{
    // The request behind the one that is served may have been refused already.
    if (m_phase == Phase::Closing || m_parser.state() == RequestParser::State::Refused)
        return discard(bytes.size());
    m_parser.feed(bytes);
    m_receivedBytes += bytes.size();
    if (m_receivedBytes >= minProgressBytes)
        recordProgress();
    if (m_phase == Phase::Serving)
        handleReadAhead();
    else
        handleParserState();
}

void ServerConnection::recordProgress()
{
    m_receivedBytes = 0;
    m_progressAt = SystemClock::instance().now();
    if (m_receivedShare)
        m_receivedShare->recordProgress();
}

/// Counts what has arrived of the next request while the current one is served.
void ServerConnection::handleReadAhead()
{
    if (!countReceived())
        giveUpRequest();
}

/// Returns false when the process has too little memory for the request.
bool ServerConnection::countReceived()
{
    if (!m_shared->memory)
        return true;
    if (!m_receivedShare)
        m_receivedShare = std::make_unique<MemoryShare>(m_shared->memory, MemoryUse::Receiving,
                                                        [weak = weak_from_this()] {
                                                            if (const auto self = weak.lock())
                                                                self->giveUpRequest();
                                                        });
    return m_receivedShare->resize(m_parser.pendingBytes() + parsedCost());
}

/// Returns the bytes to count for the request that is being parsed, without what has not been
/// parsed.
std::size_t ServerConnection::parsedCost() const
{
    return m_parser.headerBytes() + requestCost(m_parser.bodyBytes());
}

/// Frees the request that is being received; it has not run. The refusal is sent later, because
/// another connection may be at work, or once the request before it has been answered.
void ServerConnection::giveUpRequest()
{
    m_parser.abandon(statusUnavailable);
    m_receivedShare.reset();
    if (m_phase != Phase::Header && m_phase != Phase::Body)
        return;
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_phase == Phase::Header || self->m_phase == Phase::Body)
            self->handleParserState();
    });
}

/// Drops bytes that arrive after the last response, or of a request that is refused already.
void ServerConnection::discard(std::size_t bytes)
{
    m_discardedBytes += bytes;
    if (m_phase != Phase::Closing)
        return;
    if (m_discardedBytes > maxDiscarded())
        return close();
    // While the response is being sent, its timer applies.
    if (!m_writing)
        armCloseTimer();
}

/// Continues with the current request according to the state of the parser.
void ServerConnection::handleParserState()
{
    const Phase previousPhase = m_phase;
    if (previousPhase == Phase::Idle)
        m_progressAt = SystemClock::instance().now();
    const RequestParser::State state = m_parser.state();
    const bool hasRequest =
            state != RequestParser::State::Idle && state != RequestParser::State::Refused;
    if (hasRequest && !countReceived())
        return refuse(statusUnavailable, memoryRetryAfterSeconds);
    switch (state) {
    case RequestParser::State::Idle:
        return;
    case RequestParser::State::Header:
        m_phase = Phase::Header;
        if (previousPhase == Phase::Idle)
            armTimer(m_shared->limits.headerTimeout);
        return;
    case RequestParser::State::Body:
        m_phase = Phase::Body;
        armTimer(m_shared->limits.idleTimeout);
        if (m_parser.takeExpectContinue())
            send("HTTP/1.1 100 Continue\r\n\r\n");
        return;
    case RequestParser::State::Complete:
        return serve();
    case RequestParser::State::Refused:
        return refuse(m_parser.status(),
                      m_parser.status() == statusUnavailable ? memoryRetryAfterSeconds : 0);
    }
}

void ServerConnection::serve()
{
    m_phase = Phase::Serving;
    m_hasServed = true;
    disarmTimer();
    m_keepAlive = m_parser.isKeepAlive();
    m_isStream = false;
    m_responseComplete = false;
    ++m_shared->openRequests;
    if (m_receivedShare) {
        m_receivedShare->resize(parsedCost());
        m_receivedShare->startRunning();
    }
    auto exchange = std::make_shared<ServerExchange>(shared_from_this(), m_parser.take(),
                                                     SystemClock::instance().now(),
                                                     std::move(m_receivedShare));
    m_exchange = exchange;
    // What has arrived behind this request belongs to the next one.
    if (m_parser.state() != RequestParser::State::Idle)
        handleReadAhead();
    m_shared->handler(std::move(exchange));
}

void ServerConnection::refuse(int status, int retryAfterSeconds)
{
    Response response = textResponse(status, concat(reasonPhrase(status), "\n"), "text/plain");
    response.head.headers.add("Connection", "close");
    response.head.headers.add("Content-Length", std::to_string(response.body.size()));
    if (retryAfterSeconds > 0)
        response.head.headers.add("Retry-After", std::to_string(retryAfterSeconds));
    m_phase = Phase::Closing;
    m_parser.abandon(status);
    m_receivedShare.reset();
    armCloseTimer();
    const Outcome<std::string> head = serialize(response.head);
    if (!head.ok())
        return abortMalformed(head.failure());
    send(head.value() + response.body);
}

std::optional<std::string> ServerConnection::framedHead(ResponseHead head, std::string_view framing)
{
    // Only whole seconds can be announced.
    const std::int64_t idleSeconds = absl::ToInt64Seconds(m_shared->limits.idleTimeout);
    // A request that was pipelined behind this one has been read and must be answered too.
    m_keepAlive = m_keepAlive && (hasNextRequest() || (!m_shared->draining && idleSeconds > 0));
    if (!m_keepAlive)
        head.headers.add("Connection", "close");
    else if (idleSeconds > 0)
        head.headers.add("Keep-Alive", concat("timeout=", idleSeconds));
    m_announcedIdleTimeout = absl::Seconds(idleSeconds);
    Outcome<std::string> serialized = serialize(head);
    if (!serialized.ok()) {
        abortMalformed(serialized.failure());
        return std::nullopt;
    }
    std::string text = std::move(serialized.value());
    // Removes the empty line that ends the header section, so that one more header can follow.
    text.resize(text.size() - 2);
    text += framing;
    text += "\r\n\r\n";
    return text;
}

void ServerConnection::respond(Response response)
{
    if (m_phase != Phase::Serving)
        return;
    // The client would read the response as a part of the stream.
    if (m_isStream)
        return abort();
    const auto head =
            framedHead(std::move(response.head), concat("Content-Length: ", response.body.size()));
    if (!head)
        return;
    m_output.append(*head);
    m_responseComplete = true;
    endExchange();
    send(std::move(response.body));
}

void ServerConnection::startStream(ResponseHead head)
{
    if (m_phase != Phase::Serving)
        return;
    m_isStream = true;
    if (auto text = framedHead(std::move(head), "Transfer-Encoding: chunked"))
        send(std::move(*text));
}

void ServerConnection::write(std::string_view bytes)
{
    if (m_phase != Phase::Serving || bytes.empty())
        return;
    send(concat(absl::StrFormat("%x\r\n", bytes.size()), bytes, "\r\n"));
}

void ServerConnection::finish()
{
    if (m_phase != Phase::Serving)
        return;
    m_responseComplete = true;
    endExchange();
    send(std::string(lastChunk));
}

void ServerConnection::abort()
{
    close();
}

void ServerConnection::abortMalformed(const Failure &failure)
{
    log(LogLevel::Error, "response-malformed", {{"reason", failure.detail}});
    abort();
}

void ServerConnection::endExchange()
{
    m_exchange.reset();
    --m_shared->openRequests;
}

void ServerConnection::send(std::string bytes)
{
    if (m_phase == Phase::Closed || m_isGivenUp)
        return;
    m_output.append(std::move(bytes));
    if (m_writing)
        countUnsent();
    else
        flush();
}

void ServerConnection::countUnsent()
{
    if (!m_shared->memory)
        return;
    if (!m_unsentShare)
        m_unsentShare = std::make_unique<MemoryShare>(m_shared->memory, MemoryUse::Unsent,
                                                      [weak = weak_from_this()] {
                                                          if (const auto self = weak.lock())
                                                              self->giveUpResponse();
                                                      });
    if (!m_unsentShare->resize(m_output.heldBytes()))
        giveUpResponse();
}

/// Frees what the client has not accepted and closes the connection. The handler is called later,
/// because the exchange may just be writing.
void ServerConnection::giveUpResponse()
{
    m_isGivenUp = true;
    m_output.clear();
    boost::asio::post(m_socket.get_executor(),
                      [self = shared_from_this()] { self->handleDisconnect(); });
}

/// Writes what the socket accepts immediately, and waits on the event loop only for the rest.
void ServerConnection::flush()
{
    if (m_isGivenUp)
        return;
    const std::size_t unsentBefore = m_output.bytes();
    const boost::system::error_code error = m_output.sendTo(m_socket);
    if (m_output.empty()) {
        m_unsentShare.reset();
        return handleFlushed();
    }
    if (error != boost::asio::error::would_block)
        return handleDisconnect();
    if (m_unsentShare && m_output.bytes() < unsentBefore)
        m_unsentShare->recordProgress();
    countUnsent();
    if (m_isGivenUp)
        return;
    m_writing = true;
    armTimer(sendTimeout);
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_write,
                        [self = shared_from_this()](const boost::system::error_code &waitError) {
                            self->m_writing = false;
                            if (self->m_phase == Phase::Closed)
                                return;
                            if (waitError)
                                return self->handleDisconnect();
                            self->flush();
                        });
}

void ServerConnection::handleFlushed()
{
    if (m_phase == Phase::Serving && !m_responseComplete)
        disarmTimer();
    if (m_phase == Phase::Closing)
        return shutdownSend();
    if (m_phase == Phase::Serving && m_responseComplete)
        endRequest();
}

/// Closes only the sending direction; the client closes the connection when it has read everything.
/// A full close could reset the connection and lose bytes that the client has not read yet.
void ServerConnection::shutdownSend()
{
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    armCloseTimer();
}

void ServerConnection::endRequest()
{
    if (!m_keepAlive) {
        m_phase = Phase::Closing;
        // What was pipelined behind the last request is not served.
        m_parser.abandon(statusUnavailable);
        m_receivedShare.reset();
        shutdownSend();
        return read();
    }
    m_phase = Phase::Idle;
    m_idleSince = SystemClock::instance().now();
    armTimer(std::max(m_announcedIdleTimeout, m_shared->limits.idleTimeout));
    if (m_parser.state() == RequestParser::State::Complete)
        postNextRequest();
    else
        handleParserState();
    read();
}

/// Serves the next request from the event loop. The current one may have been answered by its
/// handler, inside which any number of pipelined requests would be served otherwise.
void ServerConnection::postNextRequest()
{
    m_phase = Phase::Body;
    m_progressAt = SystemClock::instance().now();
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_phase == Phase::Body)
            self->handleParserState();
    });
}

/// Gives the client time to read the response, and more time while it is still sending its body.
void ServerConnection::armCloseTimer()
{
    const absl::Time now = SystemClock::instance().now();
    m_closeDeadline = std::min(m_closeDeadline, now + maxCloseTime);
    armTimer(std::min(closeTimeout, m_closeDeadline - now));
}

void ServerConnection::armTimer(absl::Duration delay)
{
    m_timer.expires_after(absl::ToChronoNanoseconds(delay));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        // When the timer is set again or disarmed after it has expired, the handler of the earlier
        // wait may already be queued and is called without an error.
        if (!error && self->isTimerExpired())
            self->handleTimeout();
    });
}

bool ServerConnection::isTimerExpired() const
{
    return m_timer.expiry() <= std::chrono::steady_clock::now();
}

void ServerConnection::disarmTimer()
{
    // A canceled timer would keep its expiry, by which a queued handler sees that it has expired.
    m_timer.expires_at(std::chrono::steady_clock::time_point::max());
}

void ServerConnection::handleTimeout()
{
    logTimeout();
    const bool isReceiving =
            m_phase == Phase::Idle || m_phase == Phase::Header || m_phase == Phase::Body;
    // What has arrived may not have been read because the event loop was busy.
    if (isReceiving && hasUnreadBytes()) {
        receive();
        if (!isTimerExpired())
            return;
    }
    if (m_phase == Phase::Header || m_phase == Phase::Body)
        return refuse(408);
    if (m_phase == Phase::Serving)
        return handleDisconnect();
    close();
}

/// Logs timeouts that end a request, or that may. A timeout of an idle connection is ordinary.
void ServerConnection::logTimeout() const
{
    boost::system::error_code ignored;
    const std::size_t unreadBytes = m_socket.available(ignored);
    if (m_phase == Phase::Closing || (m_phase == Phase::Idle && unreadBytes == 0))
        return;
    log(LogLevel::Warning, "connection-timed-out",
        {{"phase", name(m_phase)},
         {"unsentBytes", static_cast<std::int64_t>(m_output.bytes())},
         {"unreadBytes", static_cast<std::int64_t>(unreadBytes)}});
}

std::string_view ServerConnection::name(Phase phase)
{
    static constexpr std::array<EnumName<Phase>, 6> names = {{
            {Phase::Idle, "idle"},
            {Phase::Header, "header"},
            {Phase::Body, "body"},
            {Phase::Serving, "serving"},
            {Phase::Closing, "closing"},
            {Phase::Closed, "closed"},
    }};
    return nameOf(names, phase);
}

void ServerConnection::handleDisconnect()
{
    const auto exchange = m_exchange.lock();
    close();
    if (exchange)
        exchange->handleDisconnect();
}

void ServerConnection::close()
{
    if (m_phase == Phase::Closed)
        return;
    if (m_phase == Phase::Serving && !m_responseComplete)
        endExchange();
    m_phase = Phase::Closed;
    disarmTimer();
    m_receivedShare.reset();
    m_unsentShare.reset();
    m_output.clear();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_shared->connections.erase(shared_from_this());
}

} // namespace rattanrill::net

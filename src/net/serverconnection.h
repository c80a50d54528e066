#pragma once

#include "outputqueue.h"

#include "rattanrill/base/failure.h"
#include "rattanrill/net/memorybudget.h"
#include "rattanrill/net/requestparser.h"
#include "rattanrill/net/server.h"

#include "absl/time/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace rattanrill::net {

class ServerConnection;

/// State shared by the connections of one server.
struct SharedServerState
{
    Server::Handler handler;
    ServerLimits limits;
    /// Null if the memory is not bounded.
    std::shared_ptr<MemoryBudget> memory;
    /// Bytes are parsed as soon as they have been read, so all connections share one buffer.
    std::array<char, 8192> readBuffer;
    std::set<std::shared_ptr<ServerConnection>> connections;
    std::size_t openRequests = 0;
    bool draining = false;
};

/// Connection of a client. ServerExchange is the Exchange of its current request.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(boost::asio::ip::tcp::socket socket,
                     std::shared_ptr<SharedServerState> shared);

    void start();
    /// Whether the connection has no request, not even one that has not been read yet or may be on
    /// its way.
    bool isIdle() const;
    /// Whether the connection has a request, a response that has not been sent completely, or a
    /// request may be on its way.
    bool isActive() const;
    /// When the connection became idle; infinite future while it has a request.
    absl::Time idleSince() const;
    /// When the request that is being received last made progress; infinite future if there is
    /// none.
    absl::Time receivingProgressAt() const;
    bool hasUnreadBytes() const;
    /// Whether a request was served on the connection.
    bool hasServed() const { return m_hasServed; }
    /// Ends the current request with a response or by aborting its stream.
    void endRequests();
    /// Exchange of the current request; null when none is open.
    std::shared_ptr<Exchange> openExchange() const;
    void close();

    // Called by the exchange of the current request.
    void respond(Response response);
    void startStream(ResponseHead head);
    void write(std::string_view bytes);
    void finish();
    void abort();
    std::size_t unsentBytes() const { return m_output.bytes(); }

private:
    friend class ServerExchange;

    /// handleParserState() leads from Idle to Header and Body, serve() to Serving, endRequest()
    /// from there back to Idle, to Body if the next request is complete, or to Closing. refuse()
    /// leads to Closing and close() to Closed, both from each phase.
    enum class Phase {
        Idle,
        Header,
        /// The header is complete, and the request has not been passed to the handler.
        Body,
        /// The handler is processing the request.
        Serving,
        /// The last response is being sent, or was sent and the client has not closed the
        /// connection yet.
        Closing,
        Closed,
    };

    /// Whether a part of the next request has arrived, even if it has not been read yet.
    bool hasNextRequest() const;
    bool expectsRequest() const;
    void read();
    bool mayRead() const;
    std::size_t maxDiscarded() const;
    void receive();
    void handleBytes(std::string_view bytes);
    void handleParserState();
    void handleReadAhead();
    void recordProgress();
    bool countReceived();
    std::size_t parsedCost() const;
    void giveUpRequest();
    void serve();
    void refuse(int status, int retryAfterSeconds = 0);
    void discard(std::size_t bytes);
    void send(std::string bytes);
    void flush();
    void countUnsent();
    void giveUpResponse();
    void handleFlushed();
    void endRequest();
    void postNextRequest();
    void shutdownSend();
    void armCloseTimer();
    void armTimer(absl::Duration delay);
    void disarmTimer();
    bool isTimerExpired() const;
    void handleTimeout();
    void logTimeout() const;
    static std::string_view name(Phase phase);
    void handleDisconnect();
    void endExchange();
    /// Serializes \a head, with the headers that control keep-alive and the header \a framing.
    /// Closes the connection and returns nullopt if the head can't be written as HTTP.
    std::optional<std::string> framedHead(ResponseHead head, std::string_view framing);
    void abortMalformed(const Failure &failure);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<SharedServerState> m_shared;
    RequestParser m_parser;
    /// Memory of the request that is being received; null if nothing of it is counted.
    std::unique_ptr<MemoryShare> m_receivedShare;
    /// Number of bytes received since the request made progress.
    std::size_t m_receivedBytes = 0;
    /// When the request that is being received began or last made progress.
    absl::Time m_progressAt;
    /// When the connection is closed although the client is still sending.
    absl::Time m_closeDeadline = absl::InfiniteFuture();
    Phase m_phase = Phase::Idle;
    /// When the connection was accepted or its last response had been sent.
    absl::Time m_idleSince;
    bool m_hasServed = false;
    /// Bytes that have not been sent yet.
    OutputQueue m_output;
    /// Memory of m_output; null if nothing of it is counted.
    std::unique_ptr<MemoryShare> m_unsentShare;
    /// Whether the rest of the response was given up; the connection is about to be closed.
    bool m_isGivenUp = false;
    /// Number of bytes that were dropped after the last response or of a refused request.
    std::size_t m_discardedBytes = 0;
    bool m_writing = false;
    bool m_reading = false;
    bool m_keepAlive = true;
    /// Time for which the head of the last response announced that the connection is kept.
    absl::Duration m_announcedIdleTimeout;
    bool m_isStream = false;
    /// Whether the handler has completed the response. A part of it may not have been sent yet.
    bool m_responseComplete = false;
    std::weak_ptr<class ServerExchange> m_exchange;
};

} // namespace rattanrill::net

#include "callerserver.h"

#include "connectionqueue.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include "absl/time/clock.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace rattanrill::entry {
namespace {

/// Replaces the backlog of 5 with which httplib listens. In a burst, connections beyond the backlog
/// would be delayed until the client resends its SYN.
constexpr int listenBacklog = 512;
/// Time for which a shutdown waits for a request on a connection that the caller may still use: one
/// that was accepted just before the listener closed, or whose last response, sent less than this
/// time ago, did not announce the close.
constexpr absl::Duration lateRequestTimeout = absl::Seconds(1);
constexpr std::size_t requestIdBytes = 12;
constexpr int statusBadRequest = 400;

thread_local ConnectionStream *currentConnection = nullptr;
thread_local std::string currentRequestId;

/// Returns the time until \a end, at least zero.
absl::Duration remainingTime(absl::Time end)
{
    return std::max(end - absl::Now(), absl::ZeroDuration());
}

void setNoDelay(int socket)
{
    const int yes = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

ErrorCode codeOfStatus(int status)
{
    constexpr int notFound = 404;
    constexpr int tooLarge = 413;
    if (status == notFound)
        return ErrorCode::UnknownRoute;
    if (status == tooLarge)
        return ErrorCode::BodyTooLarge;
    return status >= statusBadRequest && status < 500 ? ErrorCode::InvalidRequest
                                                      : ErrorCode::Internal;
}

} // namespace

CallerServer::CallerServer(http::ServerOptions options)
    : m_options(options)
{
    http::configureServer(*this, m_options);
    new_task_queue = [limit = m_options.maxConnections] { return new ConnectionQueue(limit); };
    set_post_routing_handler([this](const httplib::Request &, httplib::Response &response) {
        completeHeaders(response);
    });
    // httplib calls this for every response with an error status. Failures that the handlers send
    // have a body already; httplib's own have none and get one here, and so does a response of a
    // service that has an error status and no body.
    set_error_handler([](const httplib::Request &, httplib::Response &response) {
        if (!response.body.empty() || response.content_provider_)
            return;
        const int status = response.status;
        http::sendFailure(
                response,
                notRun(codeOfStatus(status),
                       concat("the request failed without error details, with status ", status)),
                currentRequestId);
        response.status = status;
    });
    set_exception_handler(
            [](const httplib::Request &, httplib::Response &response, const std::exception_ptr &) {
                http::sendFailure(response,
                                  mayHaveRun(ErrorCode::Internal,
                                             "the handler of the request threw an exception"),
                                  currentRequestId);
            });
}

CallerServer::~CallerServer()
{
    if (!m_thread.joinable())
        return;
    closeAfterResponses();
    closeListener();
    finish(absl::ZeroDuration());
}

Result<void> CallerServer::start(const std::string &host, int port)
{
    if (port == 0)
        m_port = bind_to_any_port(host);
    else if (bind_to_port(host, port))
        m_port = port;
    if (m_port <= 0)
        return fail(notRun(ErrorCode::AddressInUse, concat("cannot listen on ", host, ":", port)));
    ::listen(svr_sock_, listenBacklog);
    m_thread = std::thread([this] {
        listen_after_bind();
        m_ended.Notify();
    });
    return {};
}

void CallerServer::closeAfterResponses()
{
    m_connections.closeAfterResponses();
}

void CallerServer::closeListener()
{
    // httplib's stop() would also abort running streams. The shutdown of the listening socket makes
    // the accepting thread end, which closes the socket.
    ::shutdown(svr_sock_, SHUT_RDWR);
}

bool CallerServer::awaitRequests(absl::Duration timeout)
{
    m_connections.closeIdle();
    if (!m_thread.joinable() || m_ended.WaitForNotificationWithTimeout(timeout))
        return true;
    // The other connections only wait for their callers to close them.
    return m_connections.busy() == 0;
}

bool CallerServer::finish(absl::Duration timeout)
{
    const bool finished = awaitRequests(timeout);
    if (!finished) {
        // httplib ends running streams when the listening socket is invalid.
        svr_sock_ = INVALID_SOCKET;
        m_connections.abortAll();
    }
    if (m_thread.joinable())
        m_thread.join();
    return finished;
}

ConnectionStream &CallerServer::connection()
{
    return *currentConnection;
}

const std::string &CallerServer::requestId()
{
    return currentRequestId;
}

bool CallerServer::process_and_close_socket(socket_t socket)
{
    setNoDelay(socket);
    ConnectionStream stream(socket, m_options.ioTimeout);
    currentConnection = &stream;
    if (ConnectionQueue::refusing())
        refuse(stream);
    else
        serve(stream);
    currentConnection = nullptr;
    stream.drainAndClose();
    return true;
}

void CallerServer::serve(ConnectionStream &stream)
{
    const int socket = stream.socket();
    m_connections.add(socket);
    absl::Time idleSince = absl::InfiniteFuture();
    bool keepAlive = true;
    while (keepAlive && awaitRequest(stream, idleSince)) {
        m_connections.markBusy(socket);
        keepAlive = serveOne(stream);
        m_connections.markExpecting(socket);
        idleSince = absl::Now();
    }
    m_connections.remove(socket);
}

bool CallerServer::awaitRequest(ConnectionStream &stream, absl::Time idleSince)
{
    using WaitResult = ConnectionStream::WaitResult;
    if (!m_connections.closingIdle()) {
        const WaitResult result =
                stream.waitForRequest(m_options.keepAliveTimeout, m_connections.closeIdleEvent());
        if (result != WaitResult::Interrupted)
            return result == WaitResult::Request;
    }
    return awaitLateRequest(stream, idleSince);
}

bool CallerServer::awaitLateRequest(ConnectionStream &stream, absl::Time idleSince)
{
    using WaitResult = ConnectionStream::WaitResult;
    idleSince = std::min(idleSince, absl::Now());
    const absl::Duration lateTime = remainingTime(idleSince + lateRequestTimeout);
    if (stream.waitForRequest(lateTime) == WaitResult::Request)
        return true;
    m_connections.markIdle(stream.socket());
    // The caller may use the connection for the announced time as long as the process runs.
    const absl::Duration keptTime = remainingTime(idleSince + m_options.keepAliveTimeout);
    return stream.waitForRequest(keptTime, m_connections.allIdleEvent()) == WaitResult::Request;
}

bool CallerServer::serveOne(ConnectionStream &stream)
{
    currentRequestId = "req-" + randomHex(requestIdBytes);
    bool closed = false;
    const bool responded = process_request(stream, false, closed, nullptr);
    return responded && !closed && !stream.closing();
}

void CallerServer::completeHeaders(httplib::Response &response) const
{
    response.set_header("X-Request-Id", currentRequestId);
    // Decided when the head is written: the shutdown may begin while the request runs. Only whole
    // seconds can be announced.
    if (m_connections.closingAfterResponses() || m_options.keepAliveTimeout < absl::Seconds(1))
        currentConnection->closeAfterResponse();
    if (!currentConnection->closing())
        return;
    response.headers.erase("Keep-Alive");
    response.headers.erase("Connection");
    response.set_header("Connection", "close");
}

void CallerServer::refuse(ConnectionStream &stream) const
{
    const std::string requestId = "req-" + randomHex(requestIdBytes);
    const Failure failure =
            notRun(ErrorCode::Overloaded, concat("this instance already serves its limit of ",
                                                 m_options.maxConnections, " connections"));
    const std::string body = http::errorBody(failure, requestId);
    stream.write(concat("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n",
                        "Retry-After: 1\r\nX-Request-Id: ", requestId,
                        "\r\nConnection: close\r\nContent-Length: ", body.size(), "\r\n\r\n",
                        body));
}

} // namespace rattanrill::entry

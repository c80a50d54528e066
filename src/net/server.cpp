#include "rattanrill/net/server.h"

#include "serverconnection.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/net/address.h"

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace rattanrill::net {
namespace {

using Tcp = boost::asio::ip::tcp;

/// Delay before accepting again after an error, such as a lack of file descriptors.
constexpr absl::Duration acceptRetryDelay = absl::Milliseconds(50);
constexpr absl::Duration refusalLogPeriod = absl::Seconds(1);
/// Number of connections after which the event loop turns to other work.
constexpr int maxAcceptsAtOnce = 64;
/// Time without progress after which a connection may be closed for a new one while it receives a
/// request. A client that sends makes progress within this time also over a slow link.
constexpr absl::Duration receivingStallTime = absl::Seconds(1);

} // namespace

struct Server::Impl : std::enable_shared_from_this<Server::Impl>
{
    Impl(EventLoop &loop, Handler handler)
        : loop(loop)
        , acceptor(loop.ioContext())
        , shared(std::make_shared<SharedServerState>())
    {
        shared->handler = std::move(handler);
    }

    Result<void> listen(const std::string &text)
    {
        BOOST_LEAF_AUTO(address, parseAddress(text));
        boost::system::error_code error;
        const auto host = boost::asio::ip::make_address(address.host, error);
        if (error)
            return fail(
                    notRun(ErrorCode::InvalidArgument,
                           concat("\"", text, "\" does not have a numeric IP address as host")));
        const Tcp::endpoint endpoint(host, address.port);
        acceptor.open(endpoint.protocol(), error);
        if (!error)
            acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor.bind(endpoint, error);
        if (!error)
            acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
        if (!error)
            acceptor.non_blocking(true, error);
        // Without this option, accept() waits for the next connection after an aborted one.
        if (!error)
            acceptor.set_option(boost::asio::socket_base::enable_connection_aborted(true), error);
        if (error)
            return fail(notRun(ErrorCode::AddressInUse,
                               concat("cannot listen on ", text, ": ", error.message())));
        accept();
        return {};
    }

    void accept()
    {
        // Connections stay in the queue of the operating system until they are added, so that
        // acceptPending() always sees them. An accept could complete before its handler is called.
        acceptor.async_wait(Tcp::acceptor::wait_read,
                            [self = shared_from_this()](const boost::system::error_code &error) {
                                if (!error && self->acceptor.is_open())
                                    self->handleAcceptable();
                            });
    }

    void handleAcceptable()
    {
        if (acceptPending(maxAcceptsAtOnce))
            return accept();
        loop.timers().subscribeOnce(acceptRetryDelay,
                                    [self = shared_from_this()] { self->accept(); });
    }

    /// Adds the connections that wait to be accepted, after at most \a maxAccepts attempts. Returns
    /// false after an error.
    bool acceptPending(int maxAccepts)
    {
        for (int accepts = 0; accepts < maxAccepts && acceptor.is_open(); ++accepts) {
            boost::system::error_code error;
            Tcp::socket socket(loop.ioContext());
            acceptor.accept(socket, error);
            if (error == boost::asio::error::would_block)
                break;
            if (error == boost::asio::error::connection_aborted)
                continue;
            const bool lacksDescriptors =
                    error == boost::asio::error::no_descriptors
                    || error == boost::system::errc::too_many_files_open_in_system;
            if (lacksDescriptors && closeForNewConnection())
                continue;
            if (error) {
                logRefused("accept-failed", error.message());
                return false;
            }
            add(std::move(socket));
        }
        return true;
    }

    void add(Tcp::socket socket)
    {
        if (shared->connections.size() >= shared->limits.maxConnections && !closeForNewConnection())
            return logRefused("connection-refused", "the limit of connections is reached");
        auto connection = std::make_shared<ServerConnection>(std::move(socket), shared);
        shared->connections.insert(connection);
        connection->start();
    }

    /// Closes the connection that a new one needs most. Returns false if there is none.
    bool closeForNewConnection()
    {
        auto connection = longestUnused();
        if (connection == nullptr)
            connection = longestStalled();
        if (connection == nullptr)
            return false;
        connection->close();
        return true;
    }

    /// Returns the connection that has been open for the longest time without a request, or null.
    /// Connections with a response may be used again, as it has announced.
    std::shared_ptr<ServerConnection> longestUnused() const
    {
        std::shared_ptr<ServerConnection> longest;
        for (const auto &connection : shared->connections) {
            const bool isEarlier =
                    longest == nullptr || connection->idleSince() < longest->idleSince();
            if (isEarlier && !connection->hasServed() && connection->isIdle())
                longest = connection;
        }
        return longest;
    }

    /// Returns the connection whose request has stopped arriving for the longest time, or null.
    std::shared_ptr<ServerConnection> longestStalled() const
    {
        std::shared_ptr<ServerConnection> longest;
        absl::Time oldest = SystemClock::instance().now() - receivingStallTime;
        for (const auto &connection : shared->connections) {
            // What has arrived may not have been read because the event loop was busy.
            if (connection->receivingProgressAt() >= oldest || connection->hasUnreadBytes())
                continue;
            oldest = connection->receivingProgressAt();
            longest = connection;
        }
        return longest;
    }

    /// Logs at most one line a second for both events together, with the number of connections that
    /// were refused or not accepted since the last line.
    void logRefused(std::string_view event, const std::string &detail)
    {
        ++refusedConnections;
        const absl::Time now = SystemClock::instance().now();
        if (now - refusalLoggedAt < refusalLogPeriod)
            return;
        refusalLoggedAt = now;
        log(LogLevel::Warning, event,
            {{"detail", detail},
             {"connections", static_cast<std::int64_t>(shared->connections.size())},
             {"refusals", std::exchange(refusedConnections, 0)}});
    }

    /// Copy that stays valid while connections are closed, which removes them from the set.
    std::vector<std::shared_ptr<ServerConnection>> copyConnections() const
    {
        return {shared->connections.begin(), shared->connections.end()};
    }

    EventLoop &loop;
    Tcp::acceptor acceptor;
    std::shared_ptr<SharedServerState> shared;
    /// Connections that were refused since the last log line about them.
    std::int64_t refusedConnections = 0;
    absl::Time refusalLoggedAt = absl::InfinitePast();
};

Server::Server(EventLoop &loop, Handler handler)
    : m_impl(std::make_shared<Impl>(loop, std::move(handler)))
{}

Server::~Server()
{
    stop();
}

Result<void> Server::start(const std::string &address)
{
    return m_impl->listen(address);
}

int Server::port() const
{
    boost::system::error_code ignored;
    return m_impl->acceptor.local_endpoint(ignored).port();
}

void Server::setLimits(const ServerLimits &limits)
{
    m_impl->shared->limits = limits;
}

void Server::setMemoryBudget(std::shared_ptr<MemoryBudget> memory)
{
    m_impl->shared->memory = std::move(memory);
}

void Server::drain()
{
    m_impl->shared->draining = true;
}

void Server::acceptPendingConnections()
{
    m_impl->acceptPending(boost::asio::socket_base::max_listen_connections);
}

void Server::closeIdleConnections()
{
    for (const auto &connection : m_impl->copyConnections()) {
        if (connection->isIdle())
            connection->close();
    }
}

bool Server::hasActiveConnections() const
{
    const auto &connections = m_impl->shared->connections;
    return std::any_of(connections.begin(), connections.end(),
                       [](const auto &connection) { return connection->isActive(); });
}

void Server::endRequests()
{
    for (const auto &connection : m_impl->copyConnections())
        connection->endRequests();
}

std::size_t Server::openRequestCount() const
{
    return m_impl->shared->openRequests;
}

std::vector<std::shared_ptr<Exchange>> Server::openExchanges() const
{
    std::vector<std::shared_ptr<Exchange>> result;
    for (const auto &connection : m_impl->shared->connections) {
        if (auto exchange = connection->openExchange())
            result.push_back(std::move(exchange));
    }
    return result;
}

std::size_t Server::connectionCount() const
{
    return m_impl->shared->connections.size();
}

void Server::stop()
{
    boost::system::error_code ignored;
    m_impl->acceptor.close(ignored);
    for (const auto &connection : m_impl->copyConnections())
        connection->close();
}

} // namespace rattanrill::net

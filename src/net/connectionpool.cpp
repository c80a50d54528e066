#include "rattanrill/net/connectionpool.h"

#include "upstreamconnection.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/base/enumnames.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace rattanrill::net {
namespace {

constexpr std::array<EnumName<CallStatus>, 5> callStatusNames = {{
        {CallStatus::Complete, "complete"},
        {CallStatus::NotConnected, "not_connected"},
        {CallStatus::Unanswered, "unanswered"},
        {CallStatus::Malformed, "malformed"},
        {CallStatus::Broken, "broken"},
}};

using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

} // namespace

std::string_view name(CallStatus status)
{
    return nameOf(callStatusNames, status);
}

std::optional<CallStatus> callStatusFromName(std::string_view name)
{
    return valueOf(callStatusNames, name);
}

struct ConnectionPool::Impl : std::enable_shared_from_this<ConnectionPool::Impl>
{
    Impl(EventLoop &loop, ConnectionPoolOptions options)
        : loop(loop)
        , options(options)
    {}

    /// Returns the most recently used idle connection that is still usable and has not carried
    /// \a requestId, or null. Reusing the most recent one lets the surplus connections expire and
    /// be closed.
    ConnectionPtr findIdle(const std::string &address, const std::optional<std::string> &requestId)
    {
        if (requestId && requestId->empty())
            return nullptr;
        const absl::Time now = SystemClock::instance().now();
        // A copy, because closing a connection removes it from the list.
        const auto candidates = idle[address];
        for (auto it = candidates.rbegin(); it != candidates.rend(); ++it) {
            const ConnectionPtr &connection = *it;
            if (!connection->isUsable(now))
                connection->close();
            else if (!requestId || !connection->hasCarried(*requestId))
                return connection;
        }
        return nullptr;
    }

    void removeIdle(const ConnectionPtr &connection)
    {
        auto &idleConnections = idle[connection->address()];
        idleConnections.erase(
                std::remove(idleConnections.begin(), idleConnections.end(), connection),
                idleConnections.end());
    }

    ConnectionPtr open(const std::string &address)
    {
        ++opened;
        return std::make_shared<UpstreamConnection>(
                loop.ioContext(), address, options,
                [weak = weak_from_this()](const ConnectionPtr &connection, bool isIdle) {
                    if (const auto self = weak.lock())
                        self->handleStateChange(connection, isIdle);
                });
    }

    void handleStateChange(const ConnectionPtr &connection, bool isIdle)
    {
        if (!isIdle)
            return removeIdle(connection);
        auto &idleConnections = idle[connection->address()];
        idleConnections.push_back(connection);
        if (idleConnections.size() > options.maxIdle) {
            const ConnectionPtr oldest = idleConnections.front();
            oldest->close();
        }
    }

    void closeIdle(const std::string &address)
    {
        const auto idleConnections = std::exchange(idle[address], {});
        for (const ConnectionPtr &connection : idleConnections)
            connection->close();
        idle.erase(address);
    }

    bool hasCalls(const std::string &address) const
    {
        return std::any_of(calls.begin(), calls.end(),
                           [&](const auto &call) { return call.second->address() == address; });
    }

    /// Closes the idle connections to a retired address when no call uses it after retireDelay.
    void scheduleClose(const std::string &address)
    {
        if (retired.count(address) == 0 || hasCalls(address))
            return;
        loop.timers().subscribeOnce(options.retireDelay, [weak = weak_from_this(), address] {
            const auto self = weak.lock();
            if (!self || self->retired.count(address) == 0 || self->hasCalls(address))
                return;
            self->retired.erase(address);
            self->closeIdle(address);
        });
    }

    void removeCall(CallId id)
    {
        const auto found = calls.find(id);
        if (found == calls.end())
            return;
        const std::string address = found->second->address();
        calls.erase(found);
        scheduleClose(address);
    }

    EventLoop &loop;
    const ConnectionPoolOptions options;
    std::map<std::string, std::vector<ConnectionPtr>> idle;
    std::map<CallId, ConnectionPtr> calls;
    /// Addresses whose idle connections are to be closed.
    std::set<std::string> retired;
    CallId nextId = 1;
    std::uint64_t opened = 0;
};

ConnectionPool::ConnectionPool(EventLoop &loop, ConnectionPoolOptions options)
    : m_impl(std::make_shared<Impl>(loop, options))
{}

ConnectionPool::~ConnectionPool()
{
    stop();
}

ConnectionPool::CallId ConnectionPool::call(const std::string &address,
                                            Outcome<std::string> request, CallHandlers handlers,
                                            const std::optional<std::string> &requestId)
{
    return call(
            address, [request = std::move(request)] { return request; }, std::move(handlers),
            requestId);
}

ConnectionPool::CallId ConnectionPool::call(const std::string &address, RequestWriter writer,
                                            CallHandlers handlers,
                                            const std::optional<std::string> &requestId)
{
    const CallId id = m_impl->nextId++;
    if (m_impl->retired.erase(address) > 0)
        m_impl->closeIdle(address);
    ConnectionPtr connection = m_impl->findIdle(address, requestId);
    if (connection)
        m_impl->removeIdle(connection);
    else
        connection = m_impl->open(address);
    m_impl->calls[id] = connection;
    handlers.onEnd = [weak = std::weak_ptr<Impl>(m_impl), id,
                      onEnd = std::move(handlers.onEnd)](CallStatus result) {
        if (const auto impl = weak.lock())
            impl->removeCall(id);
        onEnd(result);
    };
    connection->call(std::move(writer), std::move(handlers), requestId.value_or(std::string()));
    return id;
}

void ConnectionPool::connect(const std::string &address, std::function<void(bool isConnected)> done)
{
    m_impl->open(address)->establish(std::move(done));
}

bool ConnectionPool::hasIdleConnection(const std::string &address,
                                       const std::optional<std::string> &requestId) const
{
    return m_impl->retired.count(address) == 0 && m_impl->findIdle(address, requestId) != nullptr;
}

void ConnectionPool::cancel(CallId call)
{
    const auto found = m_impl->calls.find(call);
    if (found == m_impl->calls.end())
        return;
    const ConnectionPtr connection = found->second;
    m_impl->removeCall(call);
    connection->reset();
}

void ConnectionPool::closeIdleConnections(const std::string &address)
{
    m_impl->closeIdle(address);
}

void ConnectionPool::retire(const std::string &address)
{
    m_impl->retired.insert(address);
    m_impl->scheduleClose(address);
}

bool ConnectionPool::hasOpenConnections(const std::string &address) const
{
    const auto idle = m_impl->idle.find(address);
    if (idle != m_impl->idle.end() && !idle->second.empty())
        return true;
    return std::any_of(m_impl->calls.begin(), m_impl->calls.end(), [&](const auto &call) {
        return call.second->address() == address && call.second->isEstablished();
    });
}

std::vector<std::optional<TcpState>> ConnectionPool::tcpStates(const std::string &address) const
{
    std::vector<std::optional<TcpState>> result;
    const auto idle = m_impl->idle.find(address);
    if (idle != m_impl->idle.end()) {
        for (const ConnectionPtr &connection : idle->second)
            result.push_back(connection->tcpState());
    }
    for (const auto &[id, connection] : m_impl->calls) {
        if (connection->address() == address && connection->isEstablished())
            result.push_back(connection->tcpState());
    }
    return result;
}

std::uint64_t ConnectionPool::connectionsOpened() const
{
    return m_impl->opened;
}

void ConnectionPool::stop()
{
    const auto calls = std::exchange(m_impl->calls, {});
    for (const auto &[id, connection] : calls)
        connection->reset();
    const auto idle = std::exchange(m_impl->idle, {});
    for (const auto &[address, connections] : idle) {
        for (const ConnectionPtr &connection : connections)
            connection->close();
    }
}

} // namespace rattanrill::net

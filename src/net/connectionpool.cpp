#include "rattanrill/net/connectionpool.h"

#include "upstreamconnection.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/base/enumnames.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>
#include <vector>

namespace rattanrill::net {
namespace {

constexpr std::array<EnumName<CallStatus>, 3> callEndNames = {{
        {CallStatus::Complete, "complete"},
        {CallStatus::NotConnected, "not_connected"},
        {CallStatus::Broken, "broken"},
}};

using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

} // namespace

std::string_view name(CallStatus status)
{
    return nameOf(callEndNames, status);
}

struct ConnectionPool::Impl : std::enable_shared_from_this<ConnectionPool::Impl>
{
    Impl(EventLoop &loop, ConnectionPoolOptions options)
        : loop(loop)
        , options(options)
    {}

    /// The connection that was used last comes first: the others then age and are closed.
    ConnectionPtr take(const std::string &address)
    {
        const absl::Time now = SystemClock::instance().now();
        auto &kept = idle[address];
        while (!kept.empty()) {
            ConnectionPtr connection = std::move(kept.back());
            kept.pop_back();
            if (connection->isUsable(now))
                return connection;
            connection->close();
        }
        return nullptr;
    }

    ConnectionPtr make(const std::string &address)
    {
        ++made;
        return std::make_shared<UpstreamConnection>(
                loop.context(), address, options,
                [weak = weak_from_this()](const ConnectionPtr &connection, bool isIdle) {
                    if (const auto self = weak.lock())
                        self->changed(connection, isIdle);
                });
    }

    void changed(const ConnectionPtr &connection, bool isIdle)
    {
        auto &kept = idle[connection->address()];
        if (!isIdle) {
            kept.erase(std::remove(kept.begin(), kept.end(), connection), kept.end());
            return;
        }
        kept.push_back(connection);
        if (kept.size() > options.maxIdle) {
            const ConnectionPtr oldest = kept.front();
            oldest->close();
        }
    }

    EventLoop &loop;
    const ConnectionPoolOptions options;
    std::map<std::string, std::vector<ConnectionPtr>> idle;
    std::map<CallId, ConnectionPtr> calls;
    CallId nextId = 1;
    std::uint64_t made = 0;
};

ConnectionPool::ConnectionPool(EventLoop &loop, ConnectionPoolOptions options)
    : m_impl(std::make_shared<Impl>(loop, options))
{}

ConnectionPool::~ConnectionPool()
{
    stop();
}

ConnectionPool::CallId ConnectionPool::call(const std::string &address, std::string request,
                                            CallHandlers handlers)
{
    const CallId id = m_impl->nextId++;
    ConnectionPtr connection = m_impl->take(address);
    if (!connection)
        connection = m_impl->make(address);
    m_impl->calls[id] = connection;
    handlers.onEnd = [weak = std::weak_ptr<Impl>(m_impl), id,
                      onEnd = std::move(handlers.onEnd)](CallStatus result) {
        if (const auto impl = weak.lock())
            impl->calls.erase(id);
        onEnd(result);
    };
    connection->call(std::move(request), std::move(handlers));
    return id;
}

void ConnectionPool::cancel(CallId call)
{
    const auto found = m_impl->calls.find(call);
    if (found == m_impl->calls.end())
        return;
    const ConnectionPtr connection = found->second;
    m_impl->calls.erase(found);
    connection->close();
}

void ConnectionPool::closeIdleConnections(const std::string &address)
{
    const auto kept = std::exchange(m_impl->idle[address], {});
    for (const ConnectionPtr &connection : kept)
        connection->close();
    m_impl->idle.erase(address);
}

std::uint64_t ConnectionPool::connectionsOpened() const
{
    return m_impl->made;
}

void ConnectionPool::stop()
{
    const auto calls = std::exchange(m_impl->calls, {});
    for (const auto &[id, connection] : calls)
        connection->close();
    const auto idle = std::exchange(m_impl->idle, {});
    for (const auto &[address, connections] : idle) {
        for (const ConnectionPtr &connection : connections)
            connection->close();
    }
}

} // namespace rattanrill::net

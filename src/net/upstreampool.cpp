#include "rattanrill/net/upstreampool.h"

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

constexpr std::array<EnumName<CallEnd>, 3> callEndNames = {{
        {CallEnd::Complete, "complete"},
        {CallEnd::NotConnected, "not_connected"},
        {CallEnd::Broken, "broken"},
}};

using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

} // namespace

std::string_view name(CallEnd end)
{
    return nameOf(callEndNames, end);
}

struct UpstreamPool::Impl : std::enable_shared_from_this<UpstreamPool::Impl>
{
    Impl(EventLoop &loop, UpstreamPoolOptions options)
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
    const UpstreamPoolOptions options;
    std::map<std::string, std::vector<ConnectionPtr>> idle;
    std::map<CallId, ConnectionPtr> calls;
    CallId nextId = 1;
    std::uint64_t made = 0;
};

UpstreamPool::UpstreamPool(EventLoop &loop, UpstreamPoolOptions options)
    : m_impl(std::make_shared<Impl>(loop, options))
{}

UpstreamPool::~UpstreamPool()
{
    stop();
}

UpstreamPool::CallId UpstreamPool::call(const std::string &address, std::string request,
                                        CallHandlers handlers)
{
    const CallId id = m_impl->nextId++;
    ConnectionPtr connection = m_impl->take(address);
    if (!connection)
        connection = m_impl->make(address);
    m_impl->calls[id] = connection;
    handlers.end = [weak = std::weak_ptr<Impl>(m_impl), id,
                    end = std::move(handlers.end)](CallEnd result) {
        if (const auto impl = weak.lock())
            impl->calls.erase(id);
        end(result);
    };
    connection->call(std::move(request), std::move(handlers));
    return id;
}

void UpstreamPool::cancel(CallId call)
{
    const auto found = m_impl->calls.find(call);
    if (found == m_impl->calls.end())
        return;
    const ConnectionPtr connection = found->second;
    m_impl->calls.erase(found);
    connection->close();
}

void UpstreamPool::drop(const std::string &address)
{
    const auto kept = std::exchange(m_impl->idle[address], {});
    for (const ConnectionPtr &connection : kept)
        connection->close();
    m_impl->idle.erase(address);
}

std::uint64_t UpstreamPool::connectionsMade() const
{
    return m_impl->made;
}

void UpstreamPool::stop()
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

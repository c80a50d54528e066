#include "rattanrill/serving/upstreamcaller.h"

#include "linkmonitor.h"

#include "rattanrill/base/clock.h"

#include <map>
#include <string_view>
#include <utility>

namespace rattanrill::serving {

struct UpstreamCaller::Impl : std::enable_shared_from_this<UpstreamCaller::Impl>
{
    struct Call
    {
        bool isForwarded = false;
        /// Id in the pool of connections or at the forwarder.
        std::uint64_t id = 0;
    };

    Impl(net::EventLoop &loop, net::ConnectionPool &connections, ForwardingClient &forwarder)
        : loop(loop)
        , connections(connections)
        , forwarder(forwarder)
        , monitor(std::make_shared<LinkMonitor>(loop, connections))
    {}

    /// Whether a connection is established on which a request may be sent now.
    bool canReuseConnection(const UpstreamTarget &target, const std::string &requestId) const
    {
        return monitor->links().canReceive()
               && connections.hasIdleConnection(target.address, requestId);
    }

    /// Whether one is established that may work, while it is not known whether the links are lost.
    bool canTryConnection(const UpstreamTarget &target, const std::string &requestId) const
    {
        return !monitor->links().isEstablishedLost() && !monitor->links().hasFailed(target.upstream)
               && connections.hasIdleConnection(target.address, requestId);
    }

    CallId callDirectly(const UpstreamTarget &target, net::RequestWriter writer,
                        net::CallHandlers handlers, const std::string &requestId)
    {
        const CallId id = nextId++;
        calls[id].id = connections.call(target.address, std::move(writer),
                                        observed(id, target, std::move(handlers)), requestId);
        return id;
    }

    /// Returns handlers that also record what the call tells about the links.
    net::CallHandlers observed(CallId id, const UpstreamTarget &target, net::CallHandlers handlers)
    {
        const std::string &upstream = target.upstream;
        net::CallHandlers result = std::move(handlers);
        result.onHead = [self = shared_from_this(), upstream,
                         onHead = std::move(result.onHead)](const net::ResponseHead &head) {
            self->monitor->recordReceived(upstream);
            if (onHead)
                onHead(head);
        };
        result.onBody = [self = shared_from_this(), upstream,
                         onBody = std::move(result.onBody)](std::string_view bytes) {
            self->monitor->recordReceived(upstream);
            if (onBody)
                onBody(bytes);
        };
        const auto isOutcomeRecorded = std::make_shared<bool>(false);
        result.onUnanswered = [self = shared_from_this(), isOutcomeRecorded, upstream,
                               address = target.address, began = SystemClock::instance().now()] {
            *isOutcomeRecorded = true;
            self->monitor->recordUnanswered(upstream, address, began);
        };
        result.mayBeSent = [self = shared_from_this(), isOutcomeRecorded,
                            mayBeSent = std::move(result.mayBeSent)] {
            *isOutcomeRecorded = true;
            self->monitor->recordConnected();
            return !mayBeSent || mayBeSent();
        };
        result.onEnd = [self = shared_from_this(), id, upstream, isOutcomeRecorded,
                        onEnd = std::move(result.onEnd)](net::CallStatus status) {
            self->calls.erase(id);
            if (status == net::CallStatus::Broken)
                self->monitor->recordBroken(upstream);
            if (status == net::CallStatus::NotConnected && !*isOutcomeRecorded)
                self->monitor->recordNotConnected(upstream);
            onEnd(status);
        };
        return result;
    }

    CallId callByForwarder(const UpstreamTarget &target, const net::RequestWriter &writer,
                           net::CallHandlers handlers, const std::string &requestId,
                           ForwardingOptions options)
    {
        const CallId id = nextId++;
        Outcome<std::string> request = writer();
        if (!request.ok())
            return endMalformed(id, std::move(handlers.onEnd));
        const ForwardedCall call{
                target.forwarderAddress,    target.upstream, target.address,    requestId,
                std::move(request.value()), target.timeout,  std::move(options)};
        handlers.onEnd = [self = shared_from_this(), id,
                          onEnd = std::move(handlers.onEnd)](net::CallStatus status) {
            self->calls.erase(id);
            onEnd(status);
        };
        calls[id] = {true, forwarder.call(call, std::move(handlers))};
        return id;
    }

    /// Deferred, because the caller does not have the id of the call yet.
    CallId endMalformed(CallId id, std::function<void(net::CallStatus)> onEnd)
    {
        calls[id] = Call();
        loop.post([self = shared_from_this(), id, onEnd = std::move(onEnd)] {
            if (self->calls.erase(id) > 0)
                onEnd(net::CallStatus::Malformed);
        });
        return id;
    }

    net::EventLoop &loop;
    net::ConnectionPool &connections;
    ForwardingClient &forwarder;
    /// Shared with its timers and with the attempts to connect that it has begun.
    std::shared_ptr<LinkMonitor> monitor;
    std::map<CallId, Call> calls;
    CallId nextId = 1;
};

UpstreamCaller::UpstreamCaller(net::EventLoop &loop, net::ConnectionPool &connections,
                               ForwardingClient &forwarder)
    : m_impl(std::make_shared<Impl>(loop, connections, forwarder))
{}

UpstreamCaller::~UpstreamCaller()
{
    stop();
}

void UpstreamCaller::setUpstreams(const std::vector<wire::FleetUpstream> &upstreams)
{
    m_impl->monitor->setUpstreams(upstreams);
}

bool UpstreamCaller::canCall(const UpstreamTarget &target, const std::string &requestId) const
{
    return !m_impl->monitor->links().isCutOff() || !target.forwarderAddress.empty()
           || m_impl->canReuseConnection(target, requestId)
           || m_impl->canTryConnection(target, requestId);
}

UpstreamCaller::CallId UpstreamCaller::call(const UpstreamTarget &target, net::RequestWriter writer,
                                            net::CallHandlers handlers,
                                            const std::string &requestId, ForwardingOptions options)
{
    const bool isForwarded = m_impl->monitor->links().isCutOff() && !target.forwarderAddress.empty()
                             && !m_impl->canReuseConnection(target, requestId);
    if (isForwarded)
        return m_impl->callByForwarder(target, writer, std::move(handlers), requestId,
                                       std::move(options));
    return m_impl->callDirectly(target, std::move(writer), std::move(handlers), requestId);
}

void UpstreamCaller::cancel(CallId call)
{
    const auto found = m_impl->calls.find(call);
    if (found == m_impl->calls.end())
        return;
    const Impl::Call cancelled = found->second;
    m_impl->calls.erase(found);
    if (cancelled.isForwarded)
        m_impl->forwarder.cancel(cancelled.id);
    else
        m_impl->connections.cancel(cancelled.id);
}

bool UpstreamCaller::isForwarded(CallId call) const
{
    const auto found = m_impl->calls.find(call);
    return found != m_impl->calls.end() && found->second.isForwarded;
}

void UpstreamCaller::probeSilent(const std::string &upstream, std::function<void()> probed)
{
    m_impl->monitor->probeSilent(upstream, std::move(probed));
}

bool UpstreamCaller::isReachable(const std::string &upstream) const
{
    return m_impl->monitor->isReachable(upstream);
}

bool UpstreamCaller::isLost(const std::string &upstream) const
{
    return m_impl->monitor->links().isEstablishedLost()
           && m_impl->monitor->links().hasFailed(upstream);
}

bool UpstreamCaller::isCutOff() const
{
    return m_impl->monitor->links().isCutOff();
}

policy::LinkState UpstreamCaller::linkState() const
{
    return m_impl->monitor->links().state();
}

void UpstreamCaller::awaitLinkChange(std::function<void()> changed)
{
    m_impl->monitor->awaitLinkChange(std::move(changed));
}

std::vector<std::string> UpstreamCaller::silentUpstreams() const
{
    return m_impl->monitor->silentUpstreams();
}

bool UpstreamCaller::canReceive() const
{
    return m_impl->monitor->links().canReceive();
}

bool UpstreamCaller::isWitness(policy::ReleaseReason reason) const
{
    return reason == policy::ReleaseReason::Unreachable ? !isCutOff() : canReceive();
}

bool UpstreamCaller::hasOpenConnections(const std::string &address) const
{
    return m_impl->connections.hasOpenConnections(address);
}

void UpstreamCaller::stop()
{
    m_impl->monitor->stop();
}

} // namespace rattanrill::serving

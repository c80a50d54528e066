#include "rattanrill/serving/forwardingclient.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/net/responseparser.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/decodeoutcome.h"
#include "rattanrill/wire/forwardingmessages.h"

#include <algorithm>
#include <map>
#include <utility>

namespace rattanrill::serving {
namespace {

/// Time after which a forwarding entry that has not responded counts as silent. It responds after
/// 100 ms even if nothing has arrived from the upstream.
constexpr absl::Duration silenceTimeout = absl::Milliseconds(350);
/// A call that is cancelled after this time without a response says that its forwarder is silent.
constexpr absl::Duration minSilence = absl::Milliseconds(200);
constexpr std::size_t processIdBytes = 8;

net::CallStatus endOf(const wire::ForwardedPart &part)
{
    const auto status = net::callStatusFromName(part.end).value_or(net::CallStatus::Broken);
    const bool isUnanswered = status == net::CallStatus::NotConnected && part.isUnanswered;
    return isUnanswered ? net::CallStatus::Unanswered : status;
}

net::ResponseHead headOf(const wire::ForwardedPart &part)
{
    net::ResponseHead head;
    head.status = static_cast<int>(part.status);
    head.reason = part.reason;
    for (const auto &[name, value] : part.headers)
        head.headers.add(name, value);
    return head;
}

} // namespace

struct ForwardingClient::Impl : std::enable_shared_from_this<ForwardingClient::Impl>
{
    struct Call
    {
        std::string forwarderAddress;
        net::CallHandlers handlers;
        std::function<void()> onForwarderFailed;
        absl::Time deadline;
        /// When the last message was sent to the forwarder.
        absl::Time requestedAt = absl::InfinitePast();
        /// Runs while a response of the forwarder is awaited.
        TimerService::TimerId silenceTimer = 0;
        /// Whether the forwarder has responded, so that the upstream may run the request.
        bool isTaken = false;
    };
    using CallPtr = std::shared_ptr<Call>;

    Impl(net::EventLoop &loop, peer::ChannelPool &channels)
        : loop(loop)
        , channels(channels)
    {}

    std::string wireId(CallId id) const { return concat(process, "-", id); }

    /// Sends the call once the forwarder has responded on its connection. Without one, the call
    /// would wait for it, and could not be taken back for certain.
    void start(CallId id, const std::string &address, const std::string &message)
    {
        const auto channel = channels.channel(address);
        if (channel->connected())
            return request(id, address, wire::Method::ForwardCall, message);
        // Without an effect, because the forwarder has no call with this id.
        channel->call(wire::Method::CancelForwardedCall,
                      wire::encode(wire::CancelForwardedCall{wireId(id)}), silenceTimeout,
                      [weak = weak_from_this(), id, address,
                       message](const Outcome<std::string> &outcome) {
                          const auto impl = weak.lock();
                          if (impl)
                              impl->loop.post([impl, id, address, message, outcome] {
                                  impl->handleConnected(id, address, message, outcome);
                              });
                      });
    }

    void handleConnected(CallId id, const std::string &address, const std::string &message,
                         const Outcome<std::string> &outcome)
    {
        if (calls.count(id) == 0)
            return;
        // A failure that the forwarder returned shows that it responds.
        const bool responds = outcome.ok()
                              || (channels.channel(address)->connected()
                                  && outcome.failure().code != ErrorCode::Timeout);
        if (!responds)
            return fail(id, notRun(outcome.failure().code, outcome.failure().detail));
        request(id, address, wire::Method::ForwardCall, message);
    }

    /// Sends a message whose response is a part.
    void request(CallId id, const std::string &address, wire::Method method, std::string message)
    {
        startSilenceTimer(id);
        channels.channel(address)->call(
                method, std::move(message), responseTimeout(*calls.at(id)),
                [weak = weak_from_this(), id, address](const Outcome<std::string> &outcome) {
                    const auto impl = weak.lock();
                    if (impl)
                        impl->loop.post([impl, id, address, outcome] {
                            impl->handleResponse(id, address, outcome);
                        });
                });
    }

    /// The forwarder may only pause, so its silence does not end the call.
    static absl::Duration responseTimeout(const Call &call)
    {
        return std::max(call.deadline - SystemClock::instance().now(), silenceTimeout);
    }

    void startSilenceTimer(CallId id)
    {
        calls.at(id)->requestedAt = SystemClock::instance().now();
        calls.at(id)->silenceTimer =
                loop.timers().subscribeOnce(silenceTimeout, [weak = weak_from_this(), id] {
                    if (const auto impl = weak.lock())
                        impl->reportSilence(id);
                });
    }

    /// Lets the forwarder count as failed for further calls.
    void reportSilence(CallId id)
    {
        const auto found = calls.find(id);
        if (found == calls.end())
            return;
        found->second->silenceTimer = 0;
        log(LogLevel::Info, "forwarder-silent", {{"peerAddress", found->second->forwarderAddress}});
        found->second->onForwarderFailed();
    }

    void stopSilenceTimer(Call &call)
    {
        if (call.silenceTimer != 0)
            loop.timers().unsubscribe(std::exchange(call.silenceTimer, 0));
    }

    void removeCall(CallId id)
    {
        const auto found = calls.find(id);
        stopSilenceTimer(*found->second);
        calls.erase(found);
    }

    void handleResponse(CallId id, const std::string &address, const Outcome<std::string> &outcome)
    {
        const auto found = calls.find(id);
        // The cancellation may have arrived before the call.
        if (found == calls.end())
            return sendCancellation(id, address);
        stopSilenceTimer(*found->second);
        const auto part = wire::decodeOutcome<wire::ForwardedPart>(outcome);
        if (!part.ok())
            return fail(id, part.failure());
        if (part.value().hasHead && !net::isValidStatus(part.value().status))
            return endMalformed(id);
        // A copy, because the end of the call removes it.
        const CallPtr call = found->second;
        call->isTaken = true;
        if (!deliver(id, call, part.value()))
            return;
        request(id, address, wire::Method::ReadForwardedCall,
                wire::encode(wire::ReadForwardedCall{wireId(id)}));
    }

    /// Returns false when the call has ended. Each handler may cancel it.
    bool deliver(CallId id, const CallPtr &call, const wire::ForwardedPart &part)
    {
        if (part.hasHead)
            call->handlers.onHead(headOf(part));
        if (!part.body.empty() && calls.count(id) != 0)
            call->handlers.onBody(part.body);
        if (part.end.empty() || calls.count(id) == 0)
            return calls.count(id) != 0;
        removeCall(id);
        call->handlers.onEnd(endOf(part));
        return false;
    }

    /// Ends a call because of the entry that forwards it.
    void fail(CallId id, const Failure &failure)
    {
        const CallPtr call = calls.at(id);
        // A read that did not run says nothing about the call, which was taken before.
        const bool isNotRun = !call->isTaken && failure.effect == EffectState::NotRun;
        const net::CallStatus status =
                isNotRun ? net::CallStatus::NotConnected : net::CallStatus::Broken;
        log(LogLevel::Info, "forwarder-failed",
            {{"peerAddress", call->forwarderAddress},
             {"status", net::name(status)},
             {"reason", describe(failure)}});
        sendCancellation(id, call->forwarderAddress);
        removeCall(id);
        call->onForwarderFailed();
        call->handlers.onEnd(status);
    }

    /// Ends a call whose response has no valid status. An entry of an earlier version passes it on.
    void endMalformed(CallId id)
    {
        const CallPtr call = calls.at(id);
        log(LogLevel::Warning, "response-unreadable",
            {{"peerAddress", call->forwarderAddress},
             {"reason", net::name(net::ResponseFault::Malformed)}});
        sendCancellation(id, call->forwarderAddress);
        removeCall(id);
        call->handlers.onEnd(net::CallStatus::Broken);
    }

    void sendCancellation(CallId id, const std::string &address) const
    {
        channels.channel(address)->sendOneWay(wire::Method::CancelForwardedCall,
                                              wire::encode(wire::CancelForwardedCall{wireId(id)}));
    }

    net::EventLoop &loop;
    peer::ChannelPool &channels;
    /// Distinguishes the calls of this process from those of all others.
    const std::string process = randomHex(processIdBytes);
    std::map<CallId, CallPtr> calls;
    CallId nextId = 1;
};

ForwardingClient::ForwardingClient(net::EventLoop &loop, peer::ChannelPool &channels)
    : m_impl(std::make_shared<Impl>(loop, channels))
{}

ForwardingClient::~ForwardingClient()
{
    stop();
}

ForwardingClient::CallId ForwardingClient::call(const ForwardedCall &call,
                                                net::CallHandlers handlers)
{
    const CallId id = m_impl->nextId++;
    m_impl->calls[id] = std::make_shared<Impl::Call>(
            Impl::Call{call.forwarderAddress, std::move(handlers), call.options.onForwarderFailed,
                       SystemClock::instance().now() + call.timeout + silenceTimeout});
    const wire::ForwardCall message{m_impl->wireId(id),
                                    call.upstream,
                                    call.address,
                                    call.requestId,
                                    call.request,
                                    absl::ToInt64Milliseconds(call.timeout),
                                    call.options.traits.promptParts,
                                    call.options.traits.fingerprint};
    m_impl->start(id, call.forwarderAddress, wire::encode(message));
    return id;
}

void ForwardingClient::cancel(CallId call)
{
    const auto found = m_impl->calls.find(call);
    if (found == m_impl->calls.end())
        return;
    const Impl::CallPtr cancelled = found->second;
    const bool isSilent = cancelled->silenceTimer != 0
                          && SystemClock::instance().now() - cancelled->requestedAt >= minSilence;
    m_impl->sendCancellation(call, cancelled->forwarderAddress);
    m_impl->removeCall(call);
    if (isSilent)
        cancelled->onForwarderFailed();
}

void ForwardingClient::stop()
{
    while (!m_impl->calls.empty())
        m_impl->removeCall(m_impl->calls.begin()->first);
}

} // namespace rattanrill::serving

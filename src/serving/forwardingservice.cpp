#include "rattanrill/serving/forwardingservice.h"

#include "rattanrill/net/requestparser.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/forwardingmessages.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace rattanrill::serving {
namespace {

/// Maximum number of calls that are forwarded at the same time. Each needs a connection and its
/// share of the processor, which the entry's own callers need too.
constexpr std::size_t maxForwardedCalls = 256;
/// Longest wait of a read for bytes of the upstream.
constexpr absl::Duration maxReadWait = absl::Milliseconds(100);
/// A call whose sender has not read on for this long after the last part is cancelled if the
/// sender's connection has ended.
constexpr absl::Duration readGap = absl::Milliseconds(250);
/// A call is cancelled when its sender has not read on for this long although the connection is
/// open. Before, the sender may only pause. No other request gets the slots of a silent sender
/// earlier.
constexpr absl::Duration maxReadGap = absl::Milliseconds(1500);

} // namespace

struct ForwardingService::Impl : std::enable_shared_from_this<ForwardingService::Impl>
{
    struct Call
    {
        UpstreamCaller::CallId id = 0;
        BrokenAttempt attempt;
        CrashTraits traits;
        /// Whether a part of the body arrived.
        bool hasBegun = false;
        /// What has arrived since the last read.
        wire::ForwardedPart part;
        /// Share of the process's buffers; empty while nothing is buffered.
        std::optional<BufferShare> buffer;
        /// Connection of the sender, see peer::PeerIdentity.
        std::weak_ptr<const void> connection;
        /// Null while no read is pending.
        peer::ResponseCallback reader;
        /// End of the wait of the pending read, or of the wait for the next one.
        TimerService::TimerId readTimer = 0;
        TimerService::TimerId deadlineTimer = 0;

        bool hasPart() const { return part.hasHead || !part.body.empty() || !part.end.empty(); }
    };
    using CallPtr = std::shared_ptr<Call>;

    explicit Impl(ForwardingContext context)
        : context(std::move(context))
    {}

    void forward(const peer::PeerIdentity &from, const wire::ForwardCall &message,
                 const peer::ResponseCallback &reply)
    {
        if (const auto refusal = refusalOf(message))
            return reply(*refusal);
        const auto call = std::make_shared<Call>();
        call->connection = from.connection;
        calls[message.callId] = call;
        call->attempt = {
                message.requestId, message.upstream, message.address, {}, context.clock.now()};
        call->traits = {message.promptParts, message.fingerprint};
        call->deadlineTimer = context.loop.timers().subscribeOnce(
                absl::Milliseconds(message.deadlineMs),
                [self = shared_from_this(), id = message.callId] { self->cancel(id); });
        UpstreamTarget target;
        target.upstream = message.upstream;
        target.address = message.address;
        call->id = context.upstreams.call(target, writerOf(message),
                                          handlersOf(message.callId, call), message.requestId);
        read(message.callId, call, reply);
    }

    /// The time that it takes to establish a connection counts for the upstream, too.
    net::RequestWriter writerOf(const wire::ForwardCall &message) const
    {
        const absl::Time deadline = context.clock.now() + absl::Milliseconds(message.deadlineMs);
        return [self = shared_from_this(), request = message.request,
                deadline]() -> Outcome<std::string> {
            std::string result = request;
            const absl::Duration remaining = deadline - self->context.clock.now();
            self->context.protocol.setRemainingTime(result,
                                                    std::max(remaining, absl::ZeroDuration()));
            return result;
        };
    }

    std::optional<Failure> refusalOf(const wire::ForwardCall &message) const
    {
        if (context.isStopping())
            return notRun(ErrorCode::Stopped, "the process ends");
        if (context.upstreams.isCutOff())
            return notRun(ErrorCode::UpstreamUnavailable,
                          "this process is cut off from the upstreams, too");
        if (!context.mayBeCalled(message.upstream, message.address))
            return notRun(ErrorCode::NotFound, "the upstream is not listed or leaves");
        if (!net::isSingleRequest(message.request))
            return notRun(ErrorCode::InvalidRequest, "the call is not one HTTP request");
        if (calls.size() >= maxForwardedCalls)
            return notRun(ErrorCode::QueueFull, "too many calls are forwarded");
        if (calls.count(message.callId) != 0)
            return notRun(ErrorCode::Conflict, "a call has this id already");
        return std::nullopt;
    }

    net::CallHandlers handlersOf(const std::string &id, const CallPtr &call)
    {
        net::CallHandlers handlers;
        handlers.ownerOf = [self = shared_from_this(), call](const net::ResponseHead &head) {
            return self->ownerOfResponse(head, call->attempt);
        };
        handlers.mayBeSent = [self = shared_from_this(), call] {
            return self->context.mayBeCalled(call->attempt.upstream, call->attempt.address);
        };
        handlers.onHead = [self = shared_from_this(), id, call](const net::ResponseHead &head) {
            call->part.hasHead = true;
            call->part.status = head.status;
            call->part.reason = head.reason;
            for (const net::Header &header : head.headers.all())
                call->part.headers.emplace_back(header.name, header.value);
            self->respond(id, call);
        };
        handlers.onBody = [self = shared_from_this(), id, call](std::string_view bytes) {
            call->hasBegun = true;
            call->part.body.append(bytes);
            self->respond(id, call);
        };
        handlers.onEnd = [self = shared_from_this(), id, call](net::CallStatus status) {
            if (status == net::CallStatus::Broken)
                self->recordBroken(*call);
            call->part.isUnanswered = status == net::CallStatus::Unanswered;
            call->part.end = std::string(
                    net::name(call->part.isUnanswered ? net::CallStatus::NotConnected : status));
            self->respond(id, call);
        };
        return handlers;
    }

    net::ResponseOwner ownerOfResponse(const net::ResponseHead &head,
                                       const BrokenAttempt &attempt) const
    {
        const ResponseInfo info = context.protocol.parseResponse(head);
        const net::ResponseOwner owner = ownerOf(info, attempt.requestId);
        const auto leaving = leavingReportOf(attempt.upstream, attempt.address, info);
        if (owner != net::ResponseOwner::ThisRequest && leaving)
            context.reportLoad(*leaving);
        return owner;
    }

    void recordBroken(const Call &call) const
    {
        BrokenAttempt attempt = call.attempt;
        attempt.traits = call.traits.suspects(call.hasBegun);
        context.crashGuard.recordBroken(context.upstreams, attempt);
    }

    void read(const std::string &id, const CallPtr &call, peer::ResponseCallback reply)
    {
        call->reader = std::move(reply);
        if (call->hasPart())
            return respond(id, call);
        startReadTimer(call, maxReadWait,
                       [self = shared_from_this(), id, call] { self->sendPart(id, call); });
    }

    /// Passes on what has arrived, or buffers it until the next read.
    void respond(const std::string &id, const CallPtr &call)
    {
        if (call->reader)
            return sendPart(id, call);
        if (!call->buffer)
            call->buffer.emplace(context.buffers, [weak = weak_from_this(), id] {
                if (const auto self = weak.lock())
                    self->cancel(id);
            });
        if (!call->buffer->resize(call->part.body.size()))
            cancel(id);
    }

    void sendPart(const std::string &id, const CallPtr &call)
    {
        const peer::ResponseCallback reader = std::exchange(call->reader, nullptr);
        const wire::ForwardedPart part = std::exchange(call->part, wire::ForwardedPart());
        call->buffer.reset();
        reader(wire::encode(part));
        if (!part.end.empty())
            return remove(id);
        awaitNextRead(id, call);
    }

    void awaitNextRead(const std::string &id, const CallPtr &call)
    {
        startReadTimer(call, readGap, [self = shared_from_this(), id, call] {
            if (call->connection.expired())
                return self->cancel(id);
            self->startReadTimer(call, maxReadGap - readGap, [self, id] { self->cancel(id); });
        });
    }

    void startReadTimer(const CallPtr &call, absl::Duration delay, std::function<void()> callback)
    {
        stopTimer(call->readTimer);
        call->readTimer =
                context.loop.timers().subscribeOnce(delay, [call, callback = std::move(callback)] {
                    call->readTimer = 0;
                    callback();
                });
    }

    void stopTimer(TimerService::TimerId &timer)
    {
        if (timer != 0)
            context.loop.timers().unsubscribe(std::exchange(timer, 0));
    }

    void cancel(const std::string &id)
    {
        const auto found = calls.find(id);
        if (found == calls.end())
            return;
        const CallPtr call = found->second;
        context.upstreams.cancel(call->id);
        if (const auto reader = std::exchange(call->reader, nullptr)) {
            call->part.end = std::string(net::name(net::CallStatus::Broken));
            reader(wire::encode(call->part));
        }
        remove(id);
    }

    void remove(const std::string &id)
    {
        const auto found = calls.find(id);
        if (found == calls.end())
            return;
        const CallPtr call = found->second;
        stopTimer(call->readTimer);
        stopTimer(call->deadlineTimer);
        call->buffer.reset();
        calls.erase(found);
    }

    void readForwarded(const peer::PeerIdentity &from, const wire::ReadForwardedCall &message,
                       const peer::ResponseCallback &reply)
    {
        const auto found = calls.find(message.callId);
        if (found == calls.end())
            return reply(mayHaveRun(ErrorCode::NotFound, "the call has ended"));
        found->second->connection = from.connection;
        read(message.callId, found->second, reply);
    }

    /// Passes each message of \a method to \a handler on the event loop.
    template <typename Message>
    void install(peer::Server &server, wire::Method method,
                 void (Impl::*handler)(const peer::PeerIdentity &, const Message &,
                                       const peer::ResponseCallback &))
    {
        server.setHandler(method, [weak = weak_from_this(), handler](const peer::PeerIdentity &from,
                                                                     std::string body,
                                                                     peer::ResponseCallback reply) {
            const auto impl = weak.lock();
            if (!impl)
                return reply(notRun(ErrorCode::Stopped, "the process ends"));
            impl->context.loop.post(
                    [impl, handler, from, body = std::move(body), reply = std::move(reply)] {
                        const auto message = outcomeOf([&] { return wire::decode<Message>(body); });
                        if (!message.ok())
                            return reply(message.failure());
                        (impl.get()->*handler)(from, message.value(), reply);
                    });
        });
    }

    void cancelForwarded(const peer::PeerIdentity &, const wire::CancelForwardedCall &message,
                         const peer::ResponseCallback &reply)
    {
        cancel(message.callId);
        reply(std::string());
    }

    const ForwardingContext context;
    /// By ForwardCall::callId.
    std::map<std::string, CallPtr> calls;
};

ForwardingService::ForwardingService(ForwardingContext context)
    : m_impl(std::make_shared<Impl>(std::move(context)))
{}

ForwardingService::~ForwardingService()
{
    stop();
}

void ForwardingService::install(peer::Server &server)
{
    m_impl->install(server, wire::Method::ForwardCall, &Impl::forward);
    m_impl->install(server, wire::Method::ReadForwardedCall, &Impl::readForwarded);
    m_impl->install(server, wire::Method::CancelForwardedCall, &Impl::cancelForwarded);
}

std::size_t ForwardingService::openCalls() const
{
    return m_impl->calls.size();
}

void ForwardingService::stop()
{
    while (!m_impl->calls.empty())
        m_impl->cancel(std::string(m_impl->calls.begin()->first));
}

} // namespace rattanrill::serving

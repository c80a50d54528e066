#include "rattanrill/jobs/jobclient.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/decodeoutcome.h"

#include <algorithm>
#include <utility>

namespace rattanrill::jobs {
namespace {

/// Delay between two attempts of a call.
constexpr absl::Duration retryDelay = absl::Milliseconds(40);
/// Timeout of one attempt. It is short, so that time remains for another attempt when the leader
/// does not respond.
constexpr absl::Duration attemptTimeout = absl::Milliseconds(700);

Outcome<Done> discardBody(const Outcome<std::string> &outcome)
{
    if (!outcome.ok())
        return outcome.failure();
    return Done{};
}

/// True for failures after which another attempt may succeed, because the leader may change or the
/// response may come from a former leader.
bool isRetryable(ErrorCode code)
{
    switch (code) {
    case ErrorCode::NotLeader:
    case ErrorCode::NoQuorum:
    case ErrorCode::ProposalLost:
    case ErrorCode::Stopped:
    case ErrorCode::Timeout:
    case ErrorCode::ConnectionLost:
    case ErrorCode::QueueFull:
        return true;
    default:
        return false;
    }
}

} // namespace

struct JobClient::Impl : std::enable_shared_from_this<JobClient::Impl>
{
    struct Call
    {
        wire::Method method;
        std::string body;
        absl::Time deadline;
        /// How long the store may wait before it responds; added to the timeout of an attempt.
        absl::Duration maxResponseDelay;
        std::function<void(Outcome<std::string>)> callback;
        bool mayHaveRun = false;
    };

    Impl(net::EventLoop &loop, peer::ChannelPool &channels, const Clock &clock)
        : loop(loop)
        , channels(channels)
        , clock(clock)
    {}

    void start(wire::Method method, std::string body, absl::Duration timeout,
               absl::Duration maxResponseDelay, std::function<void(Outcome<std::string>)> callback)
    {
        auto call = std::make_shared<Call>();
        call->method = method;
        call->body = std::move(body);
        call->deadline = clock.now() + timeout;
        call->maxResponseDelay = maxResponseDelay;
        call->callback = std::move(callback);
        send(call);
    }

    std::string nextStore()
    {
        if (!leader.empty())
            return leader;
        return stores.empty() ? std::string() : stores[nextStoreIndex++ % stores.size()];
    }

    void send(const std::shared_ptr<Call> &call)
    {
        const std::string address = nextStore();
        const absl::Duration remaining = call->deadline - clock.now();
        if (stopped || remaining <= absl::ZeroDuration())
            return reportFailure(call, notRun(ErrorCode::Timeout,
                                              "no attempt succeeded before the timeout or "
                                              "before the client was stopped"));
        if (address.empty())
            return scheduleRetry(call);
        channels.channel(address)->call(
                call->method, call->body,
                std::min(remaining, attemptTimeout + call->maxResponseDelay),
                [self = shared_from_this(), call, address](Outcome<std::string> outcome) {
                    self->loop.post([self, call, address, outcome = std::move(outcome)] {
                        self->handleOutcome(call, address, outcome);
                    });
                });
    }

    void handleOutcome(const std::shared_ptr<Call> &call, const std::string &address,
                       const Outcome<std::string> &outcome)
    {
        if (outcome.ok())
            return call->callback(outcome);
        const Failure &failure = outcome.failure();
        call->mayHaveRun = call->mayHaveRun || failure.effect == EffectState::MayHaveRun;
        if (!isRetryable(failure.code))
            return reportFailure(call, failure);
        if (leader == address)
            leader.clear();
        if (failure.code == ErrorCode::NotLeader && !failure.detail.empty()) {
            const std::string hintedAddress = fleet::peerAddressOf(failure.detail);
            if (hintedAddress != address)
                leader = hintedAddress;
        }
        scheduleRetry(call);
    }

    void scheduleRetry(const std::shared_ptr<Call> &call)
    {
        loop.timers().subscribeOnce(retryDelay,
                                    [self = shared_from_this(), call] { self->send(call); });
    }

    void reportFailure(const std::shared_ptr<Call> &call, Failure failure)
    {
        if (call->mayHaveRun)
            failure.effect = EffectState::MayHaveRun;
        call->callback(std::move(failure));
    }

    net::EventLoop &loop;
    peer::ChannelPool &channels;
    const Clock &clock;
    std::vector<std::string> stores;
    std::string leader;
    std::size_t nextStoreIndex = 0;
    bool stopped = false;
};

JobClient::JobClient(net::EventLoop &loop, peer::ChannelPool &channels, const Clock &clock)
    : m_impl(std::make_shared<Impl>(loop, channels, clock))
{}

JobClient::~JobClient()
{
    stop();
}

void JobClient::setStores(std::vector<std::string> stores, const std::string &leader)
{
    m_impl->stores = std::move(stores);
    if (!leader.empty())
        m_impl->leader = leader;
}

void JobClient::submit(const wire::SubmitJobRequest &request, absl::Duration timeout,
                       Callback<Done> callback)
{
    m_impl->start(wire::Method::SubmitJob, wire::encode(request), timeout, absl::ZeroDuration(),
                  [callback = std::move(callback)](const Outcome<std::string> &outcome) {
                      callback(discardBody(outcome));
                  });
}

void JobClient::read(const wire::ReadJobRequest &request, absl::Duration timeout,
                     Callback<wire::ReadJobResponse> callback)
{
    m_impl->start(wire::Method::ReadJob, wire::encode(request), timeout,
                  absl::Milliseconds(request.waitMs),
                  [callback = std::move(callback)](const Outcome<std::string> &outcome) {
                      callback(wire::decodeOutcome<wire::ReadJobResponse>(outcome));
                  });
}

void JobClient::readItem(const wire::ReadItemRequest &request, absl::Duration timeout,
                         Callback<wire::ReadItemResponse> callback)
{
    m_impl->start(wire::Method::ReadItem, wire::encode(request), timeout, absl::ZeroDuration(),
                  [callback = std::move(callback)](const Outcome<std::string> &outcome) {
                      callback(wire::decodeOutcome<wire::ReadItemResponse>(outcome));
                  });
}

void JobClient::cancel(const wire::EndJobRequest &request, absl::Duration timeout,
                       Callback<Done> callback)
{
    m_impl->start(wire::Method::EndJob, wire::encode(request), timeout, absl::ZeroDuration(),
                  [callback = std::move(callback)](const Outcome<std::string> &outcome) {
                      callback(discardBody(outcome));
                  });
}

void JobClient::stop()
{
    m_impl->stopped = true;
}

} // namespace rattanrill::jobs

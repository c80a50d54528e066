#include "rattanrill/jobs/jobclient.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <utility>

namespace rattanrill::jobs {
namespace {

constexpr absl::Duration tryAgain = absl::Milliseconds(40);
/// One try; a leader that is gone without a word must leave time for another.
constexpr absl::Duration tryTimeout = absl::Milliseconds(700);

template <typename Message>
Outcome<Message> decoded(const Outcome<std::string> &outcome)
{
    if (!outcome.ok())
        return outcome.failure();
    return outcomeOf([&] { return wire::decode<Message>(outcome.value()); });
}

Outcome<Done> done(const Outcome<std::string> &outcome)
{
    if (!outcome.ok())
        return outcome.failure();
    return Done{};
}

/// The leader may change, or the answer come from one that was replaced.
bool mayTryAgain(ErrorCode code)
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
        /// Added to the timeout of a try: the other side may hold the call.
        absl::Duration wait;
        std::function<void(Outcome<std::string>)> callback;
        bool mayHaveRun = false;
    };

    Impl(net::EventLoop &loop, peer::ChannelPool &channels, const Clock &clock)
        : loop(loop)
        , channels(channels)
        , clock(clock)
    {}

    void start(wire::Method method, std::string body, absl::Duration timeout, absl::Duration wait,
               std::function<void(Outcome<std::string>)> callback)
    {
        auto call = std::make_shared<Call>();
        call->method = method;
        call->body = std::move(body);
        call->deadline = clock.now() + timeout;
        call->wait = wait;
        call->callback = std::move(callback);
        send(call);
    }

    std::string nextStore()
    {
        if (!leader.empty())
            return leader;
        return stores.empty() ? std::string() : stores[next++ % stores.size()];
    }

    void send(const std::shared_ptr<Call> &call)
    {
        const std::string address = nextStore();
        const absl::Duration left = call->deadline - clock.now();
        if (stopped || left <= absl::ZeroDuration())
            return give(call, notRun(ErrorCode::Timeout, "no store answered in time"));
        if (address.empty())
            return again(call);
        channels.channel(address)->call(
                call->method, call->body, std::min(left, tryTimeout + call->wait),
                [self = shared_from_this(), call, address](Outcome<std::string> outcome) {
                    self->loop.post([self, call, address, outcome = std::move(outcome)] {
                        self->answered(call, address, outcome);
                    });
                });
    }

    void answered(const std::shared_ptr<Call> &call, const std::string &address,
                  const Outcome<std::string> &outcome)
    {
        if (outcome.ok())
            return call->callback(outcome);
        const Failure &failure = outcome.failure();
        call->mayHaveRun = call->mayHaveRun || failure.run == EffectState::MayHaveRun;
        if (!mayTryAgain(failure.code))
            return give(call, failure);
        if (leader == address)
            leader.clear();
        if (failure.code == ErrorCode::NotLeader && !failure.detail.empty()) {
            const std::string hinted = fleet::peerAddressOf(failure.detail);
            if (hinted != address)
                leader = hinted;
        }
        again(call);
    }

    void again(const std::shared_ptr<Call> &call)
    {
        loop.timers().subscribeOnce(tryAgain,
                                    [self = shared_from_this(), call] { self->send(call); });
    }

    void give(const std::shared_ptr<Call> &call, Failure failure)
    {
        if (call->mayHaveRun)
            failure.run = EffectState::MayHaveRun;
        call->callback(std::move(failure));
    }

    net::EventLoop &loop;
    peer::ChannelPool &channels;
    const Clock &clock;
    std::vector<std::string> stores;
    std::string leader;
    std::size_t next = 0;
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
                      callback(done(outcome));
                  });
}

void JobClient::read(const wire::ReadJobRequest &request, absl::Duration timeout,
                     Callback<wire::ReadJobResponse> callback)
{
    m_impl->start(wire::Method::ReadJob, wire::encode(request), timeout,
                  absl::Milliseconds(request.waitMs),
                  [callback = std::move(callback)](const Outcome<std::string> &outcome) {
                      callback(decoded<wire::ReadJobResponse>(outcome));
                  });
}

void JobClient::readItem(const wire::ReadItemRequest &request, absl::Duration timeout,
                         Callback<wire::ReadItemResponse> callback)
{
    m_impl->start(wire::Method::ReadItem, wire::encode(request), timeout, absl::ZeroDuration(),
                  [callback = std::move(callback)](const Outcome<std::string> &outcome) {
                      callback(decoded<wire::ReadItemResponse>(outcome));
                  });
}

void JobClient::cancel(const wire::EndJobRequest &request, absl::Duration timeout,
                       Callback<Done> callback)
{
    m_impl->start(wire::Method::EndJob, wire::encode(request), timeout, absl::ZeroDuration(),
                  [callback = std::move(callback)](const Outcome<std::string> &outcome) {
                      callback(done(outcome));
                  });
}

void JobClient::stop()
{
    m_impl->stopped = true;
}

} // namespace rattanrill::jobs

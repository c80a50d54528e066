#include "ratebroker.h"

#include "await.h"
#include "viewqueries.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/wire/codec.h"

#include "absl/synchronization/notification.h"

namespace rattanrill::entry {
namespace {

/// Delay before a grant is requested again while ownership of the workspace is being transferred.
/// A membership change reaches all entries within a few tens of milliseconds.
constexpr absl::Duration ownerRetryInterval = absl::Milliseconds(20);

/// Failure for a request without a grant. There is no grant when the owner's process was replaced,
/// the owner responds late or its view differs; in all these cases the request has not run.
Failure rateUnknown(const std::string &detail)
{
    return notRun(ErrorCode::RateUnknown,
                  concat("the rate owner did not grant the request: ", detail));
}

} // namespace

RateBroker::RateBroker(Options options, const directory::DirectorySubscriber &directory,
                       RateOwner &owner, peer::ChannelPool &channels, const Clock &clock)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_owner(owner)
    , m_channels(channels)
    , m_clock(clock)
{}

Outcome<RateDecision> RateBroker::take(const std::string &workspace)
{
    const absl::Time deadline = m_clock.now() + m_options.maxWait;
    for (;;) {
        Outcome<RateDecision> decision = awaitOutcome<RateDecision>(
                [&](Callback callback) { requestGrant(workspace, std::move(callback)); });
        if (decision.ok())
            return decision;
        // Ownership of the workspace is being transferred to another entry.
        const bool isOwnerChanging = decision.failure().code == ErrorCode::NotMember;
        if (!isOwnerChanging || m_clock.now() + ownerRetryInterval > deadline)
            return rateUnknown(describe(decision.failure()));
        absl::Notification().WaitForNotificationWithTimeout(ownerRetryInterval);
    }
}

void RateBroker::requestGrant(const std::string &workspace, Callback callback)
{
    {
        absl::MutexLock lock(&m_mutex);
        Queue &queue = m_queues[workspace];
        queue.waiting.push_back(std::move(callback));
        if (queue.callOpen)
            return;
        queue.callOpen = true;
    }
    sendNext(workspace);
}

void RateBroker::sendNext(const std::string &workspace)
{
    std::vector<Callback> callers;
    {
        absl::MutexLock lock(&m_mutex);
        Queue &queue = m_queues[workspace];
        callers.assign(std::make_move_iterator(queue.waiting.begin()),
                       std::make_move_iterator(queue.waiting.end()));
        queue.waiting.clear();
        if (callers.empty()) {
            m_queues.erase(workspace);
            return;
        }
    }
    send(workspace, std::move(callers));
}

Outcome<std::string> RateBroker::ownerAddress(const std::string &workspace,
                                              wire::RateGrantRequest &request) const
{
    const auto view = m_directory.view();
    const std::vector<std::string> members = memberNames(*view);
    if (members.empty())
        return notRun(ErrorCode::RateUnknown, "no entry has joined the directory yet");
    request.memberRevision = view->memberRevision();
    const std::string &owner = members[rendezvousOwner(workspace, members)];
    if (owner == m_options.instance)
        return std::string();
    return view->member(owner)->peerAddress;
}

void RateBroker::send(const std::string &workspace, std::vector<Callback> callers)
{
    wire::RateGrantRequest request;
    request.workspace = workspace;
    request.requests = static_cast<std::int64_t>(callers.size());
    request.maxWaitMs = absl::ToInt64Milliseconds(m_options.maxWait);
    const Outcome<std::string> address = ownerAddress(workspace, request);
    if (!address.ok() || address.value().empty()) {
        const Outcome<wire::RateGrantResponse> response =
                address.ok() ? m_owner.grant(request)
                             : Outcome<wire::RateGrantResponse>(address.failure());
        respond(callers, response);
        sendNext(workspace);
        return;
    }
    const auto channel = m_channels.channel(address.value());
    channel->call(wire::Method::GrantRate, wire::encode(request), m_options.timeout,
                  [this, workspace, callers = std::move(callers)](Outcome<std::string> reply) {
                      Outcome<wire::RateGrantResponse> response = wire::RateGrantResponse();
                      if (reply.ok())
                          response = outcomeOf([&] {
                              return wire::decode<wire::RateGrantResponse>(reply.value());
                          });
                      else
                          response = reply.failure();
                      respond(callers, response);
                      sendNext(workspace);
                  });
}

void RateBroker::respond(const std::vector<Callback> &callers,
                         const Outcome<wire::RateGrantResponse> &response)
{
    for (std::size_t i = 0; i < callers.size(); ++i) {
        if (!response.ok()) {
            callers[i](response.failure());
            continue;
        }
        const wire::RateGrantResponse &grants = response.value();
        RateDecision decision;
        decision.granted = i < static_cast<std::size_t>(std::max<std::int64_t>(grants.granted, 0));
        if (!decision.granted)
            decision.wait = absl::Milliseconds(grants.retryAfterMs);
        else if (i < grants.waitsMs.size())
            decision.wait = absl::Milliseconds(grants.waitsMs[i]);
        callers[i](decision);
    }
}

} // namespace rattanrill::entry

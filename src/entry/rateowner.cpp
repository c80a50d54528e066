#include "rateowner.h"

#include "viewqueries.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"

#include <algorithm>

namespace rattanrill::entry {
namespace {

/// Maximum number of membership changes in the history. A workspace that was owned before the
/// oldest recorded change counts as owned since that change.
constexpr std::size_t maxHistoryLength = 16;
/// How long a received bucket is kept until the first request for its workspace. After that, the
/// bucket is created as without a transfer: empty shortly after the change of ownership and filled
/// at the contract's rate since then.
constexpr absl::Duration receivedBucketRetention = absl::Minutes(10);

bool owns(const std::string &instance, const std::vector<std::string> &members,
          const std::string &workspace)
{
    return !members.empty() && members[rendezvousOwner(workspace, members)] == instance;
}

} // namespace

RateOwner::RateOwner(Options options, const directory::DirectorySubscriber &directory,
                     TransferSender sender, const Clock &clock)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_sender(std::move(sender))
    , m_clock(clock)
{}

void RateOwner::updateOwnership()
{
    const absl::Duration age = m_directory.viewAge();
    const auto view = m_directory.view();
    {
        absl::MutexLock lock(&m_mutex);
        applyView(*view, age);
    }
    sendTransfers();
}

void RateOwner::expireLease()
{
    m_leaseExpired = true;
    m_buckets.clear();
    m_history.clear();
    m_receivedBuckets.clear();
}

void RateOwner::applyView(const directory::DirectoryView &view, absl::Duration age)
{
    const absl::Time now = m_clock.now();
    if (age >= m_options.lease)
        return expireLease();
    // A process that was suspended for longer than the lease may receive its next view before it
    // detects that the lease has expired.
    const absl::Time confirmedAt = now - age;
    if (confirmedAt - m_confirmedAt >= m_options.lease)
        expireLease();
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    if (m_leaseExpired) {
        m_leaseExpired = false;
    } else if (view.memberRevision() == m_memberRevision) {
        return;
    }
    releaseBuckets(view, now);
    m_memberRevision = view.memberRevision();
    m_history.push_front({now, memberNames(view), view});
    if (m_history.size() > maxHistoryLength)
        m_history.pop_back();
}

void RateOwner::releaseBuckets(const directory::DirectoryView &view, absl::Time now)
{
    const std::vector<std::string> members = memberNames(view);
    for (auto it = m_buckets.begin(); it != m_buckets.end();) {
        const std::string &workspace = it->first;
        if (isOwner(view, workspace)) {
            ++it;
            continue;
        }
        // A bucket whose start is in the future does not reflect the grants of its former owner, so
        // it is not transferred.
        if (!members.empty() && now >= it->second.start) {
            const std::string &owner = members[rendezvousOwner(workspace, members)];
            wire::RateBucketTransfer &transfer =
                    m_pendingTransfers[view.member(owner)->peerAddress];
            transfer.instance = m_options.instance;
            transfer.memberRevision = view.memberRevision();
            transfer.levels.push_back({workspace, it->second.tokens.level(now)});
        }
        it = m_buckets.erase(it);
    }
}

void RateOwner::sendTransfers()
{
    PendingTransfers transfers;
    {
        absl::MutexLock lock(&m_mutex);
        transfers.swap(m_pendingTransfers);
    }
    for (const auto &[address, transfer] : transfers) {
        log(LogLevel::Info, "rates-handed-over",
            {{"peerAddress", address},
             {"memberRevision", transfer.memberRevision},
             {"workspaces", transfer.levels.size()}});
        m_sender(address, transfer);
    }
}

void RateOwner::accept(const wire::RateBucketTransfer &transfer)
{
    log(LogLevel::Info, "rates-received",
        {{"formerOwner", transfer.instance},
         {"memberRevision", transfer.memberRevision},
         {"workspaces", transfer.levels.size()}});
    absl::MutexLock lock(&m_mutex);
    const absl::Time now = m_clock.now();
    for (auto it = m_receivedBuckets.begin(); it != m_receivedBuckets.end();) {
        const bool isOld = now - it->second.receivedAt > receivedBucketRetention;
        it = isOld ? m_receivedBuckets.erase(it) : std::next(it);
    }
    for (const wire::RateBucketLevel &rate : transfer.levels) {
        m_receivedBuckets[rate.workspace] = {transfer.instance, transfer.memberRevision, rate.level,
                                             now};
        const auto unstarted = m_buckets.find(rate.workspace);
        // A bucket that has not started and has granted nothing is removed, so that the next
        // request creates it from the transferred level. A negative level means that units have
        // been granted for the time after the start.
        if (unstarted != m_buckets.end() && now < unstarted->second.start
            && unstarted->second.tokens.level(now) >= 0)
            m_buckets.erase(unstarted);
    }
}

bool RateOwner::isOwner(const directory::DirectoryView &view, const std::string &workspace) const
{
    const auto self = view.member(m_options.instance);
    if (!self || self->incarnation != m_options.incarnation)
        return false;
    return owns(m_options.instance, memberNames(view), workspace);
}

const RateOwner::Membership *RateOwner::ownedSince(const std::string &workspace) const
{
    const Membership *since = nullptr;
    for (const Membership &membership : m_history) {
        if (!owns(m_options.instance, membership.members, workspace))
            break;
        since = &membership;
    }
    return since;
}

std::string RateOwner::formerOwner(const Membership &membership, const std::string &workspace) const
{
    const auto found = std::find_if(m_history.begin(), m_history.end(),
                                    [&](const Membership &known) { return &known == &membership; });
    if (found == m_history.end() || std::next(found) == m_history.end())
        return {};
    const std::vector<std::string> &members = std::next(found)->members;
    return members.empty() ? std::string() : members[rendezvousOwner(workspace, members)];
}

bool RateOwner::isFromFormerOwner(const std::string &workspace,
                                  const ReceivedBucket &received) const
{
    const Membership *membership = ownedSince(workspace);
    return membership != nullptr && membership->view.memberRevision() == received.memberRevision
           && formerOwner(*membership, workspace) == received.formerOwner;
}

bool RateOwner::isAwaitingTransfer(const std::string &workspace, const Bucket &bucket,
                                   absl::Time now) const
{
    const Membership *membership = ownedSince(workspace);
    return now < bucket.start && membership != nullptr
           && now - membership->since < m_options.maxWait
           && !formerOwner(*membership, workspace).empty();
}

RateOwner::Bucket RateOwner::newBucket(const std::string &workspace,
                                       const policy::RateContract &rate, absl::Time now)
{
    const Membership *membership = ownedSince(workspace);
    if (membership == nullptr) {
        // It is not known since when this entry has been the owner, so a former owner may have
        // granted requests until now.
        const absl::Time start = now + m_options.lease + m_options.maxWait;
        return {policy::TokenBucket(rate, start), start};
    }
    // No other entry can have granted requests of a contract that was added after this entry became
    // the owner.
    const bool isFirstOwner = !membership->view.contract(workspace);
    if (isFirstOwner && rate.ratePerSecond > 0)
        return {policy::TokenBucket(rate, now, rate.burst), now};
    const auto received = m_receivedBuckets.find(workspace);
    if (received != m_receivedBuckets.end() && isFromFormerOwner(workspace, received->second)) {
        const ReceivedBucket transferred = received->second;
        m_receivedBuckets.erase(received);
        return {policy::TokenBucket(rate, transferred.receivedAt, transferred.level),
                transferred.receivedAt};
    }
    const absl::Time start = membership->since + m_options.lease + m_options.maxWait;
    return {policy::TokenBucket(rate, start), start};
}

Outcome<Done> RateOwner::check(const directory::DirectoryView &view,
                               const std::string &workspace) const
{
    if (!isOwner(view, workspace))
        return notRun(ErrorCode::NotMember,
                      concat("instance \"", m_options.instance, "\" does not own workspace \"",
                             workspace, "\""));
    return Done{};
}

RateOwner::Bucket &RateOwner::bucket(const directory::DirectoryView &view,
                                     const std::string &workspace, absl::Time now)
{
    const auto contract = view.contract(workspace);
    policy::RateContract rate;
    if (contract && !contract->withdrawn)
        rate = {contract->ratePerSecond, contract->burst};
    const auto known = m_buckets.find(workspace);
    if (known == m_buckets.end())
        return m_buckets.emplace(workspace, newBucket(workspace, rate, now)).first->second;
    const policy::RateContract &old = known->second.tokens.contract();
    if (old.ratePerSecond != rate.ratePerSecond || old.burst != rate.burst)
        known->second.tokens.setContract(now, rate);
    return known->second;
}

Outcome<wire::RateGrantResponse> RateOwner::grant(const wire::RateGrantRequest &request)
{
    const absl::Duration age = m_directory.viewAge();
    const auto view = m_directory.view();
    Outcome<wire::RateGrantResponse> response = wire::RateGrantResponse();
    {
        absl::MutexLock lock(&m_mutex);
        applyView(*view, age);
        response = grantFrom(*view, request);
    }
    sendTransfers();
    return response;
}

Outcome<wire::RateGrantResponse> RateOwner::grantFrom(const directory::DirectoryView &view,
                                                      const wire::RateGrantRequest &request)
{
    if (m_leaseExpired)
        return notRun(ErrorCode::StaleRevision, "the owner's view is older than its lease");
    const Outcome<Done> checked = check(view, request.workspace);
    if (!checked.ok())
        return checked.failure();
    const absl::Time now = m_clock.now();
    Bucket &owned = bucket(view, request.workspace, now);
    if (isAwaitingTransfer(request.workspace, owned, now))
        return notRun(ErrorCode::NotMember,
                      concat("the former owner of workspace \"", request.workspace,
                             "\" has not transferred its rate bucket yet"));
    const absl::Duration maxWait =
            std::min(absl::Milliseconds(request.maxWaitMs), m_options.maxWait);
    wire::RateGrantResponse response;
    while (response.granted < request.requests) {
        const policy::RateGrant grant = owned.tokens.take(now, 1, maxWait);
        if (!grant.granted) {
            // The conversion rounds down; without the added millisecond, a retry could be too
            // early.
            response.retryAfterMs =
                    absl::ToInt64Milliseconds(std::min(grant.wait, absl::Hours(1))) + 1;
            break;
        }
        ++response.granted;
        response.waitsMs.push_back(
                absl::ToInt64Milliseconds(absl::Ceil(grant.wait, absl::Milliseconds(1))));
    }
    return response;
}

} // namespace rattanrill::entry

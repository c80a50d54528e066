#include "rateowner.h"

#include "viewqueries.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"

#include <algorithm>

namespace rattanrill::entry {
namespace {

/// Membership changes that are remembered. A workspace that was owned for longer than they reach
/// back counts as owned since the oldest one.
constexpr std::size_t historyLength = 16;
/// How long a handed-over bucket is kept for its first request. Without a request, its level grows
/// all the same.
constexpr absl::Duration arrivalKeep = absl::Minutes(10);

bool owns(const std::string &instance, const std::vector<std::string> &members,
          const std::string &workspace)
{
    return !members.empty() && members[rendezvousOwner(workspace, members)] == instance;
}

} // namespace

RateOwner::RateOwner(Options options, const directory::DirectorySubscriber &directory,
                     HandOverSender sender, const Clock &clock)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_sender(std::move(sender))
    , m_clock(clock)
{}

void RateOwner::observe()
{
    const absl::Duration age = m_directory.age();
    const auto view = m_directory.view();
    {
        absl::MutexLock lock(&m_mutex);
        follow(*view, age);
    }
    sendDepartures();
}

void RateOwner::lapse()
{
    m_lapsed = true;
    m_buckets.clear();
    m_history.clear();
    m_arrivals.clear();
}

void RateOwner::follow(const directory::DirectoryView &view, absl::Duration age)
{
    const absl::Time now = m_clock.now();
    if (age >= m_options.lease)
        return lapse();
    // A process that was suspended for longer than the lease may see its next view first.
    const absl::Time confirmedAt = now - age;
    if (confirmedAt - m_confirmedAt >= m_options.lease)
        lapse();
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    if (m_lapsed) {
        m_lapsed = false;
    } else if (view.memberRevision() == m_memberRevision) {
        return;
    }
    depart(view, now);
    m_memberRevision = view.memberRevision();
    m_history.push_front({now, memberNames(view), view});
    if (m_history.size() > historyLength)
        m_history.pop_back();
}

void RateOwner::depart(const directory::DirectoryView &view, absl::Time now)
{
    const std::vector<std::string> members = memberNames(view);
    for (auto it = m_buckets.begin(); it != m_buckets.end();) {
        const std::string &workspace = it->first;
        if (isOwner(view, workspace)) {
            ++it;
            continue;
        }
        // A bucket that has not begun says nothing about what its former owner granted.
        if (!members.empty() && now >= it->second.start) {
            const std::string &owner = members[rendezvousOwner(workspace, members)];
            wire::RateBucketTransfer &handOver = m_departures[view.member(owner)->peerAddress];
            handOver.instance = m_options.instance;
            handOver.memberRevision = view.memberRevision();
            handOver.levels.push_back({workspace, it->second.tokens.level(now)});
        }
        it = m_buckets.erase(it);
    }
}

void RateOwner::sendDepartures()
{
    Departures departures;
    {
        absl::MutexLock lock(&m_mutex);
        departures.swap(m_departures);
    }
    for (const auto &[address, handOver] : departures) {
        log(LogLevel::Info, "rates-handed-over",
            {{"peerAddress", address},
             {"memberRevision", handOver.memberRevision},
             {"workspaces", handOver.levels.size()}});
        m_sender(address, handOver);
    }
}

void RateOwner::accept(const wire::RateBucketTransfer &handOver)
{
    log(LogLevel::Info, "rates-received",
        {{"formerOwner", handOver.instance},
         {"memberRevision", handOver.memberRevision},
         {"workspaces", handOver.levels.size()}});
    absl::MutexLock lock(&m_mutex);
    const absl::Time now = m_clock.now();
    for (auto it = m_arrivals.begin(); it != m_arrivals.end();) {
        const bool isOld = now - it->second.receivedAt > arrivalKeep;
        it = isOld ? m_arrivals.erase(it) : std::next(it);
    }
    for (const wire::RateBucketLevel &rate : handOver.levels) {
        m_arrivals[rate.workspace] = {handOver.instance, handOver.memberRevision, rate.level, now};
        const auto waiting = m_buckets.find(rate.workspace);
        // A bucket below zero has granted units for the time after its start.
        if (waiting != m_buckets.end() && now < waiting->second.start
            && waiting->second.tokens.level(now) >= 0)
            m_buckets.erase(waiting);
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

bool RateOwner::isCurrent(const std::string &workspace, const Arrival &arrival) const
{
    const Membership *membership = ownedSince(workspace);
    return membership != nullptr && membership->view.memberRevision() == arrival.memberRevision
           && formerOwner(*membership, workspace) == arrival.formerOwner;
}

bool RateOwner::isAwaitingHandOver(const std::string &workspace, const Bucket &bucket,
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
        const absl::Time start = now + m_options.lease + m_options.maxWait;
        return {policy::TokenBucket(rate, start), start};
    }
    // A contract that came after this entry had become the owner was never granted by another one.
    const bool isFirstOwner = !membership->view.contract(workspace);
    if (isFirstOwner && rate.ratePerSecond > 0)
        return {policy::TokenBucket(rate, now, rate.burst), now};
    const auto arrival = m_arrivals.find(workspace);
    if (arrival != m_arrivals.end() && isCurrent(workspace, arrival->second)) {
        const Arrival taken = arrival->second;
        m_arrivals.erase(arrival);
        return {policy::TokenBucket(rate, taken.receivedAt, taken.level), taken.receivedAt};
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
    const absl::Duration age = m_directory.age();
    const auto view = m_directory.view();
    Outcome<wire::RateGrantResponse> response = wire::RateGrantResponse();
    {
        absl::MutexLock lock(&m_mutex);
        follow(*view, age);
        response = grantFrom(*view, request);
    }
    sendDepartures();
    return response;
}

Outcome<wire::RateGrantResponse> RateOwner::grantFrom(const directory::DirectoryView &view,
                                                      const wire::RateGrantRequest &request)
{
    if (m_lapsed)
        return notRun(ErrorCode::StaleRevision, "the owner's view is older than its lease");
    const Outcome<Done> checked = check(view, request.workspace);
    if (!checked.ok())
        return checked.failure();
    const absl::Time now = m_clock.now();
    Bucket &owned = bucket(view, request.workspace, now);
    if (isAwaitingHandOver(request.workspace, owned, now))
        return notRun(ErrorCode::NotMember,
                      concat("the former owner of workspace \"", request.workspace,
                             "\" has not handed over yet"));
    const absl::Duration maxWait =
            std::min(absl::Milliseconds(request.maxWaitMs), m_options.maxWait);
    wire::RateGrantResponse response;
    while (response.granted < request.requests) {
        const policy::RateGrant grant = owned.tokens.take(now, 1, maxWait);
        if (!grant.granted) {
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

#include "rateowner.h"

#include "viewqueries.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

namespace rattanrill::entry {
namespace {

/// Membership changes that are remembered. A workspace that was owned for longer than they reach
/// back counts as owned since the oldest one.
constexpr std::size_t historyLength = 16;

bool owns(const std::string &instance, const std::vector<std::string> &members,
          const std::string &workspace)
{
    return !members.empty() && members[rendezvousOwner(workspace, members)] == instance;
}

} // namespace

RateOwner::RateOwner(Options options, const directory::Follower &directory, const Clock &clock)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_clock(clock)
{}

void RateOwner::observe()
{
    const absl::Duration age = m_directory.age();
    const auto view = m_directory.view();
    absl::MutexLock lock(&m_mutex);
    follow(*view, age);
}

void RateOwner::follow(const directory::View &view, absl::Duration age)
{
    const absl::Time now = m_clock.now();
    if (age >= m_options.lease) {
        // Another entry may own the workspaces by now.
        m_lapsed = true;
        m_buckets.clear();
        m_history.clear();
        return;
    }
    if (m_lapsed) {
        m_lapsed = false;
    } else if (view.memberRevision() == m_memberRevision) {
        return;
    }
    m_memberRevision = view.memberRevision();
    m_history.push_front({now, memberNames(view)});
    if (m_history.size() > historyLength)
        m_history.pop_back();
    for (auto it = m_buckets.begin(); it != m_buckets.end();)
        it = isOwner(view, it->first) ? std::next(it) : m_buckets.erase(it);
}

bool RateOwner::isOwner(const directory::View &view, const std::string &workspace) const
{
    const auto self = view.member(m_options.instance);
    if (!self || self->incarnation != m_options.incarnation)
        return false;
    return owns(m_options.instance, memberNames(view), workspace);
}

absl::Time RateOwner::ownedSince(const std::string &workspace) const
{
    absl::Time since = m_clock.now();
    for (const Membership &membership : m_history) {
        if (!owns(m_options.instance, membership.members, workspace))
            break;
        since = membership.since;
    }
    return since;
}

Outcome<Done> RateOwner::check(const directory::View &view, const std::string &workspace) const
{
    if (!isOwner(view, workspace))
        return notRun(ErrorCode::NotMember,
                      concat("instance \"", m_options.instance, "\" does not own workspace \"",
                             workspace, "\""));
    return Done{};
}

policy::TokenBucket &RateOwner::bucket(const directory::View &view, const std::string &workspace,
                                       absl::Time now)
{
    const auto contract = view.contract(workspace);
    policy::RateContract rate;
    if (contract && !contract->withdrawn)
        rate = {contract->ratePerSecond, contract->burst};
    const auto known = m_buckets.find(workspace);
    if (known == m_buckets.end()) {
        const absl::Time start = ownedSince(workspace) + m_options.lease + m_options.maxWait;
        return m_buckets.emplace(workspace, policy::TokenBucket(rate, start)).first->second;
    }
    const policy::RateContract &old = known->second.contract();
    if (old.ratePerSecond != rate.ratePerSecond || old.burst != rate.burst)
        known->second.setContract(now, rate);
    return known->second;
}

Outcome<wire::GrantResponse> RateOwner::grant(const wire::GrantRequest &request)
{
    const absl::Duration age = m_directory.age();
    const auto view = m_directory.view();
    absl::MutexLock lock(&m_mutex);
    follow(*view, age);
    if (m_lapsed)
        return notRun(ErrorCode::StaleRevision, "the owner's view is older than its lease");
    const Outcome<Done> checked = check(*view, request.workspace);
    if (!checked.ok())
        return checked.failure();
    const absl::Time now = m_clock.now();
    policy::TokenBucket &tokens = bucket(*view, request.workspace, now);
    const absl::Duration maxWait =
            std::min(absl::Milliseconds(request.maxWaitMs), m_options.maxWait);
    wire::GrantResponse response;
    while (response.granted < request.requests) {
        const policy::RateGrant grant = tokens.take(now, 1, maxWait);
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

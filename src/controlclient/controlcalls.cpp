#include "controlcalls.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include <algorithm>
#include <utility>

namespace rattanrill::controlclient {
namespace {

/// Pause after every instance was tried once: an election takes some hundred milliseconds, so
/// shorter pauses would only load the instances.
constexpr absl::Duration retryDelay = absl::Milliseconds(50);

/// Failures that say something about the instance or the moment, not about the request.
bool isTransient(ErrorCode code)
{
    switch (code) {
    case ErrorCode::NotLeader:
    case ErrorCode::NoQuorum:
    case ErrorCode::ProposalLost:
    case ErrorCode::Timeout:
    case ErrorCode::ConnectionLost:
    case ErrorCode::QueueFull:
    case ErrorCode::Stopped:
    case ErrorCode::AuthenticationFailed:
    case ErrorCode::UnsupportedVersion:
        return true;
    default:
        return false;
    }
}

} // namespace

ControlCalls::ControlCalls(peer::ChannelPool &channels, std::vector<std::string> addresses,
                           TimerService &timers, const Clock &clock)
    : m_channels(channels)
    , m_addresses(std::move(addresses))
    , m_timers(timers)
    , m_clock(clock)
    // Instances of a fleet start at different control instances.
    , m_next(stableHash(randomHex(sizeof(std::uint64_t)))
             % std::max<std::size_t>(1, m_addresses.size()))
{}

void ControlCalls::start(CallPlan plan, const Callback &callback)
{
    std::uint64_t id = 0;
    {
        absl::MutexLock lock(&m_mutex);
        if (!m_stopped && !m_addresses.empty()) {
            id = m_nextId++;
            Call &call = m_calls[id];
            call.plan = std::move(plan);
            call.callback = callback;
        }
    }
    if (id == 0)
        return callback(notRun(ErrorCode::Stopped, "control client is stopped or has no address"));
    send(id);
}

void ControlCalls::send(std::uint64_t id)
{
    std::string address;
    wire::Method method{};
    std::string body;
    absl::Duration timeout;
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            return;
        Call &call = found->second;
        call.timer = 0;
        ++call.tries;
        address = addressFor(call.plan.target);
        call.address = address;
        method = call.plan.method;
        body = call.plan.body;
        timeout = std::min(call.plan.tryTimeout, call.plan.deadline - m_clock.now());
    }
    const auto reply = [weak = weak_from_this(), id, address](const Outcome<std::string> &outcome) {
        if (const auto self = weak.lock())
            self->answered(id, address, outcome);
    };
    m_channels.channel(address)->call(method, std::move(body),
                                      std::max(timeout, absl::ZeroDuration()), reply);
}

void ControlCalls::answered(std::uint64_t id, const std::string &address,
                            const Outcome<std::string> &outcome)
{
    Failure failure;
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            return;
        Call &call = found->second;
        if (outcome.ok()) {
            m_known[call.plan.target] = address;
        } else {
            failure = outcome.failure();
            learn(call, address, failure);
            if (shouldRetry(call, failure))
                return retry(id, call, failure);
            failure = finalFailure(call, failure);
        }
    }
    if (outcome.ok())
        finish(id, outcome);
    else
        finish(id, failure);
}

bool ControlCalls::shouldRetry(Call &call, const Failure &failure) const
{
    const bool mayHaveRun = call.plan.hasEffect && failure.run == EffectState::MayHaveRun;
    call.mayHaveRun = call.mayHaveRun || mayHaveRun;
    if (mayHaveRun && !call.plan.idempotent)
        return false;
    return isTransient(failure.code) && m_clock.now() < call.plan.deadline;
}

/// What the caller learns. When the deadline cuts the last try short, the failure of the try before
/// says more than a timeout.
Failure ControlCalls::finalFailure(const Call &call, const Failure &failure) const
{
    const bool cutShort = failure.code == ErrorCode::Timeout && call.tries > 1;
    Failure result = cutShort ? call.lastFailure : failure;
    if (call.plan.hasEffect && call.mayHaveRun)
        result.run = EffectState::MayHaveRun;
    return result;
}

/// Remembers the leader that \a failure names, or that \a address does not serve the target.
void ControlCalls::learn(const Call &call, const std::string &address, const Failure &failure)
{
    std::string &known = m_known[call.plan.target];
    if (failure.code == ErrorCode::NotLeader && !failure.detail.empty()
        && failure.detail != address) {
        known = failure.detail;
        return;
    }
    if (isTransient(failure.code) && (known.empty() || known == address))
        known.clear();
}

void ControlCalls::retry(std::uint64_t id, Call &call, const Failure &failure)
{
    call.lastFailure = failure;
    const bool roundIsOver = call.tries % static_cast<int>(m_addresses.size() + 1) == 0;
    // The leader that lost a proposal or its quorum needs time, another instance does not help.
    const bool pause = roundIsOver || failure.code == ErrorCode::NoQuorum
                       || failure.code == ErrorCode::ProposalLost;
    const absl::Duration delay = pause ? retryDelay : absl::ZeroDuration();
    // Also without a pause the next try starts from the timer's thread, because a reply may have
    // come on the stack of the call.
    call.timer = m_timers.subscribeOnce(delay, [weak = weak_from_this(), id] {
        if (const auto self = weak.lock())
            self->send(id);
    });
}

std::string ControlCalls::addressFor(const std::string &target)
{
    std::string &known = m_known[target];
    if (known.empty())
        known = m_addresses[m_next++ % m_addresses.size()];
    return known;
}

void ControlCalls::finish(std::uint64_t id, const Outcome<std::string> &outcome)
{
    Callback callback;
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            return;
        callback = std::move(found->second.callback);
        m_calls.erase(found);
        m_running.push_back(std::this_thread::get_id());
    }
    callback(outcome);
    absl::MutexLock lock(&m_mutex);
    m_running.erase(std::find(m_running.begin(), m_running.end(), std::this_thread::get_id()));
    m_callbackEnded.SignalAll();
}

void ControlCalls::stop()
{
    std::map<std::uint64_t, Call> calls;
    {
        absl::MutexLock lock(&m_mutex);
        m_stopped = true;
        calls.swap(m_calls);
    }
    for (auto &[id, call] : calls) {
        if (call.timer != 0)
            m_timers.unsubscribe(call.timer);
        // A try in flight may still run; one that only waits for its turn has not.
        const bool mayHaveRun = call.mayHaveRun || (call.plan.hasEffect && call.timer == 0);
        const EffectState run = mayHaveRun ? EffectState::MayHaveRun : EffectState::NotRun;
        call.callback(Failure{ErrorCode::Stopped, run, "control client is stopped"});
    }
    absl::MutexLock lock(&m_mutex);
    const auto othersRun = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return std::any_of(m_running.begin(), m_running.end(), [](std::thread::id thread) {
            return thread != std::this_thread::get_id();
        });
    };
    while (othersRun())
        m_callbackEnded.Wait(&m_mutex);
}

} // namespace rattanrill::controlclient

#include "controlcalls.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include <algorithm>
#include <utility>

namespace rattanrill::controlclient {
namespace {

/// Delay before the next attempt when all instances were tried, or after a lost proposal or the
/// loss of the quorum. An election takes a few hundred milliseconds, so a shorter delay would only
/// increase the load on the instances.
constexpr absl::Duration retryDelay = absl::Milliseconds(50);

/// Returns whether the failure is caused by the instance or its current state and not by the
/// request, so that another attempt can succeed.
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
    // The first address is random, so that the processes of a deployment do not all call the same
    // control instance.
    , m_nextAddressIndex(stableHash(randomHex(sizeof(std::uint64_t)))
                         % std::max<std::size_t>(1, m_addresses.size()))
{}

void ControlCalls::start(CallParameters parameters, const Callback &callback)
{
    std::uint64_t id = 0;
    {
        absl::MutexLock lock(&m_mutex);
        if (!m_stopped && !m_addresses.empty()) {
            id = m_nextId++;
            Call &call = m_calls[id];
            call.parameters = std::move(parameters);
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
        ++call.attempts;
        address = addressFor(call.parameters.target);
        call.address = address;
        method = call.parameters.method;
        body = call.parameters.body;
        timeout =
                std::min(call.parameters.attemptTimeout, call.parameters.deadline - m_clock.now());
    }
    const auto reply = [weak = weak_from_this(), id, address](const Outcome<std::string> &outcome) {
        if (const auto self = weak.lock())
            self->handleReply(id, address, outcome);
    };
    m_channels.channel(address)->call(method, std::move(body),
                                      std::max(timeout, absl::ZeroDuration()), reply);
}

void ControlCalls::handleReply(std::uint64_t id, const std::string &address,
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
            m_addressByTarget[call.parameters.target] = address;
        } else {
            failure = outcome.failure();
            updateTargetAddress(call, address, failure);
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
    const bool mayHaveRun = call.parameters.hasEffect && failure.effect == EffectState::MayHaveRun;
    call.mayHaveRun = call.mayHaveRun || mayHaveRun;
    if (mayHaveRun && !call.parameters.idempotent)
        return false;
    return isTransient(failure.code) && m_clock.now() < call.parameters.deadline;
}

/// Returns the failure for the caller. When the deadline ended the last attempt, this is the
/// failure of the previous attempt, because it describes the cause better than a timeout.
Failure ControlCalls::finalFailure(const Call &call, const Failure &failure) const
{
    const bool usePreviousFailure = failure.code == ErrorCode::Timeout && call.attempts > 1;
    Failure result = usePreviousFailure ? call.lastFailure : failure;
    if (call.parameters.hasEffect && call.mayHaveRun)
        result.effect = EffectState::MayHaveRun;
    return result;
}

/// Caches the address of the leader that \a failure contains. Without such an address, removes
/// \a address from the cache if the failure shows that the instance does not serve the target at
/// present.
void ControlCalls::updateTargetAddress(const Call &call, const std::string &address,
                                       const Failure &failure)
{
    std::string &targetAddress = m_addressByTarget[call.parameters.target];
    if (failure.code == ErrorCode::NotLeader && !failure.detail.empty()
        && failure.detail != address) {
        targetAddress = failure.detail;
        return;
    }
    if (isTransient(failure.code) && (targetAddress.empty() || targetAddress == address))
        targetAddress.clear();
}

void ControlCalls::retry(std::uint64_t id, Call &call, const Failure &failure)
{
    call.lastFailure = failure;
    const bool allInstancesTried = call.attempts % static_cast<int>(m_addresses.size() + 1) == 0;
    // After a lost proposal or the loss of the quorum, the group needs time to recover, and calling
    // another instance immediately does not help.
    const bool pause = allInstancesTried || failure.code == ErrorCode::NoQuorum
                       || failure.code == ErrorCode::ProposalLost;
    const absl::Duration delay = pause ? retryDelay : absl::ZeroDuration();
    // The next attempt is sent from the timer thread even without a delay, because this function
    // may run inside the call in send().
    call.timer = m_timers.subscribeOnce(delay, [weak = weak_from_this(), id] {
        if (const auto self = weak.lock())
            self->send(id);
    });
}

std::string ControlCalls::addressFor(const std::string &target)
{
    std::string &address = m_addressByTarget[target];
    if (address.empty())
        address = m_addresses[m_nextAddressIndex++ % m_addresses.size()];
    return address;
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
        m_threadsInCallback.push_back(std::this_thread::get_id());
    }
    callback(outcome);
    absl::MutexLock lock(&m_mutex);
    m_threadsInCallback.erase(std::find(m_threadsInCallback.begin(), m_threadsInCallback.end(),
                                        std::this_thread::get_id()));
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
        // An attempt in flight may still run. A call that waits for its retry timer has no attempt
        // in flight.
        const bool mayHaveRun = call.mayHaveRun || (call.parameters.hasEffect && call.timer == 0);
        const EffectState effect = mayHaveRun ? EffectState::MayHaveRun : EffectState::NotRun;
        call.callback(Failure{ErrorCode::Stopped, effect, "control client is stopped"});
    }
    absl::MutexLock lock(&m_mutex);
    const auto otherCallbacksRun = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return std::any_of(
                m_threadsInCallback.begin(), m_threadsInCallback.end(),
                [](std::thread::id thread) { return thread != std::this_thread::get_id(); });
    };
    while (otherCallbacksRun())
        m_callbackEnded.Wait(&m_mutex);
}

} // namespace rattanrill::controlclient

#pragma once

#include "rattanrill/controlclient/controlclient.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace rattanrill::controlclient {

/// Parameters of one call, except for the address of the instance.
struct CallParameters
{
    wire::Method method = wire::Method::Propose;
    std::string body;
    /// Key under which the address of the instance to call is cached: the name of a group if only
    /// its leader serves the call, or another name if every instance serves it.
    std::string target;
    /// Whether the call may be sent again after an attempt that may have run.
    bool idempotent = true;
    /// Whether the call changes state. If so, its failure must report that an earlier attempt may
    /// have run. A call without an effect can always be sent again.
    bool hasEffect = true;
    /// Timeout of one attempt. It prevents an instance that does not respond from using up the
    /// whole time until the deadline.
    absl::Duration attemptTimeout;
    absl::Time deadline;
};

/// The open calls of a ControlClient and the cached addresses of the leaders.
class ControlCalls : public std::enable_shared_from_this<ControlCalls>
{
public:
    using Callback = std::function<void(const Outcome<std::string> &)>;

    ControlCalls(peer::ChannelPool &channels, std::vector<std::string> addresses,
                 TimerService &timers, const Clock &clock);

    /// Starts a call. \a callback receives its result, possibly before start() returns.
    void start(CallParameters parameters, const Callback &callback);
    /// Fails the open calls with Stopped and waits for callbacks on other threads.
    void stop();
    absl::Time now() const { return m_clock.now(); }

private:
    struct Call
    {
        CallParameters parameters;
        Callback callback;
        std::string address;
        int attempts = 0;
        bool mayHaveRun = false;
        /// Failure of the previous attempt; its code is Internal before the first failure.
        Failure lastFailure;
        /// Timer of the next attempt; 0 while an attempt is in flight.
        TimerService::TimerId timer = 0;
    };

    void send(std::uint64_t id);
    void handleReply(std::uint64_t id, const std::string &address,
                     const Outcome<std::string> &outcome);
    /// Returns whether to send the call again. Records in \a call whether an attempt may have run.
    bool shouldRetry(Call &call, const Failure &failure) const;
    Failure finalFailure(const Call &call, const Failure &failure) const;
    void updateTargetAddress(const Call &call, const std::string &address, const Failure &failure)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void retry(std::uint64_t id, Call &call, const Failure &failure)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Returns the cached address of \a target, or the next address of the list.
    std::string addressFor(const std::string &target) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void finish(std::uint64_t id, const Outcome<std::string> &outcome);

    peer::ChannelPool &m_channels;
    const std::vector<std::string> m_addresses;
    TimerService &m_timers;
    const Clock &m_clock;

    absl::Mutex m_mutex;
    absl::CondVar m_callbackEnded;
    std::map<std::uint64_t, Call> m_calls ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_nextId ABSL_GUARDED_BY(m_mutex) = 1;
    /// Address of the last known leader of each target, or of the instance that served it last.
    /// Empty when no address is known.
    std::map<std::string, std::string> m_addressByTarget ABSL_GUARDED_BY(m_mutex);
    /// Index in m_addresses, modulo its size, of the next address for a target that has no
    /// cached address.
    std::size_t m_nextAddressIndex ABSL_GUARDED_BY(m_mutex);
    /// Threads that are running a callback from finish().
    std::vector<std::thread::id> m_threadsInCallback ABSL_GUARDED_BY(m_mutex);
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace rattanrill::controlclient

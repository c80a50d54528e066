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

/// What one call needs, apart from where it goes.
struct CallPlan
{
    wire::Method method = wire::Method::Propose;
    std::string body;
    /// Calls with the same text share a guess of who answers them: the name of a group, which only
    /// its leader serves, or another text for calls that every instance serves.
    std::string target;
    /// A try that may have run may be repeated.
    bool idempotent = true;
    /// A try that may have run makes a difference to the caller.
    bool hasEffect = true;
    /// One try fails after this, so that a silent instance does not take the whole deadline.
    absl::Duration tryTimeout;
    absl::Time deadline;
};

/// The open calls of a ControlClient and what is known about leaders.
class ControlCalls : public std::enable_shared_from_this<ControlCalls>
{
public:
    using Callback = std::function<void(const Outcome<std::string> &)>;

    ControlCalls(peer::ChannelPool &channels, std::vector<std::string> addresses,
                 TimerService &timers, const Clock &clock);

    void start(CallPlan plan, const Callback &callback);
    void stop();
    absl::Time now() const { return m_clock.now(); }

private:
    struct Call
    {
        CallPlan plan;
        Callback callback;
        std::string address;
        int tries = 0;
        bool mayHaveRun = false;
        /// Of the try before; code Internal before the first.
        Failure lastFailure;
        TimerService::TimerId timer = 0;
    };

    void send(std::uint64_t id);
    void answered(std::uint64_t id, const std::string &address,
                  const Outcome<std::string> &outcome);
    bool shouldRetry(Call &call, const Failure &failure) const;
    Failure finalFailure(const Call &call, const Failure &failure) const;
    void learn(const Call &call, const std::string &address, const Failure &failure)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void retry(std::uint64_t id, Call &call, const Failure &failure)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
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
    /// Last known leader, or instance that served, of each target.
    std::map<std::string, std::string> m_known ABSL_GUARDED_BY(m_mutex);
    std::size_t m_next ABSL_GUARDED_BY(m_mutex);
    /// Threads that are running a callback.
    std::vector<std::thread::id> m_running ABSL_GUARDED_BY(m_mutex);
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace rattanrill::controlclient

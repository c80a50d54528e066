#pragma once

#include "rattanrill/peer/channel.h"

#include "absl/synchronization/mutex.h"

#include <memory>
#include <optional>
#include <string>

namespace rattanrill::peer {

/// Stores the last reply of one call and counts the replies.
class CallResult
{
public:
    ResponseCallback reply()
    {
        return [state = m_state](Outcome<std::string> outcome) {
            absl::MutexLock lock(&state->mutex);
            ++state->count;
            state->outcome = std::move(outcome);
        };
    }

    Outcome<std::string> wait()
    {
        absl::MutexLock lock(&m_state->mutex);
        const auto arrived = [state = m_state.get()] { return state->outcome.has_value(); };
        if (!m_state->mutex.AwaitWithTimeout(absl::Condition(&arrived), absl::Seconds(20)))
            return mayHaveRun(ErrorCode::Internal, "no reply within 20 s");
        return *m_state->outcome;
    }

    int count() const
    {
        absl::MutexLock lock(&m_state->mutex);
        return m_state->count;
    }

private:
    struct State
    {
        absl::Mutex mutex;
        int count = 0;
        std::optional<Outcome<std::string>> outcome;
    };

    std::shared_ptr<State> m_state = std::make_shared<State>();
};

inline Outcome<std::string> callAndWait(Channel &channel, const std::string &body,
                                        absl::Duration timeout = absl::Seconds(10),
                                        wire::Method method = wire::Method::Read)
{
    CallResult result;
    channel.call(method, body, timeout, result.reply());
    return result.wait();
}

} // namespace rattanrill::peer

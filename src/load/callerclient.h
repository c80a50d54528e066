#pragma once

#include "loadplan.h"
#include "requestoutcome.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/base/result.h"

#include <memory>
#include <string>

namespace rattanrill::load {

/// Answer to a request of the batch interface.
struct CallerReply
{
    int status = 0;
    std::string body;
};

/// HTTP client that sends requests as a caller does and measures the answers. Keeps idle
/// connections for each target. Safe to use from several threads.
class CallerClient
{
public:
    explicit CallerClient(const LoadPlan &plan, const Clock &clock = SystemClock::instance());
    ~CallerClient();
    CallerClient(const CallerClient &) = delete;
    CallerClient &operator=(const CallerClient &) = delete;

    /// Sends a completion or service call, resends it where permitted and classifies the answer.
    RequestOutcome perform(const PlannedRequest &request);
    /// Sends a request of the batch interface to the target at index \a target. Fails with
    /// ConnectionLost when there is no answer.
    Result<CallerReply> exchange(std::size_t target, const std::string &method,
                                 const std::string &path, const std::string &key,
                                 const std::string &body, const std::string &contentType,
                                 const std::string &idempotencyKey = {});

private:
    struct State;

    RequestOutcome sendOnce(const PlannedRequest &request, std::size_t target);

    std::unique_ptr<State> m_state;
};

} // namespace rattanrill::load

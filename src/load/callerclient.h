#pragma once

#include "loadplan.h"
#include "requestoutcome.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/base/result.h"

#include <memory>
#include <string>

namespace rattanrill::load {

/// Response to a request of the batch interface.
struct HttpResponse
{
    int status = 0;
    std::string body;
};

/// HTTP client that sends the requests of a caller, classifies the responses and measures their
/// latency. Keeps a pool of idle connections for each target. Thread-safe.
class CallerClient
{
public:
    explicit CallerClient(const LoadPlan &plan, const Clock &clock = SystemClock::instance());
    ~CallerClient();
    CallerClient(const CallerClient &) = delete;
    CallerClient &operator=(const CallerClient &) = delete;

    /// Sends a completion or service call and classifies the response. A failed request that was
    /// not executed or has an Idempotency-Key is resent up to \a request.resends times.
    RequestOutcome perform(const PlannedRequest &request);
    /// Sends a request of the batch interface to the target at index \a target. Fails with
    /// ConnectionLost when no response is received.
    Result<HttpResponse> sendBatchRequest(std::size_t target, const std::string &method,
                                          const std::string &path, const std::string &key,
                                          const std::string &body, const std::string &contentType,
                                          const std::string &idempotencyKey = {});

private:
    struct State;

    RequestOutcome sendOnce(const PlannedRequest &request, std::size_t target);

    std::unique_ptr<State> m_state;
};

} // namespace rattanrill::load

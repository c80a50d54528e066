#pragma once

#include "admission.h"
#include "answerstream.h"
#include "completionrequest.h"
#include "exchange.h"
#include "requestmetrics.h"
#include "shutdowndeadline.h"
#include "taskdispatcher.h"
#include "workspaceshares.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/directory/directorysubscriber.h"

#include "absl/time/time.h"

#include <cstddef>
#include <memory>

namespace rattanrill::entry {

/// Serves POST /v1/completions and /v1/chat/completions, with a single JSON response or with
/// server-sent events.
class CompletionHandler
{
public:
    struct Context
    {
        const Admission &admission;
        const directory::DirectorySubscriber &directory;
        TaskDispatcher &dispatcher;
        WorkspaceShares &shares;
        const ShutdownDeadline &shutdown;
        const Clock &clock;
        RequestMetrics &metrics;
    };

    CompletionHandler(Context context, std::size_t maxBodyBytes, absl::Duration requestTimeout);

    void handle(Exchange &exchange);

private:
    struct RunningRequest;

    Outcome<CompletionRequest> readRequest(Exchange &exchange, const Caller &caller) const;
    Outcome<Done> check(const CompletionRequest &request, const Caller &caller) const;
    std::shared_ptr<RunningRequest> start(Exchange &exchange, const Caller &caller,
                                          const CompletionRequest &request);
    /// Waits for the next item of the answer. Returns an AnswerFailure when the key was withdrawn,
    /// the caller has disconnected or the shutdown deadline has passed.
    AnswerStream::Item next(RunningRequest &running,
                            const std::function<bool()> &callerDisconnected) const;
    void sendAnswer(Exchange &exchange, RunningRequest &running);
    void sendStream(Exchange &exchange, const std::shared_ptr<RunningRequest> &running);
    void recordToken(RunningRequest &running) const;
    /// Counts the end of a streamed answer.
    void recordStreamEnd(const RunningRequest &running, const AnswerStream::Item &item) const;

    Context m_context;
    std::size_t m_maxBodyBytes;
    absl::Duration m_requestTimeout;
};

} // namespace rattanrill::entry

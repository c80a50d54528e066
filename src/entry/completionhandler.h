#pragma once

#include "admission.h"
#include "answerstream.h"
#include "completionrequest.h"
#include "exchange.h"
#include "requestmetrics.h"
#include "workdispatcher.h"
#include "workspaceshares.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/directory/directorysubscriber.h"

#include "absl/time/time.h"

#include <cstddef>
#include <memory>

namespace rattanrill::entry {

/// Serves POST /v1/completions and /v1/chat/completions, whole and as server-sent events.
class CompletionHandler
{
public:
    struct Parts
    {
        const Admission &admission;
        const directory::DirectorySubscriber &directory;
        WorkDispatcher &dispatcher;
        WorkspaceShares &shares;
        const Clock &clock;
        RequestMetrics &metrics;
    };

    CompletionHandler(Parts parts, std::size_t maxBodyBytes, absl::Duration requestTimeout);

    void handle(Exchange &exchange);

private:
    struct Running;

    Outcome<CompletionRequest> readRequest(Exchange &exchange, const Caller &caller) const;
    Outcome<Done> check(const CompletionRequest &request, const Caller &caller) const;
    std::shared_ptr<Running> start(Exchange &exchange, const Caller &caller,
                                   const CompletionRequest &request);
    /// Next item of the answer, or why the answer ends without one.
    AnswerStream::Item next(Running &running, const std::function<bool()> &callerGone) const;
    void sendWhole(Exchange &exchange, Running &running);
    void sendStream(Exchange &exchange, const std::shared_ptr<Running> &running);
    void noteToken(Running &running) const;
    /// Counts the end of a streamed answer.
    void noteStreamEnd(const Running &running, const AnswerStream::Item &item) const;

    Parts m_parts;
    std::size_t m_maxBodyBytes;
    absl::Duration m_requestTimeout;
};

} // namespace rattanrill::entry

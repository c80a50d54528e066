#pragma once

#include "completionrequest.h"
#include "tasklistener.h"

#include "rattanrill/wire/batchmessages.h"

#include <functional>
#include <string>

namespace rattanrill::entry {

/// Outcome of running a leased item.
struct ItemOutcome
{
    enum class Kind {
        /// The item has a result, which may be a permanent failure.
        Result,
        /// The lease is released, so that the item can be leased again.
        Release,
    };

    Kind kind = Kind::Result;
    wire::ItemResult result;
    /// For Release only: whether the attempt counts towards the maximum number of failed attempts,
    /// and the name of the error code.
    bool failedAttempt = false;
    std::string reason;
};

/// Collects the answer for one leased item and reports the outcome.
class BatchItem : public TaskListener
{
public:
    using OutcomeHandler = std::function<void(ItemOutcome)>;

    BatchItem(const wire::LeasedItem &item, const CompletionRequest &request, std::string requestId,
              std::int64_t createdSeconds, OutcomeHandler onOutcome);

    void onToken(const engine::Token &token) override;
    void onFinished(const engine::StreamSummary &summary) override;
    void onFailed(const Failure &failure, absl::Duration retryAfter) override;

    /// Result of an item that cannot be completed.
    static wire::ItemResult failedResult(const wire::ItemRef &item, const Failure &failure);

private:
    wire::ItemRef m_item;
    CompletionRequest m_request;
    std::string m_requestId;
    std::int64_t m_createdSeconds;
    OutcomeHandler m_onOutcome;
    std::string m_text;
};

} // namespace rattanrill::entry

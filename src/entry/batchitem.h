#pragma once

#include "completionrequest.h"
#include "worklistener.h"

#include "rattanrill/wire/batchmessages.h"

#include <functional>
#include <string>

namespace rattanrill::entry {

/// How the work on a leased item ended.
struct ItemEnd
{
    enum class Kind {
        /// A result, also that the item can never be completed.
        Result,
        /// The item goes back to its partition.
        Release,
    };

    Kind kind = Kind::Result;
    wire::ItemResult result;
    /// Release: the try counts against the item, with this error code name.
    bool failedTry = false;
    std::string reason;
};

/// Collects the answer to one leased item.
class BatchItem : public WorkListener
{
public:
    using EndHandler = std::function<void(ItemEnd)>;

    BatchItem(const wire::LeasedItem &item, const CompletionRequest &request, std::string requestId,
              std::int64_t createdSeconds, EndHandler onEnd);

    void onToken(const engine::Token &token) override;
    void onFinished(const engine::StreamSummary &end) override;
    void onFailed(const Failure &failure, absl::Duration retryAfter) override;

    /// Result of an item that cannot be completed.
    static wire::ItemResult failedResult(const wire::ItemRef &item, const Failure &failure);

private:
    wire::ItemRef m_item;
    CompletionRequest m_request;
    std::string m_requestId;
    std::int64_t m_createdSeconds;
    EndHandler m_onEnd;
    std::string m_text;
};

} // namespace rattanrill::entry

#include "batchitem.h"

#include "completionformat.h"

namespace rattanrill::entry {
namespace {

constexpr int statusOk = 200;

/// Whether another attempt would fail in the same way.
bool isPermanent(ErrorCode code)
{
    return code == ErrorCode::InvalidRequest || code == ErrorCode::ItemFailed;
}

} // namespace

BatchItem::BatchItem(const wire::LeasedItem &item, const CompletionRequest &request,
                     std::string requestId, std::int64_t createdSeconds, OutcomeHandler onOutcome)
    : m_item(item.item)
    , m_request(request)
    , m_requestId(std::move(requestId))
    , m_createdSeconds(createdSeconds)
    , m_onOutcome(std::move(onOutcome))
{}

void BatchItem::onToken(const engine::Token &token)
{
    m_text += token.text;
}

void BatchItem::onFinished(const engine::StreamSummary &summary)
{
    const CompletionFormat format(m_request, m_requestId, m_createdSeconds);
    ItemOutcome outcome;
    outcome.result.item = m_item;
    outcome.result.status = statusOk;
    outcome.result.body = format.answerJson(m_text, summary);
    m_onOutcome(std::move(outcome));
}

void BatchItem::onFailed(const Failure &failure, absl::Duration)
{
    ItemOutcome outcome;
    outcome.result = failedResult(m_item, failure);
    if (!isPermanent(failure.code)) {
        outcome.kind = ItemOutcome::Kind::Release;
        outcome.failedAttempt = failure.effect == EffectState::MayHaveRun;
        outcome.reason = name(failure.code);
    }
    m_onOutcome(std::move(outcome));
}

wire::ItemResult BatchItem::failedResult(const wire::ItemRef &item, const Failure &failure)
{
    wire::ItemResult result;
    result.item = item;
    result.failed = true;
    result.status = httpStatus(failure.code);
    result.body = failure.detail;
    result.reason = name(failure.code);
    return result;
}

} // namespace rattanrill::entry

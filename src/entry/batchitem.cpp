#include "batchitem.h"

#include "completionformat.h"

namespace rattanrill::entry {
namespace {

constexpr int statusOk = 200;

/// Failures that another try would meet again.
bool isFinal(ErrorCode code)
{
    return code == ErrorCode::InvalidRequest || code == ErrorCode::RequestQuarantined
           || code == ErrorCode::ItemFailed;
}

} // namespace

BatchItem::BatchItem(const wire::LeasedItem &item, const CompletionRequest &request,
                     std::string requestId, std::int64_t createdSeconds, EndHandler onEnd)
    : m_item(item.item)
    , m_request(request)
    , m_requestId(std::move(requestId))
    , m_createdSeconds(createdSeconds)
    , m_onEnd(std::move(onEnd))
{}

void BatchItem::onToken(const engine::Token &token)
{
    m_text += token.text;
}

void BatchItem::onFinished(const engine::StreamSummary &end)
{
    const CompletionFormat format(m_request, m_requestId, m_createdSeconds);
    ItemEnd itemEnd;
    itemEnd.result.item = m_item;
    itemEnd.result.status = statusOk;
    itemEnd.result.body = format.whole(m_text, end);
    m_onEnd(std::move(itemEnd));
}

void BatchItem::onFailed(const Failure &failure, absl::Duration)
{
    ItemEnd end;
    end.result = failedResult(m_item, failure);
    if (!isFinal(failure.code)) {
        end.kind = ItemEnd::Kind::Release;
        end.failedTry = failure.run == EffectState::MayHaveRun;
        end.reason = name(failure.code);
    }
    m_onEnd(std::move(end));
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

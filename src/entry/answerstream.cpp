#include "answerstream.h"

namespace rattanrill::entry {
namespace {

constexpr std::size_t maxQueuedTokens = 4096;

} // namespace

bool AnswerStream::hasCapacity() const
{
    return m_closed || m_items.size() < maxQueuedTokens;
}

void AnswerStream::onToken(const engine::Token &token)
{
    absl::MutexLock lock(&m_mutex);
    m_mutex.Await(absl::Condition(this, &AnswerStream::hasCapacity));
    if (!m_closed)
        m_items.emplace_back(token);
}

void AnswerStream::onFinished(const engine::StreamSummary &summary)
{
    absl::MutexLock lock(&m_mutex);
    m_items.emplace_back(summary);
}

void AnswerStream::onFailed(const Failure &failure, absl::Duration retryAfter)
{
    absl::MutexLock lock(&m_mutex);
    m_items.emplace_back(AnswerFailure{failure, retryAfter});
}

std::optional<AnswerStream::Item> AnswerStream::next(absl::Duration timeout)
{
    absl::MutexLock lock(&m_mutex);
    if (!m_mutex.AwaitWithTimeout(absl::Condition(this, &AnswerStream::hasItem), timeout))
        return std::nullopt;
    Item item = std::move(m_items.front());
    m_items.pop_front();
    return item;
}

void AnswerStream::close()
{
    absl::MutexLock lock(&m_mutex);
    m_closed = true;
    m_items.clear();
}

} // namespace rattanrill::entry

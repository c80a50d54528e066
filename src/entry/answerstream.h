#pragma once

#include "tasklistener.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <deque>
#include <optional>
#include <variant>

namespace rattanrill::entry {

/// End of an answer that could not be completed.
struct AnswerFailure
{
    Failure failure;
    absl::Duration retryAfter;
};

/// Queue between the thread that reads an engine's stream and the thread that serves the caller.
/// Applies backpressure: while the queue is full, nothing more is read from the engine.
class AnswerStream : public TaskListener
{
public:
    using Item = std::variant<engine::Token, engine::StreamSummary, AnswerFailure>;

    void onToken(const engine::Token &token) override ABSL_LOCKS_EXCLUDED(m_mutex);
    void onFinished(const engine::StreamSummary &summary) override ABSL_LOCKS_EXCLUDED(m_mutex);
    void onFailed(const Failure &failure, absl::Duration retryAfter) override
            ABSL_LOCKS_EXCLUDED(m_mutex);

    /// Returns the next item, or nothing when none arrives within \a timeout.
    std::optional<Item> next(absl::Duration timeout) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Discards all queued and later items. Called when the reader has ended.
    void close() ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    bool hasCapacity() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool hasItem() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return !m_items.empty(); }

    absl::Mutex m_mutex;
    std::deque<Item> m_items ABSL_GUARDED_BY(m_mutex);
    bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace rattanrill::entry

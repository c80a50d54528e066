#pragma once

#include "worklistener.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <deque>
#include <optional>
#include <variant>

namespace rattanrill::entry {

/// End of an answer that is not whole.
struct AnswerFailure
{
    Failure failure;
    absl::Duration retryAfter;
};

/// Queue between the thread that reads an engine's stream and the caller's thread. When the caller
/// reads slowly, the queue fills and the engine's stream is read as slowly.
class AnswerStream : public WorkListener
{
public:
    using Item = std::variant<engine::Token, engine::StreamSummary, AnswerFailure>;

    void onToken(const engine::Token &token) override ABSL_LOCKS_EXCLUDED(m_mutex);
    void onFinished(const engine::StreamSummary &end) override ABSL_LOCKS_EXCLUDED(m_mutex);
    void onFailed(const Failure &failure, absl::Duration retryAfter) override
            ABSL_LOCKS_EXCLUDED(m_mutex);

    /// Next item; nothing when none came within \a timeout.
    std::optional<Item> next(absl::Duration timeout) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// The reader has gone; items are dropped from now on.
    void close() ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    bool hasRoom() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool hasItem() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return !m_items.empty(); }

    absl::Mutex m_mutex;
    std::deque<Item> m_items ABSL_GUARDED_BY(m_mutex);
    bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace rattanrill::entry

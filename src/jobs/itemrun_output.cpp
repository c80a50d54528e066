#include "itemrun.h"

#include "rattanrill/base/logger.h"

#include <utility>
#include <vector>

/// The output of ItemRun: events that arrive, limits of size, and what the store has of it.
namespace rattanrill::jobs {

using policy::ReleaseReason;

namespace {

/// Maximum size of an item's output. An upstream that sends events without end would otherwise keep
/// its slot and exhaust the memory of the process.
constexpr std::size_t maxOutputBytes = std::size_t(4) << 20;
/// The progress of an item with more output is not stored: all stores hold what is stored in
/// memory, and such output is likely to be that of an upstream that does not stop.
constexpr std::size_t maxProgressBytes = std::size_t(512) << 10;
/// Fewer bytes of an item are not counted against the limit of the process.
constexpr std::size_t minCountedBytes = std::size_t(32) << 10;

} // namespace

void ItemRun::resume(const wire::ItemProgress &progress)
{
    m_position = serving::StreamPosition(progress.lastEvent);
    m_output = progress.output;
    m_outputVersion = progress.version;
    m_hasOutput = true;
    m_numberedOutputLength = m_output.size();
    m_storedEvent = progress.lastEvent;
    m_storedOutputLength = m_output.size();
    m_priorRunTime = absl::Milliseconds(progress.servedMs);
}

std::optional<wire::ItemProgress> ItemRun::unstoredProgress() const
{
    const std::int64_t last = m_position.lastId().value_or(-1);
    // The stored events are those of an earlier run, and the text of two runs must not be joined.
    if (m_hasRestarted || last <= m_storedEvent || m_numberedOutputLength > maxProgressBytes)
        return std::nullopt;
    wire::ItemProgress progress;
    progress.job = m_job->id;
    progress.item = m_item.id;
    progress.after = m_storedEvent;
    progress.lastEvent = last;
    progress.version = m_outputVersion;
    progress.servedMs = absl::ToInt64Milliseconds(runTime());
    // Events are joined by line feeds, also between two stored parts of the output.
    const std::size_t begin = m_storedEvent < 0 ? 0 : m_storedOutputLength + 1;
    progress.output = m_output.substr(begin, m_numberedOutputLength - begin);
    return progress;
}

void ItemRun::markStored(std::int64_t lastEvent)
{
    const auto found = m_unstoredOutputLengths.find(lastEvent);
    if (found == m_unstoredOutputLengths.end())
        return;
    m_storedEvent = lastEvent;
    m_storedOutputLength = found->second;
    m_unstoredOutputLengths.erase(m_unstoredOutputLengths.begin(), std::next(found));
}

void ItemRun::handleBody(std::string_view bytes)
{
    if (m_state != State::Running || !m_isStream)
        return;
    std::vector<serving::StreamEvent> events;
    m_splitter.feed(bytes, events);
    bool hasContent = false;
    for (const serving::StreamEvent &event : events) {
        if (!event.hasContent())
            continue;
        hasContent = true;
        if (!acceptEvent(event))
            return;
    }
    if (m_splitter.isEventTooLong())
        return failAttempt("an event exceeds the size limit", ReleaseReason::Failed);
    if (!bufferWithinLimits())
        return giveUpBuffer();
    if (!hasContent)
        return;
    m_progressAt = m_context.clock.now();
    restartIdleTimer();
}

/// Adds \a event to the output if it continues it. The position and the output change together.
/// Returns false if the event ended the attempt.
bool ItemRun::acceptEvent(const serving::StreamEvent &event)
{
    serving::StreamPosition position = m_position;
    const serving::SequenceCheck check = position.advance(event);
    if (check == serving::SequenceCheck::Gap) {
        failAttempt("an event is missing from the stream", ReleaseReason::Failed);
        return false;
    }
    if (check == serving::SequenceCheck::Unnumbered) {
        m_restarts = true;
        failAttempt("an event of the resumed stream has no id", ReleaseReason::Completed);
        return false;
    }
    const bool isNew = check == serving::SequenceCheck::InOrder;
    if (isNew && m_output.size() + event.data.size() > maxOutputBytes) {
        // The output is not that of a sound response, so it must not be continued.
        m_restarts = true;
        failAttempt("the output exceeds the size limit", ReleaseReason::Failed);
        return false;
    }
    m_position = position;
    if (isNew)
        appendEvent(event);
    return true;
}

void ItemRun::appendEvent(const serving::StreamEvent &event)
{
    if (m_hasOutput)
        m_output += '\n';
    m_output += event.data;
    m_hasOutput = true;
    if (!std::exchange(m_hasProgressed, true))
        m_context.crashGuard.recordSound(m_traits.promptParts);
    m_consecutiveFailures = 0;
    if (!event.id)
        return;
    m_numberedOutputLength = m_output.size();
    m_unstoredOutputLengths[*event.id] = m_numberedOutputLength;
}

/// Returns false when the items of this process hold too many bytes and this item most of them.
bool ItemRun::bufferWithinLimits()
{
    const std::size_t bytes = m_output.size() + m_splitter.incompleteEvent().size();
    if (!m_bufferShare && bytes < minCountedBytes)
        return true;
    if (!m_bufferShare)
        m_bufferShare.emplace(m_context.buffers, [weak = weak_from_this(), &loop = m_context.loop] {
            // The budget calls this while it handles another item or request.
            loop.post([weak] {
                if (const auto self = weak.lock())
                    self->giveUpBuffer();
            });
        });
    return m_bufferShare->resize(bytes);
}

/// Frees the output. The item starts again from its first event. The lack of memory indicates
/// nothing about the upstream.
void ItemRun::giveUpBuffer()
{
    if (m_state == State::Ended)
        return;
    discardOutput();
    m_output.shrink_to_fit();
    m_splitter.reset();
    m_bufferShare.reset();
    if (m_state == State::Running)
        failAttempt("the items of this process hold too many bytes", ReleaseReason::Cancelled);
}

void ItemRun::prepareOutput(const std::string &version)
{
    const bool isOtherVersion = m_position.lastId() && version != m_outputVersion;
    if (isOtherVersion && !m_restarts)
        log(LogLevel::Info, "item-restarted",
            {{"job", m_job->id},
             {"item", m_item.id},
             {"upstream", m_upstream},
             {"upstreamVersion", version},
             {"outputVersion", m_outputVersion},
             {"lastEvent", m_position.lastId().value_or(-1)}});
    if (std::exchange(m_restarts, false) || isOtherVersion)
        discardOutput();
    else
        discardUnnumberedOutput();
    m_outputVersion = version;
}

/// Removes all text, because the next attempt runs the item from its first event.
void ItemRun::discardOutput()
{
    m_position = serving::StreamPosition(std::nullopt);
    m_output.clear();
    m_hasOutput = false;
    m_numberedOutputLength = 0;
    m_unstoredOutputLengths.clear();
    m_hasRestarted = true;
}

/// Removes the text that the next attempt sends again.
void ItemRun::discardUnnumberedOutput()
{
    m_output.resize(m_numberedOutputLength);
    m_hasOutput = m_position.lastId().has_value();
}

} // namespace rattanrill::jobs

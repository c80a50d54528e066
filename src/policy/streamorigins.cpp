#include "rattanrill/policy/streamorigins.h"

#include <algorithm>

namespace rattanrill::policy {

StreamOrigins::StreamOrigins(StreamOriginSettings settings)
    : m_settings(settings)
{}

void StreamOrigins::record(absl::Time now, const std::string &stream, const StreamOrigin &origin)
{
    m_records[stream] = {origin, now};
    m_queue.push_back({stream, now});
    while (!m_queue.empty()
           && (m_records.size() > m_settings.maxRecords
               || m_queue.front().recordedAt + m_settings.lifetime < now
               || !isCurrent(m_queue.front())))
        dropOldest();
}

/// Whether the record has not been replaced by a later one.
bool StreamOrigins::isCurrent(const QueuedRecord &queued) const
{
    const auto found = m_records.find(queued.stream);
    return found != m_records.end() && found->second.recordedAt == queued.recordedAt;
}

void StreamOrigins::dropOldest()
{
    if (isCurrent(m_queue.front()))
        m_records.erase(m_queue.front().stream);
    m_queue.pop_front();
}

std::optional<StreamOrigin> StreamOrigins::find(const std::string &stream) const
{
    const auto found = m_records.find(stream);
    return found == m_records.end() ? std::nullopt : std::optional(found->second.origin);
}

std::vector<StreamRecord> StreamOrigins::recordedSince(absl::Time since, std::size_t maxCount) const
{
    std::vector<StreamRecord> result;
    for (auto queued = m_queue.rbegin(); queued != m_queue.rend(); ++queued) {
        if (queued->recordedAt < since || result.size() >= maxCount)
            break;
        if (isCurrent(*queued))
            result.push_back(
                    {queued->stream, m_records.at(queued->stream).origin, queued->recordedAt});
    }
    std::reverse(result.begin(), result.end());
    return result;
}

} // namespace rattanrill::policy

#include "persisttracker.h"

#include <algorithm>

namespace rattanrill::replication {

void PersistTracker::markHardStateDirty()
{
    m_dirty = true;
    m_hardStateDirty = true;
    m_hardStateSequence = nextSequence();
}

std::uint64_t PersistTracker::startWrite(std::uint64_t lastIndex)
{
    m_dirty = false;
    m_hardStateDirty = false;
    ++m_sequence;
    m_writes.push_back({m_sequence, lastIndex});
    return m_sequence;
}

void PersistTracker::finishWrites(std::uint64_t sequence)
{
    m_persistedSequence = std::max(m_persistedSequence, sequence);
    while (!m_writes.empty() && m_writes.front().sequence <= sequence) {
        m_persistedIndex = m_writes.front().lastIndex;
        m_writes.pop_front();
    }
}

void PersistTracker::truncateFrom(std::uint64_t index)
{
    m_persistedIndex = std::min(m_persistedIndex, index - 1);
    for (Write &write : m_writes)
        write.lastIndex = std::min(write.lastIndex, index - 1);
}

void PersistTracker::resetLog()
{
    truncateFrom(1);
}

void PersistTracker::holdUntilPersisted(Message message)
{
    m_held.push_back({m_dirty ? nextSequence() : m_sequence, std::move(message)});
}

void PersistTracker::holdUntilTermPersisted(Message message)
{
    m_held.push_back({m_hardStateSequence, std::move(message)});
}

std::vector<Message> PersistTracker::takeReleased()
{
    const auto isReleased = [this](const Held &held) {
        return held.sequence <= m_persistedSequence;
    };
    std::vector<Message> released;
    if (std::none_of(m_held.begin(), m_held.end(), isReleased))
        return released;
    std::vector<Held> waiting;
    for (Held &held : m_held) {
        if (isReleased(held))
            released.push_back(std::move(held.message));
        else
            waiting.push_back(std::move(held));
    }
    m_held = std::move(waiting);
    return released;
}

} // namespace rattanrill::replication

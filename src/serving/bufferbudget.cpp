#include "rattanrill/serving/bufferbudget.h"

#include "rattanrill/base/logger.h"

#include <algorithm>
#include <utility>

namespace rattanrill::serving {

BufferBudget::BufferBudget(std::size_t limitBytes)
    : m_limitBytes(limitBytes)
{}

bool BufferBudget::resize(ShareId id, std::size_t bytes)
{
    Entry &entry = m_entries.at(id);
    m_usedBytes = m_usedBytes - entry.bytes + bytes;
    entry.bytes = bytes;
    while (m_usedBytes > m_limitBytes) {
        const ShareId victim = largest();
        Entry &given = m_entries.at(victim);
        log(LogLevel::Warning, "response-buffer-given-up",
            {{"bytes", static_cast<std::int64_t>(given.bytes)},
             {"usedBytes", static_cast<std::int64_t>(m_usedBytes)},
             {"limitBytes", static_cast<std::int64_t>(m_limitBytes)}});
        m_usedBytes -= std::exchange(given.bytes, 0);
        if (victim == id)
            return false;
        // A copy, because the owner may remove its share meanwhile.
        const auto giveUp = given.giveUp;
        giveUp();
        // The owner of the buffer that grows may have been ended by this too.
        if (m_entries.count(id) == 0)
            return true;
    }
    return true;
}

BufferBudget::ShareId BufferBudget::largest() const
{
    const auto isSmaller = [](const auto &left, const auto &right) {
        return left.second.bytes < right.second.bytes;
    };
    return std::max_element(m_entries.begin(), m_entries.end(), isSmaller)->first;
}

BufferShare::BufferShare(std::shared_ptr<BufferBudget> budget, std::function<void()> giveUp)
    : m_budget(std::move(budget))
    , m_id(m_budget->m_nextId++)
{
    m_budget->m_entries[m_id].giveUp = std::move(giveUp);
}

BufferShare::~BufferShare()
{
    resize(0);
    m_budget->m_entries.erase(m_id);
}

bool BufferShare::resize(std::size_t bytes)
{
    return m_budget->resize(m_id, bytes);
}

} // namespace rattanrill::serving

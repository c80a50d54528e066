#include "raftlog.h"

#include <algorithm>

namespace rattanrill::replication {

RaftLog::RaftLog(std::uint64_t baseIndex, std::uint64_t baseTerm, Membership baseMembership,
                 std::vector<Entry> entries)
    : m_baseIndex(baseIndex)
    , m_baseTerm(baseTerm)
{
    m_memberships[baseIndex] = std::move(baseMembership);
    for (Entry &entry : entries)
        append(std::move(entry));
}

std::uint64_t RaftLog::termAt(std::uint64_t index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return 0;
    return at(index).term;
}

bool RaftLog::matches(std::uint64_t index, std::uint64_t term) const
{
    return index >= m_baseIndex && index <= lastIndex() && termAt(index) == term;
}

std::vector<Entry> RaftLog::slice(std::uint64_t from, std::uint64_t to,
                                  std::uint64_t maxBytes) const
{
    std::vector<Entry> entries;
    std::uint64_t bytes = 0;
    for (std::uint64_t index = from; index <= std::min(to, lastIndex()); ++index) {
        const Entry &entry = at(index);
        bytes += sizeOf(entry);
        if (!entries.empty() && bytes > maxBytes)
            break;
        entries.push_back(entry);
    }
    return entries;
}

std::uint64_t RaftLog::lastIndexWithTermAtMost(std::uint64_t index, std::uint64_t term) const
{
    index = std::min(index, lastIndex());
    while (index > m_baseIndex && termAt(index) > term)
        --index;
    return index;
}

std::uint64_t RaftLog::firstIndexWithin(std::uint64_t last, std::uint64_t maxEntries,
                                        std::uint64_t maxBytes) const
{
    std::uint64_t first = last + 1;
    std::uint64_t bytes = 0;
    while (first > firstIndex() && last + 1 - first < maxEntries) {
        bytes += sizeOf(at(first - 1));
        if (bytes > maxBytes)
            break;
        --first;
    }
    return first;
}

void RaftLog::append(Entry entry)
{
    recordMembership(entry);
    m_entries.push_back(std::move(entry));
}

void RaftLog::truncateFrom(std::uint64_t index)
{
    while (lastIndex() >= index)
        m_entries.pop_back();
    m_memberships.erase(m_memberships.lower_bound(index), m_memberships.end());
}

void RaftLog::compact(std::uint64_t index)
{
    m_baseTerm = termAt(index);
    const Membership base = membershipAt(index);
    m_entries.erase(m_entries.begin(), m_entries.begin() + (index - m_baseIndex));
    m_memberships.erase(m_memberships.begin(), m_memberships.upper_bound(index));
    m_baseIndex = index;
    m_memberships[index] = base;
}

void RaftLog::reset(const SnapshotMeta &snapshot)
{
    m_baseIndex = snapshot.index;
    m_baseTerm = snapshot.term;
    m_entries.clear();
    m_memberships.clear();
    m_memberships[snapshot.index] = snapshot.membership;
}

const Membership &RaftLog::membershipAt(std::uint64_t index) const
{
    return std::prev(m_memberships.upper_bound(index))->second;
}

void RaftLog::recordMembership(const Entry &entry)
{
    if (entry.kind != EntryKind::Membership)
        return;
    const auto membership = outcomeOf([&] { return decodeMembership(entry.data); });
    // Not expected to fail: entries are checksummed and encoded by encodeMembership(). After a
    // failure the previous membership remains in effect.
    if (membership.ok())
        m_memberships[entry.index] = membership.value();
}

} // namespace rattanrill::replication

#include "rattanrill/fakes/prefixcache.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/fakes/answer.h"

#include <utility>

namespace rattanrill::fakes {
namespace {

constexpr std::size_t shortestPrefixBytes = 64;
constexpr std::size_t bytesPerToken = 4;

std::string keyOf(std::string_view model, const std::string &prefixHash)
{
    return concat(model, "/", prefixHash);
}

} // namespace

std::int64_t promptTokens(std::size_t bytes)
{
    return static_cast<std::int64_t>((bytes + bytesPerToken - 1) / bytesPerToken);
}

PrefixCache::PrefixCache(std::int64_t capacityTokens)
    : m_capacityTokens(capacityTokens)
{}

std::int64_t PrefixCache::cachedTokens(std::string_view model, std::string_view prompt) const
{
    std::int64_t cached = 0;
    for (std::size_t bytes = shortestPrefixBytes; bytes <= prompt.size(); bytes *= 2) {
        const std::string hash = hashText(prompt.substr(0, bytes));
        if (m_byKey.count(keyOf(model, hash)) == 0)
            break;
        cached = promptTokens(bytes);
    }
    return cached;
}

std::vector<PrefixChange> PrefixCache::store(std::string_view model, std::string_view prompt)
{
    std::vector<Entry> prefixes;
    std::int64_t previousTokens = 0;
    for (std::size_t bytes = shortestPrefixBytes; bytes <= prompt.size(); bytes *= 2) {
        const std::string hash = hashText(prompt.substr(0, bytes));
        const std::int64_t end = promptTokens(bytes);
        prefixes.push_back({keyOf(model, hash), hash, end, end - previousTokens});
        previousTokens = end;
    }
    std::vector<PrefixChange> changes;
    // Inserts the longest prefix first, so that a short prefix, which the longer ones depend on, is
    // evicted last.
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix)
        insert(std::move(*prefix), changes);
    evict(changes);
    return changes;
}

void PrefixCache::insert(Entry entry, std::vector<PrefixChange> &changes)
{
    const auto known = m_byKey.find(entry.key);
    if (known != m_byKey.end()) {
        m_entries.splice(m_entries.begin(), m_entries, known->second);
        return;
    }
    changes.push_back({PrefixChange::Kind::Stored, entry.prefixHash, entry.prefixTokens});
    m_occupiedTokens += entry.occupiedTokens;
    m_entries.push_front(std::move(entry));
    m_byKey[m_entries.front().key] = m_entries.begin();
}

void PrefixCache::evict(std::vector<PrefixChange> &changes)
{
    while (m_occupiedTokens > m_capacityTokens) {
        const Entry &oldest = m_entries.back();
        changes.push_back({PrefixChange::Kind::Evicted, oldest.prefixHash, oldest.prefixTokens});
        m_occupiedTokens -= oldest.occupiedTokens;
        m_byKey.erase(oldest.key);
        m_entries.pop_back();
    }
}

} // namespace rattanrill::fakes

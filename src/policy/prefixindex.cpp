#include "rattanrill/policy/prefixindex.h"

#include <algorithm>

namespace rattanrill::policy {

namespace {

/// Number of tokens that the first hash covers. The hashes cover 64, 128, 256, ... bytes, and a
/// token of English text has about 4 bytes.
constexpr std::int64_t firstHashTokens = 16;

} // namespace

PrefixIndex::PrefixIndex(absl::Duration lifetime, std::size_t limit)
    : m_lifetime(lifetime)
    , m_limit(limit)
{}

void PrefixIndex::apply(absl::Time now, const std::string &engine,
                        const std::vector<CacheEvent> &events)
{
    Cache &cache = m_caches[engine];
    for (const CacheEvent &event : events) {
        const bool gap = cache.nextSequence != 0 && event.sequence > cache.nextSequence;
        if (gap)
            halveLifetimes(now, cache);
        cache.nextSequence = std::max(cache.nextSequence, event.sequence + 1);
        if (event.kind == CacheEvent::Kind::Stored)
            store(now, cache, event.prefixHash, event.tokens);
        else
            cache.estimates.erase(event.prefixHash);
    }
    trim(now, cache);
}

void PrefixIndex::recordPrompt(absl::Time now, const std::string &engine,
                               const std::vector<std::uint64_t> &hashes, std::int64_t promptTokens)
{
    Cache &cache = m_caches[engine];
    std::int64_t tokens = firstHashTokens;
    for (const std::uint64_t hash : hashes) {
        store(now, cache, hash, std::min(tokens, promptTokens));
        tokens *= 2;
    }
    trim(now, cache);
}

void PrefixIndex::removeEngine(const std::string &engine)
{
    m_caches.erase(engine);
}

std::int64_t PrefixIndex::cachedTokens(absl::Time now, const std::string &engine,
                                       const std::vector<std::uint64_t> &hashes) const
{
    const auto cache = m_caches.find(engine);
    if (cache == m_caches.end())
        return 0;
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
        const auto estimate = cache->second.estimates.find(*hash);
        if (estimate != cache->second.estimates.end() && estimate->second.expires > now)
            return estimate->second.tokens;
    }
    return 0;
}

void PrefixIndex::store(absl::Time now, Cache &cache, std::uint64_t hash, std::int64_t tokens)
{
    cache.estimates[hash] = Estimate{tokens, now + m_lifetime};
}

void PrefixIndex::halveLifetimes(absl::Time now, Cache &cache) const
{
    for (auto &[hash, estimate] : cache.estimates)
        estimate.expires = now + std::max(estimate.expires - now, absl::ZeroDuration()) / 2;
}

void PrefixIndex::trim(absl::Time now, Cache &cache) const
{
    if (cache.estimates.size() <= m_limit)
        return;
    // Past half its lifetime, an estimate is too uncertain to be worth the memory that it uses.
    const absl::Time limit = now + m_lifetime / 2;
    for (auto estimate = cache.estimates.begin(); estimate != cache.estimates.end();) {
        if (estimate->second.expires < limit)
            estimate = cache.estimates.erase(estimate);
        else
            ++estimate;
    }
    if (cache.estimates.size() > m_limit)
        cache.estimates.clear();
}

} // namespace rattanrill::policy

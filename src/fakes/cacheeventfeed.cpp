#include "rattanrill/fakes/cacheeventfeed.h"

#include <algorithm>
#include <utility>

namespace rattanrill::fakes {
namespace {

/// Maximum number of events in the feed, including lost ones and those that are not yet visible.
constexpr std::size_t maxRetainedEvents = 4096;

/// Uniformly distributed number in [0, 1), from the upper 53 bits of the generator's output. Does
/// not use the distributions of the standard library because their results differ between
/// implementations.
double uniformRandom(std::mt19937_64 &random)
{
    return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

} // namespace

CacheEventFeed::CacheEventFeed(absl::Duration delay, double lossProbability, std::uint64_t seed)
    : m_delay(delay)
    , m_lossProbability(lossProbability)
    , m_random(seed)
{}

void CacheEventFeed::publish(absl::Time now, std::vector<PrefixChange> changes)
{
    for (PrefixChange &change : changes) {
        const bool lost = uniformRandom(m_random) < m_lossProbability;
        m_entries.push_back({now + m_delay, lost, {++m_lastSeq, std::move(change)}});
    }
    while (m_entries.size() > maxRetainedEvents)
        m_entries.pop_front();
}

CacheEventPage CacheEventFeed::poll(absl::Time now, std::int64_t after) const
{
    CacheEventPage page;
    page.next = std::min(after, m_lastSeq);
    for (const Entry &entry : m_entries) {
        if (entry.visibleAt > now)
            break;
        if (entry.event.seq <= after)
            continue;
        page.next = entry.event.seq;
        if (!entry.lost)
            page.events.push_back(entry.event);
    }
    return page;
}

} // namespace rattanrill::fakes

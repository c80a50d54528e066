#pragma once

#include "rattanrill/fakes/prefixcache.h"

#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace rattanrill::fakes {

/// A change of the prefix cache with its sequence number.
struct CacheEvent
{
    std::int64_t seq = 0;
    PrefixChange change;
};

/// Result of one poll of a CacheEventFeed.
struct CacheEventPage
{
    std::vector<CacheEvent> events;
    /// Value to pass as "after" in the next poll.
    std::int64_t next = 0;
};

/// Simulates an event feed that is delayed and has gaps. Each published change gets a sequence
/// number; a random fraction of the changes is lost, and the others become visible after a delay.
/// The feed keeps only the newest events.
class CacheEventFeed
{
public:
    /// \a lossProbability is the probability, from 0 to 1, that a change is lost. \a seed makes the
    /// losses reproducible.
    CacheEventFeed(absl::Duration delay, double lossProbability, std::uint64_t seed);

    void publish(absl::Time now, std::vector<PrefixChange> changes);
    /// Visible events with a sequence number above \a after.
    CacheEventPage poll(absl::Time now, std::int64_t after) const;

private:
    struct Entry
    {
        absl::Time visibleAt;
        bool lost;
        CacheEvent event;
    };

    absl::Duration m_delay;
    double m_lossProbability;
    std::mt19937_64 m_random;
    std::int64_t m_lastSeq = 0;
    std::deque<Entry> m_entries;
};

} // namespace rattanrill::fakes

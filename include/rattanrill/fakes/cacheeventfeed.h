#pragma once

#include "rattanrill/fakes/prefixcache.h"

#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace rattanrill::fakes {

struct CacheEvent
{
    std::int64_t seq = 0;
    PrefixChange change;
};

struct CacheEventPage
{
    std::vector<CacheEvent> events;
    /// Value of "after" for the next poll.
    std::int64_t next = 0;
};

/// Publishes cache changes late and with gaps: each change gets a sequence number, a seeded share
/// of them is lost, and the rest appears after a delay. Keeps the newest events only.
class CacheEventFeed
{
public:
    CacheEventFeed(absl::Duration delay, double lossShare, std::uint64_t seed);

    void publish(absl::Time now, std::vector<PrefixChange> changes);
    /// Visible events with a sequence number above \a after.
    CacheEventPage page(absl::Time now, std::int64_t after) const;

private:
    struct Pending
    {
        absl::Time visibleAt;
        bool lost;
        CacheEvent event;
    };

    absl::Duration m_delay;
    double m_lossShare;
    std::mt19937_64 m_random;
    std::int64_t m_lastSeq = 0;
    std::deque<Pending> m_pending;
};

} // namespace rattanrill::fakes

#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <string>

namespace rattanrill::replication {

enum class ProgressMode {
    /// One append at a time until the place is found where the logs agree.
    Probe,
    /// Appends are sent without waiting for answers, up to a bound of bytes.
    Pipeline,
    Snapshot,
};

/// What a leader knows of one other replica.
class Progress
{
public:
    struct InFlight
    {
        std::uint64_t lastIndex;
        std::uint64_t bytes;
    };

    Progress(std::uint64_t lastIndex, absl::Time now)
        : next(lastIndex + 1)
        , lastContact(now)
    {}

    void probeFrom(std::uint64_t index);
    void startSnapshot(std::uint64_t index, absl::Time now);
    /// Notes an append of \a bytes that ends at \a lastIndex.
    void sent(std::uint64_t lastIndex, std::uint64_t bytes);
    /// Notes that the replica has everything up to \a index. False when that was known.
    bool acknowledged(std::uint64_t index);

    ProgressMode mode = ProgressMode::Probe;
    /// Persisted by the replica and equal to the leader's log up to here.
    std::uint64_t match = 0;
    std::uint64_t next;
    /// A probe is on its way.
    bool probeSent = false;
    std::deque<InFlight> inFlight;
    std::uint64_t inFlightBytes = 0;
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotOffset = 0;
    /// When the last append or chunk was sent or answered.
    absl::Time lastTransfer = absl::InfinitePast();
    absl::Time lastContact;
    /// Highest heartbeat round that was answered.
    std::uint64_t round = 0;
    bool writable = true;
    /// As the replica last told; empty until it did.
    std::string incarnation;
};

} // namespace rattanrill::replication

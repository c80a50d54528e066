#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <string>

namespace rattanrill::replication {

enum class ProgressMode {
    /// One append at a time until the index up to which the logs agree is found.
    Probe,
    /// Appends are sent without waiting for replies, up to a limit in bytes.
    Pipeline,
    /// A snapshot is being transferred; no entries are sent.
    Snapshot,
};

/// Replication progress of one other replica, as seen by the leader.
class Progress
{
public:
    struct InFlight
    {
        std::uint64_t lastIndex;
        std::uint64_t bytes;
    };

    Progress(std::uint64_t lastIndex, absl::Time now)
        : nextIndex(lastIndex + 1)
        , lastContact(now)
    {}

    void probeFrom(std::uint64_t index);
    void startSnapshot(std::uint64_t index, absl::Time now);
    /// Records a sent append of \a bytes whose last entry has \a lastIndex.
    void recordSent(std::uint64_t lastIndex, std::uint64_t bytes);
    /// Records that the replica has persisted the log up to \a index. Returns whether \a matchIndex
    /// increased.
    bool recordAcknowledgement(std::uint64_t index);

    ProgressMode mode = ProgressMode::Probe;
    /// Index up to which the replica has persisted the leader's log.
    std::uint64_t matchIndex = 0;
    /// Index of the next entry to send.
    std::uint64_t nextIndex;
    /// Whether a probe was sent to which the replica has not replied yet.
    bool probeSent = false;
    /// Appends that were sent in pipeline mode and not acknowledged yet.
    std::deque<InFlight> inFlight;
    std::uint64_t inFlightBytes = 0;
    /// Snapshot that is being transferred, and the offset of the next chunk.
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotOffset = 0;
    /// When the last append or snapshot chunk was sent, or the last acknowledgement of an append
    /// was received.
    absl::Time lastTransfer = absl::InfinitePast();
    absl::Time lastContact;
    /// Highest heartbeat round to which the replica has replied.
    std::uint64_t round = 0;
    /// Whether the disk of the replica has space for writes.
    bool writable = true;
    /// From the last message of the replica; empty before the first one.
    std::string incarnation;
};

} // namespace rattanrill::replication

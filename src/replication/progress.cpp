#include "progress.h"

#include <algorithm>

namespace rattanrill::replication {

void Progress::probeFrom(std::uint64_t index)
{
    mode = ProgressMode::Probe;
    nextIndex = std::max(index, matchIndex + 1);
    probeSent = false;
    inFlight.clear();
    inFlightBytes = 0;
}

void Progress::startSnapshot(std::uint64_t index, absl::Time now)
{
    probeFrom(index + 1);
    mode = ProgressMode::Snapshot;
    snapshotIndex = index;
    snapshotOffset = 0;
    lastTransfer = now;
}

void Progress::recordSent(std::uint64_t lastIndex, std::uint64_t bytes)
{
    if (mode == ProgressMode::Probe) {
        probeSent = true;
        return;
    }
    nextIndex = lastIndex + 1;
    inFlight.push_back({lastIndex, bytes});
    inFlightBytes += bytes;
}

bool Progress::recordAcknowledgement(std::uint64_t index)
{
    probeSent = false;
    while (!inFlight.empty() && inFlight.front().lastIndex <= index) {
        inFlightBytes -= inFlight.front().bytes;
        inFlight.pop_front();
    }
    nextIndex = std::max(nextIndex, index + 1);
    if (index <= matchIndex)
        return false;
    matchIndex = index;
    return true;
}

} // namespace rattanrill::replication

#include "progress.h"

#include <algorithm>

namespace rattanrill::replication {

void Progress::probeFrom(std::uint64_t index)
{
    mode = ProgressMode::Probe;
    next = std::max(index, match + 1);
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

void Progress::sent(std::uint64_t lastIndex, std::uint64_t bytes)
{
    if (mode == ProgressMode::Probe) {
        probeSent = true;
        return;
    }
    next = lastIndex + 1;
    inFlight.push_back({lastIndex, bytes});
    inFlightBytes += bytes;
}

bool Progress::acknowledged(std::uint64_t index)
{
    probeSent = false;
    while (!inFlight.empty() && inFlight.front().lastIndex <= index) {
        inFlightBytes -= inFlight.front().bytes;
        inFlight.pop_front();
    }
    next = std::max(next, index + 1);
    if (index <= match)
        return false;
    match = index;
    return true;
}

} // namespace rattanrill::replication

#include "rattanrill/net/memorybudget.h"

#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/logger.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace rattanrill::net {
namespace {

constexpr std::size_t mebibyte = std::size_t(1) << 20;
/// Memory that is not counted: an idle process needs 30 MiB, and the handling of one event copies a
/// request or a response at most a few times.
constexpr std::size_t uncountedBytes = 48 * mebibyte;
/// Smallest sum of both parts, so that one request of 4 MiB always fits.
constexpr std::size_t minLimitBytes = 24 * mebibyte;
/// Inverse of the part for responses. Requests need more, because their bodies are copied.
constexpr std::size_t responseDivisor = 3;
constexpr std::size_t copiesPerBody = 3;
/// The copies of a smaller body are not counted: they exist for a moment only, and requests with
/// such bodies may run in thousands.
constexpr std::size_t minCopiedBodyBytes = 64 * 1024;
/// Inverse of the part of the limit of requests that only small ones may use, so that ordinary
/// callers are served while large bodies exhaust the rest.
constexpr std::size_t smallRequestDivisor = 8;
/// Memory for the header of a request with the largest body: 16 KiB of the shortest lines need 400.
constexpr std::size_t maxHeaderBytes = 512 * 1024;
constexpr std::size_t maxSmallRequestBytes = copiesPerBody * 256 * 1024;
/// Responses of which more is unsent are given up before others: they free most.
constexpr std::size_t largeResponseBytes = 64 * 1024;
/// A client that sends makes progress within this time also over a slow link.
constexpr absl::Duration receivingStallTime = absl::Milliseconds(500);
/// The same for a client that reads. The system reports that it does only when a large part of the
/// send buffer is free.
constexpr absl::Duration unsentStallTime = absl::Seconds(2);
constexpr absl::Duration logPeriod = absl::Seconds(1);

constexpr bool isRequest(MemoryUse use)
{
    return use == MemoryUse::Receiving || use == MemoryUse::Running;
}

std::string_view name(MemoryUse use)
{
    static constexpr std::array<EnumName<MemoryUse>, 4> names = {{
            {MemoryUse::Receiving, "receiving"},
            {MemoryUse::Running, "running"},
            {MemoryUse::Buffered, "buffered"},
            {MemoryUse::Unsent, "unsent"},
    }};
    return nameOf(names, use);
}

} // namespace

MemoryLimits memoryLimitsOf(std::size_t memoryBytes)
{
    const std::size_t countedBytes = memoryBytes - std::min(memoryBytes, uncountedBytes);
    const std::size_t limitBytes = std::max(countedBytes, minLimitBytes);
    MemoryLimits limits;
    limits.responseBytes = limitBytes / responseDivisor;
    limits.requestBytes = limitBytes - limits.responseBytes;
    return limits;
}

std::size_t requestCost(std::size_t bodyBytes)
{
    return bodyBytes < minCopiedBodyBytes ? bodyBytes : copiesPerBody * bodyBytes;
}

std::size_t maxBodyBytesOf(const MemoryLimits &limits)
{
    const std::size_t bytes = limits.requestBytes - limits.requestBytes / smallRequestDivisor;
    return (bytes - std::min(bytes, maxHeaderBytes)) / copiesPerBody;
}

MemoryBudget::MemoryBudget(MemoryLimits limits, const Clock &clock)
    : m_limits(limits)
    , m_clock(clock)
{}

bool MemoryBudget::resize(ShareId id, std::size_t bytes)
{
    Entry &entry = m_entries.at(id);
    const bool grows = bytes > entry.bytes;
    Part &part = partOf(entry.use);
    part.usedBytes = part.usedBytes - entry.bytes + bytes;
    entry.bytes = bytes;
    while (grows && isExhausted(entry)) {
        const ShareId victimId = victim(entry).value_or(id);
        Entry &victimEntry = m_entries.at(victimId);
        recordRefusal(victimEntry);
        clear(victimEntry);
        if (victimId == id)
            return false;
        // A copy, because the owner may remove its share meanwhile.
        const auto giveUp = victimEntry.giveUp;
        giveUp();
        // The share that grows may have been given up by this too.
        const auto growing = m_entries.find(id);
        if (growing == m_entries.end() || growing->second.bytes == 0)
            return false;
    }
    return true;
}

bool MemoryBudget::isExhausted(const Entry &growing) const
{
    if (!isRequest(growing.use))
        return m_responses.usedBytes > m_limits.responseBytes;
    const bool isSmall = growing.bytes <= maxSmallRequestBytes;
    const std::size_t reservedBytes = isSmall ? 0 : m_limits.requestBytes / smallRequestDivisor;
    return m_requests.usedBytes > m_limits.requestBytes - reservedBytes;
}

/// Returns the share to give up so that \a growing fits; none if it has to be that one. Small
/// requests are given up for small ones only: they free little, and there may be thousands.
std::optional<MemoryBudget::ShareId> MemoryBudget::victim(const Entry &growing) const
{
    if (!isRequest(growing.use)) {
        for (const std::size_t minBytes : {largeResponseBytes, std::size_t(0)}) {
            const auto stalled = longestStalled(MemoryUse::Unsent, unsentStallTime, minBytes);
            if (stalled)
                return stalled;
        }
        return largestResponse();
    }
    const auto large = receivingVictim(maxSmallRequestBytes);
    if (large)
        return large;
    if (growing.bytes <= maxSmallRequestBytes)
        return receivingVictim(0);
    // Stalled ones of medium size must not keep all large bodies out.
    return longestStalled(MemoryUse::Receiving, receivingStallTime, minCopiedBodyBytes);
}

/// Returns the request with more than \a minBytes to give up first.
std::optional<MemoryBudget::ShareId> MemoryBudget::receivingVictim(std::size_t minBytes) const
{
    const auto stalled = longestStalled(MemoryUse::Receiving, receivingStallTime, minBytes);
    return stalled ? stalled : newestReceiving(minBytes);
}

std::optional<MemoryBudget::ShareId>
MemoryBudget::longestStalled(MemoryUse use, absl::Duration stallTime, std::size_t minBytes) const
{
    std::optional<ShareId> result;
    absl::Time oldest = m_clock.now() - stallTime;
    for (const auto &[id, entry] : m_entries) {
        if (entry.use != use || entry.bytes <= minBytes || entry.progressAt > oldest)
            continue;
        oldest = entry.progressAt;
        result = id;
    }
    return result;
}

std::optional<MemoryBudget::ShareId> MemoryBudget::newestReceiving(std::size_t minBytes) const
{
    const auto newest = std::find_if(m_entries.rbegin(), m_entries.rend(), [&](const auto &item) {
        return item.second.use == MemoryUse::Receiving && item.second.bytes > minBytes;
    });
    return newest == m_entries.rend() ? std::nullopt : std::make_optional(newest->first);
}

std::optional<MemoryBudget::ShareId> MemoryBudget::largestResponse() const
{
    std::optional<ShareId> result;
    std::size_t most = 0;
    for (const auto &[id, entry] : m_entries) {
        if (isRequest(entry.use) || entry.bytes <= most)
            continue;
        most = entry.bytes;
        result = id;
    }
    return result;
}

MemoryBudget::Part &MemoryBudget::partOf(MemoryUse use)
{
    return isRequest(use) ? m_requests : m_responses;
}

void MemoryBudget::clear(Entry &entry)
{
    partOf(entry.use).usedBytes -= std::exchange(entry.bytes, 0);
}

/// Logs at most one line a second for each part, with the number of refusals since the last one.
void MemoryBudget::recordRefusal(const Entry &entry)
{
    Part &part = partOf(entry.use);
    ++part.refusals;
    const absl::Time now = m_clock.now();
    if (now - part.loggedAt < logPeriod)
        return;
    part.loggedAt = now;
    const std::uint64_t refusals =
            part.refusals - std::exchange(part.loggedRefusals, part.refusals);
    const bool isForRequest = isRequest(entry.use);
    const std::size_t limitBytes = isForRequest ? m_limits.requestBytes : m_limits.responseBytes;
    log(LogLevel::Warning, isForRequest ? "request-memory-refused" : "response-buffer-given-up",
        {{"use", name(entry.use)},
         {"bytes", static_cast<std::int64_t>(entry.bytes)},
         {"usedBytes", static_cast<std::int64_t>(part.usedBytes)},
         {"limitBytes", static_cast<std::int64_t>(limitBytes)},
         {"refusals", refusals}});
}

MemoryShare::MemoryShare(std::shared_ptr<MemoryBudget> budget, MemoryUse use,
                         std::function<void()> giveUp)
    : m_budget(std::move(budget))
    , m_id(m_budget->m_nextId++)
{
    m_budget->m_entries[m_id] = {use, 0, m_budget->m_clock.now(), std::move(giveUp)};
}

MemoryShare::~MemoryShare()
{
    resize(0);
    m_budget->m_entries.erase(m_id);
}

bool MemoryShare::resize(std::size_t bytes)
{
    return m_budget->resize(m_id, bytes);
}

void MemoryShare::recordProgress()
{
    m_budget->m_entries.at(m_id).progressAt = m_budget->m_clock.now();
}

void MemoryShare::startRunning()
{
    m_budget->m_entries.at(m_id).use = MemoryUse::Running;
}

} // namespace rattanrill::net

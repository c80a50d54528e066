#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanrill::policy {

/// Where a stream began. Only an upstream of the same service and version can continue it.
struct StreamOrigin
{
    std::string service;
    std::string version;
};

/// The origin of one stream.
struct StreamRecord
{
    std::string stream;
    StreamOrigin origin;
    absl::Time recordedAt;
};

/// Settings of StreamOrigins.
struct StreamOriginSettings
{
    /// Time for which a record is kept. Callers resume a stream within their time limit, which is
    /// shorter.
    absl::Duration lifetime = absl::Seconds(30);
    /// Maximum number of records. The oldest one is dropped first.
    std::size_t maxRecords = 131072;
};

/// Remembers the origins of streams by the id of the caller's attempt that brought the first event,
/// so that another process or a later attempt can continue them. Not thread-safe.
class StreamOrigins
{
public:
    explicit StreamOrigins(StreamOriginSettings settings);

    /// Records the origin of \a stream, or replaces it, and keeps it from \a now on.
    void record(absl::Time now, const std::string &stream, const StreamOrigin &origin);
    /// Returns nullopt when the origin is not known.
    std::optional<StreamOrigin> find(const std::string &stream) const;
    /// Returns the records from \a since on, at most \a maxCount of the newest ones.
    std::vector<StreamRecord> recordedSince(absl::Time since, std::size_t maxCount) const;
    std::size_t size() const { return m_records.size(); }

private:
    struct Entry
    {
        StreamOrigin origin;
        absl::Time recordedAt;
    };

    struct QueuedRecord
    {
        std::string stream;
        absl::Time recordedAt;
    };

    void dropOldest();
    bool isCurrent(const QueuedRecord &queued) const;

    const StreamOriginSettings m_settings;
    std::unordered_map<std::string, Entry> m_records;
    /// Records in the order of their times. A record that was replaced is queued once more.
    std::deque<QueuedRecord> m_queue;
};

} // namespace rattanrill::policy

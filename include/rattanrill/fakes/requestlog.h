#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::fakes {

/// A request that a fake received.
struct RequestRecord
{
    std::int64_t seq = 0;
    std::string requestId;
    /// Path with the query.
    std::string path;
    /// Values of a repeated header are joined with ", ".
    std::map<std::string, std::string> headers;
    /// Whether work on the request has started.
    bool started = false;
    bool finished = false;
    /// Number of tokens of the complete response, once finished.
    std::int64_t tokens = 0;
};

/// Configuration of a RequestLog.
struct RequestLogSettings
{
    /// Maximum number of records in memory.
    std::size_t limit = 20000;
    /// Path of the file to append records to; when empty, records are kept in memory only.
    std::string file;
};

/// Holds the newest requests that a fake received. With a file, each record is also appended to it
/// as a JSON line when it is added, when work on the request starts and when it ends, so that the
/// records survive a crash of the process. Of several lines with the same sequence number, the last
/// one is valid.
class RequestLog
{
public:
    explicit RequestLog(const RequestLogSettings &settings = {});
    ~RequestLog();
    RequestLog(const RequestLog &) = delete;
    RequestLog &operator=(const RequestLog &) = delete;

    /// Returns the sequence number of the new record.
    std::int64_t add(RequestRecord record);
    void markStarted(std::int64_t seq);
    void markFinished(std::int64_t seq, std::int64_t tokens);
    /// Records with a sequence number above \a after.
    std::vector<RequestRecord> recordsAfter(std::int64_t after) const;
    /// Sequence number of the newest record; 0 before the first.
    std::int64_t lastSeq() const;

private:
    RequestRecord *find(std::int64_t seq) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void appendToFile(const RequestRecord &record) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const std::size_t m_limit;
    mutable absl::Mutex m_mutex;
    std::FILE *m_file ABSL_GUARDED_BY(m_mutex) = nullptr;
    std::int64_t m_lastSeq ABSL_GUARDED_BY(m_mutex) = 0;
    std::deque<RequestRecord> m_records ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::fakes

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

/// A request as a fake saw it.
struct Record
{
    std::int64_t seq = 0;
    std::string requestId;
    /// With the query.
    std::string path;
    /// Values of a repeated header are joined with ", ".
    std::map<std::string, std::string> headers;
    /// Whether work was done for it.
    bool run = false;
    bool finished = false;
    std::int64_t tokens = 0;
};

struct RecordSettings
{
    /// Records kept in memory.
    std::size_t limit = 20000;
    /// Empty: memory only.
    std::string file;
};

/// The newest requests that a fake saw. With a file, each record is also appended to it as a JSON
/// line when it is added, when its work starts and when it ends, so that the record of a process
/// that crashes survives; the last line of a seq is the valid one.
class RequestLog
{
public:
    explicit RequestLog(const RecordSettings &settings = {});
    ~RequestLog();
    RequestLog(const RequestLog &) = delete;
    RequestLog &operator=(const RequestLog &) = delete;

    /// Returns the sequence number of the new record.
    std::int64_t add(Record record);
    void markRun(std::int64_t seq);
    void markFinished(std::int64_t seq, std::int64_t tokens);
    /// Records with a sequence number above \a after.
    std::vector<Record> after(std::int64_t after) const;
    std::int64_t lastSeq() const;

private:
    Record *find(std::int64_t seq) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void append(const Record &record) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const std::size_t m_limit;
    mutable absl::Mutex m_mutex;
    std::FILE *m_file ABSL_GUARDED_BY(m_mutex) = nullptr;
    std::int64_t m_lastSeq ABSL_GUARDED_BY(m_mutex) = 0;
    std::deque<Record> m_records ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::fakes

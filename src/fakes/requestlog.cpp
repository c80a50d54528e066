#include "rattanrill/fakes/requestlog.h"

#include "recordjson.h"

#include <algorithm>
#include <utility>

namespace rattanrill::fakes {

Json toJson(const RequestRecord &record)
{
    return {
            {"seq", record.seq},       {"request_id", record.requestId},
            {"path", record.path},     {"headers", record.headers},
            {"run", record.started},   {"finished", record.finished},
            {"tokens", record.tokens},
    };
}

RequestLog::RequestLog(const RequestLogSettings &settings)
    : m_limit(settings.limit)
{
    if (!settings.file.empty())
        m_file = std::fopen(settings.file.c_str(), "ae");
}

RequestLog::~RequestLog()
{
    if (m_file != nullptr)
        std::fclose(m_file);
}

std::int64_t RequestLog::add(RequestRecord record)
{
    absl::MutexLock lock(&m_mutex);
    record.seq = ++m_lastSeq;
    m_records.push_back(std::move(record));
    if (m_records.size() > m_limit)
        m_records.pop_front();
    appendToFile(m_records.back());
    return m_lastSeq;
}

void RequestLog::markStarted(std::int64_t seq)
{
    absl::MutexLock lock(&m_mutex);
    RequestRecord *record = find(seq);
    if (record == nullptr)
        return;
    record->started = true;
    appendToFile(*record);
}

void RequestLog::markFinished(std::int64_t seq, std::int64_t tokens)
{
    absl::MutexLock lock(&m_mutex);
    RequestRecord *record = find(seq);
    if (record == nullptr)
        return;
    record->finished = true;
    record->tokens = tokens;
    appendToFile(*record);
}

std::vector<RequestRecord> RequestLog::recordsAfter(std::int64_t after) const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<RequestRecord> records;
    for (const RequestRecord &record : m_records) {
        if (record.seq > after)
            records.push_back(record);
    }
    return records;
}

std::int64_t RequestLog::lastSeq() const
{
    absl::MutexLock lock(&m_mutex);
    return m_lastSeq;
}

RequestRecord *RequestLog::find(std::int64_t seq)
{
    if (m_records.empty() || seq < m_records.front().seq)
        return nullptr;
    return &m_records[static_cast<std::size_t>(seq - m_records.front().seq)];
}

void RequestLog::appendToFile(const RequestRecord &record)
{
    if (m_file == nullptr)
        return;
    const std::string line = dumpJson(toJson(record)) + "\n";
    std::fwrite(line.data(), 1, line.size(), m_file);
    // Flushed because a fault may crash the process right after this call.
    std::fflush(m_file);
}

} // namespace rattanrill::fakes

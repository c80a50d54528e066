#include "rattanrill/fakes/recordbook.h"

#include "recordjson.h"

#include <algorithm>
#include <utility>

namespace rattanrill::fakes {

Json toJson(const Record &record)
{
    return {
            {"seq", record.seq},       {"request_id", record.requestId},
            {"path", record.path},     {"headers", record.headers},
            {"run", record.run},       {"finished", record.finished},
            {"tokens", record.tokens},
    };
}

RecordBook::RecordBook(const RecordSettings &settings)
    : m_limit(settings.limit)
{
    if (!settings.file.empty())
        m_file = std::fopen(settings.file.c_str(), "ae");
}

RecordBook::~RecordBook()
{
    if (m_file != nullptr)
        std::fclose(m_file);
}

std::int64_t RecordBook::add(Record record)
{
    absl::MutexLock lock(&m_mutex);
    record.seq = ++m_lastSeq;
    m_records.push_back(std::move(record));
    if (m_records.size() > m_limit)
        m_records.pop_front();
    append(m_records.back());
    return m_lastSeq;
}

void RecordBook::markRun(std::int64_t seq)
{
    absl::MutexLock lock(&m_mutex);
    Record *record = find(seq);
    if (record == nullptr)
        return;
    record->run = true;
    append(*record);
}

void RecordBook::markFinished(std::int64_t seq, std::int64_t tokens)
{
    absl::MutexLock lock(&m_mutex);
    Record *record = find(seq);
    if (record == nullptr)
        return;
    record->finished = true;
    record->tokens = tokens;
    append(*record);
}

std::vector<Record> RecordBook::after(std::int64_t after) const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<Record> records;
    for (const Record &record : m_records) {
        if (record.seq > after)
            records.push_back(record);
    }
    return records;
}

std::int64_t RecordBook::lastSeq() const
{
    absl::MutexLock lock(&m_mutex);
    return m_lastSeq;
}

Record *RecordBook::find(std::int64_t seq)
{
    if (m_records.empty() || seq < m_records.front().seq)
        return nullptr;
    return &m_records[static_cast<std::size_t>(seq - m_records.front().seq)];
}

void RecordBook::append(const Record &record)
{
    if (m_file == nullptr)
        return;
    const std::string line = dumpJson(toJson(record)) + "\n";
    std::fwrite(line.data(), 1, line.size(), m_file);
    // The process may crash on purpose right after this line.
    std::fflush(m_file);
}

} // namespace rattanrill::fakes

#include "historyfile.h"

namespace rattanrill::load {

HistoryFile::HistoryFile(const std::string &file)
    : m_enabled(!file.empty())
{
    if (m_enabled)
        m_stream.open(file, std::ios::binary | std::ios::trunc);
}

bool HistoryFile::good() const
{
    absl::MutexLock lock(&m_mutex);
    return !m_enabled || m_stream.good();
}

void HistoryFile::add(const RequestOutcome &outcome)
{
    if (!m_enabled)
        return;
    const std::string line = dumpJson(historyLine(outcome)) + "\n";
    absl::MutexLock lock(&m_mutex);
    m_stream << line;
    // Flushes each line, so that the finished requests are in the file when a test terminates the
    // program early.
    m_stream.flush();
}

} // namespace rattanrill::load

#pragma once

#include "requestoutcome.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <fstream>
#include <string>

namespace rattanrill::load {

/// Writes the history file, which has one JSON line for each request. Thread-safe.
class HistoryFile
{
public:
    /// Writes nothing when \a file is empty.
    explicit HistoryFile(const std::string &file);

    /// False when the file could not be opened or written.
    bool good() const;
    void add(const RequestOutcome &outcome);

private:
    const bool m_enabled;
    mutable absl::Mutex m_mutex;
    std::ofstream m_stream ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::load

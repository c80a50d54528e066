#pragma once

#include "rattanrill/directory/directoryview.h"
#include "rattanrill/directory/statemachine.h"

#include <memory>
#include <string>

namespace rattanrill::directory {

/// Runs a directory state machine through its encoded commands and queries.
class DirectoryDriver
{
public:
    DirectoryDriver();

    /// Write that is based on the revision \a base.
    Outcome<wire::DirectoryResult> write(wire::DirectoryOperation operation, std::uint64_t base,
                                         std::string requestId = {});
    /// Write that does not check the base revision.
    Outcome<wire::DirectoryResult> writeUnconditionally(wire::DirectoryOperation operation);
    Outcome<wire::DirectoryResult> apply(const wire::DirectoryCommand &command);
    wire::PollChangesResponse query(std::uint64_t afterRevision) const;
    /// Returns \a view with the changes since its revision.
    DirectoryView updated(const DirectoryView &view) const;
    /// Returns a view of all records.
    DirectoryView view() const { return updated(DirectoryView()); }
    /// Replaces the state machine by a new one that is restored from its snapshot.
    void restart();
    /// Restores \a snapshot and returns the code of the failure; Internal when it succeeds.
    ErrorCode restoreFailure(const std::string &snapshot);
    replication::StateMachine &machine() { return *m_machine; }

    /// Time of the next write().
    std::int64_t nowMs = 1000;

private:
    std::unique_ptr<replication::StateMachine> m_machine;
    std::uint64_t m_index = 0;
};

} // namespace rattanrill::directory

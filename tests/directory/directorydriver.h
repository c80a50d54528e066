#pragma once

#include "rattanrill/directory/directoryview.h"
#include "rattanrill/directory/statemachine.h"

#include <memory>
#include <string>

namespace rattanrill::directory {

/// Drives a directory state machine by its encoded interface.
class DirectoryDriver
{
public:
    DirectoryDriver();

    Outcome<wire::DirectoryResult> write(wire::DirectoryOperation operation, std::uint64_t base,
                                         std::string requestId = {});
    /// Unconditional write.
    Outcome<wire::DirectoryResult> writeAnyway(wire::DirectoryOperation operation);
    Outcome<wire::DirectoryResult> apply(const wire::DirectoryCommand &command);
    wire::PollChangesResponse query(std::uint64_t afterRevision) const;
    /// \a view with the changes since.
    DirectoryView followFrom(const DirectoryView &view) const;
    /// View of all records.
    DirectoryView view() const { return followFrom(DirectoryView()); }
    /// Continues with a machine restored from a snapshot.
    void restart();
    /// Code of the failure to restore \a snapshot; Internal when it was accepted.
    ErrorCode restoreFailure(const std::string &snapshot);
    replication::StateMachine &machine() { return *m_machine; }

    std::int64_t nowMs = 1000;

private:
    std::unique_ptr<replication::StateMachine> m_machine;
    std::uint64_t m_index = 0;
};

} // namespace rattanrill::directory

#pragma once

#include "directorystate.h"

#include "rattanrill/replication/statemachine.h"

#include <string>
#include <string_view>

namespace rattanrill::directory {

/// Applies writes to a DirectoryState. A write is validated completely before it changes the state.
class DirectoryStateMachine : public replication::StateMachine
{
public:
    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string query(std::string_view query) const override;
    std::string snapshot() const override;
    Result<void> restore(std::string_view snapshot) override;

private:
    using Command = wire::DirectoryCommand;
    using WriteResult = Result<wire::DirectoryResult>;

    /// Applies \a command, or returns the cached response if its request id was applied before.
    std::string applyOnce(const Command &command);
    WriteResult write(const Command &command);
    WriteResult write(const Command &command, const wire::PutContract &operation);
    WriteResult write(const Command &command, const wire::WithdrawContract &operation);
    WriteResult write(const Command &command, const wire::AddKey &operation);
    WriteResult write(const Command &command, const wire::RevokeKey &operation);
    WriteResult write(const Command &command, const wire::PutConfig &operation);
    WriteResult write(const Command &command, const wire::PutRoute &operation);
    WriteResult write(const Command &command, const wire::RemoveRoute &operation);
    WriteResult write(const Command &command, const wire::PutUpstream &operation);
    WriteResult write(const Command &command, const wire::RemoveUpstream &operation);
    WriteResult write(const Command &command, const wire::JoinMember &operation);
    WriteResult write(const Command &command, const wire::RemoveMember &operation);
    WriteResult write(const Command &command, const wire::IssueFencingToken &operation);
    WriteResult write(const Command &command, const wire::ReportCrash &operation);
    WriteResult write(const Command &command, const wire::ReleaseQuarantined &operation);

    /// Starts a revision whose only write is \a record.
    template <typename Record>
    wire::DirectoryResult putInNewRevision(const Command &command, Record record);
    /// Starts a revision whose only write removes the record \a id.
    template <typename Record>
    WriteResult removeInNewRevision(const Command &command, const std::string &id);
    /// Fails with Conflict unless the write is unconditional or based on the record's revision,
    /// which is 0 for a missing record.
    template <typename Record>
    Result<void> checkBaseRevision(const Command &command, const std::string &id) const;
    /// Returns the record \a id. Fails with NotFound when there is none, and like
    /// checkBaseRevision().
    template <typename Record>
    Result<const Record *> findExisting(const Command &command, const std::string &id) const;
    Result<void> checkNewKey(const wire::ApiKey &key) const;
    Result<void> checkPathPrefix(const wire::Route &route) const;
    /// Returns the record of the crashed request with \a report added.
    wire::QuarantinedRequest requestWithCrash(const Command &command,
                                              const wire::ReportCrash &report) const;
    /// Returns the result of a write to the record \a id at the current revision.
    wire::DirectoryResult resultFor(const std::string &id) const;

    DirectoryState m_state;
};

} // namespace rattanrill::directory

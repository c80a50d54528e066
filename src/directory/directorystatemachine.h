#pragma once

#include "directorystate.h"

#include "rattanrill/replication/statemachine.h"

#include <string>
#include <string_view>

namespace rattanrill::directory {

/// Applies writes to a DirectoryState. A write is checked completely before it changes anything.
class DirectoryStateMachine : public replication::StateMachine
{
public:
    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string query(std::string_view query) const override;
    std::string snapshot() const override;
    Result<void> restore(std::string_view snapshot) override;

private:
    using Command = wire::DirectoryCommand;
    using Written = Result<wire::DirectoryResult>;

    std::string applyOnce(const Command &command);
    Written write(const Command &command);
    Written write(const Command &command, const wire::PutContract &operation);
    Written write(const Command &command, const wire::WithdrawContract &operation);
    Written write(const Command &command, const wire::AddKey &operation);
    Written write(const Command &command, const wire::RevokeKey &operation);
    Written write(const Command &command, const wire::PutConfig &operation);
    Written write(const Command &command, const wire::PutRoute &operation);
    Written write(const Command &command, const wire::RemoveRoute &operation);
    Written write(const Command &command, const wire::PutUpstream &operation);
    Written write(const Command &command, const wire::RemoveUpstream &operation);
    Written write(const Command &command, const wire::JoinMember &operation);
    Written write(const Command &command, const wire::RemoveMember &operation);
    Written write(const Command &command, const wire::IssueFencingToken &operation);
    Written write(const Command &command, const wire::ReportCrash &operation);
    Written write(const Command &command, const wire::ReleaseQuarantined &operation);

    /// Writes one record as a revision of its own.
    template <typename Record>
    wire::DirectoryResult putAlone(const Command &command, Record record);
    template <typename Record>
    Written removeAlone(const Command &command, const std::string &id);
    /// Fails with Conflict unless the write is based on the record's revision.
    template <typename Record>
    Result<void> checkBase(const Command &command, const std::string &id) const;
    /// As checkBase(); fails with NotFound when there is no such record.
    template <typename Record>
    Result<const Record *> existing(const Command &command, const std::string &id) const;
    Result<void> checkNewKey(const wire::ApiKey &key) const;
    Result<void> checkPathPrefix(const wire::Route &route) const;
    wire::QuarantinedRequest heldWith(const Command &command,
                                      const wire::ReportCrash &report) const;
    wire::DirectoryResult written(const std::string &id) const;

    DirectoryState m_state;
};

} // namespace rattanrill::directory

#pragma once

#include "batchstate.h"

#include "rattanrill/replication/statemachine.h"

#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::batch {

/// Validates commands and applies them to a BatchState.
class BatchStateMachine : public replication::StateMachine
{
public:
    BatchStateMachine();

    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string query(std::string_view query) const override;
    std::string snapshot() const override;
    Result<void> restore(std::string_view snapshot) override;

private:
    using ApplyResult = Result<wire::BatchResult>;
    using QueryResult = Result<wire::BatchQueryResult>;

    ApplyResult applyCommand(const wire::BatchCommand &command);
    ApplyResult perform(const wire::AppendItems &operation);
    ApplyResult perform(const wire::SealFile &operation);
    ApplyResult perform(const wire::DropFile &operation);
    ApplyResult perform(const wire::CreateJob &operation);
    ApplyResult perform(const wire::CancelJob &operation);
    ApplyResult perform(const wire::LeaseItems &operation);
    ApplyResult perform(const wire::RenewLeases &operation);
    ApplyResult perform(const wire::ReleaseItems &operation);
    ApplyResult perform(const wire::CompleteItems &operation);
    ApplyResult perform(const wire::ClaimRequest &operation);
    ApplyResult perform(const wire::FinishClaim &operation);
    ApplyResult perform(const wire::AbandonClaim &operation);
    ApplyResult perform(const wire::AdvanceTime &operation);

    QueryResult answer(const wire::ReadJob &query) const;
    QueryResult answer(const wire::ReadFile &query) const;
    QueryResult answer(const wire::ReadResults &query) const;
    QueryResult answer(const wire::ListJobs &query) const;

    /// Returns the job with this id. Fails with NotFound if there is none or if it belongs to
    /// another workspace.
    Result<const Job *> findJob(const std::string &jobId, const std::string &workspace) const;
    Result<void> checkFileForJob(const wire::CreateJob &operation) const;
    Result<Job *> existingJob(const wire::CreateJob &operation);
    wire::LeasedItem leaseNext(const wire::LeaseItems &operation);
    void release(LeaseTable::Number lease, const wire::ReleaseItems &operation);
    void complete(const wire::ItemResult &result);

    std::unique_ptr<BatchState> m_state;
};

} // namespace rattanrill::batch

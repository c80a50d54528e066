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
    ApplyResult execute(const wire::AppendItems &operation);
    ApplyResult execute(const wire::SealFile &operation);
    ApplyResult execute(const wire::DropFile &operation);
    ApplyResult execute(const wire::CreateJob &operation);
    ApplyResult execute(const wire::CancelJob &operation);
    ApplyResult execute(const wire::LeaseItems &operation);
    ApplyResult execute(const wire::RenewLeases &operation);
    ApplyResult execute(const wire::ReleaseItems &operation);
    ApplyResult execute(const wire::CompleteItems &operation);
    ApplyResult execute(const wire::ClaimRequest &operation);
    ApplyResult execute(const wire::FinishClaim &operation);
    ApplyResult execute(const wire::AbandonClaim &operation);
    ApplyResult execute(const wire::AdvanceTime &operation);

    QueryResult evaluate(const wire::ReadJob &query) const;
    QueryResult evaluate(const wire::ReadFile &query) const;
    QueryResult evaluate(const wire::ReadResults &query) const;
    QueryResult evaluate(const wire::ListJobs &query) const;

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

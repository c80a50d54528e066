#pragma once

#include "batchstate.h"

#include "rattanrill/replication/statemachine.h"

#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::batch {

/// Checks commands and applies them to a BatchState.
class BatchStateMachine : public replication::StateMachine
{
public:
    BatchStateMachine();

    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string query(std::string_view query) const override;
    std::string snapshot() const override;
    Result<void> restore(std::string_view snapshot) override;

private:
    using Applied = Result<wire::BatchResult>;
    using Answered = Result<wire::BatchQueryResult>;

    Applied applyCommand(const wire::BatchCommand &command);
    Applied perform(const wire::AppendItems &operation);
    Applied perform(const wire::SealFile &operation);
    Applied perform(const wire::DropFile &operation);
    Applied perform(const wire::CreateJob &operation);
    Applied perform(const wire::CancelJob &operation);
    Applied perform(const wire::LeaseItems &operation);
    Applied perform(const wire::RenewLeases &operation);
    Applied perform(const wire::ReleaseItems &operation);
    Applied perform(const wire::CompleteItems &operation);
    Applied perform(const wire::ClaimRequest &operation);
    Applied perform(const wire::FinishClaim &operation);
    Applied perform(const wire::AbandonClaim &operation);
    Applied perform(const wire::AdvanceTime &operation);

    Answered answer(const wire::ReadJob &query) const;
    Answered answer(const wire::ReadFile &query) const;
    Answered answer(const wire::ReadResults &query) const;
    Answered answer(const wire::ListJobs &query) const;

    /// Job with this id; fails with NotFound also when it belongs to another workspace.
    Result<const Job *> findJob(const std::string &jobId, const std::string &workspace) const;
    Result<void> checkFileForJob(const wire::CreateJob &operation) const;
    Result<Job *> existingJob(const wire::CreateJob &operation);
    wire::LeasedItem leaseNext(const wire::LeaseItems &operation);
    void release(LeaseTable::Number lease, const wire::ReleaseItems &operation);
    void complete(const wire::ItemResult &result);

    std::unique_ptr<BatchState> m_state;
};

} // namespace rattanrill::batch

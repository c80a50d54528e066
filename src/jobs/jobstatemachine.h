#pragma once

#include "rattanrill/replication/statemachine.h"
#include "rattanrill/wire/jobmessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattanrill::jobs {

/// State machine of the store group; see makeJobStateMachine().
class JobStateMachine : public replication::StateMachine
{
public:
    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string query(std::string_view query) const override;
    std::string snapshot() const override;
    Result<void> restore(std::string_view snapshot) override;

private:
    struct Job
    {
        /// Without the bodies and headers of items that are not sent any more.
        wire::JobRecord record;
        std::vector<wire::JobItemResult> results;
        /// Ids of the items that have a result.
        std::set<std::string> finished;
        /// Progress of items without a result, by item id.
        std::map<std::string, wire::ItemProgress> progress;
        /// Number of attempts that failed with status 500, of items without a result, by item id.
        std::map<std::string, std::int64_t> serverErrors;
        bool ended = false;

        bool isOpen() const { return !ended && results.size() < record.items.size(); }
        bool isOpenItem(const std::string &item) const
        {
            return !ended && finished.count(item) == 0;
        }
    };

    /// Names of a workspace and of a route.
    using WorkspaceRoute = std::pair<std::string, std::string>;

    Result<wire::JobCommandResult> perform(const wire::AcceptJob &operation);
    Result<wire::JobCommandResult> perform(const wire::AppendResults &operation);
    Result<wire::JobCommandResult> perform(const wire::AppendProgress &operation);
    Result<wire::JobCommandResult> perform(const wire::EndJob &operation);
    Result<wire::JobCommandResult> perform(const wire::PurgeJobs &operation);

    std::string evaluate(const wire::ReadJobRequest &query) const;
    std::string evaluate(const wire::ReadItemRequest &query) const;
    std::string evaluate(const wire::ListOpenJobs &query) const;
    std::string evaluate(const wire::CountUnfinishedItems &query) const;

    void restoreJob(wire::StoredJob stored);
    Result<const Job *> find(const std::string &workspace, const std::string &job) const;
    /// Adds the unfinished tokens of \a job to the waiting tokens (\a sign 1) or subtracts them
    /// (\a sign -1), unless the job is ended.
    void addWaitingTokens(const Job &job, int sign);
    static void freeRequests(Job &job);
    void recordFailures(const wire::ItemFailures &failures);
    static std::vector<wire::ItemProgress> progressOf(const Job &job);
    static std::vector<wire::ItemFailures> failuresOf(const Job &job);
    static std::int64_t unfinishedTokens(const Job &job);

    std::map<std::string, Job> m_jobs;
    /// Number of tokens in items without a result, of jobs that are not ended.
    std::map<WorkspaceRoute, std::int64_t> m_waitingTokens;
};

} // namespace rattanrill::jobs

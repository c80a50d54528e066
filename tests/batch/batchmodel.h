#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/wire/batchmessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace rattanrill::batch {

/// Reference model of the responses that a partition may return. At each step it examines all
/// items; unlike the state machine, it has no queues.
class BatchModel
{
public:
    struct Item
    {
        wire::ItemState state = wire::ItemState::Open;
        std::uint64_t lease = 0;
        std::string holder;
        std::int64_t expiresAtMs = 0;
        /// Earliest time at which an open item may be leased.
        std::int64_t readyAtMs = 0;
        int failedAttempts = 0;
        int expiredLeases = 0;
        std::string body;
        std::string reason;
    };

    struct Job
    {
        std::string workspace;
        std::string fileId;
        std::int64_t dueAtMs = 0;
        bool cancelled = false;
        std::vector<Item> items;
    };

    void addFile(const std::string &fileId, std::size_t items) { m_files[fileId] = items; }
    /// Applies a command to the model and checks the response. Returns a description of the fault,
    /// or an empty text if there is none.
    std::string observe(std::int64_t nowMs, const wire::BatchOperation &operation,
                        const Outcome<wire::BatchResult> &response);
    /// Compares the status of a job with the model. Returns a description of the fault or an empty
    /// text.
    std::string checkStatus(const wire::JobStatus &status) const;
    /// Compares all results of a job with the model. Returns a description of the fault or an empty
    /// text.
    std::string checkResults(const std::string &jobId,
                             const std::vector<wire::ResultLine> &lines) const;
    const std::map<std::string, Job> &jobs() const { return m_jobs; }

private:
    struct Claim
    {
        std::string holder;
        std::string response;
        /// Time at which a finished or abandoned claim is removed; 0 while the claim runs.
        std::int64_t expiresAtMs = 0;
        bool abandoned = false;
    };

    void advance(std::int64_t nowMs);
    void endLease(const Job &job, Item &item);
    Item *findLeased(const wire::ItemRef &ref);
    bool isReady(const Job &job, const Item &item) const;
    std::int64_t earliestDueAtMs() const;
    std::string observe(const wire::CreateJob &operation,
                        const Outcome<wire::BatchResult> &response);
    std::string observe(const wire::CancelJob &operation,
                        const Outcome<wire::BatchResult> &response);
    std::string observe(const wire::LeaseItems &operation,
                        const Outcome<wire::BatchResult> &response);
    std::string observe(const wire::RenewLeases &operation,
                        const Outcome<wire::BatchResult> &response);
    std::string observe(const wire::ReleaseItems &operation,
                        const Outcome<wire::BatchResult> &response);
    std::string observe(const wire::CompleteItems &operation,
                        const Outcome<wire::BatchResult> &response);
    std::string observe(const wire::ClaimRequest &operation,
                        const Outcome<wire::BatchResult> &response);
    std::string observe(const wire::FinishClaim &operation,
                        const Outcome<wire::BatchResult> &response);
    std::string observe(const wire::AbandonClaim &operation,
                        const Outcome<wire::BatchResult> &response);
    template <typename Operation>
    std::string observe(const Operation &, const Outcome<wire::BatchResult> &)
    {
        return {};
    }

    std::int64_t m_nowMs = 0;
    std::uint64_t m_lastLease = 0;
    std::map<std::string, std::size_t> m_files;
    std::map<std::string, Job> m_jobs;
    std::map<std::pair<std::string, std::string>, std::string> m_jobKeys;
    std::map<std::string, Claim> m_claims;
};

} // namespace rattanrill::batch

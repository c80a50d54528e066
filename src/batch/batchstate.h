#pragma once

#include "claimtable.h"
#include "duequeue.h"
#include "itemfile.h"
#include "job.h"
#include "leasetable.h"

#include "rattanrill/base/result.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace rattanrill::batch {

/// Files, jobs, leases and claims of a partition, and the queues that order them by due time and
/// expiry time. All tables are consistent after each public function.
class BatchState
{
public:
    /// Advances the current time to \a nowMs, unless it is already later, and expires everything
    /// that is due.
    void advance(std::int64_t nowMs);
    std::int64_t nowMs() const { return m_nowMs; }

    /// Returns null if there is no such file.
    ItemFile *file(const std::string &fileId);
    const ItemFile *file(const std::string &fileId) const;
    ItemFile &addFile(ItemFile file);
    void removeFile(const std::string &fileId);
    /// Records the file as used now, so that it is kept for another unusedFileRetentionMs.
    void touchFile(ItemFile &file);

    /// Returns null if there is no such job.
    Job *job(const std::string &jobId);
    const Job *job(const std::string &jobId) const;
    Job *jobByKey(const std::string &workspace, const std::string &idempotencyKey);
    /// Requires that the file exists and that neither the job id nor the idempotency key is in use.
    Job &addJob(const wire::CreateJob &operation);
    void cancelJob(Job &job);
    const std::map<Job::Number, Job> &jobs() const { return m_jobs; }

    /// Returns the job whose item is leased next, or null if no item can be leased.
    Job *nextJob();
    /// Leases the next item of nextJob(). Returns the lease number and the index of the item.
    std::pair<LeaseTable::Number, std::uint32_t> leaseNext(const std::string &holder,
                                                           std::int64_t leaseMs);
    /// Returns the lease to which \a item refers if it is current, otherwise null.
    const Lease *lease(const wire::ItemRef &item) const;
    const Lease *leaseByNumber(LeaseTable::Number number) const { return m_leases.find(number); }
    Job &jobOf(const Lease &lease) { return m_jobs.at(lease.job); }
    /// renew(), finish() and releaseItem() require a current lease.
    void renew(LeaseTable::Number lease, std::int64_t leaseMs);
    void finish(LeaseTable::Number lease, wire::ItemState state, const Job::ResultText &result);
    void releaseItem(LeaseTable::Number lease, std::int64_t backoffMs);

    ClaimTable &claims() { return m_claims; }

    /// Returns the complete state with format version and checksum.
    std::string serialize() const;
    /// Fails with CorruptData or UnsupportedFormat. The state may then be incomplete and must be
    /// discarded.
    Result<void> deserialize(std::string_view bytes);

private:
    /// Backoff of a released item: the time at which it can be leased again, job number and item
    /// index.
    using Backoff = std::tuple<std::int64_t, Job::Number, std::uint32_t>;

    void expireLeases();
    void endBackoffs();
    void expireJobs();
    void expireFiles();
    void handleExpiredLease(LeaseTable::Number number);
    /// Updates m_due and m_jobExpiry after the items of \a job changed.
    void updateQueues(const Job &job);
    void releaseFile(const Job &job);
    void eraseJob(Job::Number number);

    /// Estimated size of a snapshot in bytes.
    std::size_t snapshotBytes() const;
    void write(ByteWriter &writer) const;
    void read(ByteReader &reader);
    void readFiles(ByteReader &reader);
    void readJobs(ByteReader &reader);
    void readBackoffs(ByteReader &reader);
    void checkLeases(ByteReader &reader) const;
    void indexJob(Job::Number number, const Job &job);

    std::int64_t m_nowMs = 0;
    std::map<std::string, ItemFile> m_files;
    /// Files without jobs, ordered by the time at which they are removed.
    std::set<std::pair<std::int64_t, std::string>> m_fileExpiry;
    std::map<Job::Number, Job> m_jobs;
    std::map<std::string, Job::Number> m_jobIds;
    std::map<std::pair<std::string, std::string>, Job::Number> m_jobKeys;
    Job::Number m_nextJobNumber = 1;
    /// Ended jobs, ordered by the time at which their results are removed or, for expired jobs, the
    /// job itself.
    std::set<std::pair<std::int64_t, Job::Number>> m_jobExpiry;
    DueQueue m_due;
    LeaseTable m_leases;
    /// Released items whose backoff has not ended.
    std::set<Backoff> m_backoffs;
    ClaimTable m_claims;
};

} // namespace rattanrill::batch

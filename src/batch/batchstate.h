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

/// Files, jobs, leases and claims of a partition, with the queues of what happens by time. Public
/// functions leave all tables consistent.
class BatchState
{
public:
    /// Moves the time to \a nowMs unless it is later already, and lets everything expire that is
    /// due.
    void advance(std::int64_t nowMs);
    std::int64_t nowMs() const { return m_nowMs; }

    /// Null when there is no such file.
    ItemFile *file(const std::string &fileId);
    const ItemFile *file(const std::string &fileId) const;
    ItemFile &addFile(ItemFile file);
    void removeFile(const std::string &fileId);
    /// Starts the time after which an unused file is removed anew.
    void touchFile(ItemFile &file);

    /// Null when there is no such job.
    Job *job(const std::string &jobId);
    const Job *job(const std::string &jobId) const;
    Job *jobByKey(const std::string &workspace, const std::string &idempotencyKey);
    /// Requires that the file is there and neither id nor key are used.
    Job &addJob(const wire::CreateJob &operation);
    void cancelJob(Job &job);
    const std::map<Job::Number, Job> &jobs() const { return m_jobs; }

    /// Job whose item is to be leased next; null when nothing is open.
    Job *nextJob();
    /// Leases the next item of nextJob(); its lease number and index.
    std::pair<LeaseTable::Number, std::uint32_t> leaseNext(const std::string &holder,
                                                           std::int64_t leaseMs);
    /// Lease that \a item names, if it is current; otherwise null.
    const Lease *lease(const wire::ItemRef &item) const;
    const Lease *leaseByNumber(LeaseTable::Number number) const { return m_leases.find(number); }
    Job &jobOf(const Lease &lease) { return m_jobs.at(lease.job); }
    /// The following end or renew a current lease.
    void renew(LeaseTable::Number lease, std::int64_t leaseMs);
    void finish(LeaseTable::Number lease, wire::ItemState state, const Job::ResultText &result);
    void giveBack(LeaseTable::Number lease, std::int64_t backoffMs);

    ClaimTable &claims() { return m_claims; }

    /// Whole state with format version and checksum.
    std::string serialize() const;
    /// Fails with CorruptData or UnsupportedFormat and then leaves a part of the state.
    Result<void> deserialize(std::string_view bytes);

private:
    /// Time, job and item.
    using Delay = std::tuple<std::int64_t, Job::Number, std::uint32_t>;

    void expireLeases();
    void endDelays();
    void expireJobs();
    void expireFiles();
    void handleExpiredLease(LeaseTable::Number number);
    /// Brings the queues in line with \a job after a change of its items.
    void settle(const Job &job);
    void releaseFile(const Job &job);
    void eraseJob(Job::Number number);

    std::size_t textBytes() const;
    void write(ByteWriter &writer) const;
    void read(ByteReader &reader);
    void readFiles(ByteReader &reader);
    void readJobs(ByteReader &reader);
    void readDelays(ByteReader &reader);
    void checkLeases(ByteReader &reader) const;
    void indexJob(Job::Number number, const Job &job);

    std::int64_t m_nowMs = 0;
    std::map<std::string, ItemFile> m_files;
    /// Files without jobs by the time at which they are removed.
    std::set<std::pair<std::int64_t, std::string>> m_fileExpiry;
    std::map<Job::Number, Job> m_jobs;
    std::map<std::string, Job::Number> m_jobIds;
    std::map<std::pair<std::string, std::string>, Job::Number> m_jobKeys;
    Job::Number m_nextJob = 1;
    /// Ended jobs by the time at which their results or they themselves are removed.
    std::set<std::pair<std::int64_t, Job::Number>> m_jobExpiry;
    DueQueue m_due;
    LeaseTable m_leases;
    /// Items that were given back and wait for their next try.
    std::set<Delay> m_delays;
    ClaimTable m_claims;
};

} // namespace rattanrill::batch

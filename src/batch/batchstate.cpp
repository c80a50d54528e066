#include "batchstate.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/batch/statemachine.h"

#include <algorithm>
#include <cstring>

namespace rattanrill::batch {
namespace {

constexpr std::string_view formatName = "rattanrill-batch-";
constexpr std::string_view formatVersion = "1\n";
constexpr std::size_t headerBytes = formatName.size() + formatVersion.size();
/// Upper estimate of the number of bytes that an item takes in a snapshot in addition to its texts.
constexpr std::size_t itemOverheadBytes = 24;

boost::leaf::error_id failCorrupt(std::string_view reason)
{
    return fail(notRun(ErrorCode::CorruptData, concat("batch snapshot: ", reason)));
}

/// Checks format version and checksum and returns the payload of a snapshot.
Result<std::string_view> checkedPayload(std::string_view bytes)
{
    if (bytes.substr(0, formatName.size()) != formatName)
        return failCorrupt("not a batch snapshot");
    bytes.remove_prefix(formatName.size());
    if (bytes.substr(0, formatVersion.size()) != formatVersion) {
        return fail(
                notRun(ErrorCode::UnsupportedFormat, "batch snapshot: format version is not 1"));
    }
    bytes.remove_prefix(formatVersion.size());
    std::uint64_t checksum = 0;
    if (bytes.size() < sizeof checksum)
        return failCorrupt("truncated");
    std::memcpy(&checksum, bytes.data(), sizeof checksum);
    bytes.remove_prefix(sizeof checksum);
    if (checksum != stableHash(bytes))
        return failCorrupt("wrong checksum");
    return bytes;
}

} // namespace

void BatchState::advance(std::int64_t nowMs)
{
    m_nowMs = std::max(m_nowMs, nowMs);
    expireLeases();
    endBackoffs();
    expireJobs();
    expireFiles();
    m_claims.expire(m_nowMs);
}

void BatchState::expireLeases()
{
    while (const auto number = m_leases.expired(m_nowMs))
        handleExpiredLease(*number);
}

void BatchState::handleExpiredLease(LeaseTable::Number number)
{
    const Lease lease = *m_leases.find(number);
    Job &job = jobOf(lease);
    if (!job.isCancelling())
        job.countExpiredLease(lease.index);
    const bool ends =
            !job.isCancelling() && job.item(lease.index).expiredLeases >= maxExpiredLeases;
    if (ends)
        finish(number, wire::ItemState::Failed, {0, {}, ErrorCode::LeaseExpired});
    else
        releaseItem(number, 0);
}

void BatchState::endBackoffs()
{
    while (!m_backoffs.empty() && std::get<0>(*m_backoffs.begin()) <= m_nowMs) {
        const auto [time, number, index] = *m_backoffs.begin();
        m_backoffs.erase(m_backoffs.begin());
        // The job may have been cancelled and removed during the backoff.
        const auto job = m_jobs.find(number);
        if (job == m_jobs.end() || job->second.isExpired())
            continue;
        job->second.setReady(index);
        updateQueues(job->second);
    }
}

void BatchState::expireJobs()
{
    while (!m_jobExpiry.empty() && m_jobExpiry.begin()->first <= m_nowMs) {
        const auto [time, number] = *m_jobExpiry.begin();
        m_jobExpiry.erase(m_jobExpiry.begin());
        Job &job = m_jobs.at(number);
        if (job.isExpired()) {
            eraseJob(number);
            continue;
        }
        job.expire();
        releaseFile(job);
        m_jobExpiry.emplace(time + expiredJobRetentionMs, number);
    }
}

void BatchState::releaseFile(const Job &job)
{
    ItemFile &file = m_files.at(job.fileId());
    --file.jobs;
    touchFile(file);
}

void BatchState::eraseJob(Job::Number number)
{
    const Job &job = m_jobs.at(number);
    m_jobIds.erase(job.jobId());
    if (!job.idempotencyKey().empty())
        m_jobKeys.erase({job.workspace(), job.idempotencyKey()});
    m_jobs.erase(number);
}

void BatchState::expireFiles()
{
    while (!m_fileExpiry.empty() && m_fileExpiry.begin()->first <= m_nowMs) {
        m_files.erase(m_fileExpiry.begin()->second);
        m_fileExpiry.erase(m_fileExpiry.begin());
    }
}

ItemFile *BatchState::file(const std::string &fileId)
{
    const auto file = m_files.find(fileId);
    return file == m_files.end() ? nullptr : &file->second;
}

const ItemFile *BatchState::file(const std::string &fileId) const
{
    const auto file = m_files.find(fileId);
    return file == m_files.end() ? nullptr : &file->second;
}

ItemFile &BatchState::addFile(ItemFile file)
{
    const std::string fileId = file.fileId();
    return m_files.emplace(fileId, std::move(file)).first->second;
}

void BatchState::removeFile(const std::string &fileId)
{
    const auto file = m_files.find(fileId);
    m_fileExpiry.erase({file->second.lastUsedMs + unusedFileRetentionMs, fileId});
    m_files.erase(file);
}

void BatchState::touchFile(ItemFile &file)
{
    m_fileExpiry.erase({file.lastUsedMs + unusedFileRetentionMs, file.fileId()});
    file.lastUsedMs = m_nowMs;
    if (file.jobs == 0)
        m_fileExpiry.emplace(file.lastUsedMs + unusedFileRetentionMs, file.fileId());
}

Job *BatchState::job(const std::string &jobId)
{
    const auto number = m_jobIds.find(jobId);
    return number == m_jobIds.end() ? nullptr : &m_jobs.at(number->second);
}

const Job *BatchState::job(const std::string &jobId) const
{
    const auto number = m_jobIds.find(jobId);
    return number == m_jobIds.end() ? nullptr : &m_jobs.at(number->second);
}

Job *BatchState::jobByKey(const std::string &workspace, const std::string &idempotencyKey)
{
    const auto number = m_jobKeys.find({workspace, idempotencyKey});
    return number == m_jobKeys.end() ? nullptr : &m_jobs.at(number->second);
}

void BatchState::indexJob(Job::Number number, const Job &job)
{
    m_jobIds.emplace(job.jobId(), number);
    if (!job.idempotencyKey().empty())
        m_jobKeys.emplace(std::make_pair(job.workspace(), job.idempotencyKey()), number);
}

Job &BatchState::addJob(const wire::CreateJob &operation)
{
    const Job::Number number = m_nextJobNumber++;
    ItemFile &file = m_files.at(operation.fileId);
    ++file.jobs;
    touchFile(file);
    Job &job =
            m_jobs.emplace(number, Job(number, operation, file.itemCount(), m_nowMs)).first->second;
    indexJob(number, job);
    updateQueues(job);
    return job;
}

void BatchState::cancelJob(Job &job)
{
    job.cancel(m_nowMs);
    updateQueues(job);
}

void BatchState::updateQueues(const Job &job)
{
    if (job.hasOpenItem())
        m_due.add(job);
    else
        m_due.remove(job);
    if (job.isEnded())
        m_jobExpiry.emplace(job.retainedUntilMs(), job.number());
}

Job *BatchState::nextJob()
{
    const auto number = m_due.next();
    return number ? &m_jobs.at(*number) : nullptr;
}

std::pair<LeaseTable::Number, std::uint32_t> BatchState::leaseNext(const std::string &holder,
                                                                   std::int64_t leaseMs)
{
    Job &job = *nextJob();
    const std::uint32_t index = job.leaseNext();
    const LeaseTable::Number number =
            m_leases.add({job.number(), index, m_nowMs + leaseMs, holder});
    m_due.endTurn();
    updateQueues(job);
    return {number, index};
}

const Lease *BatchState::lease(const wire::ItemRef &item) const
{
    const Lease *lease = m_leases.find(item.lease);
    const bool current = lease != nullptr && lease->index == item.index
                         && m_jobs.at(lease->job).jobId() == item.jobId;
    return current ? lease : nullptr;
}

void BatchState::renew(LeaseTable::Number lease, std::int64_t leaseMs)
{
    m_leases.renew(lease, m_nowMs + leaseMs);
}

void BatchState::finish(LeaseTable::Number number, wire::ItemState state,
                        const Job::ResultText &result)
{
    const Lease lease = *m_leases.find(number);
    m_leases.remove(number);
    Job &job = jobOf(lease);
    job.finish(lease.index, state, result, m_nowMs);
    updateQueues(job);
}

void BatchState::releaseItem(LeaseTable::Number number, std::int64_t backoffMs)
{
    const Lease lease = *m_leases.find(number);
    m_leases.remove(number);
    Job &job = jobOf(lease);
    job.releaseItem(lease.index, m_nowMs);
    if (backoffMs > 0)
        m_backoffs.emplace(m_nowMs + backoffMs, lease.job, lease.index);
    else
        job.setReady(lease.index);
    updateQueues(job);
}

std::size_t BatchState::snapshotBytes() const
{
    std::size_t bytes = m_claims.textBytes();
    for (const auto &[id, file] : m_files)
        bytes += file.textBytes() + file.itemCount() * itemOverheadBytes;
    for (const auto &[number, job] : m_jobs)
        bytes += job.textBytes() + job.itemCount() * itemOverheadBytes;
    return bytes;
}

std::string BatchState::serialize() const
{
    std::string bytes;
    // The estimated size is reserved first, because each reallocation would copy all texts.
    bytes.reserve(snapshotBytes());
    bytes.append(formatName);
    bytes.append(formatVersion);
    std::uint64_t checksum = 0;
    bytes.append(sizeof checksum, '\0');
    ByteWriter writer(bytes);
    write(writer);
    checksum = stableHash(std::string_view(bytes).substr(headerBytes + sizeof checksum));
    std::memcpy(bytes.data() + headerBytes, &checksum, sizeof checksum);
    return bytes;
}

void BatchState::write(ByteWriter &writer) const
{
    writer.signedNumber(m_nowMs);
    writer.number(m_files.size());
    for (const auto &[id, file] : m_files)
        file.write(writer);
    writer.number(m_nextJobNumber);
    writer.number(m_jobs.size());
    for (const auto &[number, job] : m_jobs)
        job.write(writer);
    m_due.write(writer);
    m_leases.write(writer);
    writer.number(m_backoffs.size());
    for (const auto &[time, number, index] : m_backoffs) {
        writer.signedNumber(time);
        writer.number(number);
        writer.number(index);
    }
    m_claims.write(writer);
}

Result<void> BatchState::deserialize(std::string_view bytes)
{
    BOOST_LEAF_AUTO(payload, checkedPayload(bytes));
    ByteReader reader(payload);
    read(reader);
    if (!reader.ok() || !reader.atEnd())
        return failCorrupt("inconsistent content");
    return {};
}

void BatchState::read(ByteReader &reader)
{
    m_nowMs = reader.signedNumber();
    readFiles(reader);
    readJobs(reader);
    m_due.read(reader, m_jobs);
    m_leases.read(reader);
    checkLeases(reader);
    readBackoffs(reader);
    m_claims.read(reader);
}

void BatchState::readFiles(ByteReader &reader)
{
    const std::size_t files = reader.count();
    for (std::size_t count = 0; count < files && reader.ok(); ++count) {
        ItemFile file;
        file.read(reader);
        addFile(std::move(file));
    }
}

void BatchState::readJobs(ByteReader &reader)
{
    m_nextJobNumber = reader.number();
    const std::size_t jobs = reader.count();
    for (std::size_t count = 0; count < jobs; ++count) {
        Job read;
        read.read(reader);
        if (!reader.ok())
            return;
        const Job::Number number = read.number();
        const Job &job = m_jobs.emplace(number, std::move(read)).first->second;
        indexJob(number, job);
        const std::int64_t expiresAtMs =
                job.retainedUntilMs() + (job.isExpired() ? expiredJobRetentionMs : 0);
        if (job.isEnded())
            m_jobExpiry.emplace(expiresAtMs, number);
        if (job.isExpired())
            continue;
        ItemFile *used = file(job.fileId());
        if (used == nullptr || used->itemCount() != job.itemCount())
            return reader.setFailed();
        ++used->jobs;
    }
    for (auto &[id, file] : m_files) {
        if (file.jobs == 0)
            m_fileExpiry.emplace(file.lastUsedMs + unusedFileRetentionMs, id);
    }
}

void BatchState::checkLeases(ByteReader &reader) const
{
    for (const auto &[number, lease] : m_leases.leases()) {
        const auto job = m_jobs.find(lease.job);
        const bool valid = job != m_jobs.end() && !job->second.isExpired()
                           && lease.index < job->second.itemCount()
                           && job->second.item(lease.index).state() == wire::ItemState::Leased;
        if (!valid)
            return reader.setFailed();
    }
}

void BatchState::readBackoffs(ByteReader &reader)
{
    const std::size_t backoffs = reader.count();
    for (std::size_t count = 0; count < backoffs; ++count) {
        const std::int64_t time = reader.signedNumber();
        const Job::Number number = reader.number();
        const std::uint64_t index = reader.number();
        const auto job = m_jobs.find(number);
        // A backoff can outlast its job, so the job may have been removed.
        if (job != m_jobs.end() && index >= job->second.itemCount())
            return reader.setFailed();
        m_backoffs.emplace(time, number, static_cast<std::uint32_t>(index));
    }
}

} // namespace rattanrill::batch

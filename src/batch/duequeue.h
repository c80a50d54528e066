#pragma once

#include "bytereader.h"
#include "bytewriter.h"
#include "job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace rattanrill::batch {

/// Jobs with open items, earliest due first. Workspaces with jobs of equal due time take turns,
/// item by item; the jobs of one workspace come in order of creation.
class DueQueue
{
public:
    /// Adds \a job unless it is queued.
    void add(const Job &job);
    /// Removes \a job if it is queued.
    void remove(const Job &job);
    /// Job whose turn it is.
    std::optional<Job::Number> next() const;
    /// Ends the turn of the workspace of next(). Requires a queued job.
    void endTurn();

    void write(ByteWriter &writer) const;
    /// \a jobs are all jobs of the partition.
    void read(ByteReader &reader, const std::map<Job::Number, Job> &jobs);

private:
    struct Workspace
    {
        std::uint64_t turn = 0;
        std::set<Job::Number> jobs;
    };

    /// Jobs of one due time.
    struct Group
    {
        std::map<std::string, Workspace> workspaces;
        std::map<std::uint64_t, std::string> turns;
        std::uint64_t nextTurn = 0;
    };

    static Workspace &workspaceOf(Group &group, const std::string &name);

    std::map<std::int64_t, Group> m_groups;
};

} // namespace rattanrill::batch

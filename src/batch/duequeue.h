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

/// Jobs with open items, ordered by due time. Workspaces whose jobs have the same due time are
/// served round-robin, one item per turn; the jobs of one workspace are served in order of
/// creation.
class DueQueue
{
public:
    /// Adds \a job unless it is already queued.
    void add(const Job &job);
    /// Removes \a job if it is queued.
    void remove(const Job &job);
    /// Returns the job whose item is leased next.
    std::optional<Job::Number> next() const;
    /// Moves the workspace of next() to the end of the round-robin order. Requires a queued job.
    void endTurn();

    void write(ByteWriter &writer) const;
    /// \a jobs must contain all jobs of the partition.
    void read(ByteReader &reader, const std::map<Job::Number, Job> &jobs);

private:
    struct Workspace
    {
        /// Key of the workspace in Group::turns.
        std::uint64_t turn = 0;
        std::set<Job::Number> jobs;
    };

    /// Jobs of one due time.
    struct Group
    {
        std::map<std::string, Workspace> workspaces;
        /// Names of the workspaces in round-robin order.
        std::map<std::uint64_t, std::string> turns;
        std::uint64_t nextTurn = 0;
    };

    static Workspace &workspaceOf(Group &group, const std::string &name);

    std::map<std::int64_t, Group> m_groups;
};

} // namespace rattanrill::batch

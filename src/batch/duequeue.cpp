#include "duequeue.h"

#include <utility>

namespace rattanrill::batch {

DueQueue::Workspace &DueQueue::workspaceOf(Group &group, const std::string &name)
{
    const auto [workspace, added] = group.workspaces.try_emplace(name);
    if (added) {
        workspace->second.turn = group.nextTurn++;
        group.turns.emplace(workspace->second.turn, name);
    }
    return workspace->second;
}

void DueQueue::add(const Job &job)
{
    workspaceOf(m_groups[job.dueAtMs()], job.workspace()).jobs.insert(job.number());
}

void DueQueue::remove(const Job &job)
{
    const auto group = m_groups.find(job.dueAtMs());
    if (group == m_groups.end())
        return;
    auto &workspaces = group->second.workspaces;
    const auto workspace = workspaces.find(job.workspace());
    if (workspace == workspaces.end())
        return;
    workspace->second.jobs.erase(job.number());
    if (!workspace->second.jobs.empty())
        return;
    group->second.turns.erase(workspace->second.turn);
    workspaces.erase(workspace);
    if (workspaces.empty())
        m_groups.erase(group);
}

std::optional<Job::Number> DueQueue::next() const
{
    if (m_groups.empty())
        return std::nullopt;
    const Group &group = m_groups.begin()->second;
    const std::string &name = group.turns.begin()->second;
    return *group.workspaces.at(name).jobs.begin();
}

void DueQueue::endTurn()
{
    Group &group = m_groups.begin()->second;
    if (group.turns.size() == 1)
        return;
    auto turn = group.turns.extract(group.turns.begin());
    turn.key() = group.nextTurn++;
    group.workspaces.at(turn.mapped()).turn = turn.key();
    group.turns.insert(group.turns.end(), std::move(turn));
}

void DueQueue::write(ByteWriter &writer) const
{
    writer.number(m_groups.size());
    for (const auto &[dueAtMs, group] : m_groups) {
        writer.signedNumber(dueAtMs);
        writer.number(group.turns.size());
        for (const auto &[turn, name] : group.turns) {
            writer.text(name);
            const std::set<Job::Number> &jobs = group.workspaces.at(name).jobs;
            writer.number(jobs.size());
            for (const Job::Number job : jobs)
                writer.number(job);
        }
    }
}

void DueQueue::read(ByteReader &reader, const std::map<Job::Number, Job> &jobs)
{
    const std::size_t groups = reader.count();
    for (std::size_t group = 0; group < groups; ++group) {
        const std::int64_t dueAtMs = reader.signedNumber();
        const std::size_t turns = reader.count();
        for (std::size_t turn = 0; turn < turns; ++turn) {
            const std::string name = reader.string();
            const std::size_t numbers = reader.count();
            for (std::size_t count = 0; count < numbers; ++count) {
                const auto job = jobs.find(reader.number());
                const bool valid = job != jobs.end() && job->second.hasOpenItem()
                                   && job->second.dueAtMs() == dueAtMs
                                   && job->second.workspace() == name;
                if (!valid)
                    return reader.setFailed();
                add(job->second);
            }
        }
    }
}

} // namespace rattanrill::batch

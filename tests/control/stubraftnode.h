#pragma once

#include "rattanrill/replication/raftnode.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rattanrill::control {

/// RaftNode of a group with one replica. Tests set its role, term and quorum. Callbacks run on the
/// caller's thread.
class StubRaftNode : public replication::RaftNode
{
public:
    explicit StubRaftNode(std::unique_ptr<replication::StateMachine> stateMachine)
        : machine(std::move(stateMachine))
    {
        currentStatus.role = replication::Role::Leader;
        currentStatus.term = 1;
    }

    void propose(std::string command, Callback callback) override
    {
        proposed.push_back(command);
        if (currentStatus.role != replication::Role::Leader)
            return callback(notRun(ErrorCode::NotLeader, currentStatus.leader));
        callback(unwrap(machine->apply(++currentStatus.appliedIndex, command)));
        if (appliedListener)
            appliedListener(currentStatus.appliedIndex);
    }
    void readOnLeader(std::string query, Callback callback) override
    {
        readOnAnyReplica(std::move(query), std::move(callback));
    }
    void readOnAnyReplica(std::string query, Callback callback) override
    {
        ++confirmations;
        if (beforeResponse)
            std::exchange(beforeResponse, nullptr)();
        if (!hasQuorum)
            return callback(notRun(ErrorCode::NotLeader, ""));
        callback(unwrap(machine->query(query)));
    }
    void readMembership(MembershipCallback callback) override
    {
        if (hasQuorum)
            callback(currentStatus.voters);
        else
            callback(notRun(ErrorCode::NotLeader, ""));
    }
    void receive(const replication::ReplicaId &, std::string) override {}
    replication::RaftNodeStatus status() const override { return currentStatus; }
    void onApplied(std::function<void(std::uint64_t)> newListener) override
    {
        appliedListener = std::move(newListener);
    }
    void addReplica(const replication::ReplicaId &, const replication::ReplicaId &,
                    Callback) override
    {}
    void removeReplica(const replication::ReplicaId &, Callback) override {}
    void transferLeadership() override {}
    void stop() override {}

    std::unique_ptr<replication::StateMachine> machine;
    replication::RaftNodeStatus currentStatus;
    bool hasQuorum = true;
    /// Number of reads that a leader had to confirm.
    int confirmations = 0;
    std::vector<std::string> proposed;
    std::function<void(std::uint64_t)> appliedListener;
    /// Called once, after a query was received and before the response, which contains the state
    /// after this call.
    std::function<void()> beforeResponse;

private:
    static Outcome<std::string> unwrap(const std::string &commandResult);
};

} // namespace rattanrill::control

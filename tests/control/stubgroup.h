#pragma once

#include "rattanrill/replication/raftnode.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rattanrill::control {

/// Group of one replica whose role, term and quorum a test sets; answers on the caller's thread.
class StubGroup : public replication::RaftNode
{
public:
    explicit StubGroup(std::unique_ptr<replication::StateMachine> stateMachine)
        : machine(std::move(stateMachine))
    {
        now.role = replication::Role::Leader;
        now.term = 1;
    }

    void propose(std::string command, Callback callback) override
    {
        proposed.push_back(command);
        if (now.role != replication::Role::Leader)
            return callback(notRun(ErrorCode::NotLeader, now.leader));
        callback(unpacked(machine->apply(++now.appliedIndex, command)));
        if (listener)
            listener(now.appliedIndex);
    }
    void read(std::string query, Callback callback) override
    {
        linearizableRead(std::move(query), std::move(callback));
    }
    void linearizableRead(std::string query, Callback callback) override
    {
        ++confirmations;
        if (beforeAnswer)
            std::exchange(beforeAnswer, nullptr)();
        if (!hasQuorum)
            return callback(notRun(ErrorCode::NotLeader, ""));
        callback(unpacked(machine->query(query)));
    }
    void receive(const replication::ReplicaId &, std::string) override {}
    replication::RaftNodeStatus status() const override { return now; }
    void onApplied(std::function<void(std::uint64_t)> newListener) override
    {
        listener = std::move(newListener);
    }
    void addReplica(const replication::ReplicaId &, const replication::ReplicaId &,
                    Callback) override
    {}
    void removeReplica(const replication::ReplicaId &, Callback) override {}
    void transferLeadership() override {}
    void stop() override {}

    std::unique_ptr<replication::StateMachine> machine;
    replication::RaftNodeStatus now;
    bool hasQuorum = true;
    int confirmations = 0;
    std::vector<std::string> proposed;
    std::function<void(std::uint64_t)> listener;
    /// Runs once, after a query was taken and before it is answered with the state of then.
    std::function<void()> beforeAnswer;

private:
    static Outcome<std::string> unpacked(const std::string &commandResult);
};

} // namespace rattanrill::control

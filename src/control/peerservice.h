#pragma once

#include "grouphost.h"
#include "memberwatch.h"
#include "partitionclock.h"
#include "pollchangesservice.h"

#include "rattanrill/base/metrics.h"
#include "rattanrill/base/workerpool.h"
#include "rattanrill/peer/server.h"

#include <memory>
#include <string>

namespace rattanrill::control {

/// Serves the calls of other processes: the wire methods Raft, Propose, Read, PollChanges and
/// Heartbeat.
class PeerService
{
public:
    PeerService(const GroupHost &groups, std::shared_ptr<PollChangesService> pollService,
                std::shared_ptr<MemberWatch> members, std::shared_ptr<PartitionClock> partitions,
                Metrics &metrics, const Clock &clock);

    /// Sets the handlers of \a server, which must be stopped before this object is destroyed.
    void registerHandlers(peer::Server &server);
    void stop();

private:
    void receiveRaftMessage(const peer::PeerIdentity &from, const std::string &body);
    void queueProposal(const std::string &body, const peer::ResponseCallback &reply);
    void runProposal(const std::string &body, const peer::ResponseCallback &reply);
    Result<void> startProposal(const std::string &body, const peer::ResponseCallback &reply);
    void read(const std::string &body, const peer::ResponseCallback &reply);
    void pollChanges(const std::string &body, const peer::ResponseCallback &reply);
    void heartbeat(const std::string &body, const peer::ResponseCallback &reply);
    /// Counts and logs the outcome of a call and passes it to \a reply.
    void sendReply(const char *method, const Outcome<std::string> &outcome,
                   const peer::ResponseCallback &reply);

    const GroupHost &m_groups;
    const std::shared_ptr<PollChangesService> m_pollService;
    const std::shared_ptr<MemberWatch> m_memberWatch;
    const std::shared_ptr<PartitionClock> m_partitionClock;
    Metrics &m_metrics;
    const Clock &m_clock;
    WorkerPool m_workers;
};

} // namespace rattanrill::control

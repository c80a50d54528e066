#pragma once

#include "controlsettings.h"
#include "directorywrites.h"
#include "grouphost.h"
#include "memberwatch.h"

#include "rattanrill/base/json.h"
#include "rattanrill/controlclient/controlclient.h"
#include "rattanrill/wire/batchmessages.h"

#include <map>
#include <string>

namespace rattanrill::control {

/// An operator's request whose path and body have been parsed.
struct OperatorRequest
{
    /// Id of a record, job or replica, from the path.
    std::string id;
    /// Parameters of the query string.
    std::map<std::string, std::string> parameters;
    Json body = Json::object();
    std::string requestId;
    std::uint64_t baseRevision = 0;
};

/// Operations of the operators' interface, independent of HTTP. A NotLeader failure has the
/// leader's replica id as detail. Every operation blocks the calling thread until the groups have
/// responded or a timeout has passed.
class OperatorApi
{
public:
    OperatorApi(const ControlSettings &settings, const GroupHost &groups,
                const directory::DirectorySubscriber &view, MemberWatch &members,
                controlclient::ControlClient &client, const Clock &clock);

    Outcome<Json> write(const DirectoryWrite &write, const OperatorRequest &request);
    Outcome<Json> addKey(const OperatorRequest &request);
    Outcome<Json> list(wire::RecordKind kind);
    /// Reports whether all members have applied the revision in parameter "revision", and lists the
    /// members that have not.
    Outcome<Json> inForce(const OperatorRequest &request);
    /// Status of this instance and its groups, and the members. Every instance can return it;
    /// "revision" is omitted when no leader confirms it.
    Outcome<Json> status(const OperatorRequest &request);
    Outcome<Json> batches(const OperatorRequest &request);
    Outcome<Json> cancelBatch(const OperatorRequest &request);
    Outcome<Json> addReplica(const OperatorRequest &request);
    Outcome<Json> removeReplica(const OperatorRequest &request);
    /// Returns true when a leader has confirmed this instance's directory view within the last
    /// owner lease.
    bool ready() const;

private:
    Result<wire::DirectoryResult> propose(const OperatorRequest &request,
                                          wire::DirectoryOperation operation);
    Result<Json> tryAddKey(const OperatorRequest &request);
    Result<Json> tryInForce(const OperatorRequest &request);
    Result<Json> tryList(wire::RecordKind kind);
    Outcome<wire::PollChangesResponse> readDirectory(std::uint64_t afterRevision);
    Result<wire::BatchQueryResult> readPartition(int partition, wire::BatchQueryOperation query);
    Result<Json> tryCancel(const OperatorRequest &request);
    /// Returns the group that the request names. Fails with NotFound, or with NotLeader if this
    /// instance does not lead the group.
    Result<replication::RaftNode *> findLedGroup(const OperatorRequest &request);
    Result<Json> tryAddReplica(const OperatorRequest &request);
    Result<Json> tryRemoveReplica(const OperatorRequest &request);
    Json groupJson(const std::string &name) const;

    const ControlSettings &m_settings;
    const GroupHost &m_groups;
    const directory::DirectorySubscriber &m_view;
    MemberWatch &m_memberWatch;
    controlclient::ControlClient &m_client;
    const Clock &m_clock;
};

} // namespace rattanrill::control

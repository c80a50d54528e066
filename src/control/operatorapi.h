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

/// The operations of the operators' interface, without HTTP. A NotLeader failure has the leader's
/// replica id as detail. Every operation blocks the calling thread until the groups have answered.
class OperatorApi
{
public:
    OperatorApi(const ControlSettings &settings, const GroupHost &groups,
                const directory::DirectorySubscriber &view, MemberWatch &members,
                controlclient::ControlClient &client, const Clock &clock);

    Outcome<Json> write(const DirectoryWrite &write, const OperatorRequest &request);
    Outcome<Json> addKey(const OperatorRequest &request);
    Outcome<Json> list(wire::RecordKind kind);
    Outcome<Json> inForce(const OperatorRequest &request);
    /// Works on every instance. "revision" is missing when no leader confirms it.
    Outcome<Json> status(const OperatorRequest &request);
    Outcome<Json> batches(const OperatorRequest &request);
    Outcome<Json> cancelBatch(const OperatorRequest &request);
    Outcome<Json> addReplica(const OperatorRequest &request);
    Outcome<Json> removeReplica(const OperatorRequest &request);
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
    Result<replication::RaftNode *> groupOf(const OperatorRequest &request);
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

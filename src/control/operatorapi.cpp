#include "operatorapi.h"

#include "pendingoutcome.h"
#include "recordjson.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include <cstdlib>
#include <utility>

namespace rattanrill::control {
namespace {

/// Timeout of a call to a group. Longer than an election, but short enough for an operator who
/// waits for the response.
constexpr absl::Duration groupCallTimeout = absl::Seconds(5);
/// Maximum time that status() waits for a leader to confirm the directory view.
constexpr absl::Duration statusTimeout = absl::Seconds(1);
/// Longer than the other timeouts, because a membership change completes only when the new replica
/// has caught up.
constexpr absl::Duration membershipChangeTimeout = absl::Seconds(25);
/// Numbers of random bytes in an API key and in its id.
constexpr std::size_t apiKeyBytes = 24;
constexpr std::size_t apiKeyIdBytes = 8;

void logFailedWrite(const OperatorRequest &request, const Failure &failure)
{
    if (failure.code == ErrorCode::NotLeader)
        return;
    log(LogLevel::Warning, "write-refused",
        {{"requestId", request.requestId},
         {"id", request.id},
         {"baseRevision", request.baseRevision},
         {"code", name(failure.code)},
         {"detail", failure.detail}});
}

template <typename Operation>
Outcome<Json> runAndLogFailure(const OperatorRequest &request, Operation &&operation)
{
    Outcome<Json> outcome = outcomeOf(std::forward<Operation>(operation));
    if (!outcome.ok())
        logFailedWrite(request, outcome.failure());
    return outcome;
}

/// A read has no effect, so its failure always has the effect state NotRun.
Failure readFailure(Failure failure)
{
    failure.effect = EffectState::NotRun;
    return failure;
}

} // namespace

OperatorApi::OperatorApi(const ControlSettings &settings, const GroupHost &groups,
                         const directory::DirectorySubscriber &view, MemberWatch &members,
                         controlclient::ControlClient &client, const Clock &clock)
    : m_settings(settings)
    , m_groups(groups)
    , m_view(view)
    , m_memberWatch(members)
    , m_client(client)
    , m_clock(clock)
{}

Result<wire::DirectoryResult> OperatorApi::propose(const OperatorRequest &request,
                                                   wire::DirectoryOperation operation)
{
    wire::DirectoryCommand command;
    command.requestId = request.requestId;
    command.baseRevision = request.baseRevision;
    command.nowMs = absl::ToUnixMillis(m_clock.wallNow());
    command.operation = std::move(operation);
    PendingOutcome pending;
    m_groups.directory().propose(wire::encode(command), pending.callback());
    BOOST_LEAF_AUTO(bytes, pending.wait(groupCallTimeout).result());
    BOOST_LEAF_AUTO(result, wire::decode<wire::DirectoryResult>(bytes));
    log(LogLevel::Info, "directory-written",
        {{"requestId", request.requestId}, {"id", result.id}, {"revision", result.revision}});
    return result;
}

Outcome<Json> OperatorApi::write(const DirectoryWrite &write, const OperatorRequest &request)
{
    return runAndLogFailure(request, [&]() -> Result<Json> {
        BOOST_LEAF_AUTO(operation, write.build(request.id, request.body));
        BOOST_LEAF_AUTO(result, propose(request, std::move(operation)));
        return Json{{"revision", result.revision}};
    });
}

Outcome<Json> OperatorApi::addKey(const OperatorRequest &request)
{
    return runAndLogFailure(request, [&] { return tryAddKey(request); });
}

Result<Json> OperatorApi::tryAddKey(const OperatorRequest &request)
{
    BOOST_LEAF_CHECK(checkMembers(request.body, {"workspace"}));
    BOOST_LEAF_AUTO(workspace, jsonMember<std::string>(request.body, "workspace"));
    const std::string secret = "rk_" + randomHex(apiKeyBytes);
    wire::ApiKey key;
    key.keyId = "key_" + randomHex(apiKeyIdBytes);
    key.hash = sha256Hex(secret);
    key.workspace = workspace;
    BOOST_LEAF_AUTO(result, propose(request, wire::AddKey{key}));
    Json response = {{"key_id", result.id}, {"revision", result.revision}};
    // A resent request returns the id of the key that the first one created. That key was returned
    // once and is stored only as a hash, so the response to a resend does not contain it.
    if (result.id == key.keyId)
        response["key"] = secret;
    return response;
}

Outcome<wire::PollChangesResponse> OperatorApi::readDirectory(std::uint64_t afterRevision)
{
    PendingOutcome pending;
    m_groups.directory().readOnLeader(wire::encode(wire::DirectoryQuery{afterRevision}),
                                      pending.callback());
    const auto bytes = pending.wait(groupCallTimeout);
    if (!bytes.ok())
        return readFailure(bytes.failure());
    return outcomeOf([&] { return wire::decode<wire::PollChangesResponse>(bytes.value()); });
}

Outcome<Json> OperatorApi::list(wire::RecordKind kind)
{
    return outcomeOf([&] { return tryList(kind); });
}

Result<Json> OperatorApi::tryList(wire::RecordKind kind)
{
    const auto response = readDirectory(0);
    if (!response.ok())
        return fail(response.failure());
    Json items = Json::array();
    for (const wire::RecordChange &change : response.value().changes) {
        if (change.kind != kind || change.removed)
            continue;
        BOOST_LEAF_AUTO(item, recordJson(change));
        items.push_back(std::move(item));
    }
    return Json{{"revision", response.value().revision}, {"items", std::move(items)}};
}

Outcome<Json> OperatorApi::inForce(const OperatorRequest &request)
{
    return outcomeOf([&] { return tryInForce(request); });
}

Result<Json> OperatorApi::tryInForce(const OperatorRequest &request)
{
    const auto parameter = request.parameters.find("revision");
    char *end = nullptr;
    const std::string text = parameter == request.parameters.end() ? "" : parameter->second;
    const std::uint64_t revision = std::strtoull(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0' || text.front() == '-')
        return fail(notRun(ErrorCode::InvalidRequest, "\"revision\" must be a number"));
    // The group returns the changes since this instance's view. Applying them makes the list of
    // members linearizable.
    const auto view = m_view.view();
    const auto response = readDirectory(view->revision());
    if (!response.ok())
        return fail(response.failure());
    BOOST_LEAF_AUTO(updated, view->withChanges(response.value()));
    const std::vector<std::string> behind = m_memberWatch.membersBehind(revision, updated);
    return Json{{"in_force", behind.empty() && updated.revision() >= revision},
                {"lacking", behind}};
}

Json OperatorApi::groupJson(const std::string &name) const
{
    const replication::RaftNodeStatus status = m_groups.find(name)->status();
    Json group = {{"group", name},
                  {"role", replication::name(status.role)},
                  {"term", status.term},
                  {"leader", status.leader},
                  {"commit_index", status.commitIndex},
                  {"applied_index", status.appliedIndex},
                  {"snapshot_index", status.snapshotIndex},
                  {"voters", status.voters},
                  {"learners", status.learners},
                  {"stopped", status.stopped}};
    if (status.stopped)
        group["stop_reason"] = status.stopReason;
    return group;
}

Outcome<Json> OperatorApi::status(const OperatorRequest &)
{
    const auto view = m_view.view();
    PendingOutcome pending;
    m_groups.directory().readOnAnyReplica(wire::encode(wire::DirectoryQuery{view->revision()}),
                                          pending.callback());
    const auto confirmed = pending.wait(statusTimeout);
    Json groups = Json::array();
    for (const std::string &name : m_groups.names())
        groups.push_back(groupJson(name));
    Json members = Json::array();
    directory::DirectoryView current = *view;
    Json status = {{"instance", m_settings.instance}, {"groups", std::move(groups)}};
    if (confirmed.ok()) {
        const auto updated = outcomeOf([&]() -> Result<directory::DirectoryView> {
            BOOST_LEAF_AUTO(response, wire::decode<wire::PollChangesResponse>(confirmed.value()));
            return view->withChanges(response);
        });
        if (!updated.ok())
            return updated.failure();
        current = updated.value();
        status["revision"] = current.revision();
    }
    for (const auto &row : current.members())
        members.push_back(memberJson(*row.record));
    status["members"] = std::move(members);
    return status;
}

Result<wire::BatchQueryResult> OperatorApi::readPartition(int partition,
                                                          wire::BatchQueryOperation query)
{
    PendingOutcome pending;
    m_client.read(controlclient::batchGroupName(partition),
                  wire::encode(wire::BatchQueryMessage{std::move(query)}), groupCallTimeout,
                  pending.callback());
    // Waits longer than the client, so that the client's failure, which names the cause, arrives.
    const auto bytes = pending.wait(groupCallTimeout * 2);
    if (!bytes.ok())
        return fail(readFailure(bytes.failure()));
    return wire::decode<wire::BatchQueryResult>(bytes.value());
}

Outcome<Json> OperatorApi::batches(const OperatorRequest &)
{
    Json items = Json::array();
    for (int partition = 0; partition < m_settings.partitions; ++partition) {
        const auto result = outcomeOf([&] { return readPartition(partition, wire::ListJobs{}); });
        if (!result.ok())
            return result.failure();
        for (const wire::JobStatus &job : result.value().jobs)
            items.push_back(jobJson(job));
    }
    return Json{{"items", std::move(items)}};
}

Outcome<Json> OperatorApi::cancelBatch(const OperatorRequest &request)
{
    return runAndLogFailure(request, [&] { return tryCancel(request); });
}

/// Searches all partitions, because the request does not name the one that stores the job.
Result<Json> OperatorApi::tryCancel(const OperatorRequest &request)
{
    for (int partition = 0; partition < m_settings.partitions; ++partition) {
        const auto job = outcomeOf([&] {
            return readPartition(partition, wire::ReadJob{request.id, ""});
        });
        if (!job.ok() && job.failure().code == ErrorCode::NotFound)
            continue;
        if (!job.ok())
            return fail(job.failure());
        wire::BatchCommand command;
        command.operation = wire::CancelJob{request.id, ""};
        PendingOutcome pending;
        m_client.propose(controlclient::batchGroupName(partition), wire::encode(command), true,
                         groupCallTimeout, pending.callback());
        BOOST_LEAF_AUTO(bytes, pending.wait(groupCallTimeout * 2).result());
        BOOST_LEAF_AUTO(result, wire::decode<wire::BatchResult>(bytes));
        return jobJson(result.job);
    }
    return fail(notRun(ErrorCode::NotFound, concat("no batch \"", request.id, "\"")));
}

Result<replication::RaftNode *> OperatorApi::findLedGroup(const OperatorRequest &request)
{
    BOOST_LEAF_AUTO(name, jsonMember<std::string>(request.body, "group"));
    auto *group = m_groups.find(name);
    if (group == nullptr)
        return fail(notRun(ErrorCode::NotFound, concat("no group \"", name, "\"")));
    const replication::RaftNodeStatus status = group->status();
    if (status.role != replication::Role::Leader)
        return fail(notRun(ErrorCode::NotLeader, status.leader));
    return group;
}

Outcome<Json> OperatorApi::addReplica(const OperatorRequest &request)
{
    return runAndLogFailure(request, [&] { return tryAddReplica(request); });
}

Result<Json> OperatorApi::tryAddReplica(const OperatorRequest &request)
{
    BOOST_LEAF_CHECK(checkMembers(request.body, {"group", "replica", "replaces"}));
    BOOST_LEAF_AUTO(replica, jsonMember<std::string>(request.body, "replica"));
    BOOST_LEAF_AUTO(replaces, jsonMemberOr<std::string>(request.body, "replaces", ""));
    if (m_groups.replica(replica) == nullptr)
        return fail(
                notRun(ErrorCode::InvalidRequest,
                       concat("the settings of this instance list no replica \"", replica, "\"")));
    BOOST_LEAF_AUTO(group, findLedGroup(request));
    PendingOutcome pending;
    group->addReplica(replica, replaces, pending.callback());
    BOOST_LEAF_CHECK(pending.wait(membershipChangeTimeout).result());
    return Json{{"voters", group->status().voters}};
}

Outcome<Json> OperatorApi::removeReplica(const OperatorRequest &request)
{
    return runAndLogFailure(request, [&] { return tryRemoveReplica(request); });
}

Result<Json> OperatorApi::tryRemoveReplica(const OperatorRequest &request)
{
    BOOST_LEAF_CHECK(checkMembers(request.body, {"group"}));
    BOOST_LEAF_AUTO(group, findLedGroup(request));
    PendingOutcome pending;
    group->removeReplica(request.id, pending.callback());
    BOOST_LEAF_CHECK(pending.wait(membershipChangeTimeout).result());
    return Json{{"voters", group->status().voters}};
}

bool OperatorApi::ready() const
{
    return m_view.viewAge() < m_settings.ownerLease;
}

} // namespace rattanrill::control

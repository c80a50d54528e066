#include "directorystatemachine.h"

#include "recordvalidation.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/directory/pathprefix.h"
#include "rattanrill/wire/envelope.h"

#include <algorithm>

namespace rattanrill::directory {
namespace {

/// Number of distinct upstreams that a request must have crashed to be quarantined.
constexpr std::size_t quarantineThreshold = 2;
/// Maximum number of crashed upstreams in a record. Further ones need not be recorded, because a
/// quarantined request is not run any more.
constexpr std::size_t maxCrashedUpstreams = 16;

boost::leaf::error_id conflict(std::string detail)
{
    return fail(notRun(ErrorCode::Conflict, std::move(detail)));
}

/// Returns the hash of a write without the fields that differ when the write is sent again: the
/// time, the base revision and whether it is checked, and for AddKey the id and hash of the key. A
/// resent AddKey carries a newly generated key, because the first one was not stored in plain text.
std::uint64_t contentHash(wire::DirectoryCommand command)
{
    command.nowMs = 0;
    command.baseRevision = 0;
    command.unconditional = false;
    if (auto *addKey = std::get_if<wire::AddKey>(&command.operation)) {
        addKey->key.keyId.clear();
        addKey->key.hash.clear();
    }
    return stableHash(wire::encode(command));
}

bool sameMember(const wire::Member &left, const wire::Member &right)
{
    return left.instance == right.instance && left.failureDomain == right.failureDomain
           && left.peerAddress == right.peerAddress && left.httpAddress == right.httpAddress
           && left.incarnation == right.incarnation;
}

} // namespace

std::unique_ptr<replication::StateMachine> makeDirectoryStateMachine()
{
    return std::make_unique<DirectoryStateMachine>();
}

std::string DirectoryStateMachine::apply(std::uint64_t, std::string_view bytes)
{
    const auto command = outcomeOf([&] { return wire::decode<Command>(bytes); });
    if (!command.ok())
        return wire::encodeCommandResult(Outcome<wire::DirectoryResult>(command.failure()));
    return applyOnce(command.value());
}

std::string DirectoryStateMachine::applyOnce(const Command &command)
{
    if (command.requestId.empty())
        return wire::encodeCommandResult(outcomeOf([&] { return write(command); }));
    const auto validId = outcomeOf([&] { return validateName("request_id", command.requestId); });
    if (!validId.ok())
        return wire::encodeCommandResult(Outcome<wire::DirectoryResult>(validId.failure()));
    const std::uint64_t hash = contentHash(command);
    if (const ResponseCache::Entry *cached = m_state.cachedResponses().find(command.requestId)) {
        if (cached->contentHash == hash)
            return cached->bytes;
        return wire::encodeCommandResult(Outcome<wire::DirectoryResult>(
                notRun(ErrorCode::DuplicateRequest,
                       concat("request id \"", command.requestId, "\" belongs to another write"))));
    }
    std::string bytes = wire::encodeCommandResult(outcomeOf([&] { return write(command); }));
    m_state.cachedResponses().add({command.requestId, hash, bytes});
    return bytes;
}

std::string DirectoryStateMachine::query(std::string_view bytes) const
{
    using Response = Outcome<wire::PollChangesResponse>;
    const auto query = outcomeOf([&] { return wire::decode<wire::DirectoryQuery>(bytes); });
    if (!query.ok())
        return wire::encodeCommandResult(Response(query.failure()));
    const std::uint64_t revision = query.value().afterRevision;
    if (revision > m_state.revision()) {
        return wire::encodeCommandResult(
                Response(notRun(ErrorCode::StaleRevision,
                                concat("revision ", revision, " was requested, but revision ",
                                       m_state.revision(), " is the latest"))));
    }
    return wire::encodeCommandResult(Response(m_state.changesAfter(revision)));
}

std::string DirectoryStateMachine::snapshot() const
{
    return m_state.serialize();
}

Result<void> DirectoryStateMachine::restore(std::string_view snapshot)
{
    BOOST_LEAF_AUTO(state, DirectoryState::deserialize(snapshot));
    m_state = std::move(state);
    return {};
}

DirectoryStateMachine::WriteResult DirectoryStateMachine::write(const Command &command)
{
    return std::visit([&](const auto &operation) { return write(command, operation); },
                      command.operation);
}

wire::DirectoryResult DirectoryStateMachine::resultFor(const std::string &id) const
{
    wire::DirectoryResult result;
    result.revision = m_state.revision();
    result.id = id;
    return result;
}

template <typename Record>
Result<void> DirectoryStateMachine::checkBaseRevision(const Command &command,
                                                      const std::string &id) const
{
    const Record *record = m_state.find<Record>(id);
    const std::uint64_t revision = record == nullptr ? 0 : record->revision;
    if (command.unconditional || command.baseRevision == revision)
        return {};
    return conflict(concat(wire::name(RecordTraits<Record>::kind), " \"", id, "\" has revision ",
                           revision, ", the write is based on revision ", command.baseRevision));
}

template <typename Record>
Result<const Record *> DirectoryStateMachine::findExisting(const Command &command,
                                                           const std::string &id) const
{
    const Record *record = m_state.find<Record>(id);
    if (record == nullptr) {
        return fail(notRun(ErrorCode::NotFound,
                           concat("no ", wire::name(RecordTraits<Record>::kind), " \"", id, "\"")));
    }
    BOOST_LEAF_CHECK(checkBaseRevision<Record>(command, id));
    return record;
}

template <typename Record>
wire::DirectoryResult DirectoryStateMachine::putInNewRevision(const Command &command, Record record)
{
    const std::string id = RecordTraits<Record>::id(record);
    m_state.beginRevision(command.nowMs);
    m_state.put(std::move(record));
    return resultFor(id);
}

template <typename Record>
DirectoryStateMachine::WriteResult
DirectoryStateMachine::removeInNewRevision(const Command &command, const std::string &id)
{
    BOOST_LEAF_CHECK(findExisting<Record>(command, id));
    m_state.beginRevision(command.nowMs);
    // beginRevision() has already removed the record if it is an expired quarantined request.
    if (m_state.find<Record>(id) != nullptr)
        m_state.remove<Record>(id);
    return resultFor(id);
}

DirectoryStateMachine::WriteResult DirectoryStateMachine::write(const Command &command,
                                                                const wire::PutContract &operation)
{
    BOOST_LEAF_CHECK(validate(operation.contract));
    BOOST_LEAF_CHECK(checkBaseRevision<wire::Contract>(command, operation.contract.workspace));
    wire::Contract contract = operation.contract;
    contract.withdrawn = false;
    return putInNewRevision(command, std::move(contract));
}

DirectoryStateMachine::WriteResult
DirectoryStateMachine::write(const Command &command, const wire::WithdrawContract &operation)
{
    BOOST_LEAF_AUTO(existingContract, findExisting<wire::Contract>(command, operation.workspace));
    wire::Contract contract = *existingContract;
    contract.withdrawn = true;
    std::vector<wire::ApiKey> keys;
    for (const auto &[id, key] : m_state.table<wire::ApiKey>()) {
        if (key.workspace == operation.workspace && !key.withdrawn)
            keys.push_back(key);
    }
    m_state.beginRevision(command.nowMs);
    m_state.put(std::move(contract));
    for (wire::ApiKey &key : keys) {
        key.withdrawn = true;
        m_state.put(std::move(key));
    }
    return resultFor(operation.workspace);
}

Result<void> DirectoryStateMachine::checkNewKey(const wire::ApiKey &key) const
{
    const bool exists = m_state.find<wire::ApiKey>(key.keyId) != nullptr
                        || m_state.apiKeyByHash(key.hash) != nullptr;
    if (exists)
        return conflict(concat("key \"", key.keyId, "\" or its hash was added before"));
    const wire::Contract *contract = m_state.find<wire::Contract>(key.workspace);
    if (contract == nullptr)
        return fail(notRun(ErrorCode::NotFound, concat("no contract \"", key.workspace, "\"")));
    if (contract->withdrawn)
        return conflict(concat("contract \"", key.workspace, "\" is withdrawn"));
    return {};
}

DirectoryStateMachine::WriteResult DirectoryStateMachine::write(const Command &command,
                                                                const wire::AddKey &operation)
{
    BOOST_LEAF_CHECK(validate(operation.key));
    BOOST_LEAF_CHECK(checkBaseRevision<wire::ApiKey>(command, operation.key.keyId));
    BOOST_LEAF_CHECK(checkNewKey(operation.key));
    wire::ApiKey key = operation.key;
    key.withdrawn = false;
    return putInNewRevision(command, std::move(key));
}

DirectoryStateMachine::WriteResult DirectoryStateMachine::write(const Command &command,
                                                                const wire::RevokeKey &operation)
{
    BOOST_LEAF_AUTO(existingKey, findExisting<wire::ApiKey>(command, operation.keyId));
    wire::ApiKey key = *existingKey;
    key.withdrawn = true;
    return putInNewRevision(command, std::move(key));
}

DirectoryStateMachine::WriteResult DirectoryStateMachine::write(const Command &command,
                                                                const wire::PutConfig &operation)
{
    BOOST_LEAF_CHECK(validate(operation.config));
    BOOST_LEAF_CHECK(checkBaseRevision<wire::Config>(command, operation.config.name));
    return putInNewRevision(command, operation.config);
}

Result<void> DirectoryStateMachine::checkPathPrefix(const wire::Route &route) const
{
    for (const auto &[name, other] : m_state.table<wire::Route>()) {
        const bool same =
                withoutTrailingSlash(other.pathPrefix) == withoutTrailingSlash(route.pathPrefix);
        if (same && name != route.name)
            return conflict(concat("route \"", name, "\" has the same path prefix"));
    }
    return {};
}

DirectoryStateMachine::WriteResult DirectoryStateMachine::write(const Command &command,
                                                                const wire::PutRoute &operation)
{
    BOOST_LEAF_CHECK(validate(operation.route));
    BOOST_LEAF_CHECK(checkBaseRevision<wire::Route>(command, operation.route.name));
    BOOST_LEAF_CHECK(checkPathPrefix(operation.route));
    return putInNewRevision(command, operation.route);
}

DirectoryStateMachine::WriteResult DirectoryStateMachine::write(const Command &command,
                                                                const wire::RemoveRoute &operation)
{
    return removeInNewRevision<wire::Route>(command, operation.name);
}

DirectoryStateMachine::WriteResult DirectoryStateMachine::write(const Command &command,
                                                                const wire::PutUpstream &operation)
{
    BOOST_LEAF_CHECK(validate(operation.upstream));
    BOOST_LEAF_CHECK(checkBaseRevision<wire::Upstream>(command, operation.upstream.name));
    return putInNewRevision(command, operation.upstream);
}

DirectoryStateMachine::WriteResult
DirectoryStateMachine::write(const Command &command, const wire::RemoveUpstream &operation)
{
    return removeInNewRevision<wire::Upstream>(command, operation.name);
}

DirectoryStateMachine::WriteResult DirectoryStateMachine::write(const Command &command,
                                                                const wire::JoinMember &operation)
{
    const wire::Member &member = operation.member;
    BOOST_LEAF_CHECK(validate(member));
    if (m_state.incarnations().isReplaced(member.instance, member.incarnation)) {
        return fail(notRun(ErrorCode::NotMember,
                           concat("incarnation \"", member.incarnation, "\" of \"", member.instance,
                                  "\" was replaced by a newer one")));
    }
    // A repeated join must not increase the member revision, because that would move the ownership
    // of rate buckets.
    const wire::Member *current = m_state.find<wire::Member>(member.instance);
    if (current != nullptr && sameMember(*current, member))
        return resultFor(member.instance);
    BOOST_LEAF_CHECK(checkBaseRevision<wire::Member>(command, member.instance));
    m_state.incarnations().add(member.instance, member.incarnation);
    return putInNewRevision(command, member);
}

DirectoryStateMachine::WriteResult DirectoryStateMachine::write(const Command &command,
                                                                const wire::RemoveMember &operation)
{
    BOOST_LEAF_AUTO(member, findExisting<wire::Member>(command, operation.instance));
    const bool otherIncarnation =
            !operation.incarnation.empty() && operation.incarnation != member->incarnation;
    if (otherIncarnation) {
        return conflict(concat("member \"", operation.instance, "\" is incarnation \"",
                               member->incarnation, "\", the write names \"", operation.incarnation,
                               "\""));
    }
    return removeInNewRevision<wire::Member>(command, operation.instance);
}

DirectoryStateMachine::WriteResult
DirectoryStateMachine::write(const Command &command, const wire::IssueFencingToken &operation)
{
    if (m_state.find<wire::Upstream>(operation.upstream) == nullptr) {
        return fail(
                notRun(ErrorCode::NotFound, concat("no upstream \"", operation.upstream, "\"")));
    }
    BOOST_LEAF_CHECK(checkBaseRevision<wire::FencingToken>(command, operation.upstream));
    // Fencing tokens are kept when their upstream is removed, so that the numbers do not restart at
    // 1 when it is added again.
    const wire::FencingToken *last = m_state.find<wire::FencingToken>(operation.upstream);
    wire::FencingToken token;
    token.upstream = operation.upstream;
    token.number = last == nullptr ? 1 : last->number + 1;
    wire::DirectoryResult result = putInNewRevision(command, token);
    result.fence = token.number;
    return result;
}

wire::QuarantinedRequest
DirectoryStateMachine::requestWithCrash(const Command &command,
                                        const wire::ReportCrash &report) const
{
    const std::int64_t nowMs = std::max(m_state.nowMs(), command.nowMs);
    wire::QuarantinedRequest request;
    const wire::QuarantinedRequest *current =
            m_state.find<wire::QuarantinedRequest>(report.fingerprint);
    if (current != nullptr && current->expiresAtMs > nowMs)
        request = *current;
    request.fingerprint = report.fingerprint;
    request.expiresAtMs = std::max(request.expiresAtMs, nowMs + report.holdMs);
    std::vector<std::string> &crashed = request.crashedUpstreams;
    const bool listed = std::find(crashed.begin(), crashed.end(), report.upstream) != crashed.end();
    if (!listed && crashed.size() < maxCrashedUpstreams)
        crashed.push_back(report.upstream);
    request.held = crashed.size() >= quarantineThreshold;
    return request;
}

DirectoryStateMachine::WriteResult DirectoryStateMachine::write(const Command &command,
                                                                const wire::ReportCrash &operation)
{
    BOOST_LEAF_CHECK(validate(operation));
    BOOST_LEAF_CHECK(checkBaseRevision<wire::QuarantinedRequest>(command, operation.fingerprint));
    const wire::QuarantinedRequest request = requestWithCrash(command, operation);
    wire::DirectoryResult result = putInNewRevision(command, request);
    result.held = request.held;
    return result;
}

DirectoryStateMachine::WriteResult
DirectoryStateMachine::write(const Command &command, const wire::ReleaseQuarantined &operation)
{
    return removeInNewRevision<wire::QuarantinedRequest>(command, operation.fingerprint);
}

} // namespace rattanrill::directory

#include "directorystate.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/json.h"

#include <algorithm>
#include <array>

namespace rattanrill::directory {
namespace {

constexpr std::string_view formatName = "rattanrill-directory-";
constexpr std::string_view formatVersion = "1\n";
constexpr std::size_t checksumDigits = 16;

std::string checksum(std::string_view payload)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t hash = stableHash(payload);
    std::string text(checksumDigits, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = digits[hash & 0xf];
        hash >>= 4;
    }
    return text;
}

boost::leaf::error_id corrupt(std::string_view reason)
{
    return fail(notRun(ErrorCode::CorruptData, concat("directory snapshot: ", reason)));
}

/// Checks the format and the checksum of a snapshot and returns its payload.
Result<std::string_view> payloadOf(std::string_view bytes)
{
    if (bytes.substr(0, formatName.size()) != formatName)
        return corrupt("not a directory snapshot");
    bytes.remove_prefix(formatName.size());
    if (bytes.substr(0, formatVersion.size()) != formatVersion) {
        return fail(notRun(ErrorCode::UnsupportedFormat,
                           "directory snapshot: format version is not 1"));
    }
    bytes.remove_prefix(formatVersion.size());
    if (bytes.size() < checksumDigits)
        return corrupt("truncated");
    const std::string_view payload = bytes.substr(checksumDigits);
    if (bytes.substr(0, checksumDigits) != checksum(payload))
        return corrupt("wrong checksum");
    return payload;
}

} // namespace

const wire::ApiKey *DirectoryState::apiKeyByHash(const std::string &hash) const
{
    const auto id = m_keyIdsByHash.find(hash);
    return id == m_keyIdsByHash.end() ? nullptr : find<wire::ApiKey>(id->second);
}

void DirectoryState::beginRevision(std::int64_t nowMs)
{
    ++m_revision;
    m_nowMs = std::max(m_nowMs, nowMs);
    std::vector<std::string> expired;
    for (const auto &[fingerprint, request] : table<wire::QuarantinedRequest>()) {
        if (request.expiresAtMs <= m_nowMs)
            expired.push_back(fingerprint);
    }
    for (const std::string &fingerprint : expired)
        remove<wire::QuarantinedRequest>(fingerprint);
}

wire::PollChangesResponse DirectoryState::changesAfter(std::uint64_t revision) const
{
    if (revision == 0 || !m_history.reachesBackTo(revision))
        return allRecords();
    wire::PollChangesResponse response;
    response.revision = m_revision;
    response.memberRevision = m_memberRevision;
    response.changes = m_history.after(revision);
    return response;
}

wire::PollChangesResponse DirectoryState::allRecords() const
{
    wire::PollChangesResponse response;
    response.revision = m_revision;
    response.memberRevision = m_memberRevision;
    response.snapshot = true;
    const auto appendTable = [&response](const auto &table) {
        for (const auto &[id, record] : table) {
            using Record = std::decay_t<decltype(record)>;
            response.changes.push_back(
                    {record.revision, RecordTraits<Record>::kind, id, false, wire::encode(record)});
        }
    };
    std::apply([&](const auto &...tables) { (appendTable(tables), ...); }, m_tables);
    return response;
}

std::string DirectoryState::serialize() const
{
    wire::PollChangesResponse history;
    history.changes.assign(m_history.changes().begin(), m_history.changes().end());
    Json responses = Json::array();
    for (const ResponseCache::Entry &response : m_cachedResponses.entries())
        responses.push_back({response.requestId, response.contentHash, response.bytes});
    Json incarnations = Json::array();
    for (const IncarnationLog::Entry &entry : m_incarnations.entries())
        incarnations.push_back({entry.instance, entry.incarnation});
    const Json parts = {
            {"nowMs", m_nowMs},
            {"records", wire::encode(allRecords())},
            {"history", wire::encode(history)},
            {"droppedUpTo", m_history.droppedUpTo()},
            {"answers", std::move(responses)},
            {"incarnations", std::move(incarnations)},
    };
    std::string payload;
    Json::to_cbor(parts, payload);
    return concat(formatName, formatVersion, checksum(payload), payload);
}

Result<DirectoryState> DirectoryState::deserialize(std::string_view bytes)
{
    BOOST_LEAF_AUTO(payload, payloadOf(bytes));
    DirectoryState state;
    const auto loaded = outcomeOf([&]() -> Result<void> {
        try {
            return state.loadParts(payload);
        } catch (const Json::exception &error) {
            return corrupt(error.what());
        }
    });
    if (!loaded.ok())
        return corrupt(loaded.failure().detail);
    return state;
}

Result<void> DirectoryState::loadParts(std::string_view payload)
{
    const Json parts = Json::from_cbor(payload.begin(), payload.end());
    m_nowMs = parts.at("nowMs").get<std::int64_t>();
    const auto recordBytes = parts.at("records").get<std::string>();
    BOOST_LEAF_AUTO(records, wire::decode<wire::PollChangesResponse>(recordBytes));
    m_revision = records.revision;
    m_memberRevision = records.memberRevision;
    for (const wire::RecordChange &change : records.changes)
        BOOST_LEAF_CHECK(load(change));
    const auto historyBytes = parts.at("history").get<std::string>();
    BOOST_LEAF_AUTO(history, wire::decode<wire::PollChangesResponse>(historyBytes));
    for (wire::RecordChange &change : history.changes)
        m_history.append(std::move(change));
    m_history.setDroppedUpTo(parts.at("droppedUpTo").get<std::uint64_t>());
    for (const Json &response : parts.at("answers")) {
        m_cachedResponses.add({response.at(0).get<std::string>(),
                               response.at(1).get<std::uint64_t>(),
                               response.at(2).get<std::string>()});
    }
    for (const Json &entry : parts.at("incarnations"))
        m_incarnations.add(entry.at(0).get<std::string>(), entry.at(1).get<std::string>());
    return {};
}

template <typename Record>
Result<void> DirectoryState::load(const std::string &body)
{
    BOOST_LEAF_AUTO(record, wire::decode<Record>(body));
    insert(std::move(record));
    return {};
}

Result<void> DirectoryState::load(const wire::RecordChange &change)
{
    using Loader = Result<void> (DirectoryState::*)(const std::string &);
    // In order of wire::RecordKind.
    static constexpr std::array<Loader, 8> loaders = {
            &DirectoryState::load<wire::Contract>,
            &DirectoryState::load<wire::ApiKey>,
            &DirectoryState::load<wire::Config>,
            &DirectoryState::load<wire::Route>,
            &DirectoryState::load<wire::Upstream>,
            &DirectoryState::load<wire::Member>,
            &DirectoryState::load<wire::FencingToken>,
            &DirectoryState::load<wire::QuarantinedRequest>,
    };
    return (this->*loaders.at(static_cast<std::size_t>(change.kind)))(change.body);
}

} // namespace rattanrill::directory

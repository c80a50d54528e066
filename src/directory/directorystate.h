#pragma once

#include "changehistory.h"
#include "incarnationlog.h"
#include "recordtraits.h"
#include "responsecache.h"

#include "rattanrill/base/result.h"
#include "rattanrill/directory/statemachine.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/directorymessages.h"

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace rattanrill::directory {

/// Replicated state of the directory: the records, the history of changes, the cached responses and
/// the incarnations. It must be the same on all replicas.
class DirectoryState
{
public:
    template <typename Record>
    using Table = std::map<std::string, Record>;

    template <typename Record>
    const Table<Record> &table() const
    {
        return std::get<Table<Record>>(m_tables);
    }

    /// Returns the record \a id; null when there is none.
    template <typename Record>
    const Record *find(const std::string &id) const
    {
        const auto record = table<Record>().find(id);
        return record == table<Record>().end() ? nullptr : &record->second;
    }

    /// Returns the key with \a hash, also when it is withdrawn; null when none was ever added.
    const wire::ApiKey *apiKeyByHash(const std::string &hash) const;

    /// Starts the next revision and removes the quarantined requests that have expired.
    void beginRevision(std::int64_t nowMs);
    /// Stores \a record as a change of the current revision.
    template <typename Record>
    void put(Record record);
    /// Removes the record \a id as a change of the current revision.
    template <typename Record>
    void remove(const std::string &id);

    std::uint64_t revision() const { return m_revision; }
    /// Latest time of any accepted write, in milliseconds since 1970. It never decreases, although
    /// the clocks of the senders may differ.
    std::int64_t nowMs() const { return m_nowMs; }
    ResponseCache &cachedResponses() { return m_cachedResponses; }
    IncarnationLog &incarnations() { return m_incarnations; }
    const IncarnationLog &incarnations() const { return m_incarnations; }

    /// Returns the changes after \a revision, or a snapshot of all records when \a revision is 0 or
    /// the history does not reach back to it.
    wire::PollChangesResponse changesAfter(std::uint64_t revision) const;

    /// Encodes the whole state with a format version and a checksum.
    std::string serialize() const;
    /// Decodes the result of serialize(). Fails with CorruptData or UnsupportedFormat.
    static Result<DirectoryState> deserialize(std::string_view bytes);

private:
    using Tables = std::tuple<Table<wire::Contract>, Table<wire::ApiKey>, Table<wire::Config>,
                              Table<wire::Route>, Table<wire::Upstream>, Table<wire::Member>,
                              Table<wire::FencingToken>, Table<wire::QuarantinedRequest>>;

    template <typename Record>
    void insert(Record record);
    template <typename Record>
    Result<void> load(const std::string &body);
    Result<void> load(const wire::RecordChange &change);
    Result<void> loadParts(std::string_view payload);
    wire::PollChangesResponse allRecords() const;

    Tables m_tables;
    std::map<std::string, std::string> m_keyIdsByHash;
    std::uint64_t m_revision = 0;
    std::uint64_t m_memberRevision = 0;
    std::int64_t m_nowMs = 0;
    ChangeHistory m_history{maxChangeHistory};
    ResponseCache m_cachedResponses{maxCachedResponses};
    IncarnationLog m_incarnations{maxLoggedIncarnations};
};

template <typename Record>
void DirectoryState::insert(Record record)
{
    const std::string id = RecordTraits<Record>::id(record);
    if constexpr (std::is_same_v<Record, wire::ApiKey>)
        m_keyIdsByHash[record.hash] = id;
    std::get<Table<Record>>(m_tables)[id] = std::move(record);
}

template <typename Record>
void DirectoryState::put(Record record)
{
    record.revision = m_revision;
    if constexpr (std::is_same_v<Record, wire::Member>)
        m_memberRevision = m_revision;
    m_history.append({m_revision, RecordTraits<Record>::kind, RecordTraits<Record>::id(record),
                      false, wire::encode(record)});
    insert(std::move(record));
}

template <typename Record>
void DirectoryState::remove(const std::string &id)
{
    static_assert(!std::is_same_v<Record, wire::ApiKey>, "API keys are withdrawn, never removed");
    if constexpr (std::is_same_v<Record, wire::Member>)
        m_memberRevision = m_revision;
    m_history.append({m_revision, RecordTraits<Record>::kind, id, true, {}});
    std::get<Table<Record>>(m_tables).erase(id);
}

} // namespace rattanrill::directory

#pragma once

#include "rattanrill/base/hash.h"

#include <algorithm>
#include <array>
#include <bitset>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattanrill::directory {

/// Immutable table of records by id, for large numbers of records. Copies share their records. A
/// change copies only one of 256 shards, so that a change of one contract does not copy all others.
template <typename Record>
class RecordTable
{
    /// A record and its id.
    struct Row
    {
        std::string id;
        std::shared_ptr<const Record> record;
    };
    /// Rows in order of id.
    using Shard = std::vector<Row>;
    /// A null pointer stands for an empty shard.
    using Shards = std::array<std::shared_ptr<const Shard>, 256>;

public:
    /// Builds a changed copy of a table.
    class Editor
    {
    public:
        explicit Editor(const RecordTable &table)
            : m_shards(*table.m_shards)
        {}

        /// Adds the record, or replaces the one with the same id.
        void put(const std::string &id, Record record)
        {
            Shard &shard = mutableShard(id);
            const auto position = lowerBound(shard, id);
            Row row{id, std::make_shared<const Record>(std::move(record))};
            if (position != shard.end() && position->id == id)
                *position = std::move(row);
            else
                shard.insert(position, std::move(row));
        }

        /// Returns the changed table. The editor must not be used afterwards.
        RecordTable finish() { return RecordTable(std::move(m_shards)); }

    private:
        /// Returns this editor's own copy of the shard of \a id, which is made on the first call
        /// for the shard.
        Shard &mutableShard(std::string_view id)
        {
            const std::size_t index = shardOf(id);
            if (!m_owned[index]) {
                const auto &old = m_shards[index];
                m_copies[index] = old ? std::make_shared<Shard>(*old) : std::make_shared<Shard>();
                m_shards[index] = m_copies[index];
                m_owned.set(index);
            }
            return *m_copies[index];
        }

        Shards m_shards;
        std::array<std::shared_ptr<Shard>, 256> m_copies;
        std::bitset<256> m_owned;
    };

    RecordTable()
        : m_shards(std::make_shared<const Shards>())
    {}

    /// Returns the record \a id; null when there is none.
    std::shared_ptr<const Record> find(std::string_view id) const
    {
        const auto &shard = (*m_shards)[shardOf(id)];
        if (!shard)
            return nullptr;
        const auto position = lowerBound(*shard, id);
        return position != shard->end() && position->id == id ? position->record : nullptr;
    }

    /// Number of records.
    std::size_t size() const
    {
        std::size_t count = 0;
        for (const auto &shard : *m_shards)
            count += shard ? shard->size() : 0;
        return count;
    }

private:
    explicit RecordTable(Shards shards)
        : m_shards(std::make_shared<const Shards>(std::move(shards)))
    {}

    static std::size_t shardOf(std::string_view id) { return stableHash(id) % 256; }

    template <typename ShardType>
    static auto lowerBound(ShardType &shard, std::string_view id)
    {
        return std::lower_bound(
                shard.begin(), shard.end(), id,
                [](const Row &row, std::string_view value) { return row.id < value; });
    }

    std::shared_ptr<const Shards> m_shards;
};

} // namespace rattanrill::directory

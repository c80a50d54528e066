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

/// Immutable table of many records by id. Copies share their records; a change copies one of 256
/// shards, so that one contract does not copy all others.
template <typename Record>
class RecordTable
{
    struct Row
    {
        std::string id;
        std::shared_ptr<const Record> record;
    };
    using Shard = std::vector<Row>;
    using Shards = std::array<std::shared_ptr<const Shard>, 256>;

public:
    /// Changes a copy of a table.
    class Editor
    {
    public:
        explicit Editor(const RecordTable &table)
            : m_shards(*table.m_shards)
        {}

        void put(const std::string &id, Record record)
        {
            Shard &shard = owned(id);
            const auto place = lowerBound(shard, id);
            Row row{id, std::make_shared<const Record>(std::move(record))};
            if (place != shard.end() && place->id == id)
                *place = std::move(row);
            else
                shard.insert(place, std::move(row));
        }

        /// The changed table; the editor is spent.
        RecordTable finish() { return RecordTable(std::move(m_shards)); }

    private:
        /// The shard of \a id, copied before its first change.
        Shard &owned(std::string_view id)
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

    /// Null when there is no such record.
    std::shared_ptr<const Record> find(std::string_view id) const
    {
        const auto &shard = (*m_shards)[shardOf(id)];
        if (!shard)
            return nullptr;
        const auto place = lowerBound(*shard, id);
        return place != shard->end() && place->id == id ? place->record : nullptr;
    }

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

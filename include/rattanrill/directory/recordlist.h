#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattanrill::directory {

/// Immutable list of records in order of id, for small numbers of records. Copies share the list; a
/// change copies it. For many records, see RecordTable.
template <typename Record>
class RecordList
{
public:
    /// A record and its id; the record is never null.
    struct Row
    {
        std::string id;
        std::shared_ptr<const Record> record;
    };

    RecordList()
        : m_rows(std::make_shared<const std::vector<Row>>())
    {}

    /// Returns the record \a id; null when there is none.
    std::shared_ptr<const Record> find(std::string_view id) const
    {
        const auto position = lowerBound(*m_rows, id);
        return position != m_rows->end() && position->id == id ? position->record : nullptr;
    }

    /// All records in order of id.
    const std::vector<Row> &rows() const { return *m_rows; }

    /// Builds a changed copy of a list.
    class Editor
    {
    public:
        explicit Editor(const RecordList &list)
            : m_rows(*list.m_rows)
        {}

        /// Adds the record, or replaces the one with the same id.
        void put(const std::string &id, Record record)
        {
            Row row{id, std::make_shared<const Record>(std::move(record))};
            const auto position = lowerBound(m_rows, id);
            if (position != m_rows.end() && position->id == id)
                *position = std::move(row);
            else
                m_rows.insert(position, std::move(row));
        }

        /// Removes the record \a id if there is one.
        void remove(std::string_view id)
        {
            const auto position = lowerBound(m_rows, id);
            if (position != m_rows.end() && position->id == id)
                m_rows.erase(position);
        }

        /// Returns the changed list. The editor must not be used afterwards.
        RecordList finish() { return RecordList(std::move(m_rows)); }

    private:
        std::vector<Row> m_rows;
    };

private:
    explicit RecordList(std::vector<Row> rows)
        : m_rows(std::make_shared<const std::vector<Row>>(std::move(rows)))
    {}

    template <typename Rows>
    static auto lowerBound(Rows &rows, std::string_view id)
    {
        return std::lower_bound(
                rows.begin(), rows.end(), id,
                [](const Row &row, std::string_view value) { return row.id < value; });
    }

    std::shared_ptr<const std::vector<Row>> m_rows;
};

} // namespace rattanrill::directory

#pragma once

#include "itemchecker.h"
#include "linesplitter.h"
#include "objectid.h"
#include "partitions.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::entry {

/// One upload on its way to a partition: lines are checked as they arrive and appended in groups.
/// An upload that does not end well is dropped there.
class FileUpload
{
public:
    struct Limits
    {
        std::size_t maxLineBytes;
        std::size_t maxFileBytes;
    };

    FileUpload(Partitions &partitions, ObjectId id, std::string workspace, ItemChecker checker,
               Limits limits);
    ~FileUpload();
    FileUpload(const FileUpload &) = delete;
    FileUpload &operator=(const FileUpload &) = delete;

    /// Takes the next bytes; does nothing after a failure.
    void feed(std::string_view bytes);
    /// The caller's data cannot be used, for instance because it ended early.
    void refuse(Failure failure);
    /// Seals the file, or drops it and fails with the first failure.
    Outcome<wire::FileStatus> finish();
    bool failed() const { return !m_outcome.ok(); }

private:
    Outcome<Done> handleLine(std::size_t number, std::string_view line);
    Outcome<Done> append();
    void drop();

    Partitions &m_partitions;
    ObjectId m_id;
    std::string m_workspace;
    ItemChecker m_checker;
    Limits m_limits;
    LineSplitter m_splitter;
    Outcome<Done> m_outcome = Done{};
    std::vector<wire::ItemSpec> m_pending;
    std::size_t m_pendingBytes = 0;
    std::uint64_t m_appended = 0;
    std::size_t m_bytes = 0;
    bool m_sent = false;
    bool m_sealed = false;
};

} // namespace rattanrill::entry

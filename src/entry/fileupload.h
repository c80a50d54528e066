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

/// Streams one uploaded file to a partition: checks lines as they arrive and appends them in
/// groups. The partition drops an upload that does not complete.
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

    /// Processes the next bytes; does nothing after a failure.
    void feed(std::string_view bytes);
    /// Marks the upload as failed, for instance because the caller's data ended early. An earlier
    /// failure is kept.
    void refuse(Failure failure);
    /// Seals the file. Fails with the first failure; the destructor then drops the file.
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
    bool m_commandSent = false;
    bool m_sealed = false;
};

} // namespace rattanrill::entry

#pragma once

#include "textstore.h"

#include "rattanrill/base/result.h"
#include "rattanrill/wire/batchmessages.h"

#include "absl/container/flat_hash_set.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::batch {

/// An uploaded file. An item takes 8 bytes for its position and 8 bytes for its header in addition
/// to its texts. Each distinct URL is stored once.
class ItemFile
{
public:
    struct Item
    {
        std::string_view customId;
        std::string_view url;
        std::string_view body;
    };

    ItemFile() = default;
    ItemFile(std::string fileId, std::string workspace);

    /// Appends those items of a range that are not stored yet. Fails with Conflict (the range
    /// leaves a gap, differs from the stored items or extends a sealed file), InvalidItem or
    /// DuplicateItem and then changes nothing.
    Result<void> append(std::uint64_t firstIndex, const std::vector<wire::ItemSpec> &items);
    /// Fails with Conflict if the file has a different number of items or was sealed with different
    /// values.
    Result<void> seal(std::uint64_t itemCount, std::int64_t bytes);

    const std::string &fileId() const { return m_fileId; }
    const std::string &workspace() const { return m_workspace; }
    bool isSealed() const { return m_sealed; }
    std::size_t itemCount() const { return m_positions.size(); }
    /// Requires index < itemCount().
    Item item(std::size_t index) const;
    wire::FileStatus status() const;
    std::size_t textBytes() const { return m_texts.bytes(); }

    void write(ByteWriter &writer) const;
    void read(ByteReader &reader);

    /// Number of jobs that use the file.
    std::uint64_t jobs = 0;
    std::int64_t lastUsedMs = 0;

private:
    /// Fails with Conflict if \a spec differs from the stored item \a index.
    Result<void> checkMatchesStored(std::uint64_t index, const wire::ItemSpec &spec) const;
    /// Checks the items of a range that follow its first \a storedCount items.
    Result<void> validateNewItems(const std::vector<wire::ItemSpec> &items,
                                  std::size_t storedCount) const;
    void appendItem(const wire::ItemSpec &spec);
    std::uint16_t urlIndex(const std::string &url);

    std::string m_fileId;
    std::string m_workspace;
    bool m_sealed = false;
    std::int64_t m_bytes = 0;
    TextStore m_texts;
    std::vector<TextStore::Position> m_positions;
    std::vector<std::string> m_urls;
    /// Hashes of the custom ids, kept until the file is sealed. The set is only used for look-ups,
    /// because its iteration order differs between processes.
    absl::flat_hash_set<std::uint64_t> m_customIds;
};

} // namespace rattanrill::batch

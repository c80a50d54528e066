#pragma once

#include "filesystem.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace rattanrill::replication {

/// In-memory file system that loses unsynced data on restart() and injects a fault at a chosen
/// operation.
class MemoryFileSystem : public FileSystem
{
public:
    enum class Fault {
        None,
        /// The operation and all later ones fail, as if the process were killed there.
        Kill,
        /// The operation fails once.
        Fail,
    };

    /// Injects \a fault at the given operation, counted from 0 over writes, truncations, syncs,
    /// renames and removals from now on.
    void failAt(std::uint64_t operation, Fault fault);
    std::uint64_t operations() const { return m_operations; }
    /// Simulates a restart after a loss of power: unsynced data and names are kept or lost at
    /// random.
    void restart(std::mt19937_64 &random);
    /// Makes later syncs of files succeed without effect.
    void ignoreSyncs() { m_ignoresSyncs = true; }
    void setFreeBytes(std::uint64_t bytes) { m_freeBytes = bytes; }

    /// Contents by path, for tests that damage them.
    std::map<std::string, std::string> contents() const;
    void setContent(const std::string &path, const std::string &content);
    void removeAll();

    Result<void> createFolder(const std::string &path) override;
    Result<std::vector<std::string>> list(const std::string &folder) override;
    Result<std::string> read(const std::string &path) override;
    Result<std::string> readRange(const std::string &path, std::uint64_t offset,
                                  std::uint64_t length) override;
    Result<std::unique_ptr<AppendFile>> openAppend(const std::string &path) override;
    Result<void> rename(const std::string &from, const std::string &to) override;
    Result<void> remove(const std::string &path) override;
    Result<void> syncFolder(const std::string &path) override;
    Result<std::uint64_t> freeBytes(const std::string &folder) override;
    Result<std::shared_ptr<void>> lock(const std::string &path) override;

private:
    struct Content
    {
        std::string data;
        std::string synced;
    };
    class OpenFile;

    /// Counts an operation; fails with \a failure when the fault occurs at it.
    Result<void> countOperation(ErrorCode failure);
    Result<void> append(Content &content, std::string_view data);

    std::uint64_t m_operations = 0;
    std::uint64_t m_faultAt = UINT64_MAX;
    Fault m_fault = Fault::None;
    bool m_ignoresSyncs = false;
    std::uint64_t m_freeBytes = UINT64_MAX;
    std::map<std::string, std::shared_ptr<Content>> m_files;
    /// Files by path as of the last folder sync.
    std::map<std::string, std::shared_ptr<Content>> m_syncedFiles;
};

} // namespace rattanrill::replication

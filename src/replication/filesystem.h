#pragma once

#include "rattanrill/base/result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::replication {

/// A file that is open for appending.
class AppendFile
{
public:
    virtual ~AppendFile() = default;

    /// Fails with DiskFull or IoError; part of \a data may have been written then.
    virtual Result<void> append(std::string_view data) = 0;
    /// Makes the appended data survive a loss of power. Fails with FsyncFailed.
    virtual Result<void> sync() = 0;
    /// Truncates the file to \a size bytes; later appends go to its new end.
    virtual Result<void> truncate(std::uint64_t size) = 0;
};

/// The file operations that storage needs. They fail with IoError unless stated otherwise.
class FileSystem
{
public:
    virtual ~FileSystem() = default;

    /// Creates \a path and its parents when missing.
    virtual Result<void> createFolder(const std::string &path) = 0;
    /// Returns the sorted names of the files in a folder.
    virtual Result<std::vector<std::string>> list(const std::string &folder) = 0;
    virtual Result<std::string> read(const std::string &path) = 0;
    /// Returns up to \a length bytes, starting at \a offset.
    virtual Result<std::string> readRange(const std::string &path, std::uint64_t offset,
                                          std::uint64_t length) = 0;
    /// Opens for appending; creates the file when missing.
    virtual Result<std::unique_ptr<AppendFile>> openAppend(const std::string &path) = 0;
    virtual Result<void> rename(const std::string &from, const std::string &to) = 0;
    virtual Result<void> remove(const std::string &path) = 0;
    /// Makes creations, renames and removals in the folder survive a loss of power. Fails with
    /// FsyncFailed.
    virtual Result<void> syncFolder(const std::string &path) = 0;
    virtual Result<std::uint64_t> freeBytes(const std::string &folder) = 0;
    /// Locks \a path exclusively, against other processes and other openers in this process, until
    /// the returned object is destroyed.
    virtual Result<std::shared_ptr<void>> lock(const std::string &path) = 0;
};

/// Returns the file system of the operating system.
FileSystem &posixFileSystem();

} // namespace rattanrill::replication

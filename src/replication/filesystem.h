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

    /// Fails with DiskFull or IoError; part of \a data may be in the file then.
    virtual Result<void> append(std::string_view data) = 0;
    /// What was appended survives a loss of power after this. Fails with FsyncFailed.
    virtual Result<void> sync() = 0;
    /// Cuts the file; later appends go to its new end.
    virtual Result<void> truncate(std::uint64_t size) = 0;
};

/// The file operations that storage needs. Failures are IoError unless stated.
class FileSystem
{
public:
    virtual ~FileSystem() = default;

    /// Creates \a path and its parents when missing.
    virtual Result<void> createFolder(const std::string &path) = 0;
    /// Names of the files in a folder, sorted.
    virtual Result<std::vector<std::string>> list(const std::string &folder) = 0;
    virtual Result<std::string> read(const std::string &path) = 0;
    /// Up to \a length bytes from \a offset on.
    virtual Result<std::string> readRange(const std::string &path, std::uint64_t offset,
                                          std::uint64_t length) = 0;
    /// Opens for appending; creates the file when missing.
    virtual Result<std::unique_ptr<AppendFile>> openAppend(const std::string &path) = 0;
    virtual Result<void> rename(const std::string &from, const std::string &to) = 0;
    virtual Result<void> remove(const std::string &path) = 0;
    /// Creations, renames and removals in the folder survive a loss of power after this. Fails with
    /// FsyncFailed.
    virtual Result<void> syncFolder(const std::string &path) = 0;
    virtual Result<std::uint64_t> freeBytes(const std::string &folder) = 0;
    /// Keeps other processes and other openers out until the returned object is destroyed.
    virtual Result<std::shared_ptr<void>> lock(const std::string &path) = 0;
};

/// The operating system's files.
FileSystem &posixFileSystem();

} // namespace rattanrill::replication

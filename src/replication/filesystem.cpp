#include "filesystem.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/statvfs.h>
#include <unistd.h>

namespace rattanrill::replication {
namespace {

Failure systemFailure(ErrorCode code, std::string_view operation, const std::string &path,
                      int error)
{
    const bool isFull = error == ENOSPC || error == EDQUOT;
    return notRun(isFull && code == ErrorCode::IoError ? ErrorCode::DiskFull : code,
                  concat(operation, " \"", path, "\": ", std::strerror(error)));
}

/// Owns a file descriptor and closes it on destruction.
class Descriptor
{
public:
    explicit Descriptor(int descriptor)
        : m_descriptor(descriptor)
    {}
    ~Descriptor()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
    }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;

    int get() const { return m_descriptor; }
    bool isOpen() const { return m_descriptor >= 0; }

private:
    int m_descriptor;
};

class PosixAppendFile : public AppendFile
{
public:
    PosixAppendFile(std::string path, int descriptor)
        : m_path(std::move(path))
        , m_descriptor(descriptor)
    {}

    Result<void> append(std::string_view data) override
    {
        while (!data.empty()) {
            const ssize_t written = ::write(m_descriptor.get(), data.data(), data.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                return fail(systemFailure(ErrorCode::IoError, "write", m_path, errno));
            data.remove_prefix(static_cast<std::size_t>(written));
        }
        return {};
    }

    Result<void> sync() override
    {
        // Must not be retried after a failure: the kernel may have dropped the pages that it could
        // not write, and a second fdatasync() could then succeed although the data is lost.
        if (::fdatasync(m_descriptor.get()) != 0)
            return fail(systemFailure(ErrorCode::FsyncFailed, "sync", m_path, errno));
        return {};
    }

    Result<void> truncate(std::uint64_t size) override
    {
        if (::ftruncate(m_descriptor.get(), static_cast<off_t>(size)) != 0)
            return fail(systemFailure(ErrorCode::IoError, "truncate", m_path, errno));
        return {};
    }

private:
    const std::string m_path;
    Descriptor m_descriptor;
};

class PosixFileSystem : public FileSystem
{
public:
    Result<void> createFolder(const std::string &path) override
    {
        std::error_code error;
        std::filesystem::create_directories(path, error);
        if (error)
            return fail(systemFailure(ErrorCode::IoError, "create", path, error.value()));
        const std::string parent = std::filesystem::absolute(path).parent_path().string();
        return syncFolder(parent);
    }

    Result<std::vector<std::string>> list(const std::string &folder) override
    {
        std::vector<std::string> names;
        std::error_code error;
        for (std::filesystem::directory_iterator it(folder, error), end; !error && it != end;
             it.increment(error))
            names.push_back(it->path().filename().string());
        if (error)
            return fail(systemFailure(ErrorCode::IoError, "list", folder, error.value()));
        std::sort(names.begin(), names.end());
        return names;
    }

    Result<std::string> read(const std::string &path) override
    {
        return readRange(path, 0, UINT64_MAX);
    }

    Result<std::string> readRange(const std::string &path, std::uint64_t offset,
                                  std::uint64_t length) override
    {
        const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
        if (!file.isOpen())
            return fail(systemFailure(ErrorCode::IoError, "open", path, errno));
        std::string data;
        std::string buffer(std::size_t(1) << 20, '\0');
        while (data.size() < length) {
            const std::size_t chunkBytes =
                    std::min<std::uint64_t>(buffer.size(), length - data.size());
            const off_t position = static_cast<off_t>(offset + data.size());
            const ssize_t readBytes = ::pread(file.get(), buffer.data(), chunkBytes, position);
            if (readBytes < 0 && errno == EINTR)
                continue;
            if (readBytes < 0)
                return fail(systemFailure(ErrorCode::IoError, "read", path, errno));
            if (readBytes == 0)
                break;
            data.append(buffer, 0, static_cast<std::size_t>(readBytes));
        }
        return data;
    }

    Result<std::unique_ptr<AppendFile>> openAppend(const std::string &path) override
    {
        constexpr int flags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;
        const int descriptor = ::open(path.c_str(), flags, 0644);
        if (descriptor < 0)
            return fail(systemFailure(ErrorCode::IoError, "open", path, errno));
        return std::unique_ptr<AppendFile>(new PosixAppendFile(path, descriptor));
    }

    Result<void> rename(const std::string &from, const std::string &to) override
    {
        if (std::rename(from.c_str(), to.c_str()) != 0)
            return fail(systemFailure(ErrorCode::IoError, "rename", from, errno));
        return {};
    }

    Result<void> remove(const std::string &path) override
    {
        if (::unlink(path.c_str()) != 0 && errno != ENOENT)
            return fail(systemFailure(ErrorCode::IoError, "remove", path, errno));
        return {};
    }

    Result<void> syncFolder(const std::string &path) override
    {
        const Descriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        if (!folder.isOpen() || ::fsync(folder.get()) != 0)
            return fail(systemFailure(ErrorCode::FsyncFailed, "sync folder", path, errno));
        return {};
    }

    Result<std::uint64_t> freeBytes(const std::string &folder) override
    {
        struct statvfs info = {};
        if (::statvfs(folder.c_str(), &info) != 0)
            return fail(systemFailure(ErrorCode::IoError, "statvfs", folder, errno));
        return std::uint64_t(info.f_bavail) * info.f_frsize;
    }

    Result<std::shared_ptr<void>> lock(const std::string &path) override
    {
        auto file = std::make_shared<Descriptor>(
                ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
        if (!file->isOpen() || ::flock(file->get(), LOCK_EX | LOCK_NB) != 0)
            return fail(systemFailure(ErrorCode::IoError, "lock", path, errno));
        return std::shared_ptr<void>(file);
    }
};

} // namespace

FileSystem &posixFileSystem()
{
    static PosixFileSystem fileSystem;
    return fileSystem;
}

} // namespace rattanrill::replication

#include "memoryfilesystem.h"

#include "rattanrill/base/concat.h"

namespace rattanrill::replication {

class MemoryFileSystem::OpenFile : public AppendFile
{
public:
    OpenFile(MemoryFileSystem &files, std::shared_ptr<Content> content)
        : m_files(files)
        , m_content(std::move(content))
    {}

    Result<void> append(std::string_view data) override { return m_files.append(*m_content, data); }

    Result<void> sync() override
    {
        BOOST_LEAF_CHECK(m_files.countOperation(ErrorCode::FsyncFailed));
        if (!m_files.m_ignoresSyncs)
            m_content->synced = m_content->data;
        return {};
    }

    Result<void> truncate(std::uint64_t size) override
    {
        BOOST_LEAF_CHECK(m_files.countOperation(ErrorCode::IoError));
        m_content->data.resize(size);
        return {};
    }

private:
    MemoryFileSystem &m_files;
    std::shared_ptr<Content> m_content;
};

void MemoryFileSystem::failAt(std::uint64_t operation, Fault fault)
{
    m_operations = 0;
    m_faultAt = operation;
    m_fault = fault;
}

Result<void> MemoryFileSystem::countOperation(ErrorCode failure)
{
    const std::uint64_t operation = m_operations++;
    const bool isKilled = m_fault == Fault::Kill && operation >= m_faultAt;
    if (isKilled || (m_fault == Fault::Fail && operation == m_faultAt))
        return fail(notRun(failure, concat("injected at operation ", operation)));
    return {};
}

Result<void> MemoryFileSystem::append(Content &content, std::string_view data)
{
    if (data.size() > m_freeBytes) {
        content.data += data.substr(0, m_freeBytes);
        return fail(notRun(ErrorCode::DiskFull, "injected"));
    }
    const auto counted = outcomeOf([&] { return countOperation(ErrorCode::IoError); });
    if (!counted.ok()) {
        content.data += data.substr(0, data.size() / 2);
        return fail(counted.failure());
    }
    content.data += data;
    return {};
}

void MemoryFileSystem::restart(std::mt19937_64 &random)
{
    m_fault = Fault::None;
    if (random() % 2 == 0)
        m_files = m_syncedFiles;
    for (auto &[path, content] : m_files) {
        // Keeps a random part of the data that was appended since the last sync, from none to all.
        const std::size_t synced = content->synced.size();
        if (content->data.size() > synced) {
            content->data.resize(synced + random() % (content->data.size() - synced + 1));
            if (content->data.size() > synced && random() % 2 == 0)
                content->data.back() = static_cast<char>(random());
        } else {
            content->data = content->synced;
        }
        content->synced = content->data;
    }
    m_syncedFiles = m_files;
}

std::map<std::string, std::string> MemoryFileSystem::contents() const
{
    std::map<std::string, std::string> contents;
    for (const auto &[path, content] : m_files)
        contents[path] = content->data;
    return contents;
}

void MemoryFileSystem::setContent(const std::string &path, const std::string &content)
{
    m_files[path] = std::make_shared<Content>(Content{content, content});
    m_syncedFiles = m_files;
}

void MemoryFileSystem::removeAll()
{
    m_files.clear();
    m_syncedFiles.clear();
}

Result<void> MemoryFileSystem::createFolder(const std::string &)
{
    return {};
}

Result<std::vector<std::string>> MemoryFileSystem::list(const std::string &folder)
{
    std::vector<std::string> names;
    for (const auto &[path, content] : m_files)
        names.push_back(path.substr(folder.size() + 1));
    return names;
}

Result<std::string> MemoryFileSystem::read(const std::string &path)
{
    return readRange(path, 0, UINT64_MAX);
}

Result<std::string> MemoryFileSystem::readRange(const std::string &path, std::uint64_t offset,
                                                std::uint64_t length)
{
    const auto file = m_files.find(path);
    if (file == m_files.end())
        return fail(notRun(ErrorCode::IoError, concat(path, ": no such file")));
    return file->second->data.substr(offset, length);
}

Result<std::unique_ptr<AppendFile>> MemoryFileSystem::openAppend(const std::string &path)
{
    auto &content = m_files[path];
    if (!content)
        content = std::make_shared<Content>();
    return std::unique_ptr<AppendFile>(new OpenFile(*this, content));
}

Result<void> MemoryFileSystem::rename(const std::string &from, const std::string &to)
{
    BOOST_LEAF_CHECK(countOperation(ErrorCode::IoError));
    m_files[to] = m_files.at(from);
    m_files.erase(from);
    return {};
}

Result<void> MemoryFileSystem::remove(const std::string &path)
{
    BOOST_LEAF_CHECK(countOperation(ErrorCode::IoError));
    m_files.erase(path);
    return {};
}

Result<void> MemoryFileSystem::syncFolder(const std::string &)
{
    BOOST_LEAF_CHECK(countOperation(ErrorCode::FsyncFailed));
    m_syncedFiles = m_files;
    return {};
}

Result<std::uint64_t> MemoryFileSystem::freeBytes(const std::string &)
{
    return m_freeBytes;
}

Result<std::shared_ptr<void>> MemoryFileSystem::lock(const std::string &)
{
    return std::make_shared<int>(0);
}

} // namespace rattanrill::replication

#include "fileupload.h"

#include "rattanrill/base/concat.h"

namespace rattanrill::entry {
namespace {

/// Maximum size of one command to the partition. Small enough that it does not delay subsequent
/// lease commands for long.
constexpr std::size_t maxCommandItems = 1000;
constexpr std::size_t maxCommandBytes = 1u << 20;

} // namespace

FileUpload::FileUpload(Partitions &partitions, ObjectId id, std::string workspace,
                       ItemChecker checker, Limits limits)
    : m_partitions(partitions)
    , m_id(std::move(id))
    , m_workspace(std::move(workspace))
    , m_checker(std::move(checker))
    , m_limits(limits)
    , m_splitter(limits.maxLineBytes, [this](std::size_t number, std::string_view line) {
        return handleLine(number, line);
    })
{}

FileUpload::~FileUpload()
{
    if (!m_sealed)
        drop();
}

void FileUpload::feed(std::string_view bytes)
{
    if (failed())
        return;
    m_bytes += bytes.size();
    if (m_bytes > m_limits.maxFileBytes)
        refuse(notRun(ErrorCode::BodyTooLarge,
                      concat("the file is longer than ", m_limits.maxFileBytes, " bytes")));
    else
        m_outcome = m_splitter.feed(bytes);
}

void FileUpload::refuse(Failure failure)
{
    if (!failed())
        m_outcome = std::move(failure);
}

Outcome<Done> FileUpload::handleLine(std::size_t number, std::string_view line)
{
    Outcome<std::optional<wire::ItemSpec>> item = m_checker.check(number, line);
    if (!item.ok())
        return item.failure();
    if (!item.value())
        return Done{};
    m_pendingBytes += line.size();
    m_pending.push_back(std::move(*item.value()));
    if (m_pending.size() < maxCommandItems && m_pendingBytes < maxCommandBytes)
        return Done{};
    return append();
}

Outcome<Done> FileUpload::append()
{
    if (m_pending.empty())
        return Done{};
    wire::AppendItems command;
    command.fileId = m_id.text();
    command.workspace = m_workspace;
    command.firstIndex = m_appended;
    command.items = std::move(m_pending);
    m_pending.clear();
    m_pendingBytes = 0;
    m_appended += command.items.size();
    m_commandSent = true;
    const auto response = m_partitions.propose(m_id.partition, std::move(command), true);
    if (response.ok())
        return Done{};
    // An upload that is not sealed has no effect, so the failure is NotRun.
    return notRun(response.failure().code, response.failure().detail);
}

Outcome<wire::FileStatus> FileUpload::finish()
{
    if (!failed())
        m_outcome = m_splitter.finish();
    if (!failed())
        m_outcome = append();
    if (!failed() && m_appended == 0)
        refuse(notRun(ErrorCode::InvalidItem, "the file has no items"));
    if (failed())
        return m_outcome.failure();
    wire::SealFile seal;
    seal.fileId = m_id.text();
    seal.workspace = m_workspace;
    seal.itemCount = m_appended;
    seal.bytes = static_cast<std::int64_t>(m_bytes);
    const auto response = m_partitions.propose(m_id.partition, seal, true);
    if (!response.ok()) {
        refuse(response.failure());
        return response.failure();
    }
    m_sealed = true;
    return response.value().file;
}

void FileUpload::drop()
{
    if (!m_commandSent)
        return;
    // If this fails too, the partition removes the upload later, because it is not sealed.
    (void)m_partitions.propose(m_id.partition, wire::DropFile{m_id.text()}, true);
}

} // namespace rattanrill::entry

#include "itemfile.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace rattanrill::batch {
namespace {

/// Limits on an uploaded file and its items; an upload that exceeds them fails with InvalidItem.
constexpr std::size_t maxCustomIdBytes = 512;
constexpr std::size_t maxUrlBytes = 1024;
constexpr std::size_t maxUrls = 64;
constexpr std::size_t maxBodyBytes = 4u << 20;
constexpr std::uint64_t maxItems = 1000000;

/// Stored before the custom id and the body of an item in the text store.
struct ItemHeader
{
    std::uint16_t customIdBytes;
    std::uint16_t urlIndex;
    std::uint32_t bodyBytes;
};

boost::leaf::error_id conflict(std::string detail)
{
    return fail(notRun(ErrorCode::Conflict, std::move(detail)));
}

Result<void> validateItem(const wire::ItemSpec &spec)
{
    const char *reason = nullptr;
    if (spec.customId.empty() || spec.customId.size() > maxCustomIdBytes)
        reason = "custom_id must have 1 to 512 bytes";
    else if (spec.url.empty() || spec.url.front() != '/' || spec.url.size() > maxUrlBytes)
        reason = "url must be a path of at most 1024 bytes";
    else if (spec.body.size() > maxBodyBytes)
        reason = "body must have at most 4 MiB";
    if (reason != nullptr)
        return fail(notRun(
                ErrorCode::InvalidItem,
                concat("item \"", spec.customId.substr(0, maxCustomIdBytes), "\": ", reason)));
    return {};
}

} // namespace

ItemFile::ItemFile(std::string fileId, std::string workspace)
    : m_fileId(std::move(fileId))
    , m_workspace(std::move(workspace))
{}

Result<void> ItemFile::append(std::uint64_t firstIndex, const std::vector<wire::ItemSpec> &items)
{
    if (firstIndex > m_positions.size()) {
        return conflict(concat("file \"", m_fileId, "\" has ", m_positions.size(),
                               " items, but the range starts at ", firstIndex));
    }
    const std::size_t storedCount = std::min(items.size(), m_positions.size() - firstIndex);
    for (std::size_t offset = 0; offset < storedCount; ++offset)
        BOOST_LEAF_CHECK(checkMatchesStored(firstIndex + offset, items[offset]));
    BOOST_LEAF_CHECK(validateNewItems(items, storedCount));
    for (std::size_t offset = storedCount; offset < items.size(); ++offset)
        appendItem(items[offset]);
    return {};
}

Result<void> ItemFile::checkMatchesStored(std::uint64_t index, const wire::ItemSpec &spec) const
{
    const Item stored = item(index);
    const bool same =
            stored.customId == spec.customId && stored.url == spec.url && stored.body == spec.body;
    if (!same)
        return conflict(concat("file \"", m_fileId, "\" already has a different item ", index));
    return {};
}

Result<void> ItemFile::validateNewItems(const std::vector<wire::ItemSpec> &items,
                                        std::size_t storedCount) const
{
    if (storedCount == items.size())
        return {};
    if (m_sealed)
        return conflict(concat("file \"", m_fileId, "\" is sealed"));
    if (m_positions.size() + items.size() - storedCount > maxItems)
        return fail(notRun(ErrorCode::InvalidItem, "a file has at most 1,000,000 items"));
    std::vector<std::string> urls = m_urls;
    absl::flat_hash_set<std::uint64_t> newCustomIds;
    for (std::size_t offset = storedCount; offset < items.size(); ++offset) {
        const wire::ItemSpec &spec = items[offset];
        BOOST_LEAF_CHECK(validateItem(spec));
        const std::uint64_t hash = stableHash(spec.customId);
        if (m_customIds.contains(hash) || !newCustomIds.insert(hash).second) {
            return fail(notRun(ErrorCode::DuplicateItem,
                               concat("custom_id \"", spec.customId, "\" is used twice")));
        }
        if (std::find(urls.begin(), urls.end(), spec.url) == urls.end())
            urls.push_back(spec.url);
    }
    if (urls.size() > maxUrls)
        return fail(notRun(ErrorCode::InvalidItem, "a file has at most 64 different urls"));
    return {};
}

void ItemFile::appendItem(const wire::ItemSpec &spec)
{
    ItemHeader header;
    header.customIdBytes = static_cast<std::uint16_t>(spec.customId.size());
    header.urlIndex = urlIndex(spec.url);
    header.bodyBytes = static_cast<std::uint32_t>(spec.body.size());
    std::string headerAndCustomId(sizeof header, '\0');
    std::memcpy(headerAndCustomId.data(), &header, sizeof header);
    headerAndCustomId += spec.customId;
    m_positions.push_back(m_texts.append(headerAndCustomId, spec.body));
    m_customIds.insert(stableHash(spec.customId));
}

std::uint16_t ItemFile::urlIndex(const std::string &url)
{
    const auto existing = std::find(m_urls.begin(), m_urls.end(), url);
    const auto index = static_cast<std::uint16_t>(existing - m_urls.begin());
    if (existing == m_urls.end())
        m_urls.push_back(url);
    return index;
}

Result<void> ItemFile::seal(std::uint64_t itemCount, std::int64_t bytes)
{
    const bool matches = itemCount == m_positions.size() && (!m_sealed || bytes == m_bytes);
    if (!matches) {
        return conflict(concat("file \"", m_fileId, "\" has ", m_positions.size(),
                               " items, but the seal command has ", itemCount, " items and ", bytes,
                               " bytes"));
    }
    m_sealed = true;
    m_bytes = bytes;
    m_positions.shrink_to_fit();
    m_customIds = {};
    return {};
}

ItemFile::Item ItemFile::item(std::size_t index) const
{
    const TextStore::Position position = m_positions[index];
    ItemHeader header{};
    std::memcpy(&header, m_texts.at(position, sizeof header).data(), sizeof header);
    const std::string_view customId = m_texts.at(position + sizeof header, header.customIdBytes);
    const std::string_view body =
            m_texts.at(position + sizeof header + header.customIdBytes, header.bodyBytes);
    return {customId, m_urls[header.urlIndex], body};
}

wire::FileStatus ItemFile::status() const
{
    return {m_fileId, m_workspace, m_sealed, m_positions.size(), m_bytes};
}

void ItemFile::write(ByteWriter &writer) const
{
    writer.text(m_fileId);
    writer.text(m_workspace);
    writer.number(m_sealed ? 1 : 0);
    writer.signedNumber(m_bytes);
    writer.signedNumber(lastUsedMs);
    writer.number(m_urls.size());
    for (const std::string &url : m_urls)
        writer.text(url);
    m_texts.write(writer);
    writer.number(m_positions.size());
    TextStore::Position last = 0;
    for (const TextStore::Position position : m_positions) {
        writer.number(position - last);
        last = position;
    }
}

void ItemFile::read(ByteReader &reader)
{
    m_fileId = reader.string();
    m_workspace = reader.string();
    m_sealed = reader.numberBelow(2) == 1;
    m_bytes = reader.signedNumber();
    lastUsedMs = reader.signedNumber();
    const std::size_t urls = reader.count();
    for (std::size_t index = 0; index < urls; ++index)
        m_urls.push_back(reader.string());
    m_texts.read(reader);
    const std::size_t items = reader.count();
    m_positions.reserve(items);
    TextStore::Position position = 0;
    for (std::size_t index = 0; index < items; ++index) {
        position += reader.number();
        ItemHeader header{};
        const std::string_view headerBytes = m_texts.at(position, sizeof header);
        if (headerBytes.size() != sizeof header)
            return reader.setFailed();
        std::memcpy(&header, headerBytes.data(), sizeof header);
        if (header.urlIndex >= m_urls.size())
            return reader.setFailed();
        m_positions.push_back(position);
        if (!m_sealed)
            m_customIds.insert(stableHash(item(index).customId));
    }
}

} // namespace rattanrill::batch

#include "objectid.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/hash.h"

#include <charconv>

namespace rattanrill::entry {
namespace {

constexpr std::array<EnumName<ObjectKind>, 3> kindNames = {{
        {ObjectKind::File, "file"},
        {ObjectKind::Batch, "batch"},
        {ObjectKind::Result, "result"},
}};
constexpr std::size_t numberBytes = 12;

boost::leaf::error_id unknownId(std::string_view text)
{
    return fail(notRun(ErrorCode::NotFound, concat("\"", text, "\" is not a known id")));
}

} // namespace

std::string ObjectId::text() const
{
    return concat(nameOf(kindNames, kind), "-", partition, "-", number);
}

ObjectId newObjectId(ObjectKind kind, int partitions)
{
    ObjectId id;
    id.kind = kind;
    id.number = randomHex(numberBytes);
    id.partition = static_cast<int>(stableHash(id.number) % static_cast<unsigned>(partitions));
    return id;
}

Result<ObjectId> parseObjectId(std::string_view text, int partitions)
{
    const std::size_t first = text.find('-');
    const std::size_t second = first == std::string_view::npos ? first : text.find('-', first + 1);
    if (second == std::string_view::npos)
        return unknownId(text);
    const auto kind = valueOf(kindNames, text.substr(0, first));
    const std::string_view partition = text.substr(first + 1, second - first - 1);
    ObjectId id;
    const auto parsed =
            std::from_chars(partition.data(), partition.data() + partition.size(), id.partition);
    const bool isNumber =
            parsed.ec == std::errc() && parsed.ptr == partition.data() + partition.size();
    id.number = text.substr(second + 1);
    if (!kind || !isNumber || id.partition < 0 || id.partition >= partitions || id.number.empty())
        return unknownId(text);
    id.kind = *kind;
    return id;
}

int partitionOf(std::string_view workspace, std::string_view key, int partitions)
{
    // The length distinguishes ("a", "bc") from ("ab", "c").
    const std::string text = concat(workspace.size(), ":", workspace, key);
    return static_cast<int>(stableHash(text) % static_cast<unsigned>(partitions));
}

} // namespace rattanrill::entry

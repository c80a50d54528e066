#include "rattanrill/wire/jobmessages.h"

#include "messagedefinition.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"

#include <istream>
#include <optional>
#include <streambuf>

namespace rattanrill::wire {
namespace {

constexpr std::array<EnumName<ItemOutcome>, 2> itemOutcomeNames = {{
        {ItemOutcome::Completed, "completed"},
        {ItemOutcome::DeadLettered, "dead_lettered"},
}};

} // namespace

RATTANRILL_WIRE_ENUM(ItemOutcome, itemOutcomeNames)
RATTANRILL_WIRE_FIELDS(JobItem, id, path, headers, body, tokens)
RATTANRILL_WIRE_FIELDS(JobRecord, id, workspace, route, host, acceptedAtMs, items)
RATTANRILL_WIRE_FIELDS(JobItemResult, id, outcome, output)
RATTANRILL_WIRE_FIELDS(AcceptJob, job, maxWaitingTokens)
RATTANRILL_WIRE_FIELDS(AppendResults, job, results)
RATTANRILL_WIRE_FIELDS(ItemProgress, job, item, after, lastEvent, output, servedMs, version)
RATTANRILL_WIRE_FIELDS(ItemFailures, job, item, serverErrors)
RATTANRILL_WIRE_FIELDS(AppendProgress, items, failures)
RATTANRILL_WIRE_FIELDS(EndJob, workspace, job)
RATTANRILL_WIRE_FIELDS(PurgeJobs, beforeMs)
RATTANRILL_WIRE_FIELDS(JobCommand, operation)
RATTANRILL_WIRE_FIELDS(JobCommandResult, overLimit, isNew, waitingTokens)
RATTANRILL_WIRE_FIELDS(SubmitJobRequest, job, configurationVersion)
RATTANRILL_WIRE_FIELDS(ReadJobRequest, workspace, job, after, waitMs)
RATTANRILL_WIRE_FIELDS(ReadJobResponse, total, next, results)
RATTANRILL_WIRE_FIELDS(ReadItemRequest, workspace, job, item)
RATTANRILL_WIRE_FIELDS(ReadItemResponse, body)
RATTANRILL_WIRE_FIELDS(ListOpenJobs, jobs)
RATTANRILL_WIRE_FIELDS(OpenJob, job, finished, progress, failures)
RATTANRILL_WIRE_FIELDS(OpenJobs, jobs)
RATTANRILL_WIRE_EMPTY(CountOpenItems)
RATTANRILL_WIRE_FIELDS(OpenItemCount, job, items)
RATTANRILL_WIRE_FIELDS(OpenItemCounts, jobs)
RATTANRILL_WIRE_FIELDS(JobQuery, query)
RATTANRILL_WIRE_FIELDS(StoredJob, job, results, progress, ended, failures)
RATTANRILL_WIRE_FIELDS(StoredJobs, jobs)
RATTANRILL_WIRE_FIELDS(EndJobRequest, workspace, job)

RATTANRILL_WIRE_MESSAGE(JobRecord)
RATTANRILL_WIRE_MESSAGE(JobCommand)
RATTANRILL_WIRE_MESSAGE(JobCommandResult)
RATTANRILL_WIRE_MESSAGE(SubmitJobRequest)
RATTANRILL_WIRE_MESSAGE(ReadJobRequest)
RATTANRILL_WIRE_MESSAGE(ReadJobResponse)
RATTANRILL_WIRE_MESSAGE(ReadItemRequest)
RATTANRILL_WIRE_MESSAGE(ReadItemResponse)
RATTANRILL_WIRE_MESSAGE(OpenJobs)
RATTANRILL_WIRE_MESSAGE(OpenItemCounts)
RATTANRILL_WIRE_MESSAGE(JobQuery)
RATTANRILL_WIRE_MESSAGE(StoredJobs)
RATTANRILL_WIRE_MESSAGE(EndJobRequest)

namespace {

/// Begin of an encoded StoredJobs: a map of one member, and the name of the member.
constexpr std::string_view storedJobsPrefix = "\xa1\x64jobs";

/// CBOR's major type of arrays, in the upper three bits of the first byte.
constexpr std::uint8_t arrayType = 4 << 5;
constexpr std::uint8_t typeMask = 7 << 5;
/// Lower five bits of the first byte: a smaller length is there itself, and these are the codes of
/// a length in the following 1, 2, 4 or 8 bytes.
constexpr std::uint8_t firstLengthCode = 24;
constexpr std::uint8_t lastLengthCode = 27;

/// Bytes in memory as a stream, without a copy.
class MemoryBuffer : public std::streambuf
{
public:
    explicit MemoryBuffer(std::string_view bytes)
    {
        // A get area is not written to.
        char *begin = const_cast<char *>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }

    /// Reads the head of an array and returns its length; absent if there is none.
    std::optional<std::uint64_t> readArrayLength()
    {
        const int head = sbumpc();
        if (head == traits_type::eof() || (head & typeMask) != arrayType)
            return std::nullopt;
        const int code = head & ~typeMask;
        if (code < firstLengthCode)
            return static_cast<std::uint64_t>(code);
        if (code > lastLengthCode)
            return std::nullopt;
        std::uint64_t length = 0;
        for (int byte = 0; byte < 1 << (code - firstLengthCode); ++byte) {
            const int value = sbumpc();
            if (value == traits_type::eof())
                return std::nullopt;
            length = length << 8 | static_cast<std::uint64_t>(value);
        }
        return length;
    }
};

std::string encodeArrayHead(std::uint64_t length)
{
    int code = firstLengthCode;
    while (code < lastLengthCode && length >> (8 << (code - firstLengthCode)) != 0)
        ++code;
    if (length < firstLengthCode)
        return std::string(1, static_cast<char>(arrayType | length));
    std::string head(1, static_cast<char>(arrayType | code));
    for (int byte = (1 << (code - firstLengthCode)) - 1; byte >= 0; --byte)
        head += static_cast<char>(length >> (8 * byte) & 0xff);
    return head;
}

} // namespace

StoredJobsEncoder::StoredJobsEncoder(std::size_t jobs)
    : m_bytes(concat(storedJobsPrefix, encodeArrayHead(jobs)))
{}

void StoredJobsEncoder::add(const StoredJob &job)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(Json(job));
    m_bytes.append(bytes.begin(), bytes.end());
}

Result<void> decodeStoredJobs(std::string_view bytes, const std::function<void(StoredJob)> &handle)
{
    const bool hasPrefix = bytes.substr(0, storedJobsPrefix.size()) == storedJobsPrefix;
    MemoryBuffer buffer(bytes.substr(hasPrefix ? storedJobsPrefix.size() : 0));
    const auto length = hasPrefix ? buffer.readArrayLength() : std::nullopt;
    if (!length)
        return fail(notRun(ErrorCode::MalformedMessage, "the bytes are no list of stored jobs"));
    std::istream stream(&buffer);
    try {
        for (std::uint64_t number = 0; number < *length; ++number)
            handle(Json::from_cbor(stream, false).get<StoredJob>());
    } catch (const Json::exception &error) {
        return fail(notRun(ErrorCode::MalformedMessage, error.what()));
    }
    if (buffer.in_avail() > 0)
        return fail(notRun(ErrorCode::MalformedMessage, "bytes follow the list of stored jobs"));
    return {};
}

std::string_view name(ItemOutcome outcome)
{
    return nameOf(itemOutcomeNames, outcome);
}

} // namespace rattanrill::wire

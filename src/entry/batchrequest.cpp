#include "batchrequest.h"

#include "completionrequest.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/json.h"

#include <charconv>

namespace rattanrill::entry {
namespace {

constexpr std::int64_t maxWindowDays = 365;

boost::leaf::error_id invalid(std::string detail)
{
    return fail(notRun(ErrorCode::InvalidRequest, std::move(detail)));
}

/// Duration of the time unit \a suffix; zero when the unit is unknown.
absl::Duration unitOf(char suffix)
{
    switch (suffix) {
    case 's':
        return absl::Seconds(1);
    case 'm':
        return absl::Minutes(1);
    case 'h':
        return absl::Hours(1);
    case 'd':
        return absl::Hours(24);
    default:
        return absl::ZeroDuration();
    }
}

/// Parses the metadata member "due_at": RFC 3339 text or seconds since the Unix epoch.
Result<absl::Time> parseDueTime(const Json &value)
{
    if (value.is_number_integer())
        return absl::FromUnixSeconds(value.get<std::int64_t>());
    if (!value.is_string())
        return invalid(
                "metadata \"due_at\" must be an RFC 3339 time or seconds since the Unix epoch");
    const auto text = value.get<std::string>();
    std::int64_t seconds = 0;
    const auto number = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (number.ec == std::errc() && number.ptr == text.data() + text.size())
        return absl::FromUnixSeconds(seconds);
    absl::Time due;
    std::string error;
    if (!absl::ParseTime(absl::RFC3339_full, text, &due, &error))
        return invalid(concat("metadata \"due_at\" is not an RFC 3339 time: ", text));
    return due;
}

} // namespace

Result<absl::Duration> parseWindow(std::string_view text)
{
    std::int64_t count = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), count);
    const bool hasUnit = parsed.ec == std::errc() && parsed.ptr + 1 == text.data() + text.size();
    const absl::Duration unit = hasUnit ? unitOf(*parsed.ptr) : absl::ZeroDuration();
    const absl::Duration window = unit * count;
    if (window <= absl::ZeroDuration() || window > absl::Hours(24) * maxWindowDays)
        return invalid(concat("\"completion_window\" must be a duration such as \"24h\", not \"",
                              text, "\""));
    return window;
}

Result<BatchRequest> parseBatchRequest(std::string_view text, absl::Time wallNow)
{
    BOOST_LEAF_AUTO(body, parseJson(text, "the request body"));
    BatchRequest request;
    BOOST_LEAF_ASSIGN(request.fileId, jsonMember<std::string>(body, "input_file_id"));
    BOOST_LEAF_AUTO(endpoint, jsonMember<std::string>(body, "endpoint"));
    if (endpoint != completionsPath && endpoint != chatPath)
        return invalid(concat("endpoint \"", endpoint, "\" is not supported"));
    BOOST_LEAF_AUTO(window, jsonMemberOr<std::string>(body, "completion_window", "24h"));
    BOOST_LEAF_AUTO(duration, parseWindow(window));
    request.due = wallNow + duration;
    const Json metadata = body.value("metadata", Json());
    if (!metadata.is_null() && !metadata.is_object())
        return invalid("\"metadata\" must be an object");
    if (metadata.is_object() && metadata.contains("due_at")) {
        BOOST_LEAF_ASSIGN(request.due, parseDueTime(metadata.at("due_at")));
    }
    request.jobMetadata = dumpJson(
            {{"endpoint", endpoint}, {"completion_window", window}, {"metadata", metadata}});
    return request;
}

} // namespace rattanrill::entry

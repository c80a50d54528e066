#pragma once

#include "schedule.h"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::load {

/// How a request ended.
enum class Ending {
    /// The answer is complete and correct.
    Completed,
    /// The answer is a typed error.
    Refused,
    /// The answer was marked as complete but lacks part of the expected text.
    Short,
    /// The answer has text that was not expected, such as that of another request, or an invalid
    /// format.
    Foreign,
    /// The connection ended before the answer was complete.
    Cut,
    /// No answer: connection refused, lost or timed out.
    Failed,
    /// Not sent, because too many requests were in flight.
    Unsent,
};

std::string_view name(Ending ending);
/// Whether the ending is a wrong answer: Short or Foreign. No fault of a component justifies one.
bool isWrong(Ending ending);

struct RequestOutcome
{
    RequestKind kind = RequestKind::Whole;
    Ending ending = Ending::Failed;
    std::string workspace;
    std::string requestId;
    /// Request id in the answer.
    std::string answeredId;
    std::string target;
    int status = 0;
    /// Refused: code of the error, and whether the request may have been executed ("run" member).
    std::string code;
    std::string effectState;
    std::string detail;
    std::int64_t tokens = 0;
    int sends = 1;
    /// Delay between the planned and the actual time of the send.
    absl::Duration startLag;
    absl::Time begin;
    absl::Time end;
    /// Streams: time from the send to the first token.
    std::optional<absl::Duration> timeToFirstToken;
    /// Streams: times between consecutive tokens.
    std::vector<absl::Duration> timeBetweenTokens;
};

/// Returns the line of the history file for \a outcome.
Json historyLine(const RequestOutcome &outcome);

} // namespace rattanrill::load

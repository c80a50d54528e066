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
    /// The whole, correct answer.
    Completed,
    /// A typed error.
    Refused,
    /// The answer claimed to be whole and ended early.
    Short,
    /// Text of another answer, or not in the format.
    Foreign,
    /// The connection ended within the answer.
    Cut,
    /// No answer: connection refused, lost or timed out.
    Failed,
    /// Not sent, because too many requests were in flight.
    Unsent,
};

std::string_view name(Ending ending);
/// Whether the ending is a wrong answer, which no failure excuses.
bool isWrong(Ending ending);

struct RequestOutcome
{
    RequestKind kind = RequestKind::Whole;
    Ending ending = Ending::Failed;
    std::string workspace;
    std::string requestId;
    /// The id that the answer carried.
    std::string answeredId;
    std::string target;
    int status = 0;
    /// Refused: code and run state of the error.
    std::string code;
    std::string run;
    std::string detail;
    std::int64_t tokens = 0;
    int sends = 1;
    /// Delay of the send against the plan.
    absl::Duration startLag;
    absl::Time begin;
    absl::Time end;
    /// Streams: from the send to the first token.
    std::optional<absl::Duration> timeToFirstToken;
    /// Streams: gaps between tokens.
    std::vector<absl::Duration> timeBetweenTokens;
};

/// Line of the history file.
Json historyLine(const RequestOutcome &outcome);

} // namespace rattanrill::load

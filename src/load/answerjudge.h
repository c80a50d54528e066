#pragma once

#include "requestoutcome.h"
#include "streamreader.h"

#include <string_view>

namespace rattanrill::load {

/// Judges a whole completion. Sets ending, code, run, tokens and detail of \a outcome.
void judgeWhole(const PlannedRequest &request, std::string_view body, RequestOutcome &outcome);

/// Judges a stream; \a intact is false when the connection ended with an error.
void judgeStream(const PlannedRequest &request, const StreamReader &reader, bool intact,
                 RequestOutcome &outcome);

/// Judges the answer of a fake service: path and hash of the body must be the request's.
void judgeService(const PlannedRequest &request, std::string_view body, RequestOutcome &outcome);

/// Judges an answer with an error status; an error without a typed body has the code "untyped".
void judgeRefusal(std::string_view body, RequestOutcome &outcome);

/// Judges a completion body of a batch result against the request body of its item.
Ending judgeBatchBody(const Json &requestBody, const Json &responseBody);

} // namespace rattanrill::load

#pragma once

#include "requestoutcome.h"
#include "streamreader.h"

#include <string_view>

namespace rattanrill::load {

/// Compares the body of a completion that was not streamed with the expected text; sets ending,
/// tokens and detail of \a outcome.
void classifyCompletion(const PlannedRequest &request, std::string_view body,
                        RequestOutcome &outcome);

/// Compares a streamed completion with the expected text; sets ending, code, effectState,
/// answeredId, tokens and detail of \a outcome. \a intact is false when the connection ended with
/// an error.
void classifyStream(const PlannedRequest &request, const StreamReader &reader, bool intact,
                    RequestOutcome &outcome);

/// Classifies the answer of a fake service: it must repeat the path and the hash of the body of
/// \a request.
void classifyServiceAnswer(const PlannedRequest &request, std::string_view body,
                           RequestOutcome &outcome);

/// Reads code, effectState, request id and message of an answer with an error status. The code is
/// "untyped" when the body is not a typed error.
void classifyErrorAnswer(std::string_view body, RequestOutcome &outcome);

/// Compares the completion in a batch result with the answer expected for the request body of its
/// item.
Ending classifyBatchBody(const Json &requestBody, const Json &responseBody);

} // namespace rattanrill::load

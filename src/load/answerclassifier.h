#pragma once

#include "requestoutcome.h"
#include "streamreader.h"

#include <string_view>

namespace rattanrill::load {

/// Compares the body of a completion that was not streamed with the expected text; sets the type,
/// tokens and detail of \a outcome.
void classifyCompletion(const PlannedRequest &request, std::string_view body,
                        RequestOutcome &outcome);

/// Compares a streamed completion with the expected text; sets the type, code, effectState,
/// responseRequestId, tokens and detail of \a outcome. \a intact is false when the connection ended
/// with an error.
void classifyStream(const PlannedRequest &request, const StreamReader &reader, bool intact,
                    RequestOutcome &outcome);

/// Classifies the response of a fake service, which must contain the path and the hash of the body
/// of \a request.
void classifyServiceResponse(const PlannedRequest &request, std::string_view body,
                             RequestOutcome &outcome);

/// Classifies a response with an error status; sets the type, code, effectState, responseRequestId
/// and detail of \a outcome. The code is "untyped" when the body is not a typed error.
void classifyErrorResponse(std::string_view body, RequestOutcome &outcome);

/// Compares the completion in a batch result with the text expected for the request body of its
/// item.
OutcomeType classifyBatchBody(const Json &requestBody, const Json &responseBody);

} // namespace rattanrill::load

#pragma once

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <string>
#include <string_view>

namespace rattanrill::entry {

/// Body of POST /v1/batches.
struct BatchRequest
{
    std::string fileId;
    /// Due time by the wall clock.
    absl::Time due;
    /// JSON text that is stored with the job and repeated in the batch object: endpoint, completion
    /// window and the caller's metadata.
    std::string jobMetadata;
};

/// Parses the body of POST /v1/batches. The completion window starts at \a wallNow. Fails with
/// InvalidRequest.
Result<BatchRequest> parseBatchRequest(std::string_view body, absl::Time wallNow);

/// Parses a duration such as "24h", "90m", "30s" or "2d". Fails with InvalidRequest.
Result<absl::Duration> parseWindow(std::string_view text);

} // namespace rattanrill::entry

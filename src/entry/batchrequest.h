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
    /// Wall-clock time.
    absl::Time due;
    /// What the batch object repeats: endpoint, completion window and the caller's metadata.
    std::string stored;
};

/// Fails with InvalidRequest.
Result<BatchRequest> parseBatchRequest(std::string_view body, absl::Time wallNow);

/// "24h", "90m", "30s", "2d". Fails with InvalidRequest.
Result<absl::Duration> parseWindow(std::string_view text);

} // namespace rattanrill::entry

#pragma once

#include "rattanrill/base/json.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanrill::load {

/// Result of a batch job, with the number of items for each kind of item result.
struct BatchOutcome
{
    std::string workspace;
    std::string id;
    /// Final status of the job; "not_created" when its creation was not confirmed and "timeout"
    /// when its end was not observed.
    std::string status;
    std::string detail;
    std::int64_t items = 0;
    std::int64_t completed = 0;
    std::int64_t failed = 0;
    std::int64_t missing = 0;
    std::int64_t duplicate = 0;
    std::int64_t wrong = 0;
    double seconds = 0;
};

/// Number of item results that are missing, duplicate or wrong.
std::int64_t wrongItems(const BatchOutcome &outcome);

/// Compares the result lines of a finished job with its input lines; sets the counts of
/// \a outcome.
void compareResults(const std::vector<Json> &input, const std::vector<Json> &results,
                    BatchOutcome &outcome);

Json toJson(const BatchOutcome &outcome);

} // namespace rattanrill::load

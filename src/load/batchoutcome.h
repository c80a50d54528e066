#pragma once

#include "rattanrill/base/json.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanrill::load {

/// How a batch job ended, item by item.
struct BatchOutcome
{
    std::string workspace;
    std::string id;
    /// Last status that the job reported; "not_created" or "timeout" when it never ended.
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

/// Items lost, doubled or wrongly answered.
std::int64_t wrongItems(const BatchOutcome &outcome);

/// Compares the result lines of a finished job with its input lines; sets the counts of
/// \a outcome.
void compareResults(const std::vector<Json> &input, const std::vector<Json> &results,
                    BatchOutcome &outcome);

Json toJson(const BatchOutcome &outcome);

} // namespace rattanrill::load

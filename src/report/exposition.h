#pragma once

#include "rattanrill/base/result.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::report {

using Labels = std::map<std::string, std::string>;

/// Value of one time series on a metrics page.
struct Sample
{
    std::string name;
    Labels labels;
    double value = 0;
};

/// Parses the Prometheus text exposition format; comments and timestamps are skipped. Fails with
/// MalformedMessage; the detail names \a source and the line number.
Result<std::vector<Sample>> parseExposition(std::string_view text, const std::string &source);

} // namespace rattanrill::report

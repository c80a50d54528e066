#pragma once

#include "rattanrill/base/result.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::report {

using Labels = std::map<std::string, std::string>;

/// One time series of a metrics page.
struct Sample
{
    std::string name;
    Labels labels;
    double value = 0;
};

/// Parses the Prometheus text exposition format; comments and timestamps are skipped. Fails with
/// MalformedMessage, naming \a source and the line.
Result<std::vector<Sample>> parseExposition(std::string_view text, const std::string &source);

} // namespace rattanrill::report

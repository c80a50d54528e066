#pragma once

#include "rattanrill/base/json.h"

#include <string>
#include <vector>

namespace rattanrill::ctl {

/// Formats \a rows (JSON objects) as aligned columns under a heading of member names.
std::string tableText(const std::vector<std::string> &columns, const Json &rows);

} // namespace rattanrill::ctl

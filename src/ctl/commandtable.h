#pragma once

#include "commandspec.h"

#include <vector>

namespace rattanrill::ctl {

/// All commands, in the order in which the help lists them.
const std::vector<CommandSpec> &commandTable();

/// Options that every command accepts.
const std::vector<OptionSpec> &commonOptions();

} // namespace rattanrill::ctl

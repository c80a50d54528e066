#pragma once

#include "commandspec.h"

#include <vector>

namespace rattanrill::ctl {

/// All commands, in order of the help.
const std::vector<CommandSpec> &commandTable();

/// Options of every command.
const std::vector<OptionSpec> &commonOptions();

} // namespace rattanrill::ctl

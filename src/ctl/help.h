#pragma once

#include "commandspec.h"

#include <string>

namespace rattanrill::ctl {

/// List of all commands.
std::string overviewText();
/// Help of one command for a terminal.
std::string commandText(const CommandSpec &command);
/// Page of one command, as in docs/commands.
std::string commandPage(const CommandSpec &command);
/// File name of that page, such as "key-add.md".
std::string pageName(const CommandSpec &command);

} // namespace rattanrill::ctl

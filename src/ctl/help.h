#pragma once

#include "commandspec.h"

#include <string>

namespace rattanrill::ctl {

/// Overview of all commands and common options for a terminal.
std::string overviewText();
/// Help of one command for a terminal.
std::string commandText(const CommandSpec &command);
/// Markdown page of one command; docs/commands holds the same text.
std::string commandPage(const CommandSpec &command);
/// File name of that page, such as "key-add.md".
std::string pageName(const CommandSpec &command);

} // namespace rattanrill::ctl

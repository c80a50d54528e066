#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace rattanrill::ctl {

/// Runs rattanrillctl with \a arguments (without the program name); returns the exit code.
int runCtl(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace rattanrill::ctl

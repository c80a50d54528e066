#pragma once

#include "rattanrill/directory/directoryview.h"

#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::entry {

/// Whether the directory lists an engine for \a model, whatever its state.
bool servesModel(const directory::DirectoryView &view, std::string_view model);
/// Models that engines serve, in order of name.
std::vector<std::string> models(const directory::DirectoryView &view);
/// Instances of the entries that are members of the directory, in order of name.
std::vector<std::string> memberNames(const directory::DirectoryView &view);

} // namespace rattanrill::entry

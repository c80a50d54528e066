#pragma once

#include "rattanrill/directory/view.h"

#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::entry {

/// Whether the directory lists an engine for \a model, whatever its state.
bool servesModel(const directory::View &view, std::string_view model);
/// Models that engines serve, in order of name.
std::vector<std::string> models(const directory::View &view);
/// Instances of acknowledged entries, in order of name.
std::vector<std::string> memberNames(const directory::View &view);

} // namespace rattanrill::entry

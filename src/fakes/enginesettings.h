#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/fakes/enginemodel.h"

#include <string_view>

namespace rattanrill::fakes {

/// JSON schema of rattanrill-fake-engine's settings.
std::string_view engineSettingsSchema();

/// Converts validated settings to those of an EngineModel; missing members keep their defaults.
EngineModelSettings engineModelSettings(const Json &settings);

} // namespace rattanrill::fakes

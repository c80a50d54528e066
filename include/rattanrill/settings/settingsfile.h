#pragma once

#include "rattanrill/base/json.h"

#include <string>
#include <string_view>

namespace rattanrill {

/// Reads a JSON settings file and checks it against a JSON schema (draft 7). An unknown key, a
/// wrong type, a missing or an out-of-range value fails with InvalidSetting; the detail names the
/// file, the path of the key, the value and what is allowed.
Result<Json> loadSettings(const std::string &file, std::string_view schemaText);

/// As loadSettings(), from text; \a source names where the text came from.
Result<Json> parseSettings(std::string_view text, const std::string &source,
                           std::string_view schemaText);

/// Failure for a value that the schema allows but that contradicts another one.
Failure settingFailure(const std::string &source, std::string_view keyPath,
                       std::string_view allowed);

} // namespace rattanrill

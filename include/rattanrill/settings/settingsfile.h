#pragma once

#include "rattanrill/base/json.h"

#include <string>
#include <string_view>

namespace rattanrill {

/// Reads a JSON settings file and checks it against a JSON schema (draft 7). Fails with
/// InvalidSetting for an unknown key, a wrong type, or a missing or out-of-range value. The detail
/// names the file, the path of the key, the value and what is allowed.
Result<Json> loadSettings(const std::string &file, std::string_view schemaText);

/// Same as loadSettings(), but reads from \a text. \a source names the origin of the text in
/// failures.
Result<Json> parseSettings(std::string_view text, const std::string &source,
                           std::string_view schemaText);

/// Returns the failure for a value that the schema allows but that conflicts with other settings.
/// \a allowed describes the allowed values.
Failure settingFailure(const std::string &source, std::string_view keyPath,
                       std::string_view allowed);

} // namespace rattanrill

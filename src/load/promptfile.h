#pragma once

#include "rattanrill/base/json.h"

#include <string>
#include <vector>

namespace rattanrill::load {

/// Reads the lines of a JSONL file; blank lines are skipped. Fails with IoError when the file
/// cannot be read and with InvalidRequest, naming file and line, when a line is not a JSON object.
Result<std::vector<Json>> readJsonLines(const std::string &file);

/// Like readJsonLines(), but reads \a text; \a source names its origin in errors.
Result<std::vector<Json>> parseJsonLines(const std::string &text, const std::string &source);

/// Returns the content of \a file. Fails with IoError.
Result<std::string> readTextFile(const std::string &file);

} // namespace rattanrill::load
